"""Run a site of real control and entry processes between stand-ins of upstreams."""

from __future__ import annotations

import json
from typing import Any

from platform_cluster import LOOPBACK, Cluster, Reply, call
from platform_worker import PlatformWorker

from briardyke.addresses import Address


def configuration(version: int, **changes: Any) -> bytes:
    """Return a configuration with a stream, a purchase and a look-up."""
    common = {"host": "h.example", "timeout_ms": 3000, "target_latency_ms": 400, "priority": 1}
    document = {
        "version": version,
        "routes": [
            common
            | {"name": "chat", "path_prefix": "/chat/", "kind": "streaming", "service": "pool"}
            | {"max_attempts": 2, "resumable": True, "gap_target_ms": 250, "timeout_ms": 8000},
            common
            | {"name": "slow", "path_prefix": "/slow/", "kind": "streaming", "service": "pool"}
            | {"timeout_ms": 8000, "target_latency_ms": 5000},
            common
            | {"name": "buy", "path_prefix": "/buy/", "kind": "non_idempotent", "service": "app"},
            common
            | {"name": "see", "path_prefix": "/see/", "kind": "idempotent", "service": "app"}
            | {"max_attempts": 2},
        ],
        "services": [
            {
                "name": "pool",
                "max_conns": 100,
                "engine": {
                    "slots": 8,
                    "weights_mb": 100.0,
                    "adapter_slots": 4,
                    "loads_per_s": 2,
                    "models": [
                        {"name": "m", "weights_mb": 40.0, "load_s": 1.0, "adapters": 3}
                        | {"adapter_mb": 1.0},
                        {"name": "n", "weights_mb": 40.0, "load_s": 1.0},
                    ],
                },
            },
            {"name": "app", "max_conns": 100},
        ],
    }
    return json.dumps(document | changes).encode()


class Site:
    """Hold a cluster with two engines and two plain upstreams."""

    def __init__(self, cluster: Cluster) -> None:
        host = f"{LOOPBACK}.{cluster.number}"
        self.cluster = cluster
        self.engines = [
            PlatformWorker(f"e{i}", "pool", Address(f"{host}.{200 + i}", 9001), {"m": []})
            for i in (1, 2)
        ]
        self.apps = [
            PlatformWorker(f"a{i}", "app", Address(f"{host}.{210 + i}", 9001)) for i in (1, 2)
        ]

    async def send(
        self, path: str, request_id: str, model: str = "", entry: int = 1, body: bytes = b"abc"
    ) -> Reply:
        """Send one request as a caller."""
        headers = {"Host": "h.example", "Request-Id": request_id, "Deadline-Ms": "8000"}
        if model:
            headers["Model"] = model
        return await call(self.cluster.entry(entry), "POST", path, headers, body)
