"""Stand in for a plain service with non-idempotent calls."""
