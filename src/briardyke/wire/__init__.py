"""Carry messages between the system's own processes as msgpack over TCP."""
