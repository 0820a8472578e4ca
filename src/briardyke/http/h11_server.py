"""Serve HTTP/1.1 connections with h11 on trio.

It stands beside the hypercorn application because a relay needs what that does not offer: the
moment at which a caller goes, answers that end without looking complete, and the close of kept
connections only between requests.
"""

from __future__ import annotations

import select
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import attrs
import h11
import trio

from briardyke.clock import now_ms
from briardyke.http.exchange import Answer, CallerGoneError, HttpRequest
from briardyke.http.sockets import tune
from briardyke.logs import log_debug, log_error

if TYPE_CHECKING:
    from briardyke.addresses import Address

Handler = Callable[[HttpRequest, Answer], Awaitable[None]]
_READ_BYTES = 65536
# A caller that sends the next requests early fills this much before reading stops.
_MAX_EARLY_BYTES = 256 * 1024
_BACKLOG = 512
# Time for the first bytes of a request on a connection that a stop has found open: its way from the
# caller and one retransmission.
LAST_REQUEST_S = 0.25


@attrs.frozen
class ServerLimits:
    """Bound what a caller may send and how long it may take.

    :param max_header_bytes: largest request head.
    :param max_body_bytes: largest body.
    :param header_timeout_ms: longest time for a request, from its first byte.
    :param idle_timeout_ms: longest rest between two requests.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class H11Server:
    """Accept connections and hand each request to a handler."""

    def __init__(self, handler: Handler, limits: Callable[[], ServerLimits] = ServerLimits) -> None:
        """Serve with a handler.

        :param handler: answers one request; it is cancelled when the caller goes.
        :param limits: returns the bounds in force.
        """
        self._handler = handler
        self.limits = limits
        self.is_closing = False
        self.in_flight = 0
        self.connections = 0
        self._closed = trio.Event()
        self._accepting = trio.CancelScope()
        self._idle: set[trio.CancelScope] = set()

    async def serve(
        self, address: Address, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen until cancelled.

        :raises OSError: when the address cannot be bound.
        """
        listeners = await trio.open_tcp_listeners(address.port, host=address.host, backlog=_BACKLOG)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._accept, listeners, nursery)
            task_status.started(listeners[0].socket.getsockname()[1])

    async def _accept(self, listeners: list[trio.SocketListener], nursery: trio.Nursery) -> None:
        with self._accepting:
            await trio.serve_listeners(self._serve_connection, listeners, handler_nursery=nursery)

    async def wait_closed(self) -> None:
        """Wait until no connection is open."""
        while self.connections:
            self._closed = trio.Event()
            await self._closed.wait()

    def close_idle(self) -> None:
        """Close kept connections that rest, and every other one after its present request.

        Load: a stop under load meets requests that have arrived and are not read yet, and callers
        that still connect. These are answered too, each as the last one of its connection.
        """
        self.is_closing = True
        for scope in self._idle:
            scope.cancel()

    def stop_accepting(self) -> None:
        """Close the listener; connections that were accepted go on."""
        self._accepting.cancel()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        try:
            await self._serve_stream(stream)
        finally:
            self.connections -= 1
            self._closed.set()

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        tune(stream)
        try:
            await _Connection(self, stream).run()
        except* (
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            CallerGoneError,
        ) as group:
            log_debug("caller_connection_lost", reason=repr(group.exceptions[0]))
        except* Exception as group:
            # A defect met by one connection must not end the others with the process.
            log_error("connection_failed", reason=repr(group.exceptions))
        finally:
            await trio.aclose_forcefully(stream)

    async def handle(self, request: HttpRequest, answer: Answer) -> None:
        """Run the handler; a defect ends in an answer without detail."""
        self.in_flight += 1
        failed = False
        try:
            await self._handler(request, answer)
            if not answer.is_complete and not answer.sent_bytes:
                raise RuntimeError("the handler sent no answer")
        except* CallerGoneError as group:
            log_debug("caller_gone", reason=repr(group.exceptions[0]))
        except* Exception as group:
            log_error("request_handler_failed", path=request.path, reason=repr(group.exceptions))
            failed = True
        finally:
            self.in_flight -= 1
        if failed and not answer.sent_bytes and not answer.is_caller_gone:
            await answer.send_internal_error()


