"""Send requests to upstreams over kept connections with h11 on trio."""

from __future__ import annotations

import select
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

import attrs
import h11
import trio

from briardyke.clock import now_ms
from briardyke.connectivity.activity import LinkActivity
from briardyke.http.chunk_joiner import ChunkJoiner
from briardyke.http.exchange import LAST_STATUS, Headers, header
from briardyke.http.sockets import tune
from briardyke.turns import ReaderTurns

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.addresses import Address
    from briardyke.http.buffers import ResponseBuffer

CONNECT_TIMEOUT_S = 1.0
# A host whose process has ended refuses a connection within a round trip.
_REFUSAL_TIMEOUT_S = 0.1
# Read of a head, and of the first chunks of a body, which are joined only from the next read on.
_FIRST_READ_BYTES = 16 * 1024
_READ_BYTES = 64 * 1024
# A kept connection is given up this long before the upstream would close it, which covers the
# way of a request and a slow turn of the event loop.
_KEEP_MARGIN_MS = 700.0
_DEFAULT_KEEP_MS = 4000.0
# Answers of earlier requests that an upstream may send late on a connection.
_MAX_FOREIGN_ANSWERS = 3
# A reset after a shorter rest says nothing about resting.
LEAST_REST_MS = 40.0
# Upstreams forget connections a little sooner or later than the one that was seen.
_REST_SHARE = 0.7
# Upstreams that forget early do so for some seconds; later the usual rest is tried again.
REST_MEMORY_MS = 10_000.0
# Interim answers before one answer; more of them are noise without an end.
_MAX_INTERIM_ANSWERS = 8
# Answers of earlier requests are short; a longer one is given up with its connection.
_MAX_FOREIGN_BYTES = 1024 * 1024
# Refused requests that a connection remembers before it is replaced, which bounds its memory.
_MAX_REFUSED_IDS = 256
# Statuses of responses that have no body.
_BODILESS = frozenset({204, 304})
# Bodies up to this size fit a socket's buffer, so that writing them cannot block the answer.
_INLINE_BODY_BYTES = 16 * 1024


class Fault(Enum):
    """List how an exchange with an upstream fails before its answer is whole."""

    NOT_CONNECTED = "not_connected"
    BROKEN = "broken"
    MALFORMED = "malformed"


class UpstreamError(Exception):
    """Report a failed exchange.

    :param fault: how it failed; only ``NOT_CONNECTED`` proves that the request did not run.
    """

    def __init__(self, fault: Fault, reason: str) -> None:
        """Describe the failure."""
        super().__init__(reason)
        self.fault = fault


@attrs.frozen
class UpstreamHead:
    """Hold the head of an upstream's answer.

    :param status: HTTP status.
    :param headers: headers with names in lower case.
    """

    status: int
    headers: Headers


