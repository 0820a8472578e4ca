"""Check calls between processes and the handling of faulty peers."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import pytest
import trio

from briardyke.addresses import Address
from briardyke.errors import ErrorKind, Failure
from briardyke.wire import codec
from briardyke.wire.client import MAX_QUEUED_BYTES, PeerClient
from briardyke.wire.connection import (
    PROTOCOL_VERSION,
    Handler,
    Hello,
    Refused,
    refusal,
    serve_peers,
)
from briardyke.wire.messages import ClaimReply, ClaimRequest
from briardyke.wire.statistics import STATISTICS

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_HELLO = Hello(PROTOCOL_VERSION, "cluster", "server")
_REQUEST = ClaimRequest(7, "caller", "digest", "att-1")


async def _handler(peer_id: str, message: Any) -> Any:
    if message.attempt_id == "hang":
        await trio.sleep_forever()
    if message.attempt_id == "refuse":
        return refusal(Failure(ErrorKind.NOT_LEADER, "not here", "127.0.0.1:9"))
    return ClaimReply("granted", peer_id.encode())


@asynccontextmanager
async def _server(handler: Handler = _handler) -> AsyncIterator[Address]:
    async with trio.open_nursery() as nursery:
        port = await nursery.start(serve_peers, Address("127.0.0.1", 0), _HELLO, handler)
        yield Address("127.0.0.1", port)
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def _client(address: Address, hello: Hello) -> AsyncIterator[PeerClient]:
    async with trio.open_nursery() as nursery:
        client = PeerClient(address, hello)
        nursery.start_soon(client.run)
        yield client
        nursery.cancel_scope.cancel()


class TestCalls:
    """Guards against lost or hanging replies and replies to another call."""

    async def test_concurrent_calls_get_their_own_replies(self) -> None:
        async with _server() as address, _client(address, Hello(1, "cluster", "me")) as client:
            results: list[str] = []

            async def call(attempt_id: str) -> None:
                message = ClaimRequest(1, "c", "d", attempt_id)
                result = await client.call(message, 300)
                results.append(f"{attempt_id}:{result.map_or(None, lambda r: r.state)}")

            async with trio.open_nursery() as nursery:
                for attempt_id in ("hang", "a", "refuse", "b"):
                    nursery.start_soon(call, attempt_id)
            assert sorted(results) == ["a:granted", "b:granted", "hang:None", "refuse:None"]

    @pytest.mark.parametrize(
        ("attempt_id", "kind"),
        [("hang", ErrorKind.PEER_TIMEOUT), ("refuse", ErrorKind.NOT_LEADER)],
    )
    async def test_failures_keep_their_kind(self, attempt_id: str, kind: ErrorKind) -> None:
        async with _server() as address, _client(address, Hello(1, "cluster", "me")) as client:
            result = await client.call(ClaimRequest(1, "c", "d", attempt_id), 200)
            assert result.unwrap_err().kind is kind

    async def test_unreachable_peer_is_reported_as_not_sent(self) -> None:
        async with _server() as address:
            pass
        async with _client(address, Hello(1, "cluster", "me")) as client:
            result = await client.call(_REQUEST, 2000)
            assert result.unwrap_err().kind is ErrorKind.PEER_UNREACHABLE

    async def test_client_reconnects_after_the_peer_restarts(self) -> None:
        async with _server() as address:
            port = address.port
        async with _client(address, Hello(1, "cluster", "me")) as client:
            assert (await client.call(_REQUEST, 500)).is_err()
            async with trio.open_nursery() as nursery:
                await nursery.start(serve_peers, Address("127.0.0.1", port), _HELLO, _handler)
                assert (await client.call(_REQUEST, 2000)).is_ok()
                nursery.cancel_scope.cancel()


class TestFaultyPeers:
    """Guards against a faulty peer that ends the process or gets its messages handled."""

    @pytest.mark.parametrize(
        ("hello", "field"),
        [
            (Hello(PROTOCOL_VERSION + 1, "cluster", "me"), "protocol_version"),
            (Hello(PROTOCOL_VERSION, "other", "me"), "cluster_id"),
        ],
    )
    async def test_mismatched_hello_is_refused_with_its_field(
        self, hello: Hello, field: str
    ) -> None:
        async with _server() as address, _client(address, hello) as client:
            failure = (await client.call(_REQUEST, 1000)).unwrap_err()
            assert (failure.kind, failure.field) == (ErrorKind.PROTOCOL_MISMATCH, field)

    @pytest.mark.parametrize(
        "data",
        [
            b"GET / HTTP/1.1\r\n\r\n",
            b"\xff\xff\xff\xff",
            b"\x00\x00\x00\x03abc",
            b"\x00\x00\x00\x01\xc0",
            b"",
        ],
    )
    async def test_invalid_bytes_close_only_their_own_connection(self, data: bytes) -> None:
        async with _server() as address:
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.send_all(data)
            await stream.send_eof()
            with trio.fail_after(5):
                try:
                    while await stream.receive_some():
                        pass
                except trio.BrokenResourceError:
                    pass  # a reset closes the connection as well
            async with _client(address, Hello(1, "cluster", "me")) as client:
                assert (await client.call(_REQUEST, 1000)).is_ok()


class TestDefects:
    """Guards against a defect in the handling of one message that ends the process of the peer."""

    async def test_defect_met_by_one_message_is_refused_and_the_connection_goes_on(self) -> None:
        """Guards against a leader that ends because a request names a service that has gone."""

        async def handler(peer_id: str, message: Any) -> Any:
            if message.attempt_id == "defect":
                raise KeyError("pool")
            return await _handler(peer_id, message)

        before = STATISTICS.failed_messages["ClaimRequest"]
        async with _server(handler) as address, _client(address, Hello(1, "cluster", "me")) as c:
            for _ in range(3):
                failed = await c.call(ClaimRequest(1, "c", "d", "defect"), 1000)
                assert failed.unwrap_err().kind is ErrorKind.INTERNAL
                assert (await c.call(_REQUEST, 1000)).is_ok()
        assert STATISTICS.failed_messages["ClaimRequest"] == before + 3

    async def test_defect_met_by_a_one_way_message_does_not_end_the_server(self) -> None:
        async def handler(peer_id: str, message: Any) -> Any:
            if message.attempt_id == "defect":
                raise ExceptionGroup("several", [KeyError("pool")])
            return await _handler(peer_id, message)

        async with _server(handler) as address, _client(address, Hello(1, "cluster", "me")) as c:
            c.send(ClaimRequest(1, "c", "d", "defect"))
            assert (await c.call(_REQUEST, 1000)).is_ok()


class TestCodec:
    """Guards against messages that change in transit, and against decoding errors that escape."""

    @pytest.mark.parametrize("value", [_REQUEST, ClaimReply("completed", b"\x00\xff"), _HELLO])
    def test_messages_survive_the_round_trip(self, value: Any) -> None:
        assert codec.decode(codec.encode(value)).unwrap() == value

    @pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01\x02\x03", b"\x92\xa1x\x80"])
    def test_faulty_bytes_are_a_protocol_violation(self, data: bytes) -> None:
        assert codec.decode(data).unwrap_err().kind is ErrorKind.PROTOCOL_VIOLATION

    def test_refusal_carries_kind_and_field(self) -> None:
        failure = Failure(ErrorKind.FENCED, "old", "token")
        assert codec.decode(codec.encode(refusal(failure))).unwrap() == Refused(
            "fenced", "old", "token"
        )


class TestUnreachablePeer:
    """Guards against queued messages that use unbounded memory or are sent once out of date."""

    async def test_large_messages_are_dropped_beyond_a_bound(self) -> None:
        client = PeerClient(Address("127.0.0.1", 1), Hello(1, "cluster", "me"))
        large = ClaimReply("granted", b"x" * 500_000)
        for _ in range(100):
            client.send(large)
        waiting = client._receive_queue.statistics().current_buffer_used
        assert waiting * 500_000 <= MAX_QUEUED_BYTES

    async def test_message_larger_than_the_bound_is_queued_when_alone(self) -> None:
        client = PeerClient(Address("127.0.0.1", 1), Hello(1, "cluster", "me"))
        client.send(ClaimReply("granted", b"x" * (MAX_QUEUED_BYTES + 1)))
        assert client._receive_queue.statistics().current_buffer_used == 1

    async def test_messages_queued_during_a_failed_connection_are_dropped(self) -> None:
        received = []

        async def handler(peer_id: str, message: Any) -> Any:
            received.append(message.attempt_id)
            return ClaimReply("granted", b"")

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
        await listeners[0].aclose()
        async with _client(address, Hello(1, "cluster", "me")) as client:
            for number in range(5):
                client.send(ClaimRequest(7, "caller", "digest", f"old-{number}"))
            refused = await client.call(ClaimRequest(7, "caller", "digest", "first"), 2000)
            assert refused.unwrap_err().kind is ErrorKind.PEER_UNREACHABLE
            async with trio.open_nursery() as nursery:
                await nursery.start(serve_peers, address, _HELLO, handler)
                assert (
                    await client.call(ClaimRequest(7, "caller", "digest", "second"), 2000)
                ).is_ok()
                nursery.cancel_scope.cancel()
        assert received == ["second"]
