"""Serve HTTP/1.1 connections with h11 on trio.

It stands beside the hypercorn application because a relay needs what that does not offer: the
moment at which a caller goes, answers that end without looking complete, and the close of kept
connections only between requests.
"""

from __future__ import annotations

import select
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import h11
import trio

from briardyke.clock import now_ms
from briardyke.http.exchange import Answer, CallerGoneError, HttpRequest
from briardyke.http.memory_budget import Kind, MemoryBudget
from briardyke.http.memory_queue import MemoryQueue
from briardyke.http.request_reader import (
    FIRST_READ_BYTES,
    RequestReader,
    RequestRefusedError,
    ServerLimits,
)
from briardyke.http.sockets import bound_receive_buffer, tune
from briardyke.http.tracebacks import clear_frames
from briardyke.logs import log_debug, log_error, log_limited

if TYPE_CHECKING:
    from briardyke.addresses import Address
    from briardyke.http.memory_budget import Share

Handler = Callable[[HttpRequest, Answer], Awaitable[None]]
_READ_BYTES = 65536
# Task, protocol state and one read of a connection.
CONNECTION_BYTES = 32 * 1024
_CONNECTION_WAIT_S = 1.0
# A caller that is still sending when its connection closes sees a reset instead of the answer, so
# what it sends after a refusal is read and thrown away, up to this amount and time.
_LINGER_BYTES = 16 * 1024 * 1024
_LINGER_S = 2.0
# A caller that sends the next requests early fills this much before reading stops.
_MAX_EARLY_BYTES = 256 * 1024
_BACKLOG = 512
# A caller must take this much of a response within this time, else its request is given up. A
# process that waits for it holds the response, and the upstream its slot.
_SEND_BYTES = 16 * 1024
_SEND_TIMEOUT_S = 5.0
# Time for the first bytes of a request on a connection that a stop has found open: its way from the
# caller and one retransmission.
LAST_REQUEST_S = 0.25


class H11Server:
    """Accept connections and hand each request to a handler."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ServerLimits] = ServerLimits,
        memory: MemoryQueue | None = None,
    ) -> None:
        """Serve with a handler.

        :param handler: answers one request; it is cancelled when the caller goes.
        :param limits: returns the bounds in force.
        :param memory: memory budget of the process; by default one of its own.
        """
        self.memory = memory or MemoryQueue(MemoryBudget())
        self._handler = handler
        self.limits = limits
        self.is_closing = False
        self.in_flight = 0
        self.connections = 0
        self._closed = trio.Event()
        self._accepting = trio.CancelScope()
        # In the order in which they began to rest: connections without a request so far, and kept.
        self._unused: dict[trio.CancelScope, None] = {}
        self._idle: dict[trio.CancelScope, None] = {}

    async def serve(
        self, address: Address, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen until cancelled.

        :raises OSError: when the address cannot be bound.
        """
        listeners = await trio.open_tcp_listeners(address.port, host=address.host, backlog=_BACKLOG)
        if self.memory.budget.bounds_kernel_buffers:
            for listener in listeners:
                bound_receive_buffer(listener.socket)
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
        for scope in (*self._unused, *self._idle):
            scope.cancel()

    def _shed_resting(self) -> None:
        """Close the connection that rests longest, first one that has never carried a request.

        Load: clients open connections until the descriptors for upstreams are used up.
        """
        for resting in (self._unused, self._idle):
            if resting:
                scope = next(iter(resting))
                del resting[scope]
                scope.cancel()
                self.memory.budget.count_refusal("connection_rested")
                return

    def stop_accepting(self) -> None:
        """Close the listener; connections that were accepted go on."""
        self._accepting.cancel()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        share = self.memory.budget.open(Kind.CONNECTIONS)
        share.started_ms = now_ms()
        if self.memory.budget.has_many_connections:
            self._shed_resting()
        try:
            if await self.memory.reserve(share, CONNECTION_BYTES, _CONNECTION_WAIT_S):
                await self._serve_stream(stream)
            else:
                self.memory.budget.count_refusal("connection")
                log_limited("connection_refused", is_routine=False, connections=self.connections)
                await trio.aclose_forcefully(stream)
        finally:
            share.release()
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
            await self._run_handler(request, answer)
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

    async def _run_handler(self, request: HttpRequest, answer: Answer) -> None:
        try:
            await self._handler(request, answer)
        except BaseException as error:
            clear_frames(error)
            raise


