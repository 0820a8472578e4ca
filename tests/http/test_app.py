"""Check the HTTP application against faulty requests, over real sockets on loopback."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
import trio

from briardyke.addresses import Address, parse_address
from briardyke.errors import ErrorKind
from briardyke.http.app import (
    HttpApp,
    Request,
    Response,
    StreamResponse,
    error_response,
    json_response,
    serve_http,
)
from briardyke.http.client import CallError, HttpClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class _Handlers:
    def __init__(self) -> None:
        self.closed = trio.Event()
        self.started = trio.Event()

    async def echo(self, request: Request) -> Response:
        parsed = request.json_object()
        return error_response(parsed.err()) if parsed.is_err() else json_response(parsed.ok())

    async def fail(self, request: Request) -> Response:
        raise RuntimeError("defect")

    async def slow(self, request: Request) -> Response:
        self.started.set()
        await trio.sleep(0.3)
        return Response(200, b"done")

    async def endless(self, request: Request) -> StreamResponse:
        return StreamResponse(self._chunks())

    async def _chunks(self) -> AsyncIterator[bytes]:
        try:
            while True:
                yield b"x"
                await trio.sleep(0.01)
        finally:
            self.closed.set()


@asynccontextmanager
async def _serving() -> AsyncIterator[tuple[Address, _Handlers, trio.Event]]:
    handlers, stop = _Handlers(), trio.Event()
    app = HttpApp(body_limit_bytes=1000, body_timeout_s=0.2)
    app.route("POST", "/echo/{name}", handlers.echo)
    app.route("GET", "/fail", handlers.fail)
    app.route("GET", "/slow", handlers.slow)
    app.route("GET", "/endless", handlers.endless)
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(serve_http, app, Address("127.0.0.1", 0), stop, 5.0)
        yield parse_address(bound), handlers, stop
        stop.set()


async def _raw(address: Address, data: bytes) -> bytes:
    stream = await trio.open_tcp_stream(address.host, address.port)
    await stream.send_all(data)
    received = b""
    with trio.move_on_after(2):
        while b"\r\n\r\n" not in received or b"}}" not in received:
            chunk = await stream.receive_some()
            if not chunk:
                break
            received += chunk
    await stream.aclose()
    return received


class TestBadRequests:
    """Guards against faulty requests that reach a handler or get an answer without a kind."""

    @pytest.mark.parametrize(
        ("method", "path", "body", "kind"),
        [
            ("POST", "/echo/a", b"{", ErrorKind.MALFORMED_REQUEST),
            ("POST", "/echo/a", b"[1]", ErrorKind.MALFORMED_REQUEST),
            ("POST", "/echo/a", b"\xff", ErrorKind.MALFORMED_REQUEST),
            ("POST", "/echo/a", b"[" * 900, ErrorKind.MALFORMED_REQUEST),
            ("POST", "/echo/a", b"x" * 1001, ErrorKind.BODY_TOO_LARGE),
            ("GET", "/echo/a", b"", ErrorKind.METHOD_NOT_ALLOWED),
            ("GET", "/none", b"", ErrorKind.NOT_FOUND),
            ("GET", "/fail", b"", ErrorKind.INTERNAL),
        ],
    )
    async def test_answer_names_the_kind(
        self, method: str, path: str, body: bytes, kind: ErrorKind
    ) -> None:
        async with _serving() as (address, _, _):
            client = HttpClient()
            answer = (await client.call(method, address, path, body=body, timeout_ms=2000)).unwrap()
            error = json.loads(answer.body)["error"]
            assert error["kind"] == kind.value
            assert error["ran"] == ("unknown" if kind is ErrorKind.INTERNAL else "no")
            await client.aclose()

    @pytest.mark.parametrize(
        ("head", "kind"),
        [
            (b"content-length: 10\r\n\r\n{", b"body_timeout"),
            (b"transfer-encoding: chunked\r\n\r\n5\r\n{", b"body_timeout"),
            (b"content-length: 9999\r\n\r\n" + b"x" * 1001, b"body_too_large"),
        ],
    )
    async def test_incomplete_bodies_are_bounded_in_time_and_size(
        self, head: bytes, kind: bytes
    ) -> None:
        async with _serving() as (address, _, _):
            received = await _raw(address, b"POST /echo/a HTTP/1.1\r\nhost: x\r\n" + head)
            assert kind in received


class TestStreams:
    """Guards against work that goes on for a caller who has gone."""

    async def test_disconnect_closes_the_stream(self) -> None:
        async with _serving() as (address, handlers, _):
            client = HttpClient()
            async with client.open("GET", address, "/endless", timeout_ms=2000) as opened:
                async for _ in opened.chunks():
                    break
            with trio.fail_after(5):
                await handlers.closed.wait()
            await client.aclose()


class TestStop:
    """Guards against a planned stop that cuts off a request in flight."""

    async def test_request_in_flight_is_finished(self) -> None:
        async with _serving() as (address, handlers, stop), trio.open_nursery() as nursery:
            client = HttpClient()
            bodies: list[bytes] = []
            answered = trio.Event()

            async def call() -> None:
                answer = await client.call("GET", address, "/slow", timeout_ms=5000)
                bodies.append(answer.unwrap().body)
                answered.set()
                await client.aclose()

            nursery.start_soon(call)
            await handlers.started.wait()
            stop.set()
            with trio.fail_after(10):
                await answered.wait()
            assert bodies == [b"done"]


class TestClient:
    """Guards against reporting that nothing was sent when something may have been."""

    async def test_refused_connection_was_not_sent(self) -> None:
        async with _serving() as (address, _, _):
            pass
        client = HttpClient()
        failure = (await client.call("GET", address, "/slow", timeout_ms=500)).unwrap_err()
        assert failure.kind is ErrorKind.UPSTREAM_UNREACHABLE

    async def test_connection_lost_after_sending_has_an_unknown_outcome(self) -> None:
        async def close_after_request(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.aclose()

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, close_after_request, listeners)
            address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
            client = HttpClient()
            with pytest.raises(CallError) as caught:
                async with client.open("GET", address, "/", timeout_ms=500):
                    pass
            assert caught.value.failure.kind is ErrorKind.UPSTREAM_FAILED
            nursery.cancel_scope.cancel()
