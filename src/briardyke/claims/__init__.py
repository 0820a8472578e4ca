"""Record which attempt may run a non-idempotent request, and its first response."""
