"""Send requests to other entry instances and return their responses to callers."""

from __future__ import annotations

from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

import trio

from briardyke.addresses import parse_address
from briardyke.gateway.attempt import (
    MAX_BUFFERED_BYTES,
    MAX_IDLE_MS,
    MAX_IDLE_NOT_RETRYABLE_MS,
    NOT_EXECUTED_STATUSES,
)
from briardyke.gateway.dialect import RelayedCall
from briardyke.gateway.trace import EndedBy
from briardyke.http.exchange import end_to_end, header
from briardyke.http.h11_client import ConnectionPool, Fault, UpstreamError
from briardyke.peer_relay.choice import choose_peer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from briardyke.fleet.records import EntryInstance
    from briardyke.gateway.dialect import ResponseMetadata
    from briardyke.gateway.request_context import RequestContext
    from briardyke.gateway.state import GatewayState
    from briardyke.http.exchange import Answer, Headers
    from briardyke.http.h11_client import UpstreamConnection, UpstreamHead

# Entry instances that one request is sent to; each may have lost its links a moment ago as well.
_MAX_PEERS = 3
_CONNECT_TIMEOUT_S = 0.3
# Time in which the response of a peer returns through this instance.
_RETURN_MARGIN_MS = 10.0
_MIN_REMAINING_MS = 25.0
_MISDIRECTED = 421


