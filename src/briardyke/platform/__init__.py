"""Translate between the product and the users' platform; holds no decisions."""
