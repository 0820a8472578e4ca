"""Place, queue and reject the streams of one service."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from briardyke.dispatch.choice import Need, choose, engines_key
from briardyke.dispatch.demand import Demand
from briardyke.dispatch.drain import reference_ms
from briardyke.dispatch.messages import DispatchReply, DispatchRequest, Observation, Outcome
from briardyke.dispatch.pool import EnginePool
from briardyke.dispatch.queue import Waiting, WaitingQueue, rank_of
from briardyke.dispatch.queue_pass import QueuePass
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
# Interval between passes over the queue, in times of the cost of a pass: a fifth of a core.
_PASS_SPACING = 5.0
_MIN_PASS_INTERVAL_MS = 1.0
# Time after which waiting requests are looked at again without an observation.
_RECHECK_MS = 5.0
_HOUSEKEEPING_MS = 100.0


class Dispatcher:
    """Decisions for one service, by the dispatches of all entry instances.

    :ivar counts: numbers of decisions by kind, for metrics.
    :ivar reserved: engines that requests in the queue wait for.
    """

    def __init__(self) -> None:
        """Start without engines."""
        self.counts: Counter[str] = Counter()
        self.pool = EnginePool()
        self.queue = WaitingQueue()
        self._decided: dict[str, tuple[DispatchReply, float]] = {}
        self._retry_times = RetryTimes()
        self._demand = Demand()
        self._live_routes: dict[int, float] = {}
        self.reserved: set[str] = set()
        self._waiting_models: Counter[str] = Counter()
        self._next_pass_ms = self._pass_due_ms = -math.inf
        self._housekeeping_ms = -math.inf

    def update_engines(self, rows: Sequence[Upstream], spec: EngineSpec, now_ms: float) -> None:
        """Take over the ready rows of the service and the capacity of its engines."""
        self.pool.update(rows, spec)
        self._pass_due_ms = now_ms

    def submit(self, request: DispatchRequest, now_ms: float) -> DispatchReply:
        """Place, queue or reject a request; one that is queued is asked for again."""
        for observation in request.observations:
            self.observe(request.instance_id, observation, now_ms)
        self._forget_abandoned(now_ms)
        request_id = request.request_id
        decided = self._decided.pop(request_id, None)
        if decided is not None and decided[0].outcome == Outcome.REJECTED.value:
            return decided[0]
        placement = self.pool.placement(request_id)
        if placement is not None:
            if placement.upstream_id in request.upstream_ids:
                return placement  # decided while it waited, or the reply was lost
            self.pool.fail(request_id, now_ms)
        waiting = self.queue.get(request_id)
        if waiting is None:
            waiting = self._new_waiting(request, now_ms)
            placement = self._place_at_once(waiting, now_ms)
            if placement is not None:
                return placement
            self._enqueue(waiting, now_ms)
        else:
            waiting.asked_ms = now_ms
            # Its place in the queue depends on the other fields.
            waiting.need.request = attrs.evolve(
                waiting.need.request,
                upstream_ids=request.upstream_ids,
                connected_ids=request.connected_ids,
            )
            waiting.need.engines_key = engines_key(waiting.need.request)
        if now_ms >= self._next_pass_ms:
            self.advance(now_ms)
        decided = self._decided.pop(request_id, None)
        return decided[0] if decided else DispatchReply(Outcome.QUEUED.value)

    def observe(self, instance_id: str, observation: Observation, now_ms: float) -> None:
        """Take in what an entry instance observed."""
        if self.pool.observe(observation, now_ms):
            self._pass_due_ms = now_ms

    def cancel(self, request_id: str, now_ms: float) -> None:
        """Forget a request whose caller has left."""
        self._dequeue(request_id)
        self._decided.pop(request_id, None)
        if self.pool.cancel(request_id, now_ms):
            self._pass_due_ms = now_ms

    def advance(self, now_ms: float) -> list[str]:
        """Place and reject queued requests; return the ids of those that were decided."""
        self._forget_abandoned(now_ms)
        self._pass_due_ms = now_ms + _RECHECK_MS
        self.reserved = set()
        if not len(self.queue):
            return []
        self.counts["promoted"] += self.queue.promote(now_ms, self._live_priority(now_ms))
        queue_pass = QueuePass(
            self.pool, self.queue, self._demand, self._retry_times, self.counts, now_ms
        )
        decided = []
        for waiting, reply in queue_pass.decide_all():
            request_id = waiting.need.request.request_id
            self._dequeue(request_id)
            self._decided[request_id] = (reply, now_ms)
            decided.append(request_id)
        self.reserved = queue_pass.reserved
        interval_ms = max(_MIN_PASS_INTERVAL_MS, _PASS_SPACING * queue_pass.cost_ms)
        self._next_pass_ms = now_ms + interval_ms
        return decided

    def next_change_ms(self, now_ms: float) -> float | None:
        """Return the time until :meth:`advance` can decide something; ``None`` if never."""
        if not len(self.queue):
            return None
        return max(0.0, max(self._next_pass_ms, self._pass_due_ms) - now_ms)

    def postpone(self, until_ms: float) -> None:
        """Make no further pass over the queue before a time, because passes take long here."""
        self._next_pass_ms = max(self._next_pass_ms, until_ms)

    def update_in_flight(
        self, counts: Mapping[str, Sequence[int]], age_ms: float, now_ms: float
    ) -> None:
        """Compare with the summed in-flight counts of the entry instances.

        :param counts: requests by upstream id: all, and those whose response has not begun.
        :param age_ms: age of the counts.
        :param now_ms: current time.
        """
        self.counts["forgotten"] += self.pool.check_counts(counts, now_ms - age_ms, now_ms)

    def need_of(self, request: DispatchRequest, now_ms: float) -> Need:
        """Return what a request needs: as known in the queue, or as a new one."""
        waiting = self.queue.get(request.request_id)
        if waiting is not None:
            return waiting.need
        is_batch = (
            request.first_event_objective_ms >= _MIN_BATCH_OBJECTIVE_MS
            and request.route_priority > self._live_priority(now_ms)
        )
        need = Need.of(request, now_ms, is_batch)
        power = self.pool.power(now_ms)
        need.yields = is_batch or self._demand.is_above_share(request.account, power, now_ms)
        return need

    def must_wait_for_turn(self, request: DispatchRequest) -> bool:
        """Return whether other requests for its model wait."""
        others = self._waiting_models[request.model]
        return others > int(self.queue.get(request.request_id) is not None)

    def _new_waiting(self, request: DispatchRequest, now_ms: float) -> Waiting:
        self._live_routes[request.route_priority] = now_ms
        need = self.need_of(request, now_ms)
        rank = rank_of(request.account_priority, request.route_priority)
        work_ms = reference_ms(self.pool.paces, request.model, request.prompt_tokens)
        self._demand.arrive(rank, request.account, work_ms, now_ms)
        return Waiting(need, rank, work_ms, now_ms)

    def _place_at_once(self, waiting: Waiting, now_ms: float) -> DispatchReply | None:
        """Place a new request on a fit engine unless another one waits for the same model."""
        request = waiting.need.request
        if self.must_wait_for_turn(request):
            return None
        engines = self.pool.known(request)
        choice = choose(waiting.need, engines, now_ms, request.connected_ids, self.reserved)
        if choice.best is None:
            return None
        self.counts["placed"] += 1
        self.queue.usage.add(waiting.account, waiting.need.tokens, now_ms)
        self._demand.serve(waiting.account, waiting.work_ms, now_ms)
        return self.pool.place(waiting.need, choice.best, now_ms)

    def _enqueue(self, waiting: Waiting, now_ms: float) -> None:
        self.queue.add(waiting)
        self._waiting_models[waiting.need.request.model] += 1
        self._pass_due_ms = now_ms
        self.counts["queued"] += 1

    def _dequeue(self, request_id: str) -> None:
        waiting = self.queue.remove(request_id)
        if waiting is not None:
            self._waiting_models[waiting.need.request.model] -= 1

    def _live_priority(self, now_ms: float) -> int:
        """Return the priority of the most urgent route with recent requests."""
        recent = [p for p, at in self._live_routes.items() if at > now_ms - _LIVE_ROUTE_TTL_MS]
        return min(recent, default=0)

    def _forget_abandoned(self, now_ms: float) -> None:
        if now_ms < self._housekeeping_ms:
            return
        self._housekeeping_ms = now_ms + _HOUSEKEEPING_MS
        before_ms = now_ms - _ABANDONED_MS
        for request_id in self.queue.abandoned(before_ms):
            self._dequeue(request_id)
        for request_id, (_, decided_ms) in list(self._decided.items()):
            if decided_ms < before_ms:
                self.cancel(request_id, now_ms)
        self.counts["forgotten"] += self.pool.forget_expired(now_ms)
