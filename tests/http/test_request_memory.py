"""Tests of the HTTP server's use of the memory budget."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
import trio

from briardyke.addresses import Address
from briardyke.http.h11_server import H11Server, ServerLimits
from briardyke.http.memory_budget import MIB, Kind, MemoryBudget
from briardyke.http.memory_queue import MemoryQueue

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from briardyke.http.exchange import Answer, HttpRequest

BODY = 4 * MIB
POST = b"POST /x HTTP/1.1\r\nHost: h\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


def announced(size_bytes: int) -> bytes:
    """Return the head of a request with a body of a size."""
    return POST + b"Content-Length: %d\r\n\r\n" % size_bytes


class Served:
    """Server with a small budget, and the sizes of the bodies that reached its handler."""

    def __init__(self, limits: ServerLimits) -> None:
        self.memory = MemoryQueue(MemoryBudget(16 * MIB, bounds_kernel_buffers=True))
        self.server = H11Server(self.handle, lambda: limits, self.memory)
        self.bodies: list[int] = []
        self.port = 0

    async def handle(self, request: HttpRequest, answer: Answer) -> None:
        self.bodies.append(len(request.body))
        await answer.send_whole(200, [], b"ok")

    async def send(self, data: bytes) -> trio.SocketStream:
        stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        await stream.send_all(data)
        return stream

    async def ask(self, data: bytes) -> bytes:
        """Send a request whole and return the status of its answer."""
        with trio.fail_after(10):
            async with await self.send(data) as stream:
                return (await stream.receive_some()).split()[1]


@asynccontextmanager
async def served(limits: ServerLimits | None = None) -> AsyncIterator[Served]:
    """Serve on a free port and check that everything is returned in the end."""
    found = Served(limits or ServerLimits())
    async with trio.open_nursery() as nursery:
        found.port = await nursery.start(found.server.serve, Address("127.0.0.1", 0))
        yield found
        nursery.cancel_scope.cancel()
    assert found.memory.budget.held_bytes == 0


class TestCalm:
    """Guards against limits that ordinary callers meet."""

    @pytest.mark.parametrize("size", [0, 10, 70_000, BODY])
    async def test_body_of_legal_size_is_served(self, size: int) -> None:
        async with served() as found:
            assert await found.ask(announced(size) + b"x" * size) == b"200"
            assert found.bodies == [size]

    @pytest.mark.parametrize("chunk", [1, 7, 20_000])
    async def test_body_in_chunks_is_served(self, chunk: int) -> None:
        count = 100_000 // chunk
        async with served() as found:
            parts = (b"%x\r\n" % chunk + b"x" * chunk + b"\r\n") * count
            assert await found.ask(CHUNKED + parts + b"0\r\n\r\n") == b"200"
            assert found.bodies == [chunk * count]

    async def test_large_body_may_take_longer_than_a_head(self) -> None:
        """Guards against 408 for a body of legal size over the link of the smallest machine."""
        async with served(ServerLimits(header_timeout_ms=300.0)) as found:
            stream = await found.send(announced(BODY))
            for _ in range(8):
                await stream.send_all(b"x" * (BODY // 8))
                await trio.sleep(0.1)
            assert b"200" in await stream.receive_some()


class TestRefusals:
    """Covers requests that are refused before they are read, and do not run."""

    async def test_body_over_the_limit_is_refused_from_its_announcement(self) -> None:
        async with served() as found:
            assert await found.ask(announced(BODY + 1)) == b"413"
            assert found.bodies == []

    async def test_answer_reaches_a_caller_that_goes_on_sending(self) -> None:
        """Guards against a reset that overtakes the answer."""
        async with served() as found:
            stream = await found.send(announced(2 * BODY))
            await trio.sleep(0.1)
            await stream.send_all(b"x" * 2 * BODY)
            assert b"413" in await stream.receive_some()

    async def test_body_that_stops_is_refused_after_the_time_for_a_head(self) -> None:
        async with served(ServerLimits(header_timeout_ms=200.0)) as found:
            assert await found.ask(announced(BODY) + b"x" * (BODY - 10)) == b"408"
            assert found.bodies == []

    async def test_stopped_bodies_give_way_to_one_that_arrives(self) -> None:
        limits = ServerLimits(header_timeout_ms=9000.0)
        async with served(limits) as found, trio.open_nursery() as nursery:

            async def stop_short_of_end() -> None:
                async with await found.send(announced(BODY) + b"x" * (BODY - 10)):
                    await trio.sleep_forever()

            for _ in range(3):
                nursery.start_soon(stop_short_of_end)
            await trio.sleep(0.3)
            assert found.memory.budget.held[Kind.REQUESTS] < 16 * MIB
            assert await found.ask(announced(100) + b"x" * 100) == b"200"
            assert await found.ask(announced(BODY) + b"x" * BODY) == b"200"
            assert found.memory.budget.refusals["displaced"] >= 1
            nursery.cancel_scope.cancel()

    async def test_wait_for_room_ends_with_503(self) -> None:
        async with served(ServerLimits(header_timeout_ms=200.0)) as found:
            other = found.memory.budget.open(Kind.REQUESTS)
            assert other.grow(6 * MIB)
            assert await found.ask(announced(BODY)) == b"503"
            other.release()


class TestManyConnections:
    """Guards against idle connections that take the descriptors for upstreams."""

    async def test_longest_unused_connection_goes_first(self) -> None:
        async with served() as found:
            found.memory.budget.usual_connections = 4
            kept = await found.send(announced(0))
            assert b"200" in await kept.receive_some()
            idle = [await found.send(b"") for _ in range(3)]
            await trio.sleep(0.05)
            assert await found.ask(announced(0)) == b"200"
            with trio.fail_after(5):
                assert await idle[0].receive_some() == b""
            await kept.send_all(announced(0))
            assert b"200" in await kept.receive_some()
            await idle[1].send_all(announced(0))
            assert b"200" in await idle[1].receive_some()
            assert found.memory.budget.refusals == {"connection_rested": 1}
            for stream in (kept, *idle):
                await stream.aclose()


class TestSlowReaders:
    """Guards against responses that are held for callers that do not read them."""

    async def test_response_that_is_not_read_is_given_up(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr("briardyke.http.h11_server._SEND_TIMEOUT_S", 0.2)
        ended = trio.Event()

        async def handle(request: HttpRequest, answer: Answer) -> None:
            await answer.start(200, [])
            try:
                while True:
                    await answer.send_part(b"x" * 65536)
            finally:
                ended.set()

        server = H11Server(handle)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve, Address("127.0.0.1", 0))
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                await stream.send_all(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
                with trio.fail_after(10):
                    await ended.wait()
            nursery.cancel_scope.cancel()
        assert server.memory.budget.refusals["response_unread"] == 1
