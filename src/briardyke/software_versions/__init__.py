"""Know which software version of a service began each stream that callers may take up again."""
