"""Keep entry processes and relays up to date with the leader, with ages for all evidence."""
