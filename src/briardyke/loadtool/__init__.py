"""Send load to entry processes and verify every response."""
