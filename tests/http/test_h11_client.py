"""Tests for connections to upstreams that misbehave."""

from __future__ import annotations

import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial

import pytest
import trio

from briardyke.addresses import Address
from briardyke.http.exchange import Headers, header
from briardyke.http.h11_client import (
    ConnectionPool,
    Fault,
    UpstreamConnection,
    UpstreamError,
    UpstreamHead,
)

OWN = b"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 3\r\n\r\nown"
LATE = b"HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: 4\r\n\r\nlate"
_CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
OWN_IN_CHUNKS = _CHUNKED_HEAD % b"r-1" + b"1\r\no\r\n1\r\nw\r\n1\r\nn\r\n0\r\n\r\n"
LATE_IN_CHUNKS = _CHUNKED_HEAD % b"r-0" + b"1\r\nl\r\n3\r\nate\r\n0\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
Script = Callable[[trio.SocketStream], Awaitable[None]]


class Upstream:
    """Run a script on each connection after the first bytes of a request."""

    def __init__(self) -> None:
        self.script: Script = self.answer(OWN)
        self.connections = 0
        self.received = b""

    @staticmethod
    def answer(*parts: bytes, reset: bool = False, hold: bool = False) -> Script:
        """Return a script that sends parts and then closes, resets or waits."""

        async def run(stream: trio.SocketStream) -> None:
            for part in parts:
                await stream.send_all(part)
                await trio.sleep(0.01)
            if hold:
                await trio.sleep(60)
            if reset:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

        return run

    async def serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        async with stream:
            self.received += await stream.receive_some()
            await self.script(stream)


@pytest.fixture
def upstream() -> Upstream:
    return Upstream()


@pytest.fixture
async def pool(upstream: Upstream) -> AsyncIterator[ConnectionPool]:
    """Return a pool of connections to the upstream."""
    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, upstream.serve, 0, host="127.0.0.1")
        listeners = await nursery.start(serve)
        port = listeners[0].socket.getsockname()[1]
        found = ConnectionPool(Address("127.0.0.1", port))
        yield found
        await found.aclose()
        nursery.cancel_scope.cancel()


def is_own(headers: Headers) -> bool:
    return header(headers, b"request-id") in (None, b"r-1")


async def exchange(
    pool: ConnectionPool, body: bytes = b""
) -> tuple[UpstreamHead, bytes, UpstreamConnection]:
    """Send one request and read its whole answer."""
    connection = await pool.take(5000.0)
    headers = [(b"host", b"u"), (b"content-length", b"%d" % len(body))]
    async with trio.open_nursery() as nursery:
        await connection.send("POST", "/x", headers, body, nursery)
        head = await connection.read_head(is_own)
        return head, await connection.read_body(1 << 20), connection


async def failure(pool: ConnectionPool) -> Fault:
    """Return how an exchange fails."""
    with pytest.raises(ExceptionGroup) as caught:
        await exchange(pool)
    error = caught.value.exceptions[0]
    assert isinstance(error, UpstreamError)
    return error.fault


