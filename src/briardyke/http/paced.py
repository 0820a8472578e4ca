"""Read and write a connection in few system calls: paced reads and joined writes."""

from __future__ import annotations

import os
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import httpcore
import trio

if TYPE_CHECKING:
    from collections.abc import Iterable


_JOIN_LIMIT_BYTES = 64 * 1024
# httpcore goes through the interim responses of one read without a pause.
_READ_BYTES = 16 * 1024


class PacedStream(httpcore.AsyncNetworkStream):
    """Delay reads that follow the previous one within an interval, and join writes.

    A read costs several tenths of a millisecond of processor time with trio, httpcore and h11,
    whether it returns one token or five. httpcore writes a request's head and body separately,
    each with a pass through trio's scheduler, so both are held back until the response is read.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        """Wrap a connected stream without delays."""
        self._stream = stream
        self._read_at_s = float("-inf")
        self.interval_s = 0.0
        self._unsent = bytearray()
        self._write_timeout_s: float | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read what has arrived, after the rest of the interval.

        The wait for the first byte has no timeout while an interval is set; the caller bounds it.
        """
        max_bytes = min(max_bytes, _READ_BYTES)
        if self._unsent:
            # An upstream may answer before it has read the whole request; httpcore ignores such a
            # broken write as well, and the read reports a connection that is really lost.
            with suppress(httpcore.WriteError):
                await self._send()
        if self.interval_s:
            return await self._read_paced(max_bytes)
        return await self._stream.read(max_bytes, timeout)

    async def _read_paced(self, max_bytes: int) -> bytes:
        connected = self._stream.get_extra_info("socket")
        try:
            while True:
                # Waiting only once data has arrived costs no timer for data that comes slowly.
                await trio.lowlevel.wait_readable(connected)
                rest_s = self._read_at_s + self.interval_s - trio.current_time()
                if rest_s > 0:
                    await trio.sleep(rest_s)
                self._read_at_s = trio.current_time()
                # trio's own receive would run a timeout and the scheduler once more.
                with suppress(BlockingIOError):
                    return os.read(connected.fileno(), max_bytes)
        except (OSError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write to the stream with the next read, or now when much is waiting."""
        self._unsent += buffer
        self._write_timeout_s = timeout
        if len(self._unsent) > _JOIN_LIMIT_BYTES:
            await self._send()

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

    async def _send(self) -> None:
        data = bytes(self._unsent)
        self._unsent.clear()
        await self._stream.write(data, self._write_timeout_s)

    def get_extra_info(self, info: str) -> Any:
        """Return information about the stream."""
        return self._stream.get_extra_info(info)


class PacedBackend(httpcore.TrioBackend):
    """Open TCP connections as paced streams."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect; parameters as for :class:`httpcore.TrioBackend`."""
        stream = await super().connect_tcp(host, port, timeout, local_address, socket_options)
        return PacedStream(stream)
