"""Decide which engine holds which model and adapter, and order the changes."""
