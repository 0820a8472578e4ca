"""Replicate a log of commands over a group of members."""
