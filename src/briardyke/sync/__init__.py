"""Synchronise entry processes and relays with the leader, with the age of all evidence."""
