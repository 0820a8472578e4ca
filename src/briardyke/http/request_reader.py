"""Read requests within the memory budget and within limits on size and time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import h11
import trio

from briardyke.clock import now_ms
from briardyke.http.chunk_joiner import ChunkJoiner
from briardyke.http.exchange import HttpRequest, header
from briardyke.http.memory_budget import LEAST_BYTES_PER_S
from briardyke.turns import ReaderTurns

if TYPE_CHECKING:
    from briardyke.http.memory_budget import Share
    from briardyke.http.memory_queue import MemoryQueue

# Read of a head, and of the first bytes of a body. It is part of the fixed cost of a connection.
FIRST_READ_BYTES = 16 * 1024
_READ_BYTES = 64 * 1024
# Room for a body of unknown length is asked for in steps between these two, as the body grows.
_LEAST_STEP_BYTES = 16 * 1024
_LARGEST_STEP_BYTES = 256 * 1024


@attrs.frozen
class ServerLimits:
    """Bound what a caller may send and how long it may take.

    :param max_header_bytes: largest request head.
    :param max_body_bytes: largest body.
    :param header_timeout_ms: longest time for a request, from its first byte; a large body has more
        time, according to its size.
    :param idle_timeout_ms: longest rest between two requests.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class RequestRefusedError(Exception):
    """Report a request that is not read to its end and does not run.

    :param status: status of its answer.
    :param reason: reason for the counters and the log.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Describe the refusal."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


class RequestReader:
    """Read one request from a connection."""

    def __init__(
        self,
        stream: trio.SocketStream,
        protocol: h11.Connection,
        limits: ServerLimits,
        share: Share,
        queue: MemoryQueue,
    ) -> None:
        """Prepare; the first bytes have been given to the protocol.

        :param stream: connection to the caller.
        :param protocol: protocol state of the connection.
        :param limits: bounds in force.
        :param share: share of the request in the memory budget.
        :param queue: lets the request wait for room.
        """
        self._stream = stream
        self._protocol = protocol
        self._limits = limits
        self._share = share
        self._queue = queue
        self._timeout_s = limits.header_timeout_ms / 1000.0
        self._start_s = trio.current_time()
        self._scope = trio.CancelScope(deadline=self._start_s + self._timeout_s)
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._room_bytes = 0
        self._length: int | None = None
        self._joiner: ChunkJoiner | None = None
        self._turns = ReaderTurns()
        share.on_displaced = self._scope.cancel

    async def read(self) -> HttpRequest | None:
        """Return the request, or ``None`` when the caller has closed.

        :raises RequestRefusedError: when it exceeds a limit.
        :raises h11.RemoteProtocolError: when it is malformed.
        """
        with self._scope:
            await self._reserve(len(self._protocol.trailing_data[0]))
            return await self._read()
        if self._share.is_displaced:
            raise RequestRefusedError(503, "displaced")
        raise RequestRefusedError(408, "head_late" if self._head is None else "body_late")

    async def _read(self) -> HttpRequest | None:
        received_ms = now_ms()
        while True:
            await self._turns.wait_if_due()
            event = self._protocol.next_event()
            self._turns.charge()
            if event is h11.NEED_DATA:
                await self._receive()
            elif isinstance(event, h11.Request):
                self._head, received_ms = event, now_ms()
                await self._begin_body(event)
            elif isinstance(event, h11.Data):
                self._add(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return self._finish(received_ms)
            else:
                return None

    async def _begin_body(self, head: h11.Request) -> None:
        """Refuse a body that is announced over the limit, or ask for room for all of it."""
        if _head_bytes(head) > self._limits.max_header_bytes:
            raise RequestRefusedError(431, "head_too_large")
        length = header(list(head.headers), b"content-length")
        if length is not None:
            self._length = int(length)
            if self._length > self._limits.max_body_bytes:
                raise RequestRefusedError(413, "body_too_large")
            await self._reserve(_with_growth(self._length))
        elif header(list(head.headers), b"transfer-encoding") is not None:
            self._joiner = ChunkJoiner(self._protocol.trailing_data[0])
        self._share.begin_reading(now_ms())

    def _add(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._limits.max_body_bytes:
            raise RequestRefusedError(413, "body_too_large")
        self._share.record_progress(len(data), now_ms())

    def _finish(self, received_ms: float) -> HttpRequest:
        assert self._head is not None
        self._share.is_reading = False
        room_bytes = self._room_bytes if self._length is None else self._length
        self._share.shrink(max(0, _with_growth(room_bytes) - len(self._body)))
        # The second copy exists within this step only, so for one request at a time.
        body, self._body = bytes(self._body), bytearray()
        return HttpRequest(
            self._head.method.decode("ascii"),
            self._head.target.decode("latin-1"),
            list(self._head.headers),
            body,
            received_ms,
        )

    async def _receive(self) -> None:
        if self._joiner is not None and self._joiner.is_behind:
            self._joiner.pass_on(b"", self._protocol, self._turns)
            return
        if self._head is None:
            size_bytes = FIRST_READ_BYTES
        elif self._length is None:
            size_bytes = await self._next_step()
        else:
            size_bytes = min(_READ_BYTES, max(1, self._length - len(self._body)))
        if self._protocol.they_are_waiting_for_100_continue:
            go = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._protocol.send(go) or b"")
        data = await self._stream.receive_some(size_bytes)
        if self._head is None:
            await self._reserve(len(data))
        elif data:
            self._extend_deadline()
        if self._joiner is not None and data:
            self._joiner.pass_on(data, self._protocol, self._turns)
        else:
            self._protocol.receive_data(data)

    async def _next_step(self) -> int:
        """Return how much of a body in chunks may be read now, after asking for room."""
        left = self._room_bytes - len(self._body)
        if left < _LEAST_STEP_BYTES:
            step = min(max(_LEAST_STEP_BYTES, self._room_bytes // 2), _LARGEST_STEP_BYTES)
            await self._reserve(
                _with_growth(self._room_bytes + step) - _with_growth(self._room_bytes)
            )
            self._room_bytes += step
            left += step
        return min(_READ_BYTES, left)

    async def _reserve(self, size_bytes: int) -> None:
        """Ask for room; the time of the wait does not count, since nothing is read meanwhile."""
        if not size_bytes:
            return
        deadline, since = self._scope.deadline, trio.current_time()
        self._scope.deadline = float("inf")
        if not await self._queue.reserve(self._share, size_bytes, self._timeout_s):
            raise RequestRefusedError(503, "no_memory")
        waited_s = trio.current_time() - since
        self._start_s += waited_s
        self._scope.deadline = deadline + waited_s

    def _extend_deadline(self) -> None:
        """Give a body time according to its size, as long as it makes progress."""
        size_bytes = len(self._body) if self._length is None else self._length
        whole_s = self._start_s + self._timeout_s + size_bytes / LEAST_BYTES_PER_S
        self._scope.deadline = min(whole_s, trio.current_time() + self._timeout_s)


def _with_growth(size_bytes: int) -> int:
    """Return the memory of a body that grows; Python allocates an eighth in advance."""
    return size_bytes + size_bytes // 8


def _head_bytes(head: h11.Request) -> int:
    """Return the size of a request's head; h11 itself bounds only one that is not complete."""
    fields = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.method) + len(head.target) + 12 + fields
