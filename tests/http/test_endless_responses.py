"""Test responses without an end on the product's own HTTP client."""

from __future__ import annotations

import tracemalloc
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
import trio

from briardyke.addresses import Address
from briardyke.errors import ErrorKind
from briardyke.http.client import HttpClient
from briardyke.http.sse import MAX_EVENT_BYTES, EventParser, EventTooLongError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CALLS = 50
# A chunk takes some tens of microseconds in httpcore, so this is a few milliseconds.
CHUNKS_BOUND = 200
# Four responses of the largest size, and as much again for copies.
MEMORY_BOUND_BYTES = 128 * 1024 * 1024
OK = b"HTTP/1.1 200 OK\r\n"
ENDLESS = {
    "head": (OK + b"X: ", b"y" * 65536),
    "interim": (b"", b"HTTP/1.1 103 Early\r\n\r\n" * 500),
    "body": (OK + b"Content-Length: 1000000000000\r\n\r\n", b"w" * 65536),
    "chunk-header": (OK + b"Transfer-Encoding: chunked\r\n\r\n5;", b"w" * 65536),
}
SMALL_CHUNKS = (OK + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 8192)


@asynccontextmanager
async def server(start: bytes, repeated: bytes) -> AsyncIterator[Address]:
    """Yield the address of a server whose responses have no end."""

    async def serve(stream: trio.SocketStream) -> None:
        try:
            await stream.receive_some(65536)
            await stream.send_all(start)
            while True:
                await stream.send_all(repeated)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield Address("127.0.0.1", listeners[0].socket.getsockname()[1])
        nursery.cancel_scope.cancel()


class TestEndlessResponses:
    """Guards against a process that keeps all of what an upstream sends, or reads it for ever."""

    @pytest.mark.parametrize("kind", ENDLESS)
    async def test_calls_end_in_bounded_memory(self, kind: str) -> None:
        client = HttpClient()
        kinds: list[ErrorKind] = []

        async def call(address: Address) -> None:
            failed = await client.call("GET", address, "/", timeout_ms=1000)
            kinds.append(failed.unwrap_err().kind)

        async with server(*ENDLESS[kind]) as address:
            tracemalloc.start()
            try:
                with trio.fail_after(30):
                    async with trio.open_nursery() as nursery:
                        for _ in range(CALLS):
                            nursery.start_soon(call, address)
                peak_bytes = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
            await client.aclose()
        assert kinds == [ErrorKind.UPSTREAM_FAILED] * CALLS
        assert peak_bytes < MEMORY_BOUND_BYTES

    def test_event_without_an_end_is_given_up(self) -> None:
        parser = EventParser()
        with pytest.raises(EventTooLongError):
            for _ in range(MAX_EVENT_BYTES // 1024 + 1):
                parser.feed(b"w" * 1024)


class TestSmallChunks:
    """Guards against a process that stands still while it reads thousands of small chunks."""

    async def test_others_run_between_chunks_of_one_read(self) -> None:
        client = HttpClient()
        received, most = 0, 0

        async def read() -> None:
            nonlocal received
            async with client.open("GET", address, "/", timeout_ms=1000) as response:
                async for _ in response.chunks():
                    received += 1

        async with server(*SMALL_CHUNKS) as address, trio.open_nursery() as nursery:
            nursery.start_soon(read)
            while received < 20_000:
                before = received
                await trio.lowlevel.checkpoint()
                most = max(most, received - before)
            nursery.cancel_scope.cancel()
        await client.aclose()
        assert most <= CHUNKS_BOUND
