"""Hold one request and the answer that is written to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import h11

from briardyke.clock import now_ms

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

Headers = list[tuple[bytes, bytes]]
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# The highest status of HTTP; h11 rejects those below 100 and accepts all others of three digits.
LAST_STATUS = 599
# Parts of an answer up to this size are sent with one system call.
_JOINED_BYTES = 64 * 1024
_INTERNAL_ERROR = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


def end_to_end(headers: Sequence[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that concern more than one connection, without the body's framing."""
    dropped = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_HEADERS and name not in dropped and name != b"content-length"
    ]


def header(headers: Sequence[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, named in lower case."""
    return next((value for key, value in headers if key == name), None)


@attrs.frozen
class HttpRequest:
    """Hold a request that was read in full.

    :param method: method, in capitals.
    :param target: path and query as received.
    :param headers: headers with names in lower case.
    :param body: the whole body.
    :param received_ms: time at which its head was read, on the runtime's clock.
    """

    method: str
    target: str
    headers: Headers = attrs.field(repr=False)  # may hold API keys
    body: bytes
    received_ms: float = attrs.field(factory=now_ms)

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


class CallerGoneError(Exception):
    """Report that the caller's connection does not take the answer any more."""


class Answer:
    """Write the answer to one request; a streamed one is sent as it grows."""

    def __init__(
        self,
        connection: h11.Connection,
        send: Callable[[bytes], Awaitable[None]],
        is_last: Callable[[], bool] = lambda: False,
    ):
        """Write through a connection's protocol state and its socket.

        :param connection: protocol state of the caller's connection.
        :param send: writes bytes to its socket.
        :param is_last: returns whether the connection closes after an answer that begins now.
        """
        self._connection = connection
        self._send = send
        self._is_last = is_last
        self.is_complete = False
        self.is_caller_gone = False
        self.sent_bytes = 0
        self.status = 0
        self.closes_connection = False

    async def send_whole(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete answer with its length.

        :raises CallerGoneError: when the caller does not take it.
        """
        framed = [*headers, (b"content-length", b"%d" % len(body))]
        await self.start(status, framed)
        await self._write(h11.Data(data=body) if body else None, h11.EndOfMessage())
        self.is_complete = True

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head; without a length the body is sent in chunks."""
        self.closes_connection = self.closes_connection or self._is_last()
        if self.closes_connection:
            headers = [*headers, (b"connection", b"close")]
        self.status = status
        self._head = h11.Response(status_code=status, headers=headers)

    async def send_part(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._write(h11.Data(data=data))

    async def finish(self) -> None:
        """End the body."""
        await self._write(h11.EndOfMessage())
        self.is_complete = True

    async def send_internal_error(self) -> None:
        """Answer with 500 and close; only for an answer of which nothing was sent."""
        self.closes_connection = True
        # h11 accepts no other answer after a rejected one.
        await self._transmit(_INTERNAL_ERROR)

    async def _write(self, *events: h11.Event | None) -> None:
        if self.is_caller_gone:
            raise CallerGoneError("the caller has left")
        parts: list[bytes] = []
        if self._head is not None:
            parts.append(self._connection.send(self._head) or b"")
            self._head = None
        for event in events:
            if event is not None:
                parts += self._connection.send_with_data_passthrough(event) or ()
        # A long body is sent as it is, since a copy would take its size once more.
        if sum(len(part) for part in parts) <= _JOINED_BYTES:
            parts = [b"".join(parts)]
        for part in parts:
            if part:
                await self._transmit(part)

    async def _transmit(self, data: bytes) -> None:
        try:
            await self._send(data)
        except CallerGoneError:
            self.is_caller_gone = True
            raise
        self.sent_bytes += len(data)

    _head: h11.Response | None = None
