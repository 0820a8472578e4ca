"""Paced reads, on a clock that jumps."""

from __future__ import annotations

import socket
from typing import Any

import httpcore
import trio

from briardyke.http.paced import PacedStream


class _Ready(httpcore.AsyncNetworkStream):
    def __init__(self, readable: socket.socket) -> None:
        self._readable = readable

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        return b"x"

    def get_extra_info(self, info: str) -> Any:
        return self._readable


class TestPacedStream:
    async def test_reads_keep_the_interval_only_while_it_is_set(self, autojump_clock: Any) -> None:
        """Guards against a read for each token, and against delays of other responses."""
        readable, other = socket.socketpair()
        other.send(b"x")
        stream, begin = PacedStream(_Ready(readable)), trio.current_time()
        times = []
        for interval_s in (0.0, 0.0, 0.02, 0.02, 0.02, 0.0):
            stream.interval_s = interval_s
            await stream.read(1)
            times.append(round(1000 * (trio.current_time() - begin)))
        readable.close()
        other.close()
        assert times == [0, 0, 0, 20, 40, 40]
