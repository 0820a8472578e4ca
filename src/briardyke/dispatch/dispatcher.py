"""Place, queue and reject the streams of one service."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

import attrs
import xxhash

from briardyke.dispatch.arrivals import Arrivals
from briardyke.dispatch.choice import Choice, Evaluation, Need, Rule, choose
from briardyke.dispatch.drain import DrainEstimate
from briardyke.dispatch.engine_load import EngineLoad
from briardyke.dispatch.messages import (
    DispatchReply,
    DispatchRequest,
    Observation,
    ObservationKind,
    Outcome,
)
from briardyke.dispatch.pace import PaceTable
from briardyke.dispatch.queue import Waiting, WaitingQueue, rank_of
from briardyke.dispatch.rejection import RetryTimes

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from briardyke.fleet.records import Upstream
    from briardyke.routes.configuration import EngineSpec

# A queued request that is not asked for again in this time, or a decision that is not fetched: its
# entry instance has ended. It asks about every 150 ms.
_ABANDONED_MS = 1000.0
# Streams of a less urgent route with at least this much time wait for capacity that live streams
# leave. Live objectives go up to about 2 s, those of batch streams begin at 4 s.
_MIN_BATCH_OBJECTIVE_MS = 2500.0
# Time over which the most urgent route of a service is remembered.
_LIVE_ROUTE_TTL_MS = 30_000.0
# A stream that would be late is placed where it makes fewer other streams late than this.
_MAX_OWN_HARM = 0.7
# A dispatch is forgotten after this many times the expected time of its response, and this time.
_MAX_RESPONSE_FACTOR = 5.0
_MAX_RESPONSE_MS = 3000.0
# Interval between passes over the queue, in times of the cost of a pass; about a fifth of a core.
_PASS_SPACING = 5.0
_MIN_PASS_INTERVAL_MS = 1.0
_EVALUATION_COST_MS = 0.006
_WAITING_COST_MS = 0.004
# Time after which waiting requests are looked at again without an observation.
_RECHECK_MS = 5.0
_HOUSEKEEPING_MS = 100.0
# From this many waiting requests on, the time until the turn of each is estimated.
_MIN_DRAINED = 4
_MEAN_REQUEST_MS = 1000.0
_MEAN_REQUEST_WEIGHT = 0.02


@attrs.define(eq=False)
class _Pass:
    """State of one pass over the queue.

    :param drain: when requests can start, ``None`` while few wait.
    :param reserved: engines that requests ahead wait for.
    :param blocked: smallest prompt that found no engine, by model and kind of request.
    """

    drain: DrainEstimate | None = None
    reserved: set[str] = attrs.field(factory=set)
    blocked: dict[tuple[str, bool, bool], int] = attrs.field(factory=dict)
    evaluations: int = 0


class Dispatcher:
    """Decisions for one service, by the dispatches of all entry instances.

    :ivar counts: numbers of decisions by kind, for metrics.
    """

    def __init__(self) -> None:
        """Start without engines."""
        self.counts: Counter[str] = Counter()
        self.engines: dict[str, EngineLoad] = {}
        self.queue = WaitingQueue()
        self.paces = PaceTable()
        self._placed: dict[str, tuple[EngineLoad, DispatchReply]] = {}
        self._decided: dict[str, tuple[DispatchReply, float]] = {}
        self._retry_times = RetryTimes()
        self._arrivals = Arrivals()
        self._request_ms = _MEAN_REQUEST_MS
        self._live_routes: dict[int, float] = {}
        self._reserved: set[str] = set()
        self._waiting_models: Counter[str] = Counter()
        self._next_pass_ms = self._pass_due_ms = -math.inf
        self._housekeeping_ms = -math.inf

    # Entry points

    def update_engines(self, rows: Sequence[Upstream], spec: EngineSpec, now_ms: float) -> None:
        """Take over the ready rows of the service and the capacity of its engines."""
        listed = {row.upstream_id: row for row in rows}
        for upstream_id, engine in list(self.engines.items()):
            row = listed.get(upstream_id)
            if row is None or row.incarnation != engine.incarnation:
                del self.engines[upstream_id]
                for request_id in engine.dispatches:
                    self._placed.pop(request_id, None)
        for row in rows:
            if row.upstream_id not in self.engines:
                self.engines[row.upstream_id] = EngineLoad(
                    row.upstream_id,
                    self.paces,
                    max(1, row.slots),
                    spec.cache_tokens,
                    spec.event_tokens,
                    row.data_centre,
                    row.incarnation,
                )
        self._pass_due_ms = now_ms

    def submit(self, request: DispatchRequest, now_ms: float) -> DispatchReply:
        """Place, queue or reject a request; one that is queued is asked for again."""
        for observation in request.observations:
            self.observe(request.instance_id, observation, now_ms)
        request_id = request.request_id
        decided = self._decided.pop(request_id, None)
        if decided is not None and decided[0].upstream_id in request.upstream_ids:
            return decided[0]
        if decided is not None and decided[0].outcome == Outcome.REJECTED.value:
            return decided[0]
        placed = self._placed.get(request_id)
        if placed is not None:
            if placed[0].upstream_id in request.upstream_ids:
                return placed[1]  # the reply was lost
            self._placed.pop(request_id)
            placed[0].fail(request_id, now_ms)
        waiting = self.queue.get(request_id)
        if waiting is None:
            waiting = self._new_waiting(request, now_ms)
            if self._is_placed_at_once(waiting, now_ms):
                return self._decided.pop(request_id)[0]
            self._enqueue(waiting, now_ms)
        else:
            waiting.asked_ms, waiting.need.request = now_ms, request
        if now_ms >= self._next_pass_ms:
            self.advance(now_ms)
        decided = self._decided.pop(request_id, None)
        return decided[0] if decided else DispatchReply(Outcome.QUEUED.value)

    def observe(self, instance_id: str, observation: Observation, now_ms: float) -> None:
        """Take in what an entry instance observed."""
        engine = self.engines.get(observation.upstream_id)
        if engine is None:
            return
        at_ms, request_id = now_ms - observation.age_ms, observation.request_id
        if observation.kind == ObservationKind.LOAD.value:
            engine.report(observation, now_ms)
        elif observation.kind == ObservationKind.FIRST_EVENT.value:
            engine.begin(request_id, observation.took_ms, at_ms, now_ms)
        elif observation.kind == ObservationKind.EVENT_INTERVAL.value:
            dispatch = engine.dispatches.get(request_id)
            if dispatch is not None:
                engine.observe_interval(dispatch.model, observation.took_ms, at_ms)
            return
        elif observation.kind == ObservationKind.ENDED.value:
            self._end(engine, request_id, at_ms, now_ms)
        self._pass_due_ms = now_ms

    def cancel(self, request_id: str, now_ms: float) -> None:
        """Forget a request whose caller has left."""
        if self.queue.get(request_id) is not None:
            self._dequeue(request_id)
        self._decided.pop(request_id, None)
        placed = self._placed.pop(request_id, None)
        if placed is not None:
            placed[0].end(request_id, now_ms)
            self._pass_due_ms = now_ms

    def advance(self, now_ms: float) -> list[str]:
        """Place and reject queued requests; return the ids of those that were decided."""
        if now_ms >= self._housekeeping_ms:
            self._housekeeping_ms = now_ms + _HOUSEKEEPING_MS
            self._forget_abandoned(now_ms)
        self._pass_due_ms = now_ms + _RECHECK_MS
        if not len(self.queue):
            self._reserved = set()
            return []
        self.counts["promoted"] += self.queue.promote(now_ms, self._live_priority(now_ms))
        state = _Pass()
        waiting_count = len(self.queue)
        if waiting_count >= _MIN_DRAINED:
            state.drain = DrainEstimate(self.paces, self._engines_of, self._request_ms, now_ms)
        decided = []
        for waiting in self.queue.in_order(now_ms):
            reply = self._decide(waiting, state, now_ms)
            if reply is not None:
                request_id = waiting.need.request.request_id
                self._dequeue(request_id)
                self._decided[request_id] = (reply, now_ms)
                decided.append(request_id)
        self._reserved = state.reserved
        cost_ms = state.evaluations * _EVALUATION_COST_MS + waiting_count * _WAITING_COST_MS
        self._next_pass_ms = now_ms + max(_MIN_PASS_INTERVAL_MS, _PASS_SPACING * cost_ms)
        return decided

    def next_change_ms(self, now_ms: float) -> float | None:
        """Return the time until :meth:`advance` can decide something; ``None`` if never."""
        if not len(self.queue):
            return None
        return max(0.0, max(self._next_pass_ms, self._pass_due_ms) - now_ms)

    def update_in_flight(
        self, counts: Mapping[str, Sequence[int]], age_ms: float, now_ms: float
    ) -> None:
        """Compare with the summed in-flight counts of the entry instances.

        :param counts: requests by upstream id: all, and those whose response has not begun.
        :param age_ms: age of the counts.
        :param now_ms: current time.
        """
        for upstream_id, engine in self.engines.items():
            count = counts.get(upstream_id, (0, 0))[0]
            for request_id in engine.check_count(count, now_ms - age_ms, now_ms):
                self._placed.pop(request_id, None)
                self.counts["forgotten"] += 1

    # Decisions

    def _decide(self, waiting: Waiting, state: _Pass, now_ms: float) -> DispatchReply | None:
        """Return the reply to a waiting request, or ``None`` if it goes on waiting."""
        need, request = waiting.need, waiting.need.request
        start_ms = 0.0
        if state.drain is not None:
            overtaking = self._overtaking(waiting, now_ms)
            start_ms = state.drain.start_ms(request.model, request.request_id, overtaking)
        kind = (request.model, need.is_batch, waiting.is_late)
        choice = None
        if request.prompt_tokens < state.blocked.get(kind, math.inf):
            engines = self._engines_of(request.request_id)
            state.evaluations += len(engines)
            choice = choose(need, engines, now_ms, request.connected_ids, state.reserved)
            reply = self._placement(waiting, choice, start_ms, now_ms)
            if reply is not None:
                return reply
            if not waiting.is_late and not self._can_meet_objective(need, choice, start_ms, now_ms):
                self.queue.mark_late(waiting)
                return None
        reply = self._rejection(waiting, choice, state, start_ms, now_ms)
        if reply is not None:
            return reply
        if state.drain is not None:
            state.drain.add(request.model, request.request_id, request.prompt_tokens)
        if choice is not None:
            state.blocked[kind] = request.prompt_tokens
            if choice.soonest is not None:
                state.reserved.add(choice.soonest.engine.upstream_id)
        return None

    def _placement(
        self, waiting: Waiting, choice: Choice, start_ms: float, now_ms: float
    ) -> DispatchReply | None:
        """Place a request on a fit engine, or where waiting costs more than it harms."""
        need = waiting.need
        if choice.best is not None:
            return self._place(waiting, choice.best, "placed", now_ms)
        harm = choice.least_harm
        if harm is None or harm.rule is Rule.RESERVED or need.is_batch:
            return None
        if now_ms + harm.first_ms > need.limit_ms:
            return None
        if not waiting.is_late:
            is_waiting_late = not self._can_meet_objective(need, choice, start_ms, now_ms)
            is_harm_small = harm.cost < _MAX_OWN_HARM and harm.rule is Rule.PAUSE
            if is_waiting_late and is_harm_small and now_ms + harm.first_ms <= need.objective_ms:
                return self._place(waiting, harm, "placed_with_harm", now_ms)
            return None
        if choice.soonest is None and harm.rule is Rule.PAUSE:
            # No engine becomes fit while its streams run.
            return self._place(waiting, harm, "placed_with_harm", now_ms)
        return None

    def _rejection(
        self,
        waiting: Waiting,
        choice: Choice | None,
        state: _Pass,
        start_ms: float,
        now_ms: float,
    ) -> DispatchReply | None:
        """Reject a request that would begin after its time limit."""
        need, request = waiting.need, waiting.need.request
        engines = self._engines_of(request.request_id)
        if choice is not None and choice.soonest is not None:
            first_ms = max(start_ms, choice.soonest.ready_ms) + choice.soonest.first_ms
        else:
            first_ms = start_ms
        if now_ms + first_ms <= need.limit_ms and now_ms < need.limit_ms:
            return None
        if choice is not None and choice.least_harm is not None:
            free = sum(engine.free_slots(now_ms) for engine in engines)
            is_idle = len(self.queue) == 1 and 2 * free >= sum(e.slots for e in engines)
            if is_idle:
                return self._place(waiting, choice.least_harm, "placed_with_harm", now_ms)
        if not engines and now_ms < need.limit_ms:
            return None  # the rows of its engines may still arrive
        work_ms = 0.0
        if state.drain is not None:
            work_ms = state.drain.work_ms(request.model, request.request_id, request.prompt_tokens)
        if not math.isfinite(first_ms):
            first_ms = need.limit_ms - now_ms
        fraction = xxhash.xxh32_intdigest(request.request_id.encode()) / 2.0**32
        self.counts["rejected"] += 1
        return DispatchReply(
            Outcome.REJECTED.value,
            retry_after_ms=self._retry_times.reserve(
                request.model, first_ms, work_ms, fraction, now_ms
            ),
            reason=f"first event expected in {first_ms:.0f} ms, {len(self.queue)} waiting",
        )

    def _can_meet_objective(
        self, need: Need, choice: Choice, start_ms: float, now_ms: float
    ) -> bool:
        soonest = choice.soonest
        if soonest is None:
            return False
        first_ms = max(start_ms, soonest.ready_ms) + soonest.first_ms
        return now_ms + first_ms <= need.objective_ms

    def _place(
        self, waiting: Waiting, evaluation: Evaluation, kind: str, now_ms: float
    ) -> DispatchReply:
        need, engine = waiting.need, evaluation.engine
        dispatch = need.dispatch(evaluation.unread_tokens)
        step_ms = self.paces.step_ms * engine.speed.value
        response_ms = need.request.output_tokens * step_ms * _MAX_RESPONSE_FACTOR
        dispatch.until_ms = max(now_ms, need.limit_ms) + response_ms + _MAX_RESPONSE_MS
        estimate = engine.place(dispatch, need.request.prefix_tokens, now_ms)
        reply = DispatchReply(
            Outcome.PLACED.value, engine.upstream_id, expected_first_ms=estimate.first_ms
        )
        self._placed[need.request.request_id] = (engine, reply)
        self.queue.usage.add(waiting.account, need.tokens, now_ms)
        self.counts[kind] += 1
        return reply

    # Queue

    def _new_waiting(self, request: DispatchRequest, now_ms: float) -> Waiting:
        self._live_routes[request.route_priority] = now_ms
        is_batch = (
            request.first_event_objective_ms >= _MIN_BATCH_OBJECTIVE_MS
            and request.route_priority > self._live_priority(now_ms)
        )
        need = Need.of(request, now_ms, is_batch)
        rank = rank_of(request.account_priority, request.route_priority)
        work_ms = request.prompt_tokens * self.paces.ms_per_token
        self._arrivals.add(rank, work_ms * self.paces.model(request.model).value, now_ms)
        return Waiting(need, rank, now_ms)

    def _is_placed_at_once(self, waiting: Waiting, now_ms: float) -> bool:
        """Place a new request unless another one waits for the same model; return whether it is."""
        request = waiting.need.request
        if self._waiting_models[request.model]:
            return False
        engines = self._known_engines(request)
        choice = choose(waiting.need, engines, now_ms, request.connected_ids, self._reserved)
        if choice.best is None:
            return False
        reply = self._place(waiting, choice.best, "placed", now_ms)
        self._decided[request.request_id] = (reply, now_ms)
        return True

    def _enqueue(self, waiting: Waiting, now_ms: float) -> None:
        self.queue.add(waiting)
        self._waiting_models[waiting.need.request.model] += 1
        self._pass_due_ms = now_ms
        self.counts["queued"] += 1

    def _dequeue(self, request_id: str) -> None:
        waiting = self.queue.remove(request_id)
        if waiting is not None:
            self._waiting_models[waiting.need.request.model] -= 1

    def _engines_of(self, request_id: str) -> list[EngineLoad]:
        waiting = self.queue.get(request_id)
        return self._known_engines(waiting.need.request) if waiting is not None else []

    def _known_engines(self, request: DispatchRequest) -> list[EngineLoad]:
        engines = self.engines
        return [engines[i] for i in request.upstream_ids if i in engines]

    def _live_priority(self, now_ms: float) -> int:
        """Return the priority of the most urgent route with recent requests."""
        recent = [p for p, at in self._live_routes.items() if at > now_ms - _LIVE_ROUTE_TTL_MS]
        return min(recent, default=0)

    def _overtaking(self, waiting: Waiting, now_ms: float) -> float:
        """Return the fraction of the capacity that requests ahead of a waiting one arrive with."""
        return self._arrivals.ahead_of(
            waiting.rank, waiting.is_late, list(self.engines.values()), now_ms
        )

    # Ends

    def _end(self, engine: EngineLoad, request_id: str, at_ms: float, now_ms: float) -> None:
        dispatch = engine.dispatches.get(request_id)
        if dispatch is None:
            return
        self._placed.pop(request_id, None)
        if dispatch.began_ms is None:
            engine.fail(request_id, now_ms)
            return
        engine.end(request_id, now_ms)
        took_ms = at_ms - dispatch.placed_ms
        self._request_ms += _MEAN_REQUEST_WEIGHT * (took_ms - self._request_ms)

    def _forget_abandoned(self, now_ms: float) -> None:
        before_ms = now_ms - _ABANDONED_MS
        for request_id in self.queue.abandoned(before_ms):
            self._dequeue(request_id)
        for request_id, (_, decided_ms) in list(self._decided.items()):
            if decided_ms < before_ms:
                self.cancel(request_id, now_ms)
        for engine in self.engines.values():
            for request_id in engine.forget_expired(now_ms):
                self._placed.pop(request_id, None)
                self.counts["forgotten"] += 1
