"""Tests of streams that control processes place on engines, through the platform's protocol."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import pytest
import trio
from platform_cluster import READY_PORT, call

if TYPE_CHECKING:
    from platform_site import Site

pytestmark = pytest.mark.process
CONTROLS = ("control-1", "control-2", "control-3")


async def events(site: Site) -> dict[str, int]:
    """Return the counters of the dispatch, summed over both entry instances."""
    total: dict[str, int] = {}
    for index in (1, 2):
        page = await call(site.cluster.entry(index, READY_PORT), "GET", "/metrics", {})
        for name, count in re.findall(rb'event="(dispatch_\w+)".*?} (\d+)', page.body):
            total[name.decode()] = total.get(name.decode(), 0) + int(count)
    return total


def coordinators(site: Site) -> list[str]:
    """Return the control instances that have coordinated a service."""
    folder = site.cluster.folder
    return [n for n in CONTROLS if "event=dispatch_started" in (folder / f"{n}.log").read_text()]


async def send(site: Site, name: str, count: int = 10) -> list[int]:
    """Send streams to both entry instances; return the statuses."""
    statuses = []
    for number in range(count):
        reply = await site.send("/chat/1", f"{name}-{number}", "m", entry=1 + number % 2)
        statuses.append(reply.status)
    return statuses


class TestDispatch:
    """Covers engines with and without a stated slowness, and lost coordinators."""

    async def test_engines_with_three_figures_are_chosen_locally(self, site: Site) -> None:
        for engine in site.engines:
            engine.load = b"1,0,8"
        assert await send(site, "s") == [200] * 10
        assert await events(site) == {}
        assert coordinators(site) == []

    async def test_one_control_instance_places_the_streams_until_it_is_lost(
        self, site: Site
    ) -> None:
        """Guards against streams that fail or wait without their coordinator."""
        for engine in site.engines:
            engine.load = b"1,0,8,120,7"
        assert await send(site, "s") == [200] * 10
        found = await events(site)
        # The first request of each entry instance learns that the engines state their slowness.
        assert found["dispatch_placed"] == 8
        assert "dispatch_fallback" not in found
        first = coordinators(site)
        assert len(first) == 1
        site.cluster.kill(first[0])
        assert await send(site, "t") == [200] * 10
        found = await events(site)
        assert found["dispatch_placed"] == 18
        assert len(coordinators(site)) == 2
        for name in CONTROLS:
            if site.cluster.processes[name].poll() is None:
                site.cluster.kill(name)
        await trio.sleep(0.2)
        assert await send(site, "u") == [200] * 10
        assert (await events(site))["dispatch_fallback"] == 10
