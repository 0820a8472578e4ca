"""Exchange msgpack messages between briardyke processes over TCP."""
