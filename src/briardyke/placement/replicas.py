"""Add replicas where demand exceeds the present capacity, if the gain exceeds the cost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.placement.eviction import choose_evictions

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.placement.draft import Draft

# Demand above this utilization of an engine is assumed to miss the latency targets.
HIGH_UTILIZATION = 0.9
# Demand that varies tenfold within an hour changes by a fifth within this time, so the present
# demand is a good enough forecast for this long.
HORIZON_MS = 300_000.0
# Gain is counted in minutes of one engine's throughput served within the targets. A replica that is
# fully used over the horizon gains 5, so a move weight of 1 requires a fifth of an engine.
GAIN_UNIT_MS = 60_000.0
# An engine that ignores fencing tokens never frees the memory, so a load there has the cost of two
# moves.
PERMANENT_LOAD_MOVES = 2
_MAX_ENGINES_TESTED = 32
_MAX_REPLICAS_PER_DECISION = 16


def gain(draft: Draft, served_tokens_per_second: float) -> float:
    """Return the weighted gain of serving this much more demand over the horizon."""
    engines = served_tokens_per_second / draft.view.engine_tokens_per_second
    weight = draft.view.configuration.placement.attainment_weight
    return weight * engines * HORIZON_MS / GAIN_UNIT_MS


def unserved_demand(draft: Draft, item: str) -> float:
    """Return the item's demand beyond the capacity of its replicas, in tokens per second."""
    replicas = draft.replicas(item)
    if not replicas:
        return 0.0
    share = draft.demand(item) / len(replicas)
    limit = HIGH_UTILIZATION * draft.view.engine_tokens_per_second
    return sum(
        share * (1.0 - limit / draft.assigned_demand[i])
        for i in sorted(replicas)
        if draft.assigned_demand[i] > limit
    )


def add_replicas(draft: Draft, max_steps: int) -> None:
    """Add replicas for items on overloaded engines, the largest excess first.

    Only items that have a replica on an overloaded engine are examined.

    :param draft: state of the decision.
    :param max_steps: number of steps at which to stop.
    """
    limit = HIGH_UTILIZATION * draft.view.engine_tokens_per_second
    overloaded = {i for i, assigned in draft.assigned_demand.items() if assigned > limit}
    items = {
        item for i in overloaded for item in draft.engines[i].sizes if draft.is_configured(item)
    }
    ranked = sorted(
        (-unserved_demand(draft, item), item) for item in items if draft.demand(item) > 0
    )
    for _, item in ranked:
        for _ in range(_MAX_REPLICAS_PER_DECISION):
            if len(draft.steps) >= max_steps or not _add_replica(draft, item):
                break


def _add_replica(draft: Draft, item: str) -> bool:
    excess = unserved_demand(draft, item)
    weight = draft.view.configuration.placement.move_weight
    if excess <= 0 or gain(draft, excess) <= weight:
        return False
    target = _least_busy(draft, item)
    if target is not None and _is_worthwhile(
        draft, item, target, excess, _moves_per_load(draft, target)
    ):
        draft.load(item, target)
        return True
    return _evict_for_replica(draft, item, excess)


def _evict_for_replica(draft: Draft, item: str, excess: float) -> bool:
    """Unload items for a replica; return ``False``, as the load waits for a later decision."""
    tested: list[str] = []

    def is_worth_evicting(upstream_id: str) -> bool:
        tested.append(upstream_id)
        if not draft.engines[upstream_id].checks_fencing or not draft.eligible(item, upstream_id):
            return False
        evictions = choose_evictions(
            draft, upstream_id, item, draft.bytes_to_reserve(item, upstream_id)
        )
        if evictions is None:
            return False
        return _is_worthwhile(draft, item, upstream_id, excess, 1 + len(evictions))

    target = _search(draft, item, is_worth_evicting)
    if target is None:
        return False
    for other in choose_evictions(draft, target, item, draft.bytes_to_reserve(item, target)) or []:
        draft.unload(other, target)
    draft.assign_memory(item, target)
    return False


def _least_busy(draft: Draft, item: str) -> str | None:
    uncertain = [i for i in draft.uncertain.get(item, ()) if draft.can_load(item, i)]
    if uncertain and all(draft.allowed(item, i) for i in uncertain):
        return min(uncertain, key=lambda i: (draft.assigned_demand[i], i))
    return _search(
        draft, item, lambda i: draft.can_load(item, i) and _keeps_memory_for_largest(draft, item, i)
    )


def _search(draft: Draft, item: str, accepts: Callable[[str], bool]) -> str | None:
    adapter = draft.adapters.get(item)
    if adapter is None:
        return draft.candidates.least_busy(
            draft.models[item].instances, accepts, _MAX_ENGINES_TESTED
        )
    with_model = draft.loaded.get(adapter.model, set())
    for upstream_id in sorted(with_model, key=lambda i: (draft.assigned_demand[i], i))[
        :_MAX_ENGINES_TESTED
    ]:
        if accepts(upstream_id):
            return upstream_id
    return None


def _keeps_memory_for_largest(draft: Draft, item: str, upstream_id: str) -> bool:
    """Return whether an engine that cannot free memory keeps enough for the largest other model."""
    engine = draft.engines[upstream_id]
    if engine.checks_fencing or item in engine.sizes:
        return True
    largest = max(
        (
            model.size_bytes
            for name, model in draft.models.items()
            if name != item
            and name not in engine.sizes
            and draft.candidates.is_allowed(model.instances, upstream_id)
        ),
        default=0,
    )
    return draft.free[upstream_id] - draft.bytes_to_reserve(item, upstream_id) >= largest


def _moves_per_load(draft: Draft, upstream_id: str) -> int:
    return 1 if draft.engines[upstream_id].checks_fencing else PERMANENT_LOAD_MOVES


def _is_worthwhile(draft: Draft, item: str, upstream_id: str, excess: float, moves: int) -> bool:
    headroom = (
        HIGH_UTILIZATION * draft.view.engine_tokens_per_second - draft.assigned_demand[upstream_id]
    )
    share = draft.demand(item) / (len(draft.replicas(item)) + 1)
    served = min(excess, headroom, share)
    return gain(draft, served) > moves * draft.view.configuration.placement.move_weight
