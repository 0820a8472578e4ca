"""Record who may run a non-idempotent request, and its first response."""
