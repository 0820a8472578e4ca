"""Test connections between processes that go silent for good, without a reset."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import attrs
import pytest
import trio

from briardyke.addresses import Address
from briardyke.errors import ErrorKind
from briardyke.standins.silent_proxy import SilentProxy
from briardyke.wire import client as client_module
from briardyke.wire import connection as connection_module
from briardyke.wire.client import PeerClient
from briardyke.wire.connection import PROTOCOL_VERSION, Hello, serve_peers
from briardyke.wire.liveness import SILENT_AFTER_MS
from briardyke.wire.messages import ClaimReply, ClaimRequest
from briardyke.wire.pool import PeerPool
from briardyke.wire.statistics import STATISTICS

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Shortest election timeout, within which a member has to hear its leader on a new connection.
ELECTION_TIMEOUT_S = 1.0
# A heartbeat of a leader, sent every 150 ms.
HEARTBEAT_S = 0.15


def request(name: str) -> ClaimRequest:
    return ClaimRequest(1, "caller", "digest", name)


@attrs.define
class Peer:
    """A peer behind a proxy, and a client of it."""

    proxy: SilentProxy
    client: PeerClient
    received: list[tuple[float, str]] = attrs.field(factory=list)
    received_one: trio.Event = attrs.field(factory=trio.Event)

    async def handle(self, peer_id: str, message: Any) -> Any:
        """Answer after the time that the name of the message says, in milliseconds."""
        self.received.append((trio.current_time(), message.attempt_id))
        self.received_one.set()
        if message.attempt_id.isdigit():
            await trio.sleep(int(message.attempt_id) / 1000.0)
        return ClaimReply("granted", message.attempt_id.encode())

    async def beat(self) -> None:
        """Send one-way messages as a leader does."""
        while True:
            self.client.send(request("beat"))
            await trio.sleep(HEARTBEAT_S)

    def longest_pause_s(self) -> float:
        """Return the longest time between two received messages."""
        times = [at for at, _ in self.received]
        return max(b - a for a, b in zip(times, times[1:], strict=False))


@asynccontextmanager
async def connected() -> AsyncIterator[Peer]:
    """Yield a peer with an open connection through a proxy."""
    hello = Hello(PROTOCOL_VERSION, "cluster", "me")
    async with trio.open_nursery() as nursery:
        peer: Peer

        async def handle(peer_id: str, message: Any) -> Any:
            return await peer.handle(peer_id, message)

        port = await nursery.start(serve_peers, Address("127.0.0.1", 0), hello, handle)
        proxy = SilentProxy(Address("127.0.0.1", port))
        client = PeerClient(await nursery.start(proxy.serve), hello)
        nursery.start_soon(client.run)
        peer = Peer(proxy, client)
        assert (await client.call(request("first"), 2000)).is_ok()
        yield peer
        nursery.cancel_scope.cancel()


class TestSilentConnection:
    """Guards against a connection that is used for as long as its process runs, though nothing
    passes any more: an entry instance then kept an old configuration to the end of the day."""

    @pytest.mark.parametrize(
        "lost", [{}, {"to_peer": False}, {"to_caller": False}], ids=["both", "caller", "peer"]
    )
    async def test_next_calls_use_a_new_connection(self, lost: dict[str, bool]) -> None:
        async with connected() as peer:
            peer.proxy.silence(**lost)
            failed = await peer.client.call(request("lost"), 2000)
            assert failed.unwrap_err().kind is ErrorKind.PEER_SILENT
            assert (await peer.client.call(request("next"), 500)).is_ok()

    async def test_repeatable_call_is_answered_on_a_new_connection(self) -> None:
        async with connected() as peer:
            started_s = trio.current_time()
            peer.proxy.silence()
            reply = await peer.client.call(request("again"), 1000, is_repeatable=True)
            assert reply.unwrap().response == b"again"
            assert trio.current_time() - started_s < SILENT_AFTER_MS / 1000.0 + 0.3

    async def test_one_way_messages_arrive_again_within_an_election_timeout(self) -> None:
        """Guards against a member that its leader cannot reach, or a group without a leader."""
        async with connected() as peer, trio.open_nursery() as nursery:
            nursery.start_soon(peer.beat)
            for _ in range(3):
                await trio.sleep(1.0)
                peer.proxy.silence()
            await trio.sleep(1.5)
            nursery.cancel_scope.cancel()
        assert peer.longest_pause_s() < ELECTION_TIMEOUT_S
        assert peer.proxy.accepted == 4

    async def test_connection_that_is_silent_from_its_opening_on(self) -> None:
        """Guards against waiting for a handshake for as long as a change may take."""
        async with connected() as peer:
            peer.proxy.silences_new = True
            peer.proxy.silence()
            assert (await peer.client.call(request("lost"), 3000)).is_err()
            opened = trio.current_time()
            failed = await peer.client.call(request("refused"), 3000)
            assert failed.unwrap_err().kind is ErrorKind.PEER_UNREACHABLE
            assert trio.current_time() - opened < 2.0
            peer.proxy.silences_new = False
            assert (await peer.client.call(request("next"), 1000)).is_ok()

    async def test_all_connections_of_a_process_are_looked_at_once_one_is_silent(self) -> None:
        hello = Hello(PROTOCOL_VERSION, "cluster", "me")

        async def handle(peer_id: str, message: Any) -> Any:
            return ClaimReply("granted", b"")

        async with trio.open_nursery() as nursery:
            port = await nursery.start(serve_peers, Address("127.0.0.1", 0), hello, handle)
            proxies = [SilentProxy(Address("127.0.0.1", port)) for _ in range(5)]
            addresses = [await nursery.start(proxy.serve) for proxy in proxies]
            pool = PeerPool(nursery, hello)
            for address in addresses:
                assert (await pool.client(address).call(request("x"), 1000)).is_ok()
            for proxy in proxies:
                proxy.silence()
            assert (await pool.client(addresses[0]).call(request("x"), 2000)).is_err()
            await trio.sleep(SILENT_AFTER_MS / 1000.0 + 0.2)
            for address in addresses[1:]:
                assert (await pool.client(address).call(request("x"), 200)).is_ok()
            nursery.cancel_scope.cancel()

    async def test_server_forgets_a_caller_that_has_gone_silent(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against tasks, memory and descriptors kept for callers that are gone."""
        monkeypatch.setattr(connection_module, "SERVER_IDLE_TIMEOUT_S", 0.5)
        before = STATISTICS.ended_connections["caller_silent"]
        async with connected() as peer:
            peer.proxy.silence()
            await trio.sleep(1.0)
            assert STATISTICS.ended_connections["caller_silent"] == before + 1

    async def test_client_closes_a_connection_that_rests_and_opens_another(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(client_module, "CLIENT_IDLE_TIMEOUT_S", 0.2)
        async with connected() as peer:
            slow = await peer.client.call(request("600"), 2000)  # a call that waits is no rest
            assert slow.is_ok()
            await trio.sleep(0.6)
            assert peer.proxy.open == 0
            assert (await peer.client.call(request("next"), 1000)).is_ok()


class TestSlowPeer:
    """Guards against load that turns into reconnects."""

    async def test_slow_handler_keeps_its_connection(self) -> None:
        async with connected() as peer:
            assert (await peer.client.call(request("1500"), 3000)).is_ok()
            timed_out = await peer.client.call(request("900"), 300)
            assert timed_out.unwrap_err().kind is ErrorKind.PEER_TIMEOUT
            await trio.sleep(1.0)
            assert (await peer.client.call(request("next"), 500)).is_ok()
            assert peer.proxy.accepted == 1

    async def test_late_reply_of_a_replaced_connection_belongs_to_nobody(self) -> None:
        async with connected() as peer:
            peer.proxy.silence(to_peer=False)
            lost = await peer.client.call(request("lost"), 2000)
            assert lost.unwrap_err().kind is ErrorKind.PEER_SILENT
            reply = await peer.client.call(request("next"), 1000)
            assert reply.unwrap().response == b"next"
