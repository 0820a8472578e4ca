"""Tests of telling the crash of an upstream from the loss of a connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio
from gateway_support import STREAM_HEAD, event

from briardyke.addresses import Address
from briardyke.fleet.records import READY, Upstream
from briardyke.gateway.crash_detection import REPORTED_MS, CrashDetector
from briardyke.gateway.dialect import RequestMetadata
from briardyke.http.h11_client import is_refusing_connections
from briardyke.quarantine.records import is_fingerprint

if TYPE_CHECKING:
    from gateway_support import Gateway, ScriptedUpstream

ROW = Upstream("e", 5, 1, "pool", "127.0.0.1:9", "dc", READY)
REQUEST = RequestMetadata("r-1", None, "m", "", ("first", "second", "own"))


@attrs.define
class FakeCheck:
    """Replace the check of an address; it takes ten milliseconds."""

    is_refusing: bool
    calls: int = 0

    async def __call__(self, address: Address) -> bool:
        self.calls += 1
        await trio.sleep(0.01)
        return self.is_refusing


class TestInvestigation:
    """Covers connections that end before the first response."""

    async def test_crash_names_the_shared_parts_of_all_waiting_requests(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        check = FakeCheck(True)
        detector = CrashDetector(check)
        other = attrs.evolve(REQUEST, request_id="r-2", prefix_ids=("first", "third", "own-2"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(detector.investigate, ROW, REQUEST)
            nursery.start_soon(detector.investigate, ROW, other)
        assert [c.depths for c in detector.recent()] == [{"first": 0, "second": 1, "third": 1}]
        assert check.calls == 1

    async def test_lost_connection_of_a_running_upstream_is_no_crash(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        detector = CrashDetector(FakeCheck(False))
        assert not await detector.investigate(ROW, REQUEST)
        assert list(detector.recent()) == []

    async def test_old_crashes_are_forgotten(self, autojump_clock: trio.testing.MockClock) -> None:
        detector = CrashDetector(FakeCheck(True))
        assert await detector.investigate(ROW, REQUEST)
        await trio.sleep(REPORTED_MS / 1000.0 + 0.1)
        assert list(detector.recent()) == []


class TestRefusalOfConnections:
    """Covers the check of an address."""

    async def test_only_an_address_without_a_process_refuses(self) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
        assert not await is_refusing_connections(address)
        await listeners[0].aclose()
        assert await is_refusing_connections(address)


class TestForwardedRequests:
    """Covers the requests of callers on an upstream that ends."""

    async def test_stream_with_events_is_not_among_the_waiting_requests(
        self, gateway: Gateway
    ) -> None:
        async def crash(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(STREAM_HEAD % request_id)
            if request_id == b"s-1":
                await stream.send_all(event(1))
            await trio.aclose_forcefully(stream)

        gateway.state.quarantine.detector = detector = CrashDetector(FakeCheck(True))
        await gateway.add("pool", crash)
        await gateway.send("/chat/x", "s-1", "m", prefix="first:9,known:9,own:9")
        await gateway.send("/chat/x", "s-2", "m", prefix="first:9,other:9,own:9")
        (crash_seen,) = detector.recent()
        (fingerprint,) = (part for part in crash_seen.depths if is_fingerprint(part))
        assert crash_seen.depths == {"first": 0, "other": 1, fingerprint: 2}
