"""Relay the events of a stream to its caller, and resume it on another upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.clock import now_ms
from briardyke.gateway.admission import caller_event_timeout_ms
from briardyke.gateway.charging import refund
from briardyke.gateway.event_stream import EventSplitter, EventStreamError
from briardyke.gateway.request_context import RequestContext
from briardyke.gateway.stream_handover import hand_over
from briardyke.gateway.stream_source import Events, StreamSource
from briardyke.gateway.trace import EndedBy
from briardyke.gateway.upstream_attempts import MIN_ATTEMPT_MS
from briardyke.http.exchange import Answer, Headers
from briardyke.http.h11_client import UpstreamError
from briardyke.logs import log_limited

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.gateway.attempt import AttemptResult
    from briardyke.gateway.hedged_attempts import HedgedAttempts
    from briardyke.gateway.state import GatewayState
    from briardyke.gateway.upstream_attempts import UpstreamAttempts
    from briardyke.gateway.upstreams import UpstreamState

# Fraction of the caller's event timeout after which a stalled stream is resumed on another
# upstream, in time for that one to send an event.
_STALL_TIMEOUT_FRACTION = 0.65
# Interval at which a stalled stream without an alternative looks for one again.
_ALTERNATIVE_INTERVAL_MS = 250.0
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

    async def switch(self, source: StreamSource, splitter: EventSplitter) -> None:
        """Continue with another upstream."""
        former, self.source = self.source, source
        self.progress_ms = now_ms()
        self.has_events = False
        self.splitter = splitter
        await former.aclose()


class StreamRelay:
    """Relay streams from upstreams to callers."""

    def __init__(
        self, state: GatewayState, attempts: UpstreamAttempts, hedged: HedgedAttempts
    ) -> None:
        """Resume streams with further attempts."""
        self._state = state
        self._attempts = attempts
        self._hedged = hedged

    async def deliver(
        self,
        context: RequestContext,
        upstream: UpstreamState,
        attempt: AttemptResult,
        answer: Answer,
        headers: Headers,
        nursery: trio.Nursery,
    ) -> None:
        """Forward a stream until its end, resuming it on other upstreams.

        Nothing is sent to the caller of a stream that ends before its first event.

        :param headers: headers of the response to the caller.
        """
        assert attempt.head is not None and attempt.connection is not None
        status = attempt.head.status
        source = StreamSource(upstream, attempt.connection, attempt.head, attempt.dispatch)
        splitter = EventSplitter(context.metadata.last_event_id)
        relay = _Relay(context, answer, splitter, nursery, source)
        try:
            await answer.start(status, headers)
            is_whole = await self._relay_events(relay)
            while not is_whole and self._may_resume(relay):
                if await self._resume_through_peer(relay):
                    return
                next_upstream = await self._attempts.next_upstream(context)
                if next_upstream is None or not self._may_send(relay):
                    break
                successor = await self._resume(relay, next_upstream)
                if successor is None:
                    await self._state.connectivity.has_links()
                    continue
                await relay.switch(successor, relay.splitter.fork())
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

    def _has_peer(self, relay: _Relay) -> bool:
        peers = self._state.peers
        if relay.context.has_trial or not self._may_resume(relay):
            return False
        return peers is not None and peers.is_due(relay.context)

    async def _resume_through_peer(self, relay: _Relay) -> bool:
        """Let another entry instance send the rest if this one has no links to upstreams."""
        context, peers = relay.context, self._state.peers
        if peers is None or not self._has_peer(relay):
            return False
        await relay.source.aclose()
        context.metadata = attrs.evolve(
            context.metadata, last_event_id=relay.splitter.last_event_id
        )
        refund(context, self._state)
        self._state.counters.count("stream_handed_to_peer")
        return await peers.run(context, relay.answer)

    def _may_resume(self, relay: _Relay) -> bool:
        context = relay.context
        if not context.trace.events and self._state.quarantine.holds_back(context.metadata):
            return False
        return (
            context.route.is_resumable
            and relay.splitter.is_resumable
            and context.remaining_ms >= MIN_ATTEMPT_MS
            and context.has_attempt
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
        upstream, attempt = await self._hedged.run(context, upstream, relay.nursery, on_sent)
        if attempt.connection is None or attempt.head is None:
            return None
        return StreamSource(upstream, attempt.connection, attempt.head, attempt.dispatch)

    async def _relay_events(self, relay: _Relay) -> bool:
        """Forward events as they arrive; return whether the stream ended normally."""
        context = relay.context
        is_lost = False
        try:
            while context.remaining_ms > 0:
                events = await self._next_events(relay)
                if relay.source.is_closed:
                    return False
                if events is None:
                    if not self._has_peer(relay):
                        continue
                    await self.leave_source(relay)
                    return False
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
        await self._record_failure(relay, relay.source, reason, is_lost=is_lost)
        await relay.source.aclose()
        relay.splitter.drop_partial()
        return False

    async def _record_failure(
        self, relay: _Relay, source: StreamSource, reason: str, *, is_lost: bool
    ) -> None:
        """Record that an upstream has not sent the rest of a stream.

        :param is_lost: whether it ended the connection before its first event.
        """
        context, upstream = relay.context, source.upstream
        upstream.health.record_failure(now_ms())
        context.trace.add_attempt(upstream.row.upstream_id, reason, upstream.load())
        if is_lost and self._state.is_engine(context.service):
            await self._state.quarantine.record_loss(upstream.row, context.metadata)

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
        if not self._may_resume(relay):
            return None
        if stall_left_ms > 0:
            self._log_stall(relay)
        if self._has_peer(relay) or not self._alternatives(relay):
            return None
        continuation = await hand_over(relay.source, relay.splitter, _Replacement(self, relay))
        if continuation is None:
            return None
        if continuation.source is not relay.source:
            await self.leave_source(relay)
            await relay.switch(continuation.source, continuation.splitter)
        return continuation.events

    def _alternatives(self, relay: _Relay) -> list[UpstreamState]:
        stalled_ms = now_ms() - relay.progress_ms
        return self._attempts.alternatives(relay.context, relay.source.upstream, stalled_ms)

    async def request_rest(self, relay: _Relay, on_sent: Callable[[], None]) -> StreamSource | None:
        """Return an upstream that has responded with the rest of a stalled stream, if any."""
        try:
            upstream = await self._attempts.next_upstream(
                relay.context, lambda: self._alternatives(relay)
            )
            if upstream is None or not self._may_send(relay):
                return None
            return await self._resume(relay, upstream, on_sent)
        finally:
            relay.context.end_unsent_dispatches()

    async def record_loss(self, relay: _Relay, source: StreamSource, error: Exception) -> None:
        """Record that an upstream has failed before it sent an event of the rest."""
        is_lost = isinstance(error, UpstreamError)
        await self._record_failure(relay, source, str(error), is_lost=is_lost)

    async def leave_source(self, relay: _Relay) -> None:
        """Close the connection to a stalled upstream, to which the stream may return."""
        if relay.source.is_closed:
            return
        upstream_id = relay.source.upstream.row.upstream_id
        await self._record_failure(relay, relay.source, "stalled", is_lost=False)
        self._state.counters.count("stream_left")
        relay.context.left_upstreams.add(upstream_id)
        relay.splitter.drop_partial()
        await relay.source.aclose()

    def _log_stall(self, relay: _Relay) -> None:
        source = relay.source.upstream
        self._state.counters.count("stream_stalled")
        log_limited(
            "stream_stalled",
            is_routine=True,
            request=relay.context.metadata.request_id,
            upstream=source.row.upstream_id,
            stalled_ms=round(now_ms() - relay.progress_ms),
            upstream_silent_ms=_rounded(source.silent_ms),
            others=",".join(
                f"{s.row.upstream_id}:{_rounded(s.silent_ms)}:{_rounded(s.sign_age_ms)}"
                for s in self._state.upstreams.usable(relay.context.service)
            ),
            version=self._state.version,
        )

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
        dispatch = relay.source.dispatch
        if dispatch is not None and events.count and relay.has_events:
            dispatch.record_interval(took_ms / events.count)
        if events.count and not relay.has_events:
            if dispatch is not None:
                context.trace.add_first_event(
                    dispatch.expected_first_ms, dispatch.record_first_event()
                )
            relay.has_events = True
            self._state.quarantine.record_response(context.metadata)
        context.trace.add_events(events.count, took_ms, upstream.row.software_version)
        context.last_progress_ms = relay.progress_ms = now_ms()


def _rounded(time_ms: float | None) -> str:
    return "unknown" if time_ms is None else f"{time_ms:.0f}"


@attrs.frozen
class _Replacement:
    """Requests of a relay to the upstream that may replace a stalled one."""

    streams: StreamRelay
    relay: _Relay

    async def request_rest(self, on_sent: Callable[[], None]) -> StreamSource | None:
        return await self.streams.request_rest(self.relay, on_sent)

    async def record_loss(self, source: StreamSource, error: Exception) -> None:
        await self.streams.record_loss(self.relay, source, error)

    async def leave_source(self) -> None:
        await self.streams.leave_source(self.relay)