class _Connection:
    """Serve the requests of one connection, one after the other."""

    def __init__(self, server: H11Server, stream: trio.SocketStream) -> None:
        self._server = server
        self._stream = stream
        self._protocol = _protocol(server.limits())

    async def run(self) -> None:
        while True:
            request = await self._next_request()
            if request is None or not await self._answer(request):
                return
            if self._protocol.our_state is not h11.DONE:
                return
            if self._protocol.their_state is not h11.DONE:
                return
            self._protocol.start_next_cycle()

    async def _next_request(self) -> HttpRequest | None:
        if not await self._await_first_byte():
            return None
        limits = self._server.limits()
        # The limit may have changed since the connection was opened, and h11 cannot change it.
        received, _ = self._protocol.trailing_data
        self._protocol = _protocol(limits)
        if received:
            self._protocol.receive_data(received)
        with trio.move_on_after(limits.header_timeout_ms / 1000.0) as scope:
            try:
                return await self._read_request(limits)
            except h11.RemoteProtocolError as error:
                await self._refuse(error.error_status_hint)
        if scope.cancelled_caught:
            await self._refuse(408)
        return None

    async def _await_first_byte(self) -> bool:
        """Wait between requests; return whether another one begins."""
        if self._protocol.trailing_data[0]:
            return True
        idle_since = trio.current_time()
        while not self._server.is_closing:
            # Callers reuse a connection up to four fifths of the advertised rest, so the whole of
            # it plus a quarter leaves them the time that a request needs on its way. The limit may
            # have become longer while the connection rested.
            idle_s = self._server.limits().idle_timeout_ms * 1.25 / 1000.0
            left_s = idle_since + idle_s - trio.current_time()
            if left_s <= 0:
                return self._is_readable() and await self._receive_first()
            with trio.move_on_after(left_s) as scope:
                self._server._idle.add(scope)
                try:
                    return await self._receive_first()
                finally:
                    self._server._idle.discard(scope)
        with trio.move_on_after(LAST_REQUEST_S):
            return await self._receive_first()
        return False

    def _is_readable(self) -> bool:
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def _receive_first(self) -> bool:
        data = await self._stream.receive_some(_READ_BYTES)
        self._protocol.receive_data(data)
        return bool(data)

    async def _read_request(self, limits: ServerLimits) -> HttpRequest | None:
        head: h11.Request | None = None
        received_ms = now_ms()
        body = bytearray()
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                if self._protocol.they_are_waiting_for_100_continue:
                    go = h11.InformationalResponse(status_code=100, headers=[])
                    await self._stream.send_all(self._protocol.send(go) or b"")
                self._protocol.receive_data(await self._stream.receive_some(_READ_BYTES))
            elif isinstance(event, h11.Request):
                head, received_ms = event, now_ms()
                if _head_bytes(head) > limits.max_header_bytes:
                    await self._refuse(431)
                    return None
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.max_body_bytes:
                    await self._refuse(413)
                    return None
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return HttpRequest(
                    head.method.decode("ascii"),
                    head.target.decode("latin-1"),
                    list(head.headers),
                    bytes(body),
                    received_ms,
                )
            else:
                return None

    async def _answer(self, request: HttpRequest) -> bool:
        """Run the handler beside a watch for the caller's close; return whether to go on."""
        answer = Answer(self._protocol, self._send, lambda: self._server.is_closing)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, answer, nursery.cancel_scope)
            await self._server.handle(request, answer)
            nursery.cancel_scope.cancel()
        return answer.is_complete and not answer.closes_connection

    async def _watch(self, answer: Answer, scope: trio.CancelScope) -> None:
        early = 0
        while early < _MAX_EARLY_BYTES:
            try:
                data = await self._stream.receive_some(_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                answer.is_caller_gone = True
                scope.cancel()
                return
            early += len(data)
            self._protocol.receive_data(data)

    async def _send(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGoneError(str(error)) from error

    async def _refuse(self, status: int) -> None:
        if self._protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            answer = Answer(self._protocol, self._send)
            answer.closes_connection = True
            await answer.send_whole(status, [])


def _protocol(limits: ServerLimits) -> h11.Connection:
    """Return the state of a connection between two requests."""
    size = limits.max_header_bytes + 1024
    return h11.Connection(h11.SERVER, max_incomplete_event_size=size)


def _head_bytes(head: h11.Request) -> int:
    """Return the size of a request's head; h11 itself bounds only one that is not complete."""
    fields = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.method) + len(head.target) + 12 + fields
