"""Stand in for model engines and plain services in tests and demonstrations."""
