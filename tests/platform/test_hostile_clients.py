"""Tests of whole processes against crowds of clients that nobody controls.

They guard against a process that ends, hangs or outgrows the memory of its machine. Nothing here
depends on the speed of the machine: no times, and no share of requests that must be served.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import attrs
import hostile_crowd as crowd
import pytest
import trio
from hostile_crowd import Target, Watched
from platform_cluster import (
    CONTROL_PORT,
    DIRECTORY_PORT,
    READY_PORT,
    Cluster,
    call,
)
from platform_site import Site, configuration

from briardyke.http.h11_client import UpstreamError

if TYPE_CHECKING:
    from collections.abc import (
        AsyncGenerator,
        AsyncIterator,
        Awaitable,
        Callable,
        Iterable,
        Sequence,
    )

    from platform_cluster import Reply

    Play = Callable[[Target], AsyncGenerator[bytes, None]]

# Memory of the machines that the settings of these tests state. At rest an entry process takes
# about 50 MB of it.
ENTRY_MEMORY_MB = 112
CONTROL_MEMORY_MB = 128
BODY_BYTES = 1024 * 1024
# Body limit of the operator's interface, which no configuration changes.
CONTROL_BODY_BYTES = 4 * 1024 * 1024
# Descriptors that a process may open beside one for each connection of the crowd: its own
# connections, and those to upstreams.
SPARE_DESCRIPTORS = 160
# Time for which the crowd stays. It is longer than the time limit for a request, so that all of
# the crowd has been sent to a process that reads everything.
STAY_S = 8.0
HEADER_TIMEOUT_MS = 6000.0
# A generous bound for a hang, so that a busy machine does not change the verdict.
ANSWER_WITHIN_S = 30.0

BODIES: Sequence[Play] = (crowd.body_short_of_end,) * 56 + (crowd.body_in_pieces,) * 56
COMPLETE: Sequence[Play] = (crowd.complete_body,) * 32 + (crowd.early_requests,) * 32
CHUNKS: Sequence[Play] = (crowd.chunks_short_of_end,) * 96 + (crowd.one_byte_chunks,) * 16
OVER_LIMIT: Sequence[Play] = (
    (crowd.announced_over_limit,) * 32
    + (crowd.sent_over_limit,) * 48
    + (crowd.one_large_chunk,) * 32
)
SLOW: Sequence[Play] = (crowd.slow_head,) * 64 + (crowd.idle,) * 128


@attrs.frozen
class HostileSite:
    """Hold a small site whose machines have little memory."""

    site: Site

    def watched(self, name: str, targets: Iterable[Target] = ()) -> Watched:
        """Return a process of the site."""
        addresses = {target.address for target in targets}
        return Watched(self.site.cluster.processes[name].pid, addresses)

    async def run(self, name: str, targets: list[Target], plays: Sequence[Play]) -> Watched:
        """Run a crowd against a process until the crowd has left, all of it at once."""
        watched = self.watched(name, targets)
        async with trio.open_nursery() as sampling:
            sampling.start_soon(watched.sample)
            with trio.move_on_after(STAY_S):
                async with trio.open_nursery() as nursery:
                    for index, play in enumerate(plays):
                        target = targets[index % len(targets)]
                        parts = functools.partial(play, target)
                        nursery.start_soon(crowd.play, target.address, parts, trio.sleep_forever)
            sampling.cancel_scope.cancel()
        return watched

    async def check(
        self,
        name: str,
        memory_mb: float,
        targets: list[Target],
        plays: Sequence[Play],
        ask: Callable[[], Awaitable[Reply]],
    ) -> None:
        """Run a crowd and check that the process has stood it.

        :param memory_mb: memory of the machine.
        :param ask: sends one ordinary request, which must be answered with 200.
        """
        at_rest_mb = self.watched(name).peak_mb()
        watched = await self.run(name, targets, plays)
        answered = await _is_answered(ask)
        figures = {
            "at_rest_mb": round(at_rest_mb),
            "peak_mb": round(watched.peak_mb()),
            "peak_with_kernel_mb": round(watched.peak_with_kernel_mb),
            "memory_mb": memory_mb,
            "peak_descriptors": watched.peak_descriptors,
            "answered": answered,
        }
        print(name, figures)
        assert self.site.cluster.processes[name].poll() is None, figures
        assert answered, figures
        assert watched.peak_mb() < memory_mb, figures
        assert watched.peak_with_kernel_mb < memory_mb, figures
        assert watched.peak_descriptors < len(plays) + SPARE_DESCRIPTORS, figures


async def _is_answered(ask: Callable[[], Awaitable[Reply]]) -> bool:
    with trio.move_on_after(ANSWER_WITHIN_S):
        while True:
            try:
                if (await ask()).status == 200:
                    return True
            except (OSError, UpstreamError):
                pass
            await trio.sleep(0.2)
    return False


@pytest.fixture
async def hostile(cluster: Cluster) -> AsyncIterator[HostileSite]:
    """Start one control and one entry instance with little memory, and their upstreams."""
    found = Site(cluster)
    limits = {"max_body_bytes": BODY_BYTES, "header_timeout_ms": HEADER_TIMEOUT_MS}
    async with trio.open_nursery() as nursery:
        for worker in [*found.engines, *found.apps]:
            await nursery.start(worker.serve)
            nursery.start_soon(cluster.announce, worker)
        cluster.limits = {"memory_mb": CONTROL_MEMORY_MB}
        for name in ("control-1", "control-2", "control-3"):
            cluster.start(name)
        cluster.limits = {"memory_mb": ENTRY_MEMORY_MB}
        cluster.start("entry-1")
        await cluster.put(configuration(5, limits=limits), timeout_s=ANSWER_WITHIN_S)
        await cluster.wait_ready(1, ANSWER_WITHIN_S)
        await trio.sleep(1.0)
        yield HostileSite(found)
        nursery.cancel_scope.cancel()


class TestEntryInstance:
    """Covers crowds at the address for callers and at the interfaces for the platform."""

    @pytest.mark.parametrize(
        "plays",
        [
            pytest.param(BODIES, id="bodies"),
            pytest.param(COMPLETE, id="responses_not_read"),
            pytest.param(CHUNKS, id="chunks"),
            pytest.param(OVER_LIMIT, id="over_limit"),
            pytest.param(SLOW, id="slow"),
            pytest.param((*BODIES, *COMPLETE, *CHUNKS, *OVER_LIMIT, *SLOW), id="all"),
        ],
    )
    async def test_callers(self, hostile: HostileSite, plays: Sequence[Play]) -> None:
        address = hostile.site.cluster.entry(1)
        targets = [
            Target(address, "POST", "/see/1", BODY_BYTES),
            Target(address, "POST", "/see/2", BODY_BYTES),
            Target(address, "POST", "/buy/1", BODY_BYTES),
        ]

        async def ask() -> Reply:
            return await hostile.site.send("/see/1", "ordinary")

        await hostile.check("entry-1", ENTRY_MEMORY_MB, targets, plays, ask)

    async def test_readiness_and_addresses(self, hostile: HostileSite) -> None:
        ready = hostile.site.cluster.entry(1, READY_PORT)
        targets = [
            Target(ready, "GET", "/briardyke/ready", CONTROL_BODY_BYTES),
            Target(hostile.site.cluster.entry(1, DIRECTORY_PORT), "GET", "/x", CONTROL_BODY_BYTES),
        ]
        plays = (*BODIES[::4], *CHUNKS[::4], *OVER_LIMIT[::4], *SLOW[::4])

        async def ask() -> Reply:
            return await call(ready, "GET", "/briardyke/ready", {})

        await hostile.check("entry-1", ENTRY_MEMORY_MB, targets, plays, ask)


class TestControlInstance:
    """Covers crowds at the interfaces for the operator and for announcements."""

    @pytest.mark.parametrize(
        "plays",
        [
            pytest.param(BODIES[::2], id="bodies"),
            pytest.param(CHUNKS[::2], id="chunks"),
            pytest.param(
                (*BODIES[::2], *COMPLETE[::2], *CHUNKS[::2], *OVER_LIMIT[::2], *SLOW), id="all"
            ),
        ],
    )
    async def test_operator_and_announcements(
        self, hostile: HostileSite, plays: Sequence[Play]
    ) -> None:
        cluster = hostile.site.cluster
        address = cluster.control(1)
        assert address.port == CONTROL_PORT
        targets = [
            Target(address, "PUT", "/briardyke/config", CONTROL_BODY_BYTES),
            Target(address, "PUT", "/briardyke/instances/x", CONTROL_BODY_BYTES),
            Target(address, "GET", "/briardyke/config", CONTROL_BODY_BYTES),
        ]

        async def ask() -> Reply:
            return await cluster.operate(1, "GET")

        await hostile.check("control-1", CONTROL_MEMORY_MB, targets, plays, ask)
