"""Choose an engine for a stream, by what it costs the stream and those that run already."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import attrs

from briardyke.dispatch.cached_parts import part_keys
from briardyke.dispatch.messages import DispatchRequest
from briardyke.dispatch.read_schedule import SEND_MS, Dispatch

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from briardyke.dispatch.engine_load import EngineLoad

# Fraction of an objective that an estimate may take; the rest covers its error.
_OBJECTIVE_FRACTION = 0.9
# Requests that yield leave more, so that a stream that follows is not delayed by them.
_YIELDING_FRACTION = 0.4
# Prompts beyond this time wait in the queue, where they can still be placed elsewhere; an engine
# needs only so many that it does not run out of them before the next pass.
_MAX_BACKLOG_MS = 100.0
# Pauses in a spell that no report states yet count from this fraction of their objective on.
_SPELL_RATIO = 0.6
# Late streams per ms of prefill, so that cached prompts are preferred where nothing is at risk.
_COST_PER_MS = 0.002
# Cost of the last slot of an engine, in late streams.
_OCCUPANCY_COST = 0.3
# Costs of another data centre and of a new connection; both take about a millisecond.
_REMOTE_COST = 0.01
_CONNECT_COST = 0.003
# Time after which a request without a free slot, or an avoided engine, is tried again.
_SLOT_RETRY_MS = 30.0


class Rule(Enum):
    """Why an engine is not fit for a request now."""

    AVOIDED = "requests failed on it recently"
    NO_SLOT = "no free slot"
    NO_CACHE = "running requests would exceed its cache"
    RESERVED = "reserved for a request that is ahead in the queue"
    PAUSE = "running streams would pause for too long"
    BACKLOG = "it has enough prompts to read"
    FIRST_EVENT = "the first event would be late"


@attrs.define(eq=False)
class Need:
    """Request with what is derived from it once.

    :param request: the request.
    :param tokens: cache tokens that it takes until its end.
    :param part_keys: keys of the parts of its prompt.
    :param engines_key: the same for requests that the same engines may run.
    :param arrived_ms: time of its first submission.
    :param objective_ms: time by which its first event meets the objective.
    :param limit_ms: time by which it needs its first event.
    :param is_batch: whether it may wait until live streams leave capacity.
    :param yields: whether it leaves engines that read prompts to other streams.
    """

    request: DispatchRequest
    tokens: int
    part_keys: list[int]
    engines_key: int
    arrived_ms: float
    objective_ms: float
    limit_ms: float
    is_batch: bool = False
    yields: bool = False

    @classmethod
    def of(cls, request: DispatchRequest, now_ms: float, is_batch: bool = False) -> Need:
        """Derive it from a request that is submitted now."""
        return cls(
            request,
            max(1, request.prompt_tokens) + max(0, request.output_tokens),
            part_keys(request.model, request.adapter, request.prefix_ids),
            engines_key(request),
            now_ms,
            now_ms + request.first_event_objective_ms,
            now_ms + request.max_wait_ms,
            is_batch,
            is_batch,
        )

    def dispatch(self, unread_tokens: int) -> Dispatch:
        """Return the dispatch that it becomes when it is placed."""
        request = self.request
        return Dispatch(
            request.request_id,
            request.model,
            self.tokens,
            unread_tokens,
            request.event_gap_objective_ms,
            request.route_priority,
            0.0,
            self.part_keys,
        )


def engines_key(request: DispatchRequest) -> int:
    """Return a key for the model of a request and the engines that may run it."""
    return hash((request.model, frozenset(request.upstream_ids)))


class Evaluation(NamedTuple):
    """What placing a request on an engine now is expected to cause.

    :param engine: the engine.
    :param rule: why it is not fit, ``None`` if it is.
    :param cost: expected number of streams that become late, and smaller costs.
    :param unread_tokens: prompt tokens that it has not cached.
    :param wait_ms: time until its prompt is read.
    :param first_ms: time to the first event.
    :param pause_ms: longest time between events of its running streams.
    :param ready_ms: time until it should be fit; infinite if only the end of its streams helps.
    :param is_possible: whether the request may start on it at all.
    """

    engine: EngineLoad
    rule: Rule | None
    cost: float
    unread_tokens: int
    wait_ms: float
    first_ms: float
    pause_ms: float
    ready_ms: float
    is_possible: bool


class Choice(NamedTuple):
    """Result of a choice.

    :param best: fit engine of the least cost, or ``None``.
    :param soonest: engine that has the first event soonest if the request waits for it.
    :param least_harm: possible engine of the least cost.
    """

    best: Evaluation | None
    soonest: Evaluation | None
    least_harm: Evaluation | None


def choose(
    need: Need,
    engines: Iterable[EngineLoad],
    now_ms: float,
    connected: Collection[str] = (),
    reserved: Collection[str] = (),
) -> Choice:
    """Compare the engines that may run a request.

    :param connected: ids of engines to which the entry instance has a connection.
    :param reserved: ids of engines that requests ahead in the queue wait for.
    """
    best = soonest = least_harm = None
    soonest_ms = math.inf
    for engine in engines:
        evaluation = evaluate(need, engine, now_ms, engine.upstream_id in connected, reserved)
        if evaluation.rule is None:
            if best is None or evaluation.cost < best.cost:
                best = evaluation
            continue
        start_ms = evaluation.ready_ms + evaluation.first_ms
        if start_ms < soonest_ms:
            soonest, soonest_ms = evaluation, start_ms
        if evaluation.is_possible and (least_harm is None or evaluation.cost < least_harm.cost):
            least_harm = evaluation
    return Choice(best, soonest, least_harm)


def evaluate(
    need: Need,
    engine: EngineLoad,
    now_ms: float,
    is_connected: bool = False,
    reserved: Collection[str] = (),
) -> Evaluation:
    """Return what placing a request on an engine now is expected to cause.

    A stream whose objective has passed is fit where it harms no other.
    """
    request = need.request
    cached_tokens = engine.parts.cached_tokens(need.part_keys)
    unread_tokens = max(1, request.prompt_tokens - cached_tokens)
    estimate = engine.estimate(request.model, unread_tokens, now_ms)
    streams = engine.paused_streams
    cost = _COST_PER_MS * estimate.read_ms
    requests = engine.requests(now_ms)
    occupancy = requests / engine.slots
    cost += _OCCUPANCY_COST * occupancy * occupancy * occupancy
    if engine.data_centre != request.data_centre:
        cost += _REMOTE_COST
    if not is_connected:
        cost += _CONNECT_COST
    rule = None
    fraction = _YIELDING_FRACTION if need.yields else _OBJECTIVE_FRACTION
    objective_left_ms = need.objective_ms - now_ms
    if objective_left_ms > 0:
        cost += _late_fraction(estimate.first_ms / objective_left_ms)
        if estimate.first_ms > objective_left_ms * _OBJECTIVE_FRACTION:
            rule = Rule.FIRST_EVENT
    if streams:
        pause_limit_ms = engine.gap_objective_ms
        spell_ratio = estimate.spell_pause_ms / pause_limit_ms
        if spell_ratio > _SPELL_RATIO:
            late = min(1.0, (spell_ratio - _SPELL_RATIO) / (1.0 - _SPELL_RATIO))
            cost += streams * late * engine.slowness.spell_risk(now_ms)
        cost += streams * _late_fraction(estimate.pause_ms / pause_limit_ms)
        if estimate.pause_ms > pause_limit_ms * fraction:
            rule = Rule.PAUSE
    if estimate.wait_ms > (SEND_MS if need.yields else _MAX_BACKLOG_MS) and rule is None:
        rule = Rule.BACKLOG
    is_possible = True
    if reserved and engine.upstream_id in reserved:
        rule = Rule.RESERVED
    if engine.is_avoided(now_ms):
        rule = Rule.AVOIDED
    if requests >= engine.slots:
        rule, is_possible = Rule.NO_SLOT, False
    if engine.free_tokens(now_ms) < need.tokens:
        rule, is_possible = Rule.NO_CACHE, False
    ready_ms = 0.0
    if rule is not None:
        ready_ms = _ready_ms(need, engine, rule, unread_tokens, fraction, now_ms)
    return Evaluation(
        engine,
        rule,
        cost,
        unread_tokens,
        estimate.wait_ms,
        estimate.first_ms,
        estimate.pause_ms,
        ready_ms,
        is_possible,
    )


def _late_fraction(ratio: float) -> float:
    """Return the expected fraction of streams that are late, by estimate over objective.

    The power makes short excesses of the estimate rare, and engines in use alike where nothing is
    at risk.
    """
    square = ratio * ratio
    fourth = square * square
    return 0.02 * square + 0.98 * fourth * fourth if ratio < 1.0 else 1.0


def _ready_ms(
    need: Need,
    engine: EngineLoad,
    rule: Rule,
    unread_tokens: int,
    fraction: float,
    now_ms: float,
) -> float:
    """Return the time until an engine should be fit, beyond its backlog."""
    if rule is Rule.NO_CACHE and need.tokens > engine.cache_tokens:
        return math.inf
    if rule in (Rule.NO_SLOT, Rule.NO_CACHE, Rule.AVOIDED, Rule.RESERVED):
        return _SLOT_RETRY_MS
    if rule is Rule.BACKLOG:
        return 0.0
    if rule is Rule.FIRST_EVENT:
        return math.inf
    alone_ms = engine.alone_pause_ms(need.request.model, unread_tokens, now_ms)
    if alone_ms <= engine.gap_objective_ms * fraction:
        return SEND_MS
    usual_ms = alone_ms / engine.slowness.at(now_ms)
    if usual_ms <= engine.gap_objective_ms * fraction:
        return max(SEND_MS, engine.slowness.ends_until_ms - now_ms)
    return math.inf
