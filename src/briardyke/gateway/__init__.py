"""Carry requests of callers to upstreams and their answers back."""
