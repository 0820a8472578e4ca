"""Join small chunks of a request body before they are parsed."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from briardyke.turns import ITEMS_PER_TURN

if TYPE_CHECKING:
    import h11

    from briardyke.turns import ReaderTurns

# h11 takes 6 us for each chunk on a whole core. The link of the smallest machine carries 70,000
# chunks of one byte a second, which would take more than its 0.36 cores. Joined, they take a
# hundredth of that, and chunks of two bytes a quarter.
_ONE_BYTE_CHUNKS = re.compile(rb"(?:1\r\n.\r\n)+", re.DOTALL)
_SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,8})\r\n")
_START_OF_SIZE_LINE = re.compile(rb"[0-9a-fA-F]{0,8}\r?")
# Longer chunks cost little for their size and are passed on as they are.
_MAX_JOINED_BYTES = 1024


class ChunkJoiner:
    """Replace runs of small chunks by one chunk with the same content.

    Only plain chunks that are complete are joined. Everything else is passed on unchanged, so that
    the parser behind it judges it: from the first size line with an extension or an error on, from
    the last chunk on, and where a chunk does not end as it should.

    :ivar handled: number of chunks that the last call has handled.
    :ivar is_behind: whether a whole turn has left bytes over; the next call goes on with them.
    """

    def __init__(self, passed: bytes) -> None:
        """Start within a body.

        :param passed: start of the body, which the parser has received already.
        """
        self.handled = 0
        self.is_behind = bool(passed)
        self._is_passing_all = False
        # The bytes with the parser are read once more to learn where in a chunk they end.
        self._is_replaying = self.is_behind
        self._passed_bytes = 0
        self._left_bytes = 0
        self._partial = passed
        self._joined = bytearray()
        self._output: list[bytes] = []

    def pass_on(self, data: bytes, protocol: h11.Connection, turns: ReaderTurns) -> None:
        """Give a parser what it should receive for the next bytes, and count the work.

        :param data: the bytes; empty while the joiner is behind.
        """
        joined = self.join(data)
        turns.charge(self.handled)
        if joined:  # no bytes would mean the end of the connection
            protocol.receive_data(joined)

    def join(self, data: bytes) -> bytes:
        """Return what the parser should receive for the next bytes of the body.

        :param data: the bytes; empty while the joiner is behind.
        """
        output = self._join(data, ITEMS_PER_TURN)
        if not self._is_replaying:
            return output
        if not self.is_behind:
            self._is_replaying = False
            # A size line that is not complete is with the parser, so its chunk is not joined.
            self._passed_bytes = len(self._partial)
        return b""

    def _join(self, data: bytes, limit: int) -> bytes:
        data, position = self._partial + data, 0
        self._partial = b""
        self.handled, self.is_behind = 0, False
        while position < len(data):
            if self.handled >= limit:
                self._partial, self.is_behind = data[position:], True
                break
            self.handled += 1
            if self._is_passing_all:
                self._pass(data[position:])
                break
            if self._left_bytes:
                taken = data[position : position + self._left_bytes]
                self._left_bytes -= len(taken)
                position += len(taken)
                self._pass(taken)
                continue
            after = self._next_chunk(data, position)
            if after is None:
                self._partial = data[position:]
                break
            position = after
        self._flush()
        output, self._output = b"".join(self._output), []
        passed, self._passed_bytes = self._passed_bytes, 0
        if passed and not output and self._partial:
            self._passed_bytes = len(self._partial)
            return self._partial[passed:]
        return output[passed:]

    def _next_chunk(self, data: bytes, position: int) -> int | None:
        """Handle what begins at a size line; return the position after it, if it is complete."""
        if not self._passed_bytes and (run := _ONE_BYTE_CHUNKS.match(data, position)):
            self._joined += run.group()[3::6]
            return run.end()
        line = _SIZE_LINE.match(data, position)
        if line is None and _START_OF_SIZE_LINE.fullmatch(data, position):
            return None
        size = int(line.group(1), 16) if line else 0
        if line is None or size == 0:
            self._is_passing_all = True
            return position
        end = line.end() + size
        is_small = size <= _MAX_JOINED_BYTES and len(data) >= end + 2 and not self._passed_bytes
        if is_small and data[end : end + 2] == b"\r\n":
            self._joined += data[line.end() : end]
            return end + 2
        self._pass(line.group())
        self._left_bytes = size + 2
        return line.end()

    def _pass(self, data: bytes) -> None:
        self._flush()
        self._output.append(data)

    def _flush(self) -> None:
        if self._joined:
            self._output.append(b"%x\r\n%b\r\n" % (len(self._joined), bytes(self._joined)))
            self._joined.clear()
