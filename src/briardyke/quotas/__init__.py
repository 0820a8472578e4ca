"""Keep the use of client accounts within their quotas over all entry instances."""
