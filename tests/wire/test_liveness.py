"""Test the decision whether a connection is silent, on the paused clock."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import attrs
import pytest
import trio
import trio.testing

from briardyke.addresses import Address
from briardyke.wire.client import PeerClient
from briardyke.wire.connection import PROTOCOL_VERSION, Hello, serve_connection
from briardyke.wire.frames import FrameStream
from briardyke.wire.liveness import (
    MAX_SILENT_AFTER_MS,
    PROBE_AFTER_MS,
    SILENT_AFTER_MS,
    Liveness,
    Patience,
)
from briardyke.wire.messages import ClaimReply, ClaimRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HELLO = Hello(PROTOCOL_VERSION, "cluster", "me")
BEAT_S = 0.15
ELECTION_TIMEOUT_S = 1.0


class UnreliableStream(trio.abc.Stream):
    """End of a connection in memory that can go silent or stand still."""

    def __init__(self, stream: trio.StapledStream) -> None:
        self._stream = stream
        self.is_silent = False
        self.frozen_until_s = 0.0

    async def send_all(self, data: bytes) -> None:
        if not self.is_silent:
            await self._stream.send_all(data)
        await trio.lowlevel.checkpoint()

    async def wait_send_all_might_not_block(self) -> None:
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        data = await self._stream.receive_some(max_bytes)
        if self.is_silent:
            await trio.sleep_forever()
        await trio.sleep_until(max(self.frozen_until_s, trio.current_time()))
        return bytes(data)

    async def aclose(self) -> None:
        if not self.is_silent:
            await self._stream.aclose()


@attrs.define
class Peer:
    """A peer that connections in memory lead to."""

    nursery: trio.Nursery
    arrivals_s: list[float] = attrs.field(factory=list)
    streams: list[UnreliableStream] = attrs.field(factory=list)
    frozen_until_s: float = 0.0

    async def connect(self, address: Address) -> trio.abc.Stream:
        near, far = trio.testing.memory_stream_pair()
        stream = UnreliableStream(far)
        stream.frozen_until_s = self.frozen_until_s
        self.streams.append(stream)
        self.nursery.start_soon(serve_connection, FrameStream(stream), HELLO, self.handle)
        return near

    async def handle(self, peer_id: str, message: Any) -> Any:
        self.arrivals_s.append(trio.current_time())
        return ClaimReply("granted")

    def silence(self) -> None:
        """Let the open connections go silent."""
        for stream in self.streams:
            stream.is_silent = True

    def freeze(self, duration_s: float) -> None:
        """Let the process of the peer stand still."""
        self.frozen_until_s = trio.current_time() + duration_s
        for stream in self.streams:
            stream.frozen_until_s = self.frozen_until_s

    def longest_pause_s(self) -> float:
        """Return the longest time between two messages."""
        pairs = zip(self.arrivals_s, self.arrivals_s[1:], strict=False)
        return max(after - before for before, after in pairs)


@asynccontextmanager
async def beating() -> AsyncIterator[Peer]:
    """Yield a peer that gets one-way messages as from a leader."""
    async with trio.open_nursery() as nursery:
        peer = Peer(nursery)
        client = PeerClient(Address("10.0.0.1", 1), HELLO, connect=peer.connect)
        nursery.start_soon(client.run)

        async def beat() -> None:
            while True:
                client.send(ClaimRequest(1, "caller", "digest", "beat"))
                await trio.sleep(BEAT_S)

        nursery.start_soon(beat)
        await trio.sleep(2.0)
        yield peer
        nursery.cancel_scope.cancel()


class TestHeartbeats:
    """Guards against a member that is not heard before the election timeout."""

    @pytest.mark.parametrize("offset_ms", range(0, 150, 25))
    async def test_silence_at_any_moment(
        self, autojump_clock: trio.testing.MockClock, offset_ms: int
    ) -> None:
        async with beating() as peer:
            await trio.sleep(offset_ms / 1000.0)
            for _ in range(4):
                peer.silence()
                await trio.sleep(3.0)
            assert peer.longest_pause_s() < ELECTION_TIMEOUT_S
            assert len(peer.streams) == 5

    async def test_frozen_peer_gets_few_connections(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against load or a pause that turns into reconnects by the hundred."""
        async with beating() as peer:
            peer.freeze(8.0)
            await trio.sleep(12.0)
            assert len(peer.streams) <= 7
            assert trio.current_time() - peer.arrivals_s[-1] < 2 * BEAT_S


class TestLiveness:
    """Guards against a slow peer that is taken for a silent one."""

    def test_sound_connection_is_never_silent(self) -> None:
        liveness = Liveness(Patience())
        for now_ms in range(0, 100_000, 100):
            liveness.record_sent(100, now_ms)
            assert not liveness.is_silent(now_ms)
            if liveness.needs_probe(now_ms):
                liveness.record_probe(now_ms)
                liveness.record_received(now_ms + 5)

    def test_nothing_is_expected_at_rest(self) -> None:
        liveness = Liveness(Patience())
        liveness.record_sent(10, 0.0)
        liveness.record_received(1.0)
        assert liveness.check_at_ms(1e9) is None
        assert not liveness.is_silent(1e9)

    @pytest.mark.parametrize(("size_bytes", "slower_ms"), [(0, 0.0), (2_000_000, 2000.0)])
    def test_large_message_gets_time_to_arrive(self, size_bytes: int, slower_ms: float) -> None:
        liveness = Liveness(Patience())
        liveness.record_sent(size_bytes, 0.0)
        liveness.record_probe(PROBE_AFTER_MS)
        liveness.record_sent(9_000_000, 300.0)  # what follows the probe does not delay its answer
        assert not liveness.is_silent(SILENT_AFTER_MS + slower_ms - 1.0)
        assert liveness.is_silent(SILENT_AFTER_MS + slower_ms)

    def test_peer_that_answers_slowly_gets_more_time_for_a_while(self) -> None:
        patience = Patience()
        liveness = Liveness(patience)
        liveness.record_sent(1, 0.0)
        liveness.record_probe(250.0)
        assert liveness.record_received(650.0) == 400.0
        assert patience.limit_ms(650.0) == pytest.approx(1600.0)
        assert patience.limit_ms(650.0 + 60_000.0) == SILENT_AFTER_MS

    def test_several_silent_connections_in_a_row_get_more_time_up_to_a_limit(self) -> None:
        patience = Patience()
        limits_ms = []
        for _ in range(5):
            patience.record_silence()
            limits_ms.append(patience.limit_ms(0.0))
        assert limits_ms == [550.0, 1100.0, 2200.0, 2200.0, MAX_SILENT_AFTER_MS]
        patience.record_use()
        assert patience.limit_ms(0.0) == SILENT_AFTER_MS

    def test_time_in_which_the_own_process_stood_still_does_not_count(self) -> None:
        liveness = Liveness(Patience())
        liveness.record_sent(0, 0.0)
        liveness.record_probe(250.0)
        assert liveness.excuse(4000.0)
        assert not liveness.is_silent(4500.0)
        assert liveness.is_silent(4000.0 + SILENT_AFTER_MS)

    def test_process_that_is_always_late_decides_all_the_same(self) -> None:
        liveness = Liveness(Patience())
        liveness.record_sent(0, 0.0)
        assert [liveness.excuse(60.0) for _ in range(6)] == [True] * 4 + [False] * 2
