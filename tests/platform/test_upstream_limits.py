"""Tests of upstreams that name how many requests a second they accept from all instances."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import pytest
import trio

from briardyke.http.exchange import header
from briardyke.http.h11_client import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from platform_cluster import Reply
    from platform_site import Site

pytestmark = pytest.mark.process
# From this time after an upstream named its limit, it holds for all instances together.
NOTICE_S = 3.0
WINDOW_S = 4.0


def most_in_window(arrivals_s: Sequence[float], since_s: float) -> int:
    """Return the largest number of requests in a window that begins after a time."""
    counted = [a for a in arrivals_s if a >= since_s]
    return max((sum(a <= b < a + WINDOW_S for b in counted) for a in counted), default=0)


def allowed(limit_per_s: float) -> float:
    """Return the number of requests that an upstream with a limit may receive in a window."""
    return 1.5 * WINDOW_S * limit_per_s + 5.0


class Load:
    """Requests at a steady rate, spread over the entry instances in turn.

    :param replies: replies received, with the time that each took in seconds.
    """

    def __init__(self, site: Site, path: str, model: str = "") -> None:
        self._site = site
        self._path = path
        self._model = model
        self._sent = 0
        self.replies: list[tuple[float, Reply]] = []

    async def send_for(self, duration_s: float, per_s: float) -> None:
        """Send requests and wait for their replies."""
        async with trio.open_nursery() as nursery:
            for _ in range(int(duration_s * per_s)):
                self._sent += 1
                nursery.start_soon(self._send, self._sent)
                await trio.sleep(1.0 / per_s)

    async def _send(self, number: int) -> None:
        started_s = trio.current_time()
        name = f"{self._path.strip('/')}-{number}"
        try:
            reply = await self._site.send(self._path + "1", name, self._model, 1 + number % 2)
        except (OSError, UpstreamError):
            return  # its entry instance was starting
        self.replies.append((trio.current_time() - started_s, reply))


class TestLimitOfAllInstances:
    """Covers an upstream that receives more requests than the limit that it names."""

    async def test_plain_upstream_receives_no_more_than_its_limit(self, site: Site) -> None:
        limited = site.apps[0]
        limited.limit_per_s = 1.0
        load = Load(site, "/see/")
        await load.send_for(NOTICE_S, 10)
        since_s = trio.current_time()
        await load.send_for(WINDOW_S + 2.0, 10)
        assert most_in_window(limited.arrivals_s, since_s) <= allowed(1.0)
        assert {reply.status for _, reply in load.replies} == {200}

    async def test_engine_with_the_only_replica_receives_no_more_than_its_limit(
        self, site: Site
    ) -> None:
        limited = site.engines[0]
        site.engines[1].takes_orders = False
        site.engines[1].models = {}
        limited.limit_per_s = 1.0
        await trio.sleep(1.0)
        load = Load(site, "/chat/", "m")
        await load.send_for(NOTICE_S, 10)
        since_s = trio.current_time()
        await load.send_for(WINDOW_S + 2.0, 10)
        received = most_in_window(limited.arrivals_s, since_s)
        assert 0.5 * WINDOW_S <= received <= allowed(1.0)
        refused = [(took_s, r) for took_s, r in load.replies if r.status == 503]
        assert refused
        assert max(took_s for took_s, _ in refused) < 1.0
        assert all(header(r.headers, b"retry-after") for _, r in refused)

    async def test_limit_ends_when_it_is_no_longer_named(self, site: Site) -> None:
        limited = site.apps[0]
        limited.limit_per_s = 1.0
        load = Load(site, "/see/")
        await load.send_for(NOTICE_S, 10)
        limited.limit_per_s = None
        await load.send_for(NOTICE_S, 10)
        site.apps[1].is_full = True
        before = len(limited.arrivals_s)
        await load.send_for(2.0, 10)
        assert len(limited.arrivals_s) - before == 20
        assert {reply.status for _, reply in load.replies} == {200}


class TestDisturbances:
    """Covers a limit that holds while the processes that keep it end and start."""

    @pytest.mark.parametrize("service", ["app", "pool"])
    async def test_limit_holds_while_leaders_are_killed_and_an_instance_restarts(
        self, site: Site, service: str
    ) -> None:
        limited = site.apps[0] if service == "app" else site.engines[0]
        limited.limit_per_s = 2.0
        load = Load(site, "/see/") if service == "app" else Load(site, "/chat/", "m")
        await load.send_for(NOTICE_S, 10)
        since_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.send_for, 12.0, 10)
            for index in (1, 2, 3):
                await trio.sleep(2.0)
                site.cluster.kill(f"control-{index}")
                site.cluster.processes[f"control-{index}"].wait()
                await trio.sleep(0.5)
                site.cluster.start(f"control-{index}", is_first_start=False)
            site.cluster.kill("entry-2", signal.SIGTERM)
            site.cluster.processes["entry-2"].wait()
            site.cluster.start("entry-2", is_first_start=False)
        assert most_in_window(limited.arrivals_s, since_s) <= allowed(2.0)
        served = sum(reply.status == 200 for _, reply in load.replies)
        assert served >= 0.6 * len(load.replies)
