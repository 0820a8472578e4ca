"""Describe which service answers which request, and what each service runs."""
