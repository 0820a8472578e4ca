"""Relay the events of a stream to its caller, and resume it on another upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.clock import now_ms
from briardyke.gateway.admission import caller_event_timeout_ms
from briardyke.gateway.event_stream import EventSplitter, EventTooLongError
from briardyke.gateway.trace import EndedBy
from briardyke.gateway.upstream_attempts import MIN_ATTEMPT_MS
from briardyke.http.exchange import end_to_end
from briardyke.http.h11_client import UpstreamError

if TYPE_CHECKING:
    from briardyke.gateway.attempt import AttemptResult
    from briardyke.gateway.request_context import RequestContext
    from briardyke.gateway.state import GatewayState
    from briardyke.gateway.upstream_attempts import UpstreamAttempts
    from briardyke.gateway.upstreams import UpstreamState
    from briardyke.http.exchange import Answer
    from briardyke.http.h11_client import UpstreamConnection

# Fraction of the caller's event timeout after which a stalled stream is resumed on another
# upstream, in time for that one to send an event.
_STALL_TIMEOUT_FRACTION = 0.65
# Weight of one event in an upstream's mean service time; the mean covers the events of about one
# second.
_EVENT_WEIGHT = 0.03


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
        """Forward a stream until its end, resuming it on other upstreams."""
        assert attempt.head is not None
        status, headers = attempt.head.status, end_to_end(attempt.head.headers)
        await answer.start(status, headers)
        splitter = EventSplitter(context.metadata.last_event_id)
        is_whole = await self._relay(context, upstream, attempt, answer, splitter)
        while not is_whole and self._may_resume(context, splitter):
            next_upstream = await self._attempts.next_upstream(context)
            if next_upstream is None:
                break
            context.metadata = attrs.evolve(context.metadata, last_event_id=splitter.last_event_id)
            attempt = await self._attempts.run(context, next_upstream, nursery)
            if attempt.connection is None:
                continue
            is_whole = await self._relay(context, next_upstream, attempt, answer, splitter)
        if is_whole:
            await answer.finish()
            context.trace.finish(self._state.counters, status, "served")
            return
        is_late = context.remaining_ms < MIN_ATTEMPT_MS
        ended_by = EndedBy.DEADLINE if is_late else EndedBy.UPSTREAM
        context.trace.finish(
            self._state.counters, status, "stream_broken", ended_by, answer.sent_bytes
        )

    def _may_resume(self, context: RequestContext, splitter: EventSplitter) -> bool:
        if not context.route.is_resumable or context.remaining_ms < MIN_ATTEMPT_MS:
            return False
        if context.sent_attempts >= context.route.max_attempts:
            return False
        return self._attempts.spend_retry(context, "resumed")

    async def _relay(
        self,
        context: RequestContext,
        upstream: UpstreamState,
        attempt: AttemptResult,
        answer: Answer,
        splitter: EventSplitter,
    ) -> bool:
        """Forward events as they arrive; return whether the stream ended normally."""
        connection = attempt.connection
        assert connection is not None and attempt.head is not None
        is_returned = False
        try:
            is_whole = await self._relay_events(context, upstream, connection, answer, splitter)
            if is_whole and connection.finish(attempt.head):
                upstream.pool.give_back(connection)
                is_returned = True
            if not is_whole:
                upstream.health.record_failure(now_ms())
                context.trace.add_attempt(
                    upstream.row.upstream_id, "stream_broken", upstream.load()
                )
            return is_whole
        finally:
            upstream.in_flight -= 1
            splitter.drop_partial()
            if not is_returned:
                await connection.aclose()

    async def _relay_events(
        self,
        context: RequestContext,
        upstream: UpstreamState,
        connection: UpstreamConnection,
        answer: Answer,
        splitter: EventSplitter,
    ) -> bool:
        last_ms, count = now_ms(), splitter.count
        stall_timeout_ms = caller_event_timeout_ms(context.route) * _STALL_TIMEOUT_FRACTION
        while (left_ms := context.remaining_ms) > 0:
            part: bytes | None = b""
            # Only complete events are progress: a stalled upstream may still send single bytes.
            stall_left_ms = last_ms + stall_timeout_ms - now_ms()
            if stall_left_ms <= 0 and self._has_alternative(context):
                return False
            # Without an alternative, the stream goes on until the deadline.
            wait_ms = stall_left_ms if stall_left_ms > 0 else stall_timeout_ms
            try:
                with trio.move_on_after(min(wait_ms, left_ms) / 1000.0) as scope:
                    part = await connection.read_part()
                if scope.cancelled_caught:
                    continue
                whole = splitter.take_remainder() if part is None else splitter.feed(part)
            except (UpstreamError, EventTooLongError) as error:
                context.trace.add_attempt(upstream.row.upstream_id, str(error), upstream.load())
                return False
            if whole:
                await answer.send_part(whole)
                new, took_ms = splitter.count - count, now_ms() - last_ms
                for _ in range(new):
                    upstream.observe_service_time(took_ms / new, _EVENT_WEIGHT)
                if context.trace.events and new:
                    upstream.observe_event_interval(took_ms / new)
                context.trace.add_events(new, took_ms)
                context.last_progress_ms = last_ms = now_ms()
                count = splitter.count
            if part is None:
                return True
        return False

    def _has_alternative(self, context: RequestContext) -> bool:
        """Return whether a stalled stream could resume on another upstream now."""
        if not context.route.is_resumable or context.sent_attempts >= context.route.max_attempts:
            return False
        return bool(self._attempts.candidates(context))
