"""Run the entry process: caller interface, addresses, relay and sync."""
