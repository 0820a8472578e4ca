"""Decide routing, limits, admission and retries without performing I/O."""