class UpstreamConnection:
    """Run one request at a time on a connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        """Use a connected stream."""
        self._stream = stream
        self._protocol = h11.Connection(h11.CLIENT)
        self.idle_since_ms = now_ms()
        self.is_reused = False
        self.rested_ms = 0.0
        self.has_ended = False
        self._has_received = False
        self._keep_ms = _DEFAULT_KEEP_MS
        self._may_keep = True
        self._is_reset = False
        self._refused_ids: set[str] = set()
        self._has_foreign = False
        self._joiner: ChunkJoiner | None = None
        self._is_reading_head = True
        self._turns = ReaderTurns()

    @property
    def was_dropped_at_rest(self) -> bool:
        """Return whether a kept connection has given nothing since its last request was sent."""
        return self.is_reused and not self._has_received

    @property
    def needs_ids(self) -> bool:
        """Return whether a response without a request id may belong to another request."""
        return self.is_reused or self._has_foreign

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes, nursery: trio.Nursery
    ) -> None:
        """Send a request; a long body is sent while the answer is read already.

        :param nursery: runs the rest of the writing.
        :raises UpstreamError: when the connection is gone.
        """
        self._has_received = False
        self._request = h11.Request(method=method, target=target, headers=headers)
        head = self._protocol.send(self._request) or b""
        parts = [head]
        if body:
            parts += self._protocol.send_with_data_passthrough(h11.Data(data=body)) or ()
        parts.append(self._protocol.send(h11.EndOfMessage()) or b"")
        if sum(len(part) for part in parts) <= _INLINE_BODY_BYTES:
            await self._send_all(b"".join(parts))
        else:
            # The body is not copied, since an upstream may read it slowly.
            self._may_keep = False
            nursery.start_soon(self._send_rest, parts)

    async def _send_rest(self, parts: list[bytes]) -> None:
        try:
            for part in parts:
                if part:
                    await self._send_all(part)
            self._may_keep = True
        except UpstreamError:
            # The kernel reports a reset once; the reading side would take it for a proper close.
            self._is_reset = True

    async def _send_all(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.has_ended = True
            raise UpstreamError(Fault.BROKEN, f"connection lost while sending: {error}") from error

    async def read_head(self, is_own: Callable[[Headers], bool]) -> UpstreamHead:
        """Read the head of the answer, passing over late answers to other requests.

        :param is_own: returns whether headers belong to the answer of this request.
        :raises UpstreamError: when the connection ends or the bytes are no answer.
        """
        for _ in range(_MAX_FOREIGN_ANSWERS):
            self._is_reading_head, self._joiner = True, None
            event = await self._next_event()
            interim = 0
            while isinstance(event, h11.InformationalResponse):
                interim += 1
                if interim > _MAX_INTERIM_ANSWERS:
                    raise UpstreamError(Fault.MALFORMED, "interim answers without an end")
                event = await self._next_event()
            if not isinstance(event, h11.Response):
                raise UpstreamError(Fault.BROKEN, "connection closed before the answer")
            if event.status_code > LAST_STATUS:
                raise UpstreamError(Fault.MALFORMED, f"status {event.status_code}")
            head = UpstreamHead(event.status_code, list(event.headers))
            if is_own(head.headers):
                return head
            await self._skip_foreign()
        raise UpstreamError(Fault.MALFORMED, "answers of other requests")

    def record_refusal(self, request_id: str) -> None:
        """Remember a request that the upstream refused on this connection."""
        self._refused_ids.add(request_id)

    def has_refused(self, request_id: str) -> bool:
        """Return whether the upstream may send a copy of an earlier refusal of the request."""
        return request_id in self._refused_ids

    async def read_part(self) -> bytes | None:
        """Read a part of the body, or return ``None`` at its proper end.

        :raises UpstreamError: when the connection ends before.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise UpstreamError(Fault.BROKEN, "connection closed within the answer")

    async def read_body(self, limit_bytes: int, buffer: ResponseBuffer | None = None) -> bytes:
        """Read the rest of the body.

        :param limit_bytes: largest size of the body.
        :param buffer: share of the request in what the process may buffer.
        :raises UpstreamError: when it does not end properly or is longer than the limit.
        """
        body = bytearray()
        while (part := await self.read_part()) is not None:
            if len(body) + len(part) > limit_bytes:
                raise UpstreamError(Fault.MALFORMED, "the answer is too long")
            if buffer is not None and not buffer.grow(len(part)):
                raise UpstreamError(Fault.MALFORMED, "no memory is left for long answers")
            body += part
        return bytes(body)

    async def _skip_body(self, limit_bytes: int) -> None:
        skipped = 0
        while (part := await self.read_part()) is not None:
            skipped += len(part)
            if skipped > limit_bytes:
                raise UpstreamError(Fault.MALFORMED, "the answer to another request is too long")

    def finish(self, head: UpstreamHead) -> bool:
        """Prepare for the next request; return whether the connection can be kept."""
        if not self._may_keep or self._protocol.trailing_data[0] or not _is_framed(head):
            return False
        if len(self._refused_ids) > _MAX_REFUSED_IDS:
            return False
        if self._protocol.our_state is not h11.DONE or self._protocol.their_state is not h11.DONE:
            return False
        for part in (header(head.headers, b"keep-alive") or b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self._keep_ms = float(value) * 1000.0 - _KEEP_MARGIN_MS
        self._protocol.start_next_cycle()
        self.idle_since_ms = now_ms()
        self.is_reused = True
        return self._keep_ms > 0

    def is_usable(self, longest_rest_ms: float) -> bool:
        """Return whether the kept connection is still silent and young enough."""
        if now_ms() - self.idle_since_ms > min(self._keep_ms, longest_rest_ms):
            return False
        descriptor = self._stream.socket.fileno()
        if descriptor < 0:
            return False  # closed already
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return not poll.poll(0)

    async def aclose(self) -> None:
        """Close the connection at once."""
        await trio.aclose_forcefully(self._stream)

    async def _next_event(self) -> object:
        while True:
            await self._turns.wait_if_due()
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise UpstreamError(Fault.MALFORMED, str(error)) from error
            if event is not h11.NEED_DATA:
                self._turns.charge()
                if isinstance(event, h11.InformationalResponse | h11.Response):
                    self._begin_body(event)
                return event
            if self._joiner is not None and self._joiner.is_behind:
                self._joiner.pass_on(b"", self._protocol, self._turns)
                continue
            try:
                size_bytes = _FIRST_READ_BYTES if self._is_reading_head else _READ_BYTES
                data = await self._stream.receive_some(size_bytes)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                self.has_ended = True
                raise UpstreamError(Fault.BROKEN, f"connection reset: {error}") from error
            self.has_ended = not data
            if not data and self._is_reset:
                raise UpstreamError(Fault.BROKEN, "connection reset while sending")
            self._has_received = self._has_received or bool(data)
            if self._joiner is not None and data:
                self._joiner.pass_on(data, self._protocol, self._turns)
            else:
                self._protocol.receive_data(data)

    def _begin_body(self, head: h11.InformationalResponse | h11.Response) -> None:
        self._turns.charge(len(head.headers))
        is_chunked = header(list(head.headers), b"transfer-encoding") is not None
        has_body = isinstance(head, h11.Response) and head.status_code not in _BODILESS
        self._is_reading_head = isinstance(head, h11.InformationalResponse)
        self._joiner = None
        if is_chunked and has_body and self._request.method != b"HEAD":
            self._joiner = ChunkJoiner(self._protocol.trailing_data[0])

    async def _skip_foreign(self) -> None:
        self._has_foreign = True
        await self._skip_body(_MAX_FOREIGN_BYTES)
        rest, _ = self._protocol.trailing_data
        protocol = h11.Connection(h11.CLIENT)
        protocol.send(self._request)  # already on the wire; this only sets the state
        length = header(list(self._request.headers), b"content-length")
        if length and int(length):
            protocol.send(h11.Data(data=b"\0" * int(length)))
        protocol.send(h11.EndOfMessage())
        if rest:  # no bytes would mean that the upstream has closed
            protocol.receive_data(rest)
        self._protocol = protocol


def _is_framed(head: UpstreamHead) -> bool:
    """Return whether the end of an answer shows without the end of its connection."""
    names = {name for name, _ in head.headers}
    return head.status in _BODILESS or bool(names & {b"content-length", b"transfer-encoding"})


async def is_refusing_connections(address: Address) -> bool:
    """Return whether no process listens at an address; a host that does not reply may still run."""
    try:
        with trio.fail_after(_REFUSAL_TIMEOUT_S):
            stream = await trio.open_tcp_stream(address.host, address.port)
    except trio.TooSlowError:
        return False
    except OSError as error:
        # Other errors, such as a lack of descriptors, say nothing about the process there.
        causes = error.__cause__
        return isinstance(causes, ExceptionGroup) and bool(causes.subgroup(ConnectionError))
    await trio.aclose_forcefully(stream)
    return False


class RestLimit:
    """Learn how long upstreams keep a connection that rests.

    Load: upstreams forget idle connections without notice, sooner than they say. Whatever is sent
    next is reset, and a request that must not run twice is lost with it.
    """

    def __init__(self) -> None:
        """Start without a limit."""
        self._limit_ms = float("inf")
        self._learned_ms = 0.0

    def learn(self, rested_ms: float) -> None:
        """Take note that a connection was reset at the first use after a rest."""
        if rested_ms >= LEAST_REST_MS:
            self._limit_ms = min(self.limit_ms(), max(LEAST_REST_MS, rested_ms * _REST_SHARE))
            self._learned_ms = now_ms()

    def limit_ms(self) -> float:
        """Return the longest rest after which a connection is used again."""
        return self._limit_ms if now_ms() - self._learned_ms < REST_MEMORY_MS else float("inf")


class ConnectionPool:
    """Keep idle connections to one upstream."""

    def __init__(
        self,
        address: Address,
        rest_limit: RestLimit | None = None,
        activity: LinkActivity | None = None,
    ) -> None:
        """Connect to an address on demand.

        :param rest_limit: what is known of the rest that upstreams allow, shared between pools.
        :param activity: records the connections that are opened, shared between pools.
        """
        self.address = address
        self.rest_limit = rest_limit or RestLimit()
        self._activity = activity or LinkActivity()
        self._idle: deque[UpstreamConnection] = deque()
        self.opened = 0

    async def take(self, longest_rest_ms: float, request_id: str = "") -> UpstreamConnection:
        """Return a kept connection that is usable, or a new one.

        :param longest_rest_ms: longest rest of a kept connection.
        :param request_id: request to send; connections on which it was refused are not used.
        :raises UpstreamError: when no connection can be opened; the request has not been sent.
        """
        longest_rest_ms = min(longest_rest_ms, self.rest_limit.limit_ms())
        while (connection := self._pop_idle(request_id)) is not None:
            if connection.is_usable(longest_rest_ms):
                connection.rested_ms = now_ms() - connection.idle_since_ms
                return connection
            await connection.aclose()
        return await self._open()

    @property
    def has_idle(self) -> bool:
        """Return whether a connection is kept."""
        return bool(self._idle)

    def _pop_idle(self, request_id: str) -> UpstreamConnection | None:
        """Remove and return the kept connection that was used last and has not refused a request.

        A late copy of the refusal would have the id of the request and count as its response.
        """
        for index in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[index]
            if not connection.has_refused(request_id):
                del self._idle[index]
                return connection
        return None

    async def open_idle(self) -> None:
        """Open a connection and keep it for the next request.

        :raises UpstreamError: when it cannot be opened.
        """
        self.give_back(await self._open())

    def give_back(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next request."""
        self._idle.append(connection)

    async def sweep(self) -> None:
        """Close connections that rested too long or were closed by the upstream."""
        # All are judged before the first close, because requests take connections meanwhile.
        resting, self._idle = list(self._idle), deque()
        stale: list[UpstreamConnection] = []
        for connection in resting:
            is_usable = connection.is_usable(float("inf"))
            (self._idle if is_usable else stale).append(connection)
        for connection in stale:
            await connection.aclose()

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _open(self) -> UpstreamConnection:
        try:
            with self._activity.opening(), trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(self.address.host, self.address.port)
        except (OSError, trio.TooSlowError) as error:
            raise UpstreamError(Fault.NOT_CONNECTED, f"cannot connect: {error!r}") from error
        tune(stream)
        self.opened += 1
        return UpstreamConnection(stream)
