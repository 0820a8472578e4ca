"""Tests of client accounts and revoked keys with real processes on the loopback range."""

from __future__ import annotations

import json
import signal
from typing import TYPE_CHECKING

import pytest
import trio
from platform_cluster import REVOKE_MS, call
from platform_site import configuration

if TYPE_CHECKING:
    from platform_site import Site

pytestmark = pytest.mark.process
KEY, NEXT_KEY = "asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"
CONTROLS = ("control-1", "control-2", "control-3")


def with_keys(version: int, *keys: str) -> bytes:
    """Return a configuration with one account and a public route."""
    document = json.loads(configuration(version))
    see = next(row for row in document["routes"] if row["name"] == "see")
    document["routes"].append(see | {"name": "open", "path_prefix": "/open/", "public": True})
    document["tenants"] = [{"name": "hule930", "api_keys": list(keys), "priority": 1}]
    return json.dumps(document).encode()


async def status(site: Site, path: str, key: str = "", entry: int = 1) -> int:
    """Send one request; return its status."""
    headers = {"Host": "h.example", "Request-Id": f"{path}-{trio.current_time()}"}
    headers["Deadline-Ms"] = "2000"
    if key:
        headers["Authorization"] = "Bearer " + key
    return (await call(site.cluster.entry(entry), "POST", path, headers, b"abc")).status


async def wait_for(expected: int, site: Site, path: str, key: str, entry: int = 1) -> None:
    """Send requests until one has a status."""
    with trio.fail_after(12):
        while await status(site, path, key, entry) != expected:
            await trio.sleep(0.1)


class TestStrictRevocation:
    """Covers keys under a bound on their revocation."""

    async def test_keys_stop_without_control_instances_and_public_routes_go_on(
        self, site: Site
    ) -> None:
        """Guards against instances that accept keys without a proof, or that stay without one."""
        await site.cluster.put(with_keys(6, KEY))
        await wait_for(401, site, "/see/1", "")
        assert await status(site, "/see/1", KEY) == 200
        assert await status(site, "/see/1", NEXT_KEY) == 401
        for name in CONTROLS:
            site.cluster.kill(name, signal.SIGSTOP)
        await trio.sleep(REVOKE_MS / 1000.0)
        assert await status(site, "/see/1", KEY) == 503
        assert await status(site, "/see/1", NEXT_KEY) == 401
        assert await status(site, "/open/1", KEY) == 200
        for name in CONTROLS:
            site.cluster.kill(name, signal.SIGCONT)
        await wait_for(200, site, "/see/1", KEY)

    async def test_frozen_instance_runs_nothing_with_a_revoked_key(self, site: Site) -> None:
        """Guards against an instance that wakes and serves before it hears of the change."""
        await site.cluster.put(with_keys(6, KEY))
        for entry in (1, 2):
            await wait_for(200, site, "/buy/1", KEY, entry)
        site.cluster.kill("entry-2", signal.SIGSTOP)
        await site.cluster.put(with_keys(7, NEXT_KEY))
        confirmed = trio.current_time()
        await wait_for(401, site, "/buy/1", KEY)
        assert trio.current_time() - confirmed < REVOKE_MS / 1000.0
        await trio.sleep_until(confirmed + REVOKE_MS / 1000.0 + 0.2)
        statuses: list[int] = []

        async def send() -> None:
            statuses.append(await status(site, "/buy/1", KEY, entry=2))

        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(send)
            await trio.sleep(0.3)
            site.cluster.kill("entry-2", signal.SIGCONT)
        assert set(statuses) <= {401, 503}
        await wait_for(200, site, "/buy/1", NEXT_KEY, entry=2)
