"""Decide on the waiting requests in their order."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

import attrs
import xxhash

from briardyke.dispatch.choice import Choice, Evaluation, Rule, choose
from briardyke.dispatch.demand import Demand
from briardyke.dispatch.drain import DrainEstimate
from briardyke.dispatch.messages import DispatchReply, Outcome
from briardyke.dispatch.pool import EnginePool
from briardyke.dispatch.queue import WaitingQueue
from briardyke.dispatch.rejection import RetryTimes

if TYPE_CHECKING:

    from briardyke.dispatch.choice import Need
    from briardyke.dispatch.engine_load import EngineLoad
    from briardyke.dispatch.queue import Waiting

# A stream that would be late is placed where it makes fewer other streams late than this.
_MAX_OWN_HARM = 0.7
# Fraction of its objective within which the expected first event of a waiting stream has to be.
# With 1, a burst that lasts makes all streams wait until their objective, and many are late.
_ON_TIME_FRACTION = 0.6
_EVALUATION_COST_MS = 0.006
_WAITING_COST_MS = 0.006


@attrs.define(eq=False)
class _Blocked:
    """Smallest prompt of a kind that found no engine in this pass.

    :param tokens: tokens of the prompt.
    :param soonest: where it should begin first, ``None`` if nowhere.
    """

    tokens: int
    soonest: Evaluation | None


@attrs.define(eq=False)
class QueuePass:
    """One pass over the queue.

    Each request that has to wait reserves the engine on which it should begin first, so those
    behind it, which may be shorter, do not take that engine from it again and again.

    :param reserved: engines that requests ahead wait for.
    :param cost_ms: estimated time that the pass has taken.
    """

    pool: EnginePool
    queue: WaitingQueue
    demand: Demand
    retry_times: RetryTimes
    counts: Counter[str]
    now_ms: float
    reserved: set[str] = attrs.field(factory=set)
    cost_ms: float = 0.0
    _drain: DrainEstimate = attrs.field(init=False)
    _blocked: dict[tuple[int, bool, bool], _Blocked] = attrs.field(factory=dict, init=False)
    _above_share: dict[str, bool] = attrs.field(factory=dict, init=False)
    _overtaking: dict[tuple[tuple[int, int], bool], float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Begin at the head of the queue."""
        self._drain = DrainEstimate(
            self.pool.paces, self.pool.known, self.pool.request_ms, self.now_ms
        )

    def decide_all(self) -> list[tuple[Waiting, DispatchReply]]:
        """Return the requests that are decided, with their replies; they stay in the queue."""
        decided = []
        for waiting in self.queue.in_order(self.now_ms):
            self.cost_ms += _WAITING_COST_MS
            reply = self._decide(waiting)
            if reply is not None:
                decided.append((waiting, reply))
        return decided

    def _decide(self, waiting: Waiting) -> DispatchReply | None:
        """Return the reply to a waiting request, or ``None`` if it goes on waiting."""
        need, request = waiting.need, waiting.need.request
        need.yields = need.is_batch or self._is_above_share(waiting.account)
        kind = (need.engines_key, need.yields, waiting.is_late)
        blocked = self._blocked.get(kind)
        choice = None
        if blocked is None or request.prompt_tokens < blocked.tokens:
            choice = self._choose(need)
            if choice.soonest is None and need.yields and not need.is_batch:
                need.yields = False  # no engine is ever fit for a request that yields
                choice = self._choose(need)
            if choice.best is not None:
                return self._place(waiting, choice.best, "placed")
            blocked = self._blocked[kind] = _Blocked(request.prompt_tokens, choice.soonest)
        turn_ms = self._drain.start_ms(need)
        first_ms = _first_ms(blocked.soonest, turn_ms)
        if choice is not None:
            harmed = self._harmful_placement(waiting, choice, first_ms)
            if harmed is not None:
                return harmed
            if choice.soonest is not None:
                self.reserved.add(choice.soonest.engine.upstream_id)
        objective_left_ms = need.objective_ms - self.now_ms
        is_never = need.is_batch and not math.isfinite(first_ms)
        if not (waiting.is_late or is_never) and first_ms > _ON_TIME_FRACTION * objective_left_ms:
            self.queue.mark_late(waiting)
            return None  # it comes again after those that can still meet their objective
        overtaken_ms = _first_ms(blocked.soonest, turn_ms / (1.0 - self._overtaken(waiting)))
        if self.now_ms + overtaken_ms > need.limit_ms:
            return self._rejection(waiting, choice, turn_ms, overtaken_ms)
        self._drain.add(need)
        return None

    def _choose(self, need: Need) -> Choice:
        engines = self.pool.known(need.request)
        self.cost_ms += _EVALUATION_COST_MS * len(engines)
        return choose(need, engines, self.now_ms, need.request.connected_ids, self.reserved)

    def _harmful_placement(
        self, waiting: Waiting, choice: Choice, first_ms: float
    ) -> DispatchReply | None:
        """Place a request that no engine is fit for, where waiting would cost more."""
        need, harm = waiting.need, choice.least_harm
        if harm is None or harm.rule is not Rule.PAUSE or need.is_batch:
            return None
        if waiting.is_late:
            # It makes others late only where no engine becomes fit while its streams run.
            is_right = choice.soonest is None and self.now_ms + harm.first_ms <= need.limit_ms
        else:
            is_right = (
                self.now_ms + first_ms > need.objective_ms
                and harm.cost < _MAX_OWN_HARM
                and self.now_ms + harm.first_ms <= need.objective_ms
            )
        return self._place(waiting, harm, "placed_with_harm") if is_right else None

    def _rejection(
        self, waiting: Waiting, choice: Choice | None, turn_ms: float, first_ms: float
    ) -> DispatchReply | None:
        """Reject a request that would begin after its time limit, unless its engines are idle."""
        need, request = waiting.need, waiting.need.request
        engines = self.pool.known(request)
        if _are_idle(engines, self.now_ms) and (
            len(self.queue) == 1 or not any(engine.schedule.pending for engine in engines)
        ):
            harm = (choice or self._choose(need)).least_harm
            if harm is not None:
                return self._place(waiting, harm, "placed_with_harm")
        is_too_large = engines and all(need.tokens > engine.cache_tokens for engine in engines)
        if not math.isfinite(first_ms) and self.now_ms < need.limit_ms and not is_too_large:
            return None  # its engines may still be announced, or be fit when their streams end
        self.counts["rejected"] += 1
        work_ms = self._drain.work_ms(need)
        fraction = xxhash.xxh32_intdigest(request.request_id.encode()) / 2.0**32
        turn_ms = turn_ms if math.isfinite(turn_ms) else 0.0
        retry_after_ms = self.retry_times.reserve(
            request.model, turn_ms, work_ms, fraction, self.now_ms
        )
        reason = f"first event expected in {first_ms:.0f} ms, {len(self.queue)} waiting"
        if is_too_large:
            reason = f"{need.tokens} tokens exceed the cache of every engine"
        return DispatchReply(Outcome.REJECTED.value, retry_after_ms=retry_after_ms, reason=reason)

    def _place(self, waiting: Waiting, evaluation: Evaluation, kind: str) -> DispatchReply:
        self.counts[kind] += 1
        self.queue.usage.add(waiting.account, waiting.need.tokens, self.now_ms)
        self.demand.serve(waiting.account, waiting.work_ms, self.now_ms)
        return self.pool.place(waiting.need, evaluation, self.now_ms)

    def _is_above_share(self, account: str) -> bool:
        is_above = self._above_share.get(account)
        if is_above is None:
            power = self.pool.power(self.now_ms)
            is_above = self.demand.is_above_share(account, power, self.now_ms)
            self._above_share[account] = is_above
        return is_above

    def _overtaken(self, waiting: Waiting) -> float:
        """Return the fraction of the capacity that requests arrive with that come before it."""
        key = (waiting.rank, waiting.is_late)
        fraction = self._overtaking.get(key)
        if fraction is None:
            power = self.pool.power(self.now_ms)
            fraction = self._overtaking[key] = self.demand.overtaking(*key, power, self.now_ms)
        return fraction


def _first_ms(soonest: Evaluation | None, turn_ms: float) -> float:
    """Return the expected time to the first event of a request whose turn comes after a time."""
    if soonest is None:
        return math.inf
    own_ms = soonest.first_ms - soonest.wait_ms
    return max(soonest.ready_ms + soonest.first_ms, turn_ms + own_ms)


def _are_idle(engines: list[EngineLoad], now_ms: float) -> bool:
    """Return whether half of the slots are free."""
    free = sum(engine.free_slots(now_ms) for engine in engines)
    return bool(engines) and 2 * free >= sum(engine.slots for engine in engines)
