"""Forward requests of callers to upstreams and return the responses."""