class _Connection:
    """Serve the requests of one connection, one after the other."""

    def __init__(self, server: H11Server, stream: trio.SocketStream) -> None:
        self._server = server
        self._stream = stream
        self._protocol = _protocol(server.limits())
        self._is_used = False

    async def run(self) -> None:
        while await self._await_first_byte():
            self._is_used = True
            share = self._server.memory.budget.open(Kind.REQUESTS)
            try:
                is_kept = await self._serve_request(share)
            finally:
                share.release()
            if not is_kept:
                return
            if self._protocol.our_state is not h11.DONE:
                return
            if self._protocol.their_state is not h11.DONE:
                return
            self._protocol.start_next_cycle()

    async def _serve_request(self, share: Share) -> bool:
        """Read one request and answer it; return whether the connection may be kept."""
        limits = self._server.limits()
        self._renew_protocol(limits)
        # The errors are not kept, since their tracebacks would keep the body.
        try:
            request = await RequestReader(
                self._stream, self._protocol, limits, share, self._server.memory
            ).read()
        except h11.RemoteProtocolError as error:
            status, reason = error.error_status_hint, "malformed"
        except RequestRefusedError as error:
            status, reason = error.status, error.reason
        else:
            return request is not None and await self._answer(request, share)
        held_bytes = share.held_bytes
        share.release()
        await self._refuse(status, reason, held_bytes)
        return False

    def _renew_protocol(self, limits: ServerLimits) -> None:
        """Begin a request with the limits in force, which h11 cannot change later."""
        received, _ = self._protocol.trailing_data
        self._protocol = _protocol(limits)
        if received:
            self._protocol.receive_data(received)

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
                resting = self._server._idle if self._is_used else self._server._unused
                resting[scope] = None
                try:
                    return await self._receive_first()
                finally:
                    is_shed = resting.pop(scope, scope) is scope
            if is_shed and not self._server.is_closing:
                return self._is_readable() and await self._receive_first()
        with trio.move_on_after(LAST_REQUEST_S):
            return await self._receive_first()
        return False

    def _is_readable(self) -> bool:
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def _receive_first(self) -> bool:
        data = await self._stream.receive_some(FIRST_READ_BYTES)
        self._protocol.receive_data(data)
        return bool(data)

    async def _answer(self, request: HttpRequest, share: Share) -> bool:
        """Run the handler beside a watch for the caller's close; return whether to go on."""
        answer = Answer(self._protocol, self._send, lambda: self._server.is_closing)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, answer, share, nursery.cancel_scope)
            await self._server.handle(request, answer)
            nursery.cancel_scope.cancel()
        return answer.is_complete and not answer.closes_connection

    async def _watch(self, answer: Answer, share: Share, scope: trio.CancelScope) -> None:
        """Read early requests until the caller closes, as far as memory is granted."""
        early = 0
        while early < _MAX_EARLY_BYTES:
            try:
                data = await self._stream.receive_some(FIRST_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                answer.is_caller_gone = True
                scope.cancel()
                return
            early += len(data)
            self._protocol.receive_data(data)
            await self._server.memory.reserve(share, len(data), float("inf"))

    async def _send(self, data: bytes) -> None:
        """Send bytes, and give up a caller that takes them at less than the least rate."""
        view = memoryview(data)
        for start in range(0, len(view), _SEND_BYTES):
            with trio.move_on_after(_SEND_TIMEOUT_S) as scope:
                try:
                    await self._stream.send_all(view[start : start + _SEND_BYTES])
                except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                    raise CallerGoneError(str(error)) from error
            if scope.cancelled_caught:
                self._server.memory.budget.count_refusal("response_unread")
                log_limited("response_unread", is_routine=False, unsent_bytes=len(view) - start)
                raise CallerGoneError("the caller does not read the response")

    async def _refuse(self, status: int, reason: str, held_bytes: int) -> None:
        """Answer a request that was not read to its end, and close without losing the answer."""
        self._server.memory.budget.count_refusal(reason)
        log_limited(
            "request_refused_unread",
            is_routine=True,
            status=status,
            reason=reason,
            held_bytes=held_bytes,
        )
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        answer = Answer(self._protocol, self._send)
        answer.closes_connection = True
        headers = [(b"retry-after", b"1")] if status == 503 else []
        await answer.send_whole(status, headers)
        self._protocol = _protocol(ServerLimits())  # the former one holds what was read last
        with trio.move_on_after(_LINGER_S):
            await self._stream.send_eof()
            left_bytes = _LINGER_BYTES
            while left_bytes > 0 and (data := await self._stream.receive_some(_READ_BYTES)):
                left_bytes -= len(data)


def _protocol(limits: ServerLimits) -> h11.Connection:
    """Return the state of a connection between two requests."""
    size = limits.max_header_bytes + 1024
    return h11.Connection(h11.SERVER, max_incomplete_event_size=size)
