"""Replicate the configuration and the soft state of upstreams and entry instances."""
