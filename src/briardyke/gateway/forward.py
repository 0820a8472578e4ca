"""Carry a request to an upstream of its route and its answer back to the caller."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.clock import now_ms
from briardyke.errors import ErrorKind, Failure
from briardyke.gateway.adapters import ASK_AGAIN_MS
from briardyke.gateway.admission import caller_patience_ms
from briardyke.gateway.attempt import Attempt, AttemptRunner, Ending
from briardyke.gateway.choice import choose_upstream
from briardyke.gateway.dialect import ForwardingMetadata
from briardyke.gateway.event_stream import EndlessEventError, EventSplitter
from briardyke.gateway.evidence import learn
from briardyke.gateway.journey import Journey
from briardyke.gateway.refusals import refusal_headers, retry_after_s
from briardyke.gateway.tables import CONNECT_PROBE_MS, ENGINE_RUNNING_WEIGHT
from briardyke.gateway.trace import Trace
from briardyke.http.exchange import HttpRequest, end_to_end, header
from briardyke.http.h11_client import UpstreamError
from briardyke.routes.matching import choose_service

if TYPE_CHECKING:
    from briardyke.gateway.dialect import RequestMetadata
    from briardyke.gateway.state import GatewayState
    from briardyke.gateway.tables import UpstreamState
    from briardyke.http.exchange import Answer
    from briardyke.http.h11_client import UpstreamConnection
    from briardyke.routes.configuration import Route

# Statuses by which callers understand that a request has not run.
PROMISES = frozenset({408, 421, 429, 503})
# An upstream that is given a deadline answers at it; the way back takes some milliseconds.
_ANSWER_MARGIN_MS = 60.0
# Least time in which an attempt can still succeed.
_LEAST_ATTEMPT_MS = 25.0
# An answer that takes this many latency objectives is asked of another upstream, if it may be.
_PATIENCE_OBJECTIVES = 3.0
_LEAST_PATIENCE_MS = 800.0
# Another upstream counts as easier when its load is below this part of the present one's.
_EASIER = 0.5
# Part of a caller's patience after which a silent stream is continued elsewhere, in time for
# another upstream to send an event.
_RESUME_SHARE = 0.65
_MAX_CONNECT_FAILURES = 3
# Control instances answer with what they have on disk about a second after a loss of power. A
# quarter of its time leaves a request enough to be served, or to come back.
_CONFIGURATION_WAIT_MS = 1500.0
_CONFIGURATION_WAIT_SHARE = 0.25
# Weight of one event in an upstream's pace: the events of about one second.
_EVENT_WEIGHT = 0.03


class Forwarder:
    """Carry requests with the state of an entry instance."""

    def __init__(self, state: GatewayState) -> None:
        """Use the instance's state."""
        self._state = state
        self._runner = AttemptRunner(state.dialect)
        self._random = random.Random()

    async def handle(self, request: HttpRequest, answer: Answer) -> None:
        """Answer one request of a caller."""
        state = self._state
        caller = state.dialect.read_request(request)
        await self._await_configuration(caller)
        trace = Trace(caller.request_id, request.received_ms, state.version)
        trace.model = caller.model
        route = self._route(request)
        if route is None:
            kind = ErrorKind.NOT_FOUND if state.version else ErrorKind.VERSION_UNCONFIRMED
            await self._fail(answer, trace, Failure(kind, "no route"))
            return
        trace.route = route.name
        usable = {t.service for t in route.targets if state.upstreams.usable(t.service)}
        service = choose_service(route, usable, self._random)
        trace.service = service
        budget_ms = min(caller.deadline_ms or route.timeout_ms, route.timeout_ms)
        deadline_ms = request.received_ms + budget_ms
        journey = Journey(request, caller, route, service, deadline_ms, trace)
        state.budget(service).record_request(now_ms())
        state.demand.record(caller.model or service)
        refused = state.admission.refusal(journey, state)
        if refused is not None:
            await self._fail(answer, trace, refused)
            return
        state.demand.began(caller.model or service)
        try:
            await self._carry(journey, answer)
        finally:
            state.demand.ended(caller.model or service)
            if not trace.is_finished:
                trace.finish(state.counters, 0, "caller_gone")

    async def _await_configuration(self, caller: RequestMetadata) -> None:
        """Wait for the first configuration after a start, for a part of the caller's time.

        Load: after a loss of power callers know the addresses already and come back before any
        configuration is there, which takes about a second. Most of them have that time.
        """
        deadline_ms = caller.deadline_ms or _CONFIGURATION_WAIT_MS
        until_ms = now_ms() + min(_CONFIGURATION_WAIT_MS, deadline_ms * _CONFIGURATION_WAIT_SHARE)
        while not self._state.version and (left_ms := until_ms - now_ms()) > 0:
            await self._state.changed.wait(left_ms)

    def _route(self, request: HttpRequest) -> Route | None:
        host = (header(request.headers, b"host") or b"").decode("latin-1")
        return self._state.routes.find(host, request.path) if self._state.routes else None

    async def _carry(self, journey: Journey, answer: Answer) -> None:
        """Try upstreams until one answers or no further attempt is allowed."""
        async with trio.open_nursery() as nursery:
            while (upstream := await self._next_upstream(journey)) is not None:
                journey.refusal = self._state.admission.too_late(journey, upstream)
                if journey.refusal is not None:
                    break
                attempt = await self._attempt(journey, upstream, nursery)
                if attempt.ending is Ending.ANSWERED and not self._is_worth_repeating(
                    journey, attempt
                ):
                    await self._deliver(journey, upstream, attempt, answer, nursery)
                    nursery.cancel_scope.cancel()
                    return
                journey.last = attempt
                if not self._may_try_again(journey, attempt):
                    break
            nursery.cancel_scope.cancel()
        await self._give_up(journey, answer)

    async def _attempt(
        self, journey: Journey, upstream: UpstreamState, nursery: trio.Nursery
    ) -> Attempt:
        upstream_id = upstream.row.upstream_id
        journey.tried.add(upstream_id)
        load = upstream.load()
        call = ForwardingMetadata(
            upstream_id,
            max(1.0, journey.remaining_ms - _ANSWER_MARGIN_MS / 2),
            journey.route.priority,
            journey.caller.last_event_id,
        )
        is_engine = self._state.is_engine(journey.service)
        upstream.running_weight = ENGINE_RUNNING_WEIGHT if is_engine else 1.0
        upstream.in_flight += 1
        upstream.pending += 1
        started_ms = now_ms()
        attempt = None
        try:
            attempt = await self._runner.run(
                upstream,
                journey.request,
                journey.caller.request_id,
                call,
                self._patience_ms(journey, load),
                is_retryable=journey.route.is_retryable,
                nursery=nursery,
            )
        finally:
            upstream.pending -= 1
            if attempt is None or attempt.connection is None:
                upstream.in_flight -= 1
        learn(journey, upstream, attempt, now_ms() - started_ms, load)
        journey.trace.step(upstream_id, attempt.reason or attempt.ending.value, load)
        return attempt

    def _patience_ms(self, journey: Journey, load: float) -> float:
        """Return how long to wait for an answer before another upstream is asked.

        Load: where every upstream that could help is as busy, asking a second one adds to the
        overload and loses the place in the first one's queue.
        """
        remaining_ms = journey.remaining_ms
        if not journey.route.is_retryable or journey.sent + 1 >= journey.route.max_attempts:
            return remaining_ms
        if not any(s.load() < load * _EASIER for s in self._candidates(journey)):
            return remaining_ms  # it would wait elsewhere as long
        objective_ms = journey.route.latency_objective_ms
        patience_ms = max(_LEAST_PATIENCE_MS, _PATIENCE_OBJECTIVES * objective_ms)
        return patience_ms if patience_ms < remaining_ms * 0.6 else remaining_ms

    def _is_worth_repeating(self, journey: Journey, attempt: Attempt) -> bool:
        assert attempt.head is not None
        return attempt.head.status >= 500 and journey.route.is_retryable

    def _may_try_again(self, journey: Journey, attempt: Attempt) -> bool:
        """Return whether another upstream may be asked after a failed attempt.

        Load: a service that is overloaded or failing must not get more arrivals because of it, so
        every repeat that arrives at an upstream draws on the shared budget.
        """
        if journey.remaining_ms < _LEAST_ATTEMPT_MS:
            return False
        if attempt.ending is Ending.NOT_CONNECTED:
            return journey.connect_failures <= _MAX_CONNECT_FAILURES
        if attempt.may_have_run and not journey.route.is_retryable:
            return False
        if journey.sent >= journey.route.max_attempts:
            return False
        return self._spend_repeat(journey, "repeated")

    def _spend_repeat(self, journey: Journey, event: str) -> bool:
        """Take another arrival at an upstream from the shared budget; return whether it has one."""
        is_allowed = self._state.budget(journey.service).try_spend(now_ms())
        self._state.counters.count(event if is_allowed else "budget_exhausted")
        return is_allowed

    async def _next_upstream(self, journey: Journey) -> UpstreamState | None:
        """Return the best upstream, waiting for a model or adapter that is on its way."""
        state = self._state
        while journey.remaining_ms > _LEAST_ATTEMPT_MS:
            candidates = self._candidates(journey)
            if candidates:
                name = journey.caller.model or journey.service
                chosen = choose_upstream(
                    candidates,
                    journey.caller,
                    state.data_centre,
                    self._random,
                    state.unseen_arrivals(name),
                )
                if chosen is None or not journey.caller.adapter:
                    return chosen
                held = await state.adapters.place(journey.caller, candidates, chosen)
                if held is not None:
                    return held
                patience_ms = min(ASK_AGAIN_MS, state.admission.wait_ms(journey, state))
                if patience_ms > 0:
                    await trio.sleep(patience_ms / 1000.0)
                    continue
                return None
            patience_ms = state.admission.wait_ms(journey, state)
            if patience_ms <= 0:
                return None
            # An upstream that could not be reached is tried again after a while without any news.
            await state.changed.wait(min(patience_ms, journey.remaining_ms, CONNECT_PROBE_MS))
        return None

    def _candidates(self, journey: Journey) -> list[UpstreamState]:
        usable = self._state.upstreams.reachable(journey.service)
        model = journey.caller.model
        if model and self._state.is_engine(journey.service):
            usable = [s for s in usable if s.holds(model)]
        return [s for s in usable if s.row.upstream_id not in journey.tried]

    # Answers

    async def _deliver(
        self,
        journey: Journey,
        upstream: UpstreamState,
        attempt: Attempt,
        answer: Answer,
        nursery: trio.Nursery,
    ) -> None:
        assert attempt.head is not None
        status, headers = attempt.head.status, end_to_end(attempt.head.headers)
        if status in PROMISES and not journey.route.is_retryable:
            # Only the upstream's own word would make it true, and that is an ending of its own.
            reason = f"status {status} without the statement that it was not run"
            await self._fail(answer, journey.trace, Failure(ErrorKind.UPSTREAM_FAILED, reason))
            return
        if attempt.connection is None:
            await answer.send_whole(status, headers, attempt.body)
            outcome = "served" if status < 500 else "upstream_failed"
            journey.trace.finish(self._state.counters, status, outcome)
            return
        await answer.start(status, headers)
        splitter = EventSplitter(journey.caller.last_event_id)
        is_whole = await self._relay(journey, upstream, attempt, answer, splitter)
        while not is_whole and self._may_resume(journey, splitter):
            next_upstream = await self._next_upstream(journey)
            if next_upstream is None:
                break
            journey.caller = attrs.evolve(journey.caller, last_event_id=splitter.last_event_id)
            attempt = await self._attempt(journey, next_upstream, nursery)
            if attempt.connection is None:
                continue
            is_whole = await self._relay(journey, next_upstream, attempt, answer, splitter)
        if is_whole:
            await answer.finish()
        outcome = "served" if is_whole else "stream_broken"
        journey.trace.finish(self._state.counters, status, outcome)

    def _may_resume(self, journey: Journey, splitter: EventSplitter) -> bool:
        if not journey.route.is_resumable or journey.remaining_ms < _LEAST_ATTEMPT_MS:
            return False
        if journey.sent >= journey.route.max_attempts:
            return False
        return self._spend_repeat(journey, "resumed")

    async def _relay(
        self,
        journey: Journey,
        upstream: UpstreamState,
        attempt: Attempt,
        answer: Answer,
        splitter: EventSplitter,
    ) -> bool:
        """Pass on events as they come; return whether the stream ended properly."""
        connection = attempt.connection
        assert connection is not None and attempt.head is not None
        is_kept = False
        try:
            is_whole = await self._relay_parts(journey, upstream, connection, answer, splitter)
            if is_whole and connection.finish(attempt.head):
                upstream.pool.give_back(connection)
                is_kept = True
            if not is_whole:
                upstream.gate.record_failure(now_ms())
                journey.trace.step(upstream.row.upstream_id, "stream_broken", upstream.load())
            return is_whole
        finally:
            upstream.in_flight -= 1
            splitter.drop_partial()
            if not is_kept:
                await connection.aclose()

    async def _relay_parts(
        self,
        journey: Journey,
        upstream: UpstreamState,
        connection: UpstreamConnection,
        answer: Answer,
        splitter: EventSplitter,
    ) -> bool:
        last_ms, count = now_ms(), splitter.count
        longest_pause_ms = caller_patience_ms(journey.route) * _RESUME_SHARE
        while (left_ms := journey.remaining_ms) > 0:
            part: bytes | None = b""
            # Only whole events show progress: an upstream that stalls may still send a byte now
            # and then.
            pause_left_ms = last_ms + longest_pause_ms - now_ms()
            if pause_left_ms <= 0 and self._has_alternative(journey):
                return False
            # Silence alone is no reason to end an answer.
            wait_ms = pause_left_ms if pause_left_ms > 0 else longest_pause_ms
            try:
                with trio.move_on_after(min(wait_ms, left_ms) / 1000.0) as scope:
                    part = await connection.read_part()
                if scope.cancelled_caught:
                    continue
                whole = splitter.take_rest() if part is None else splitter.feed(part)
            except (UpstreamError, EndlessEventError) as error:
                journey.trace.step(upstream.row.upstream_id, str(error), upstream.load())
                return False
            if whole:
                await answer.send_part(whole)
                new, took_ms = splitter.count - count, now_ms() - last_ms
                for _ in range(new):
                    upstream.observe_pace(took_ms / new, _EVENT_WEIGHT)
                if journey.trace.events:
                    journey.trace.longest_pause_ms = max(journey.trace.longest_pause_ms, took_ms)
                journey.trace.events += new
                journey.progress_ms = last_ms = now_ms()
                count = splitter.count
            if part is None:
                return True
        return False

    def _has_alternative(self, journey: Journey) -> bool:
        """Return whether a silent stream could go on at another upstream now."""
        if not journey.route.is_resumable or journey.sent >= journey.route.max_attempts:
            return False
        return bool(self._candidates(journey))

    async def _give_up(self, journey: Journey, answer: Answer) -> None:
        """Give the final answer to a request that no upstream has answered well."""
        last = journey.last
        if last is not None and last.ending is Ending.ANSWERED and last.head is not None:
            headers = end_to_end(last.head.headers)
            await answer.send_whole(last.head.status, headers, last.body)
            journey.trace.finish(self._state.counters, last.head.status, "upstream_failed")
            return
        if journey.may_have_run:
            late = journey.remaining_ms <= _LEAST_ATTEMPT_MS
            kind = ErrorKind.DEADLINE_EXCEEDED if late else ErrorKind.UPSTREAM_FAILED
        elif last is not None and last.ending is Ending.REFUSED:
            kind = ErrorKind.UPSTREAM_REFUSED
        elif journey.refusal is not None:
            await self._fail(answer, journey.trace, journey.refusal)
            return
        else:
            kind = ErrorKind.NO_UPSTREAM
        reason = last.reason if last else "no upstream"
        await self._fail(answer, journey.trace, Failure(kind, reason))

    async def _fail(self, answer: Answer, trace: Trace, failure: Failure) -> None:
        status = failure.answer.http_status
        headers = refusal_headers(trace.request_id, failure, retry_after_s(failure, self._random))
        trace.steps.append(failure.message)
        trace.finish(self._state.counters, status, failure.kind.value)
        await answer.send_whole(status, headers)