class _Outcome(Enum):
    """Outcome of sending a request to one peer."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class PeerRelay:
    """Relay requests through entry instances that reach upstreams; each request passes one."""

    def __init__(
        self,
        instance_id: str,
        state: GatewayState,
        entries: Callable[[], Sequence[EntryInstance]],
        random: random.Random,
    ) -> None:
        """Connect to peers on demand.

        :param instance_id: id of this instance.
        :param state: its state.
        :param entries: returns the ready entry instances.
        """
        self._instance_id = instance_id
        self._state = state
        self._entries = entries
        self._random = random
        self._pools: dict[str, ConnectionPool] = {}

    def is_due(self, context: RequestContext) -> bool:
        """Return whether a request should be sent to a peer instead of an upstream."""
        return (
            self._state.connectivity.is_lost
            and not context.metadata.relayed_by
            and not context.has_tried_peers
            and not (self._state.is_stopping and context.deadline_ms > self._state.stop_ms)
            and self._choose(()) is not None
        )

    def _choose(self, tried: Sequence[str]) -> EntryInstance | None:
        excluded = {self._instance_id, *tried}
        return choose_peer(self._entries(), self._state.data_centre, excluded, self._random)

    async def run(self, context: RequestContext, answer: Answer) -> bool:
        """Send a request, or the rest of a stream, to peers; return whether one has answered.

        A peer that has lost its links too, or stops, states that the request has not run. If the
        connection to a peer ends instead, only a request that may run twice is sent to another one.
        After that, only the instance's own upstreams are left.
        """
        tried: list[str] = []
        while context.remaining_ms > _MIN_REMAINING_MS and len(tried) < _MAX_PEERS:
            peer = self._choose(tried)
            if peer is None:
                break
            tried.append(peer.instance_id)
            outcome = await self._send(context, peer, answer)
            self._state.counters.count(f"peer_relay_{outcome.value}")
            if outcome is _Outcome.ANSWERED:
                return True
            if outcome is _Outcome.UNKNOWN:
                context.may_have_run = True
                context.sent_attempts += 1
                if not context.route.is_retryable or not context.has_attempt:
                    break
        context.has_tried_peers = True
        return False

    async def _send(self, context: RequestContext, peer: EntryInstance, answer: Answer) -> _Outcome:
        """Send a request to one peer and return its response, if there is one, to the caller."""
        sent_bytes = answer.sent_bytes
        async with trio.open_nursery() as nursery:
            outcome, reason = await self._exchange(context, peer, answer, nursery)
            nursery.cancel_scope.cancel()
        context.trace.add_attempt(f"peer:{peer.instance_id}", reason, 0.0)
        counters = self._state.counters
        has_grown = answer.sent_bytes > sent_bytes
        if outcome is _Outcome.ANSWERED:
            name = "served" if answer.status < 400 else "peer_failed"
            context.trace.finish(counters, answer.status, name)
        elif has_grown:
            is_late = context.remaining_ms < _MIN_REMAINING_MS
            ended_by = EndedBy.DEADLINE if is_late else EndedBy.UPSTREAM
            context.trace.finish(
                counters, answer.status, "stream_broken", ended_by, answer.sent_bytes
            )
            return _Outcome.ANSWERED
        return outcome

    async def _exchange(
        self,
        context: RequestContext,
        peer: EntryInstance,
        answer: Answer,
        nursery: trio.Nursery,
    ) -> tuple[_Outcome, str]:
        """Return the outcome of an exchange with a peer, and its reason for the log."""
        pool = self._pool(peer.address)
        connection: UpstreamConnection | None = None
        keeps_open = False
        try:
            with trio.move_on_after(context.remaining_ms / 1000.0):
                connection = await self._connect(pool, context)
                request, headers = context.request, self._headers(context)
                await connection.send(
                    request.method, request.target, headers, request.body, nursery
                )
                head = await connection.read_head(partial(self._is_own, context))
                outcome, reason = await self._take(context, connection, head, answer)
                keeps_open = connection.finish(head)
                return outcome, reason
            return self._unanswered(connection), "no response in time"
        except UpstreamError as error:
            return self._unanswered(connection), str(error)
        finally:
            if connection is not None and keeps_open:
                pool.give_back(connection)
            elif connection is not None:
                await connection.aclose()

    @staticmethod
    def _unanswered(connection: UpstreamConnection | None) -> _Outcome:
        return _Outcome.NOT_RUN if connection is None else _Outcome.UNKNOWN

    async def _take(
        self,
        context: RequestContext,
        connection: UpstreamConnection,
        head: UpstreamHead,
        answer: Answer,
    ) -> tuple[_Outcome, str]:
        """Return a response to the caller, unless the peer states that it cannot serve."""
        response = self._state.dialect.read_response(head.status, head.headers)
        if head.status == _MISDIRECTED and not response.answered_by:
            await connection.read_body(MAX_BUFFERED_BYTES, context.buffer)
            return _Outcome.NOT_RUN, "misdirected"
        if context.may_have_run and head.status in NOT_EXECUTED_STATUSES:
            # The peer speaks for itself, and an upstream of this instance may have run the request.
            await connection.read_body(MAX_BUFFERED_BYTES, context.buffer)
            return _Outcome.NOT_RUN, f"status {head.status}"
        self._record(response)
        if not answer.sent_bytes:
            await self._return(context, connection, head, answer)
        elif _is_stream(head):
            await self._return_events(connection, answer)
        else:
            await connection.read_body(MAX_BUFFERED_BYTES, context.buffer)
            return _Outcome.UNKNOWN, f"status {head.status}"
        return _Outcome.ANSWERED, "answered"

    async def _connect(self, pool: ConnectionPool, context: RequestContext) -> UpstreamConnection:
        """Return a connection to a peer, which is near, within a short time.

        :raises UpstreamError: when there is none.
        """
        max_idle_ms = MAX_IDLE_MS if context.route.is_retryable else MAX_IDLE_NOT_RETRYABLE_MS
        with trio.move_on_after(_CONNECT_TIMEOUT_S):
            return await pool.take(max_idle_ms, context.metadata.request_id)
        raise UpstreamError(Fault.NOT_CONNECTED, "no connection to the peer in time")

    def _headers(self, context: RequestContext) -> Headers:
        remaining_ms = context.remaining_ms - _RETURN_MARGIN_MS
        metadata = context.metadata
        call = RelayedCall(
            self._instance_id,
            self._state.version,
            max(1.0, remaining_ms),
            metadata.last_event_id,
            metadata.resumed_request_id or metadata.request_id,
            sent_attempts=context.sent_attempts,
        )
        return self._state.dialect.relayed_headers(context.request, call)

    def _is_own(self, context: RequestContext, headers: Headers) -> bool:
        request_id = self._state.dialect.read_response(0, headers).request_id
        return request_id in ("", context.metadata.request_id)

    def _record(self, response: ResponseMetadata) -> None:
        """Record what the upstream states of itself, as if it had answered this instance."""
        upstream = self._state.upstreams.get(response.answered_by)
        if upstream is not None:
            upstream.statements.record(upstream.row, response)

    async def _return(
        self,
        context: RequestContext,
        connection: UpstreamConnection,
        head: UpstreamHead,
        answer: Answer,
    ) -> None:
        """Return a response to the caller; one that is not a stream is held until it is whole."""
        headers = self._state.dialect.without_relay_headers(end_to_end(head.headers))
        if not _is_stream(head):
            body = await connection.read_body(MAX_BUFFERED_BYTES * 16, context.buffer)
            await answer.send_whole(head.status, headers, body)
            return
        await answer.start(head.status, headers)
        await self._return_events(connection, answer)

    @staticmethod
    async def _return_events(connection: UpstreamConnection, answer: Answer) -> None:
        while (part := await connection.read_part()) is not None:
            if part:
                await answer.send_part(part)
        await answer.finish()

    def _pool(self, address: str) -> ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(parse_address(address))
        return pool

    async def sweep(self) -> None:
        """Close connections that rested too long, and forget peers that are no longer ready."""
        ready = {entry.address for entry in self._entries()}
        for address in [a for a in self._pools if a not in ready]:
            await self._pools.pop(address).aclose()
        for pool in list(self._pools.values()):
            await pool.sweep()


def _is_stream(head: UpstreamHead) -> bool:
    media_type = header(head.headers, b"content-type") or b""
    return head.status < 300 and media_type.startswith(b"text/event-stream")
