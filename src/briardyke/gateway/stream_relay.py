"""Relay the events of a stream to its caller, and resume it on another upstream."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.clock import now_ms
from briardyke.gateway.admission import caller_event_timeout_ms
from briardyke.gateway.event_stream import EventSplitter, EventStreamError
from briardyke.gateway.request_context import RequestContext
from briardyke.gateway.stream_source import Events, StreamSource
from briardyke.gateway.trace import EndedBy
from briardyke.gateway.upstream_attempts import MIN_ATTEMPT_MS
from briardyke.http.exchange import Answer, end_to_end
from briardyke.http.h11_client import UpstreamError
from briardyke.logs import log_limited

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.gateway.attempt import AttemptResult
    from briardyke.gateway.state import GatewayState
    from briardyke.gateway.upstream_attempts import UpstreamAttempts
    from briardyke.gateway.upstreams import UpstreamState

# Fraction of the caller's event timeout after which a stalled stream is resumed on another
# upstream, in time for that one to send an event.
_STALL_TIMEOUT_FRACTION = 0.65
# Interval at which a stalled stream without an alternative looks for one again.
_ALTERNATIVE_INTERVAL_MS = 250.0
# Longest time for which a stalled upstream keeps a request that another one has received. Two
# upstreams may work on it for 400 ms, which includes the way of the close.
_MAX_OVERLAP_S = 0.25
# Weight of one event in an upstream's mean service time; the mean covers the events of about one
# second.
_EVENT_WEIGHT = 0.03


@attrs.define
class _Relay:
    """One stream on its way to the caller.

    :param context: state of its request.
    :param answer: answer to the caller.
    :param splitter: splits the stream into events.
    :param nursery: runs the tasks that write long bodies.
    :param source: upstream that sends it.
    :param progress_ms: time of the last complete event, or of the start at this source.
    :param has_events: whether this source has sent a complete event.
    """

    context: RequestContext
    answer: Answer
    splitter: EventSplitter
    nursery: trio.Nursery
    source: StreamSource
    progress_ms: float = attrs.field(factory=now_ms)
    has_events: bool = False

    async def switch(self, source: StreamSource) -> None:
        """Continue with another upstream."""
        former, self.source = self.source, source
        self.progress_ms = now_ms()
        self.has_events = False
        self.splitter.drop_partial()
        await former.aclose()


class StreamRelay:
    """Relay streams from upstreams to callers."""

    def __init__(self, state: GatewayState, attempts: UpstreamAttempts) -> None:
        """Resume streams with further attempts."""
        self._state = state
        self._attempts = attempts

    async def deliver(
        self,
        context: RequestContext,
        upstream: UpstreamState,
        attempt: AttemptResult,
        answer: Answer,
        nursery: trio.Nursery,
    ) -> None:
        """Forward a stream until its end, resuming it on other upstreams.

        Nothing is sent to the caller of a stream that ends before its first event.
        """
        assert attempt.head is not None and attempt.connection is not None
        status, headers = attempt.head.status, end_to_end(attempt.head.headers)
        source = StreamSource(upstream, attempt.connection, attempt.head)
        splitter = EventSplitter(context.metadata.last_event_id)
        relay = _Relay(context, answer, splitter, nursery, source)
        try:
            await answer.start(status, headers)
            is_whole = await self._relay_events(relay)
            while not is_whole and self._may_resume(relay):
                next_upstream = await self._attempts.next_upstream(context)
                if next_upstream is None or not self._may_send(relay):
                    break
                successor = await self._resume(relay, next_upstream)
                if successor is not None:
                    await relay.switch(successor)
                    is_whole = await self._relay_events(relay)
        finally:
            await relay.source.aclose()
        if is_whole:
            await answer.finish()
            self._state.streams.finish(
                context.metadata.resumed_request_id or context.metadata.request_id
            )
            context.trace.finish(self._state.counters, status, "served")
            return
        if not answer.sent_bytes:
            return
        is_late = context.remaining_ms < MIN_ATTEMPT_MS
        ended_by = EndedBy.DEADLINE if is_late else EndedBy.UPSTREAM
        context.trace.finish(
            self._state.counters, status, "stream_broken", ended_by, answer.sent_bytes
        )

    def _may_resume(self, relay: _Relay) -> bool:
        context = relay.context
        if not context.trace.events and self._state.quarantine.holds_back(context.metadata):
            return False
        return (
            context.route.is_resumable
            and relay.splitter.is_resumable
            and context.remaining_ms >= MIN_ATTEMPT_MS
            and context.sent_attempts < context.route.max_attempts
        )

    def _may_send(self, relay: _Relay) -> bool:
        """Return whether the rest may be requested now; it may have waited for an upstream."""
        context, gate = relay.context, self._state.quarantine
        if gate.quarantined_part(context.metadata, context.trial_part) is not None:
            return False
        return self._attempts.spend_retry(context, "resumed")

    async def _resume(
        self, relay: _Relay, upstream: UpstreamState, on_sent: Callable[[], None] | None = None
    ) -> StreamSource | None:
        """Return the rest of the stream from another upstream, or ``None`` when it has none."""
        context = relay.context
        context.metadata = attrs.evolve(
            context.metadata, last_event_id=relay.splitter.last_event_id
        )
        attempt = await self._attempts.run(context, upstream, relay.nursery, on_sent)
        if attempt.connection is None or attempt.head is None:
            return None
        return StreamSource(upstream, attempt.connection, attempt.head)

    async def _relay_events(self, relay: _Relay) -> bool:
        """Forward events as they arrive; return whether the stream ended normally."""
        context = relay.context
        is_lost = False
        try:
            while context.remaining_ms > 0:
                events = await self._next_events(relay)
                if events is None:
                    continue
                await self._forward(relay, events)
                if events.is_last:
                    relay.source.keep_connection()
                    return True
            reason = "stream_broken"
        except EventStreamError as error:
            reason = str(error)
        except UpstreamError as error:
            reason = str(error)
            is_lost = not relay.has_events
        self._record_failure(relay, reason)
        await relay.source.aclose()
        if is_lost and self._state.is_engine(context.service):
            await self._state.quarantine.record_loss(relay.source.upstream.row, context.metadata)
        relay.splitter.drop_partial()
        return False

    def _record_failure(self, relay: _Relay, reason: str) -> None:
        upstream = relay.source.upstream
        upstream.health.record_failure(now_ms())
        relay.context.trace.add_attempt(upstream.row.upstream_id, reason, upstream.load())

    async def _next_events(self, relay: _Relay) -> Events | None:
        """Return the next events, or ``None`` when none arrived in time.

        Only complete events are progress: a stalled upstream may still send single bytes. Without
        an alternative, the stream goes on until the deadline.
        """
        stall_timeout_ms = caller_event_timeout_ms(relay.context.route) * _STALL_TIMEOUT_FRACTION
        stall_left_ms = relay.progress_ms + stall_timeout_ms - now_ms()
        wait_ms = stall_left_ms if stall_left_ms > 0 else _ALTERNATIVE_INTERVAL_MS
        with trio.move_on_after(min(wait_ms, relay.context.remaining_ms) / 1000.0):
            return await relay.source.next_events(relay.splitter)
        candidates = self._attempts.candidates(relay.context) if self._may_resume(relay) else []
        if candidates:
            self._log_stall(relay, candidates)
            return await self._replace_source(relay)
        return None

    def _log_stall(self, relay: _Relay, candidates: list[UpstreamState]) -> None:
        self._state.counters.count("stream_stalled")
        log_limited(
            "stream_stalled",
            is_routine=True,
            request=relay.context.metadata.request_id,
            upstream=relay.source.upstream.row.upstream_id,
            stalled_ms=round(now_ms() - relay.progress_ms),
            upstream_silent_ms=_rounded(relay.source.upstream.silent_ms),
            others_silent_ms=",".join(
                f"{s.row.upstream_id}:{_rounded(s.silent_ms)}" for s in candidates
            ),
            version=self._state.version,
        )

    async def _replace_source(self, relay: _Relay) -> Events | None:
        """Resume a stalled stream elsewhere, unless its upstream goes on before.

        The stalled upstream is read until another one has received the request. Its connection
        stays open a little longer, so that the stream can still go on there when the other
        upstream refuses the request or fails at once.
        """
        context, source = relay.context, relay.source
        upstream: UpstreamState | None = None
        successor: StreamSource | None = None
        events: Events | None = None
        sent = trio.Event()
        reading = trio.CancelScope()

        async def read() -> None:
            nonlocal events
            # The next reader meets the same failure again.
            with reading, contextlib.suppress(UpstreamError, EventStreamError):
                events = await source.next_events(relay.splitter)
                nursery.cancel_scope.cancel()

        async def limit_overlap() -> None:
            await sent.wait()
            await trio.sleep(_MAX_OVERLAP_S)
            await source.aclose()

        def on_sent() -> None:
            reading.cancel()
            sent.set()

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                nursery.start_soon(limit_overlap)
                upstream = await self._attempts.next_upstream(context)
                if upstream is not None and self._may_send(relay):
                    successor = await self._resume(relay, upstream, on_sent)
                nursery.cancel_scope.cancel()
        finally:
            if events is None and successor is not None:
                self._record_failure(relay, "stalled")
                await relay.switch(successor)
            elif successor is not None:
                await successor.aclose()
        if events is not None and upstream is not None and not sent.is_set():
            context.tried_upstreams.discard(upstream.row.upstream_id)
        return events

    async def _forward(self, relay: _Relay, events: Events) -> None:
        context, upstream = relay.context, relay.source.upstream
        if not events.data:
            return
        if events.count and context.software_version is None:
            context.software_version = upstream.row.software_version
            if context.route.is_resumable:
                await self._state.streams.begin(
                    context.metadata.request_id, context.service, context.software_version
                )
        await relay.answer.send_part(events.data)
        took_ms = now_ms() - relay.progress_ms
        for _ in range(events.count):
            upstream.observe_service_time(took_ms / events.count, _EVENT_WEIGHT)
        if context.trace.events and events.count:
            upstream.observe_event_interval(took_ms / events.count)
        if events.count and not relay.has_events:
            relay.has_events = True
            self._state.quarantine.record_response(context.metadata)
        context.trace.add_events(events.count, took_ms, upstream.row.software_version)
        context.last_progress_ms = relay.progress_ms = now_ms()


def _rounded(silent_ms: float | None) -> str:
    return "unknown" if silent_ms is None else str(round(silent_ms))