class TestAnswers:
    """Covers whole, late, doubled, cut and unframed answers."""

    async def test_whole_answer_keeps_the_connection(
        self, upstream: Upstream, pool: ConnectionPool
    ) -> None:
        upstream.script = upstream.answer(OWN, hold=True)
        head, body, connection = await exchange(pool)
        assert (head.status, body) == (200, b"own")
        assert connection.finish(head)

    @pytest.mark.parametrize("parts", [(LATE, OWN), (LATE + OWN,), (LATE + OWN[:20], OWN[20:])])
    async def test_late_answer_to_another_request_is_passed_over(
        self, upstream: Upstream, pool: ConnectionPool, parts: tuple[bytes, ...]
    ) -> None:
        upstream.script = upstream.answer(*parts, hold=True)
        _, body, _ = await exchange(pool)
        assert body == b"own"

    @pytest.mark.parametrize("position", range(1, len(LATE_IN_CHUNKS + OWN_IN_CHUNKS), 3))
    async def test_answers_in_small_chunks_are_whole_wherever_they_are_divided(
        self, upstream: Upstream, pool: ConnectionPool, position: int
    ) -> None:
        """Guards against chunks that are joined across the border of two answers."""
        data = LATE_IN_CHUNKS + OWN_IN_CHUNKS
        upstream.script = upstream.answer(data[:position], data[position:], hold=True)
        head, body, connection = await exchange(pool)
        assert body == b"own"
        assert connection.finish(head)

    async def test_answer_without_a_body_may_name_chunks(
        self, upstream: Upstream, pool: ConnectionPool
    ) -> None:
        head = (_CHUNKED_HEAD % b"r-1").replace(b"200 OK", b"304 Not Modified")
        upstream.script = upstream.answer(head, hold=True)
        found, body, connection = await exchange(pool)
        assert (found.status, body) == (304, b"")
        assert connection.finish(found)

    async def test_bytes_after_the_answer_end_the_connection(
        self, upstream: Upstream, pool: ConnectionPool
    ) -> None:
        upstream.script = upstream.answer(OWN + LATE, hold=True)
        head, _, connection = await exchange(pool)
        assert not connection.finish(head)

    async def test_bytes_that_come_later_make_a_kept_connection_unusable(
        self, upstream: Upstream, pool: ConnectionPool
    ) -> None:
        upstream.script = upstream.answer(OWN, LATE, hold=True)
        head, _, connection = await exchange(pool)
        assert connection.finish(head)
        pool.give_back(connection)
        await trio.sleep(0.05)
        assert await pool.take(5000.0) is not connection

    async def test_unframed_answer_is_whole_at_a_proper_close(
        self, upstream: Upstream, pool: ConnectionPool
    ) -> None:
        upstream.script = upstream.answer(b"HTTP/1.1 200 OK\r\n\r\n", b"all")
        head, body, connection = await exchange(pool)
        assert body == b"all"
        assert not connection.finish(head)

    @pytest.mark.parametrize(
        ("parts", "reset", "fault"),
        [
            ((b"HTTP/1.1 200 OK\r\n\r\n", b"part"), True, Fault.BROKEN),
            ((OWN[:-1],), False, Fault.MALFORMED),
            ((OWN[:30],), False, Fault.MALFORMED),
            ((), False, Fault.MALFORMED),
            ((), True, Fault.BROKEN),
            ((b"garbage\r\n\r\n",), False, Fault.MALFORMED),
            (
                (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",),
                False,
                Fault.MALFORMED,
            ),
        ],
    )
    async def test_incomplete_answer_is_a_failure(
        self,
        upstream: Upstream,
        pool: ConnectionPool,
        parts: tuple[bytes, ...],
        reset: bool,
        fault: Fault,
    ) -> None:
        upstream.script = upstream.answer(*parts, reset=reset)
        assert await failure(pool) in (fault, Fault.BROKEN)

    async def test_answer_before_a_long_body_is_sent_ends_the_connection(
        self, upstream: Upstream, pool: ConnectionPool
    ) -> None:
        upstream.script = upstream.answer(OWN, hold=True)
        connection = await pool.take(5000.0)
        body = b"x" * 8_000_000
        headers = [(b"host", b"u"), (b"content-length", b"%d" % len(body))]
        async with trio.open_nursery() as nursery:
            await connection.send("POST", "/x", headers, body, nursery)
            head = await connection.read_head(is_own)
            assert await connection.read_body(100) == b"own"
            assert not connection.finish(head)
            nursery.cancel_scope.cancel()

    async def test_reset_that_the_writing_side_meets_first_is_no_proper_close(
        self, upstream: Upstream, pool: ConnectionPool
    ) -> None:
        upstream.script = upstream.answer(b"HTTP/1.1 200 OK\r\n\r\n", b"part", reset=True)
        connection = await pool.take(5000.0)
        body = b"x" * 8_000_000
        headers = [(b"host", b"u"), (b"content-length", b"%d" % len(body))]
        async with trio.open_nursery() as nursery:
            await connection.send("POST", "/x", headers, body, nursery)
            await connection.read_head(is_own)
            await trio.sleep(0.2)  # the reset ends the writing
            with pytest.raises(UpstreamError):
                await connection.read_body(100)
            nursery.cancel_scope.cancel()


class TestPool:
    """Covers connections that cannot be opened or have rested too long."""

    async def test_closed_port_proves_that_nothing_was_sent(self) -> None:
        with pytest.raises(UpstreamError) as caught:
            await ConnectionPool(Address("127.0.0.1", 1)).take(1000.0)
        assert caught.value.fault is Fault.NOT_CONNECTED

    async def test_connection_that_the_upstream_closed_is_not_used(
        self, upstream: Upstream, pool: ConnectionPool
    ) -> None:
        upstream.script = upstream.answer(OWN)
        head, _, connection = await exchange(pool)
        assert connection.finish(head)
        pool.give_back(connection)
        await trio.sleep(0.05)
        await exchange(pool)
        assert upstream.connections == 2

    @pytest.mark.parametrize(("timeout", "kept"), [(b"5", True), (b"0", False)])
    async def test_announced_rest_is_honoured(
        self, upstream: Upstream, pool: ConnectionPool, timeout: bytes, kept: bool
    ) -> None:
        answer = OWN.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=" + timeout + b"\r\n\r\n")
        upstream.script = upstream.answer(answer, hold=True)
        head, _, connection = await exchange(pool)
        assert connection.finish(head) is kept

    async def test_sweep_beside_requests_that_take_connections(
        self, upstream: Upstream, pool: ConnectionPool
    ) -> None:
        upstream.script = upstream.answer(OWN, hold=True)
        kept = []
        for _ in range(3):
            head, _, connection = await exchange(pool)
            assert connection.finish(head)
            connection.idle_since_ms -= 60_000.0
            kept.append(connection)
        for connection in kept:
            pool.give_back(connection)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(pool.sweep)
            nursery.start_soon(exchange, pool)
            nursery.start_soon(pool.sweep)
        assert upstream.connections == 4

    async def test_connection_on_which_a_request_was_refused_is_kept_for_others(
        self, upstream: Upstream, pool: ConnectionPool
    ) -> None:
        upstream.script = upstream.answer(OWN, hold=True)
        head, _, connection = await exchange(pool)
        connection.record_refusal("r-1")
        assert connection.finish(head)
        pool.give_back(connection)
        assert await pool.take(5000.0, "r-1") is not connection
        assert await pool.take(5000.0, "r-2") is connection

    async def test_connection_remembers_a_limited_number_of_refusals(
        self, upstream: Upstream, pool: ConnectionPool
    ) -> None:
        upstream.script = upstream.answer(OWN, hold=True)
        head, _, connection = await exchange(pool)
        for number in range(1000):
            connection.record_refusal(f"r-{number}")
        assert not connection.finish(head)
