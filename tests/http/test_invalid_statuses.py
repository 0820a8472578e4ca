"""Test responses with a status that does not exist on the product's own HTTP client."""

from __future__ import annotations

import pytest
import trio

from briardyke.addresses import Address
from briardyke.errors import ErrorKind
from briardyke.http.client import HttpClient


class TestStatusesThatDoNotExist:
    """Guards against callers that get the status 000 of an upstream in trouble as an answer."""

    @pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
    async def test_call_fails(self, status: bytes) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some(65536)
            await stream.send_all(b"HTTP/1.1 " + status + b" Odd\r\nContent-Length: 2\r\n\r\nok")

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
            called = await HttpClient().call("GET", address, "/", timeout_ms=1000)
            nursery.cancel_scope.cancel()
        assert called.unwrap_err().kind is ErrorKind.UPSTREAM_FAILED
