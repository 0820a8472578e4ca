"""Forward a request to an upstream of its route and return the response to the caller."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.clock import now_ms
from briardyke.errors import ErrorKind, Failure
from briardyke.gateway.adapters import ADAPTER_RETRY_MS
from briardyke.gateway.admission import caller_event_timeout_ms
from briardyke.gateway.attempt import AttemptResult, AttemptRunner, Ending
from briardyke.gateway.attempt_feedback import record_attempt
from briardyke.gateway.dialect import ForwardingMetadata
from briardyke.gateway.event_stream import EventSplitter, EventTooLongError
from briardyke.gateway.refusals import refusal_headers, retry_after_s
from briardyke.gateway.request_context import RequestContext
from briardyke.gateway.trace import EndedBy, Trace, interruption
from briardyke.gateway.upstream_selection import choose_upstream
from briardyke.gateway.upstreams import CONNECT_PROBE_INTERVAL_MS, ENGINE_RUNNING_WEIGHT
from briardyke.http.exchange import HttpRequest, end_to_end, header
from briardyke.http.h11_client import UpstreamError
from briardyke.routes.matching import choose_service

if TYPE_CHECKING:
    from briardyke.gateway.dialect import RequestMetadata
    from briardyke.gateway.state import GatewayState
    from briardyke.gateway.upstreams import UpstreamState
    from briardyke.http.exchange import Answer
    from briardyke.http.h11_client import UpstreamConnection
    from briardyke.routes.configuration import Route

# Statuses that tell callers that a request was not executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Time reserved for returning the response, since an upstream may respond right at its deadline.
_RESPONSE_MARGIN_MS = 60.0
# Shortest time in which an attempt can still succeed.
_MIN_ATTEMPT_MS = 25.0
# A retryable request is sent to another upstream after this many latency objectives without a
# response, but not before _MIN_ATTEMPT_TIMEOUT_MS.
_ATTEMPT_TIMEOUT_OBJECTIVES = 3.0
_MIN_ATTEMPT_TIMEOUT_MS = 800.0
# Another upstream counts as less loaded when its load is below this fraction of the current one's.
_LESS_LOADED_FRACTION = 0.5
# Fraction of the caller's event timeout after which a stalled stream is resumed on another
# upstream, in time for that one to send an event.
_STALL_TIMEOUT_FRACTION = 0.65
_MAX_CONNECT_FAILURES = 3
# A shorter wait is none: one of less than the clock's resolution would be repeated without end.
_MIN_WAIT_MS = 1.0
# Control instances serve their stored configuration about a second after a power failure. Waiting
# for a quarter of its time leaves a request enough time to be served or retried.
_CONFIGURATION_WAIT_MS = 1500.0
_CONFIGURATION_WAIT_FRACTION = 0.25
# Weight of one event in an upstream's mean service time; the mean covers the events of about one
# second.
_EVENT_WEIGHT = 0.03


class Forwarder:
    """Forward requests of callers to upstreams."""

    def __init__(self, state: GatewayState) -> None:
        """Use the state of an entry instance."""
        self._state = state
        self._runner = AttemptRunner(state.dialect)
        self._random = random.Random()

    async def handle(self, request: HttpRequest, answer: Answer) -> None:
        """Handle one request of a caller."""
        metadata = self._state.dialect.read_request(request)
        trace = Trace(metadata.request_id, request.received_ms, self._state.version)
        trace.model = metadata.model
        try:
            await self._handle(request, metadata, trace, answer)
        except BaseException as error:
            if not trace.is_finished:
                ended_by = interruption(error, answer)
                outcome = "caller_gone" if ended_by is EndedBy.CALLER else "interrupted"
                trace.finish(self._state.counters, 0, outcome, ended_by, answer.sent_bytes)
            raise

    async def _handle(
        self, request: HttpRequest, metadata: RequestMetadata, trace: Trace, answer: Answer
    ) -> None:
        state = self._state
        await self._await_configuration(metadata)
        trace.version = state.version
        route = self._route(request)
        if route is None:
            kind = ErrorKind.NOT_FOUND if state.version else ErrorKind.VERSION_UNCONFIRMED
            await self._send_failure(answer, trace, Failure(kind, "no route"))
            return
        trace.route = route.name
        usable = {t.service for t in route.targets if state.upstreams.usable(t.service)}
        service = choose_service(route, usable, self._random)
        trace.service = service
        timeout_ms = min(metadata.deadline_ms or route.timeout_ms, route.timeout_ms)
        deadline_ms = request.received_ms + timeout_ms
        context = RequestContext(request, metadata, route, service, deadline_ms, trace)
        state.budget(service).record_request(now_ms())
        state.demand.record(metadata.model or service)
        refusal = state.admission.refusal(context, state)
        if refusal is not None:
            await self._send_failure(answer, trace, refusal)
            return
        state.demand.request_started(metadata.model or service)
        try:
            await self._forward(context, answer)
        finally:
            state.demand.request_finished(metadata.model or service)

    async def _await_configuration(self, metadata: RequestMetadata) -> None:
        """Wait for the first configuration after a start, for a fraction of the caller's time.

        After a power failure callers still know the addresses and send requests before a
        configuration is available, which takes about a second. Most of them can wait that long.
        """
        deadline_ms = metadata.deadline_ms or _CONFIGURATION_WAIT_MS
        until_ms = now_ms() + min(
            _CONFIGURATION_WAIT_MS, deadline_ms * _CONFIGURATION_WAIT_FRACTION
        )
        while not self._state.version and (left_ms := until_ms - now_ms()) > 0:
            await self._state.changed.wait(left_ms)

    def _route(self, request: HttpRequest) -> Route | None:
        host = (header(request.headers, b"host") or b"").decode("latin-1")
        return self._state.routes.find(host, request.path) if self._state.routes else None

    async def _forward(self, context: RequestContext, answer: Answer) -> None:
        """Try upstreams until one responds or no further attempt is allowed."""
        async with trio.open_nursery() as nursery:
            while (upstream := await self._next_upstream(context)) is not None:
                context.refusal = self._state.admission.late_start_refusal(context, upstream)
                if context.refusal is not None:
                    break
                attempt = await self._attempt(context, upstream, nursery)
                if attempt.ending is Ending.ANSWERED and not self._should_retry_response(
                    context, attempt
                ):
                    await self._deliver(context, upstream, attempt, answer, nursery)
                    nursery.cancel_scope.cancel()
                    return
                context.last_attempt = attempt
                if not self._may_retry(context, attempt):
                    break
            nursery.cancel_scope.cancel()
        await self._finish_unserved(context, answer)

    async def _attempt(
        self, context: RequestContext, upstream: UpstreamState, nursery: trio.Nursery
    ) -> AttemptResult:
        upstream_id = upstream.row.upstream_id
        context.tried_upstreams.add(upstream_id)
        load = upstream.load()
        context.trace.start_attempt(len(self._candidates(context)) + 1)
        call = ForwardingMetadata(
            upstream_id,
            max(1.0, context.remaining_ms - _RESPONSE_MARGIN_MS / 2),
            context.route.priority,
            context.metadata.last_event_id,
        )
        is_engine = self._state.is_engine(context.service)
        upstream.running_weight = ENGINE_RUNNING_WEIGHT if is_engine else 1.0
        upstream.in_flight += 1
        upstream.pending += 1
        started_ms = now_ms()
        attempt = None
        try:
            attempt = await self._runner.run(
                upstream,
                context.request,
                context.metadata.request_id,
                call,
                self._attempt_timeout_ms(context, load),
                is_retryable=context.route.is_retryable,
                nursery=nursery,
            )
        finally:
            upstream.pending -= 1
            if attempt is None or attempt.connection is None:
                upstream.in_flight -= 1
        record_attempt(context, upstream, attempt, now_ms() - started_ms, load)
        context.trace.add_attempt(upstream_id, attempt.reason or attempt.ending.value, load)
        return attempt

    def _attempt_timeout_ms(self, context: RequestContext, load: float) -> float:
        """Return how long to wait for a response before another upstream is tried.

        If every other candidate is as loaded, trying a second one adds to the overload and loses
        the place in the first one's queue.
        """
        remaining_ms = context.remaining_ms
        if (
            not context.route.is_retryable
            or context.sent_attempts + 1 >= context.route.max_attempts
        ):
            return remaining_ms
        if not any(s.load() < load * _LESS_LOADED_FRACTION for s in self._candidates(context)):
            return remaining_ms  # it would wait as long elsewhere
        objective_ms = context.route.latency_objective_ms
        wait_ms = max(_MIN_ATTEMPT_TIMEOUT_MS, _ATTEMPT_TIMEOUT_OBJECTIVES * objective_ms)
        return wait_ms if wait_ms < remaining_ms * 0.6 else remaining_ms

    def _should_retry_response(self, context: RequestContext, attempt: AttemptResult) -> bool:
        assert attempt.head is not None
        return attempt.head.status >= 500 and context.route.is_retryable

    def _may_retry(self, context: RequestContext, attempt: AttemptResult) -> bool:
        """Return whether another upstream may be tried after a failed attempt.

        Retries must not add to the load of an overloaded or failing service, so every retry that
        reaches an upstream is charged to the retry budget.
        """
        if context.remaining_ms < _MIN_ATTEMPT_MS:
            return False
        if attempt.ending is Ending.NOT_CONNECTED:
            return context.connect_failures <= _MAX_CONNECT_FAILURES
        if attempt.may_have_run and not context.route.is_retryable:
            return False
        if context.sent_attempts >= context.route.max_attempts:
            return False
        return self._spend_retry(context, "repeated")

    def _spend_retry(self, context: RequestContext, event: str) -> bool:
        """Charge a retry to the budget of the service; return whether the budget allows it."""
        is_allowed = self._state.budget(context.service).try_spend(now_ms())
        self._state.counters.count(event if is_allowed else "budget_exhausted")
        return is_allowed

    async def _next_upstream(self, context: RequestContext) -> UpstreamState | None:
        """Select an upstream, waiting for a model or adapter that is being loaded."""
        state = self._state
        while context.remaining_ms > _MIN_ATTEMPT_MS:
            candidates = self._candidates(context)
            if candidates:
                name = context.metadata.model or context.service
                chosen = choose_upstream(
                    candidates,
                    context.metadata,
                    state.data_centre,
                    self._random,
                    state.unreported_requests(name),
                )
                if chosen is None or not context.metadata.adapter:
                    return chosen
                held = await state.adapters.find_upstream(context.metadata, candidates, chosen)
                if held is not None:
                    return held
                wait_ms = min(ADAPTER_RETRY_MS, state.admission.remaining_wait_ms(context, state))
                if wait_ms < _MIN_WAIT_MS:
                    return None
                await trio.sleep(wait_ms / 1000.0)
                continue
            wait_ms = state.admission.remaining_wait_ms(context, state)
            if wait_ms < _MIN_WAIT_MS:
                return None
            # An unreachable upstream is tried again after a while even without a notification.
            await state.changed.wait(min(wait_ms, context.remaining_ms, CONNECT_PROBE_INTERVAL_MS))
        return None

    def _candidates(self, context: RequestContext) -> list[UpstreamState]:
        usable = self._state.upstreams.reachable(context.service)
        model = context.metadata.model
        if model and self._state.is_engine(context.service):
            usable = [s for s in usable if s.holds(model)]
        return [s for s in usable if s.row.upstream_id not in context.tried_upstreams]

    # Responses

    async def _deliver(
        self,
        context: RequestContext,
        upstream: UpstreamState,
        attempt: AttemptResult,
        answer: Answer,
        nursery: trio.Nursery,
    ) -> None:
        assert attempt.head is not None
        status, headers = attempt.head.status, end_to_end(attempt.head.headers)
        if status in NOT_EXECUTED_STATUSES and not context.route.is_retryable:
            # The status would tell the caller that the request was not executed. Only an explicit
            # statement of the upstream proves that, and its outcome is Ending.REFUSED.
            reason = f"status {status} without a statement that the request was not run"
            await self._send_failure(
                answer, context.trace, Failure(ErrorKind.UPSTREAM_FAILED, reason)
            )
            return
        if attempt.connection is None:
            await answer.send_whole(status, headers, attempt.body)
            outcome = "served" if status < 500 else "upstream_failed"
            context.trace.finish(self._state.counters, status, outcome)
            return
        await answer.start(status, headers)
        splitter = EventSplitter(context.metadata.last_event_id)
        is_whole = await self._relay(context, upstream, attempt, answer, splitter)
        while not is_whole and self._may_resume(context, splitter):
            next_upstream = await self._next_upstream(context)
            if next_upstream is None:
                break
            context.metadata = attrs.evolve(context.metadata, last_event_id=splitter.last_event_id)
            attempt = await self._attempt(context, next_upstream, nursery)
            if attempt.connection is None:
                continue
            is_whole = await self._relay(context, next_upstream, attempt, answer, splitter)
        if is_whole:
            await answer.finish()
            context.trace.finish(self._state.counters, status, "served")
            return
        is_late = context.remaining_ms < _MIN_ATTEMPT_MS
        ended_by = EndedBy.DEADLINE if is_late else EndedBy.UPSTREAM
        context.trace.finish(
            self._state.counters, status, "stream_broken", ended_by, answer.sent_bytes
        )

    def _may_resume(self, context: RequestContext, splitter: EventSplitter) -> bool:
        if not context.route.is_resumable or context.remaining_ms < _MIN_ATTEMPT_MS:
            return False
        if context.sent_attempts >= context.route.max_attempts:
            return False
        return self._spend_retry(context, "resumed")

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
        return bool(self._candidates(context))

    async def _finish_unserved(self, context: RequestContext, answer: Answer) -> None:
        """Respond to a request that no upstream has served."""
        last = context.last_attempt
        if last is not None and last.ending is Ending.ANSWERED and last.head is not None:
            headers = end_to_end(last.head.headers)
            await answer.send_whole(last.head.status, headers, last.body)
            context.trace.finish(self._state.counters, last.head.status, "upstream_failed")
            return
        if context.may_have_run:
            is_late = context.remaining_ms <= _MIN_ATTEMPT_MS
            kind = ErrorKind.DEADLINE_EXCEEDED if is_late else ErrorKind.UPSTREAM_FAILED
        elif last is not None and last.ending is Ending.REFUSED:
            failure = self._state.admission.upstream_refusal(
                context, last.reason, self._candidates(context)
            )
            await self._send_failure(answer, context.trace, failure)
            return
        elif context.refusal is not None:
            await self._send_failure(answer, context.trace, context.refusal)
            return
        else:
            kind = ErrorKind.NO_UPSTREAM
        reason = last.reason if last else "no upstream"
        await self._send_failure(answer, context.trace, Failure(kind, reason))

    async def _send_failure(self, answer: Answer, trace: Trace, failure: Failure) -> None:
        status = failure.answer.http_status
        headers = refusal_headers(trace.request_id, failure, retry_after_s(failure, self._random))
        trace.attempts.append(failure.message)
        await answer.send_whole(status, headers)
        trace.finish(self._state.counters, status, failure.kind.value)
