"""Serve many language models on a shared pool of accelerators."""
