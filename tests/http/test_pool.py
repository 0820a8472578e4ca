"""Reuse of connections by the HTTP client."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from briardyke.addresses import Address
from briardyke.errors import ErrorKind
from briardyke.http import client as client_module
from briardyke.http.client import HttpClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import pytest

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class _Server:
    """Count connections; answer each request, then close after a number of them."""

    def __init__(self, requests_per_connection: int = 1000) -> None:
        self.connections = 0
        self.closed = 0
        self.received = trio.Event()
        self.answers = trio.Event()
        self.answers.set()
        self._requests = requests_per_connection

    async def serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        try:
            for _ in range(self._requests):
                if not await stream.receive_some(65536):
                    break
                self.received.set()
                await self.answers.wait()
                await stream.send_all(ANSWER)
        except trio.BrokenResourceError:
            pass
        finally:
            await stream.aclose()
            self.closed += 1


@asynccontextmanager
async def _served(server: _Server) -> AsyncIterator[tuple[HttpClient, Address]]:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    client = HttpClient()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, server.serve, listeners)
        yield client, Address("127.0.0.1", listeners[0].socket.getsockname()[1])
        await client.aclose()
        nursery.cancel_scope.cancel()


async def _get(client: HttpClient, address: Address) -> bytes:
    return (await client.call("GET", address, "/", timeout_ms=3000)).unwrap().body


class TestReuse:
    async def test_free_connection_is_reused(self) -> None:
        """Guards against a connection for each request."""
        server = _Server()
        async with _served(server) as at:
            for _ in range(5):
                assert await _get(*at) == b"ok"
        assert server.connections == 1

    async def test_connection_that_the_server_closed_is_not_used(self) -> None:
        """Guards against a needless "unknown" after the server's keep-alive time."""
        server = _Server(requests_per_connection=1)
        async with _served(server) as at:
            for number in range(1, 4):
                assert await _get(*at) == b"ok"
                while server.closed < number:  # noqa: ASYNC110
                    await trio.sleep(0.001)
        assert server.connections == 3

    async def test_cancelled_request_does_not_leave_its_response_to_the_next(self) -> None:
        """Guards against a response of another request on a reused connection (P3)."""
        server = _Server()
        async with _served(server) as at:
            server.answers = trio.Event()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_get, *at)
                await server.received.wait()
                nursery.cancel_scope.cancel()
            server.answers.set()
            assert await _get(*at) == b"ok"
        assert server.connections == 2

    async def test_requests_beyond_the_limit_are_not_sent(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against connections without bound, and against "unknown" for unsent requests."""
        monkeypatch.setattr(client_module, "_MAX_CONNECTIONS", 1)
        server = _Server()
        async with _served(server) as (client, address):
            server.answers = trio.Event()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_get, client, address)
                await server.received.wait()
                called = await client.call("GET", address, "/", timeout_ms=20)
                assert called.unwrap_err().kind is ErrorKind.UPSTREAM_UNREACHABLE
                server.answers.set()
            assert await _get(client, address) == b"ok"
        assert server.connections == 1
