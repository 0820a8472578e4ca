"""Tests for the HTTP server of the relay, against callers that misbehave."""

from __future__ import annotations

import os
import socket
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
import trio

import briardyke.http.h11_server
from briardyke.addresses import Address
from briardyke.http.exchange import Answer, CallerGoneError, HttpRequest
from briardyke.http.h11_server import H11Server, ServerLimits

Open = Callable[[], Awaitable[trio.SocketStream]]
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class Handler:
    """Answer with the body, or do what a test asks for."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.cancelled = 0
        self.mode = ""

    async def __call__(self, request: HttpRequest, answer: Answer) -> None:
        self.requests.append(request)
        if self.mode == "wait":
            try:
                await trio.sleep(60)
            finally:
                self.cancelled += 1
        if self.mode == "cut":
            await answer.start(200, [])
            await answer.send_part(b"half")
            return
        if self.mode == "bad header":
            await answer.send_whole(200, [(b"bad name", b"x")], b"ok")
        if self.mode == "bad start":
            await answer.start(200, [(b"content-length", b"2")])
            await answer.send_part(b"too long")
        if self.mode == "defect after start":
            await answer.start(200, [])
            raise KeyError("defect")
        if self.mode == "late part":
            await answer.start(200, [(b"content-length", b"2")])
            await answer.send_part(b"h")
            await answer.send_part(b"too long")
        if self.mode == "no answer":
            return
        if self.mode == "gone":
            async with trio.open_nursery():
                raise CallerGoneError("closed")
        if self.mode == "late defect":
            time.sleep(0.05)  # noqa: ASYNC251 the reset arrives before anybody can notice it
        if self.mode.endswith("defect"):
            raise KeyError("defect")
        await answer.send_whole(200, [], request.body or b"ok")


@pytest.fixture
def handler() -> Handler:
    return Handler()


@pytest.fixture
async def opened(handler: Handler) -> AsyncIterator[Open]:
    """Serve on a free port and return a function that connects."""
    server = H11Server(handler, lambda: ServerLimits(1000, 100, 200.0, 300.0))
    async with trio.open_nursery() as nursery:
        port = await nursery.start(server.serve, Address("127.0.0.1", 0))

        async def connect() -> trio.SocketStream:
            return await trio.open_tcp_stream("127.0.0.1", port)

        yield connect
        nursery.cancel_scope.cancel()


async def read_all(stream: trio.SocketStream) -> bytes:
    """Read until the server closes."""
    data = b""
    with trio.fail_after(3):
        while chunk := await stream.receive_some():
            data += chunk
    return data


class TestRequests:
    """Covers what callers may send."""

    async def test_requests_share_a_connection(self, opened: Open, handler: Handler) -> None:
        stream = await opened()
        await stream.send_all(GET + GET)
        assert (await read_all(stream)).count(b"200") == 2

    async def test_body_in_chunks_arrives_whole(self, opened: Open, handler: Handler) -> None:
        stream = await opened()
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        await stream.send_all(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assert b"abcde" in await read_all(stream)

    @pytest.mark.parametrize(
        ("sent", "status"),
        [
            (b"GET /x HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 3000 + b"\r\n\r\n", b"431"),
            (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n" + b"a" * 200, b"413"),
            (b"nonsense\r\n\r\n", b"400"),
            (b"GET /x HTTP/1.1\r\nHost: h\r\n", b"408"),
            (b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 2\r\n\r\na", b"400"),
        ],
    )
    async def test_bad_request_is_refused_and_closed(
        self, opened: Open, handler: Handler, sent: bytes, status: bytes
    ) -> None:
        stream = await opened()
        await stream.send_all(sent)
        assert (await read_all(stream)).split()[1] == status
        assert handler.requests == []


class TestEndings:
    """Covers callers that leave and answers that stay incomplete."""

    async def test_handler_ends_when_its_caller_goes(self, opened: Open, handler: Handler) -> None:
        handler.mode = "wait"
        stream = await opened()
        await stream.send_all(GET)
        await trio.sleep(0.05)
        await stream.aclose()
        with trio.fail_after(0.5):
            while not handler.cancelled:
                await trio.testing.wait_all_tasks_blocked(0.01)

    async def test_cut_answer_does_not_look_complete(self, opened: Open, handler: Handler) -> None:
        handler.mode = "cut"
        stream = await opened()
        await stream.send_all(GET)
        data = await read_all(stream)
        assert b"half" in data
        assert not data.endswith(b"0\r\n\r\n")

    @pytest.mark.parametrize("mode", ["bad header", "bad start", "defect after start", "no answer"])
    async def test_defect_before_the_first_byte_is_logged_and_answered(
        self, opened: Open, handler: Handler, monkeypatch: pytest.MonkeyPatch, mode: str
    ) -> None:
        logged: list[str] = []
        monkeypatch.setattr(
            briardyke.http.h11_server, "log_error", lambda name, **fields: logged.append(name)
        )
        handler.mode = mode
        stream = await opened()
        await stream.send_all(GET)
        data = await read_all(stream)
        assert data.split()[1:2] == [b"500"]
        assert data.endswith(b"\r\n\r\n")
        assert logged == ["request_handler_failed"]

    async def test_defect_within_an_answer_is_logged(
        self, opened: Open, handler: Handler, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        logged: list[str] = []
        monkeypatch.setattr(
            briardyke.http.h11_server, "log_error", lambda name, **fields: logged.append(name)
        )
        handler.mode = "late part"
        stream = await opened()
        await stream.send_all(GET)
        data = await read_all(stream)
        assert data.count(b"HTTP/1.1") == 1
        assert data.endswith(b"h")
        assert logged == ["request_handler_failed"]

    @pytest.mark.parametrize("mode", ["gone", "defect", "late defect"])
    async def test_failing_handler_leaves_the_server_up(
        self, opened: Open, handler: Handler, mode: str
    ) -> None:
        handler.mode = mode
        for _ in range(3):
            stream = await opened()
            await stream.send_all(GET)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await stream.aclose()
        await trio.sleep(0.3)
        handler.mode = ""
        stream = await opened()
        await stream.send_all(GET)
        assert b"200" in await read_all(stream)

    async def test_caller_that_resets_while_it_is_refused_leaves_the_server_up(
        self, opened: Open, handler: Handler
    ) -> None:
        for _ in range(3):
            stream = await opened()
            await stream.send_all(b"GET /x HTTP/1.1\r\nHost: h\r\n")
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await stream.aclose()
        await trio.sleep(0.4)
        stream = await opened()
        await stream.send_all(GET)
        assert b"200" in await read_all(stream)


class TestLargerHead:
    """Guards against refusals of heads that a newer configuration allows on a kept connection."""

    async def test_larger_head_is_accepted_on_a_resting_connection(self, handler: Handler) -> None:
        limits = ServerLimits(max_header_bytes=1000)
        server = H11Server(handler, lambda: limits)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve, Address("127.0.0.1", 0))
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(GET)
            assert b"200" in await stream.receive_some()
            limits = ServerLimits(max_header_bytes=8000)
            await stream.send_all(b"GET /x HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 4000)
            await trio.sleep(0.05)
            await stream.send_all(b"\r\n\r\n")
            with trio.fail_after(1.0):
                assert b"200" in await stream.receive_some()
            nursery.cancel_scope.cancel()


class TestIdleTimeout:
    """Covers kept connections whose rest ends."""

    async def test_longer_timeout_applies_to_resting_connections(self, handler: Handler) -> None:
        limits = ServerLimits(idle_timeout_ms=200.0)
        server = H11Server(handler, lambda: limits)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve, Address("127.0.0.1", 0))
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(GET)
            assert b"200" in await stream.receive_some()
            await trio.sleep(0.1)
            limits = ServerLimits(idle_timeout_ms=2000.0)
            await trio.sleep(0.4)
            await stream.send_all(GET)
            with trio.fail_after(1.0):
                assert b"200" in await stream.receive_some()
            nursery.cancel_scope.cancel()

    async def test_request_that_arrives_when_the_rest_ends_is_answered(
        self, handler: Handler
    ) -> None:
        calls = 0

        def limits() -> ServerLimits:
            nonlocal calls
            calls += 1
            if calls == calls_before_the_end + 1:
                os.write(stream.socket.fileno(), GET)
            return ServerLimits(idle_timeout_ms=200.0)

        calls_before_the_end = 1000
        server = H11Server(handler, limits)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve, Address("127.0.0.1", 0))
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(GET)
            assert b"200" in await stream.receive_some()
            await trio.testing.wait_all_tasks_blocked(0.01)
            calls_before_the_end = calls
            with trio.fail_after(1.0):
                assert b"200" in await stream.receive_some()
            nursery.cancel_scope.cancel()


class TestStop:
    """Covers requests that meet a planned stop."""

    @pytest.fixture
    async def stopping(self, handler: Handler) -> AsyncIterator[tuple[H11Server, Open]]:
        server = H11Server(handler)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve, Address("127.0.0.1", 0))

            async def connect() -> trio.SocketStream:
                return await trio.open_tcp_stream("127.0.0.1", port)

            yield server, connect
            nursery.cancel_scope.cancel()

    async def test_request_that_has_just_arrived_on_a_kept_connection_is_answered(
        self, stopping: tuple[H11Server, Open]
    ) -> None:
        server, connect = stopping
        stream = await connect()
        await stream.send_all(GET)
        assert b"200" in await stream.receive_some()
        await trio.testing.wait_all_tasks_blocked(0.05)
        os.write(stream.socket.fileno(), GET)  # arrives before the server's task can run
        server.close_idle()
        data = await read_all(stream)
        assert b"200" in data
        assert b"connection: close" in data.lower()

    async def test_caller_that_connects_while_the_server_closes_is_answered(
        self, stopping: tuple[H11Server, Open]
    ) -> None:
        server, connect = stopping
        server.close_idle()
        stream = await connect()
        await stream.send_all(GET)
        assert b"200" in await read_all(stream)

    async def test_resting_connections_close_soon(self, stopping: tuple[H11Server, Open]) -> None:
        server, connect = stopping
        stream = await connect()
        await stream.send_all(GET)
        assert b"200" in await stream.receive_some()
        server.close_idle()
        with trio.fail_after(1.0):
            await server.wait_closed()
        assert await read_all(stream) == b""

    async def test_end_waits_for_a_request_that_is_still_being_read(
        self, stopping: tuple[H11Server, Open], handler: Handler
    ) -> None:
        server, connect = stopping
        stream = await connect()
        await stream.send_all(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
        await trio.sleep(0.05)
        server.close_idle()
        server.stop_accepting()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.wait_closed)
            await trio.sleep(0.05)
            assert server.connections == 1
            await stream.send_all(b"cd")
            assert b"abcd" in await read_all(stream)
        with pytest.raises(OSError):
            await connect()
