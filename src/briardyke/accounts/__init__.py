"""Identify client accounts by their API keys."""
