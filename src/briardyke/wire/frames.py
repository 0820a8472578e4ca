"""Read and write length-prefixed frames."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgpack
import trio

from briardyke.turns import ReaderTurns
from briardyke.wire import codec

if TYPE_CHECKING:
    from collections.abc import Callable

_READ_BYTES = 65536
# Correlation id of a message without a reply.
ONE_WAY_ID = 0
# Body of a call that asks the peer for any answer, and of that answer.
PROBE = b""


class FrameStream:
    """Read and write length-prefixed frames on a trio stream."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        """Wrap a connected stream."""
        self.on_received: Callable[[], None] = lambda: None
        self._stream = stream
        self._buffer = bytearray()
        self._write_lock = trio.Lock()
        self._turns = ReaderTurns()

    async def send(self, correlation_id: int, is_reply: bool, body: bytes) -> None:
        """Write one frame.

        :raises trio.BrokenResourceError: when the connection is gone.
        """
        payload = msgpack.packb([correlation_id, is_reply, body])
        async with self._write_lock:
            await self._stream.send_all(
                len(payload).to_bytes(codec.LENGTH_PREFIX_BYTES, "big") + payload
            )

    async def receive(self) -> tuple[int, bool, bytes] | None:
        """Read one frame, or return ``None`` at the end of the stream.

        :raises ValueError: when the bytes are not a valid frame.
        """
        await self._turns.wait_if_due()
        self._turns.charge()
        head = await self._read(codec.LENGTH_PREFIX_BYTES)
        if head is None:
            return None
        length = int.from_bytes(head, "big")
        if length > codec.MAX_FRAME_BYTES:
            raise ValueError(f"frame of {length} bytes exceeds the limit")
        payload = await self._read(length)
        if payload is None:
            return None
        try:
            correlation_id, is_reply, body = msgpack.unpackb(payload)
        except Exception as error:
            raise ValueError("frame is not msgpack") from error
        valid = isinstance(correlation_id, int) and isinstance(is_reply, bool)
        if not valid or not isinstance(body, bytes):
            raise ValueError("frame has fields of a wrong type")
        return correlation_id, is_reply, body

    async def _read(self, count: int) -> bytes | None:
        while len(self._buffer) < count:
            chunk = await self._stream.receive_some(_READ_BYTES)
            if not chunk:
                return None
            self.on_received()
            self._buffer += chunk
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return data

    async def aclose(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self._stream)
