"""Paced reads, on a clock that jumps."""

from __future__ import annotations

import socket
from typing import Any

import httpcore
import pytest
import trio
import trio.testing

from briardyke.http.paced import PacedStream


class _Ready(httpcore.AsyncNetworkStream):
    def __init__(self, readable: socket.socket) -> None:
        self._readable = readable
        self.written: list[bytes] = []
        self.broken = False

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if self.broken:
            raise httpcore.WriteError
        self.written.append(buffer)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        return b"x"

    def get_extra_info(self, info: str) -> Any:
        return self._readable


class TestPacedStream:
    async def test_reads_keep_the_interval_only_while_it_is_set(self, autojump_clock: Any) -> None:
        """Guards against a read for each token, and against delays of other responses."""
        readable, other = socket.socketpair()
        other.send(b"xxx")
        stream, begin = PacedStream(_Ready(readable)), trio.current_time()
        times = []
        for interval_s in (0.0, 0.0, 0.02, 0.02, 0.02, 0.0):
            stream.interval_s = interval_s
            await stream.read(1)
            times.append(round(1000 * (trio.current_time() - begin)))
        readable.close()
        other.close()
        assert times == [0, 0, 0, 20, 40, 40]

    async def test_connection_that_closes_or_breaks_during_a_read_is_reported(self) -> None:
        """Guards against an error that ends the request as a defect instead of an attempt."""
        readable, other = socket.socketpair()
        readable.setblocking(False)
        stream = PacedStream(_Ready(readable))
        stream.interval_s = 0.02

        async def read() -> None:
            with pytest.raises(httpcore.ReadError):
                await stream.read(1)

        with trio.fail_after(3):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await trio.testing.wait_all_tasks_blocked()
                trio.lowlevel.notify_closing(readable)
        other.close()
        assert await stream.read(1) == b""
        readable.close()


class TestJoinedWrites:
    async def test_writes_leave_together_with_the_read(self) -> None:
        """Guards against a request that is written in parts, not at all or without bound."""
        readable, other = socket.socketpair()
        inner = _Ready(readable)
        stream = PacedStream(inner)
        await stream.write(b"head")
        await stream.write(b"body")
        assert inner.written == []
        await stream.read(1)
        await stream.read(1)
        assert inner.written == [b"headbody"]
        await stream.write(b"x" * 100_000)
        assert inner.written[1:] == [b"x" * 100_000]
        inner.broken = True
        await stream.write(b"head")
        assert await stream.read(1) == b"x"
        readable.close()
        other.close()
