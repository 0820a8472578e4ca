"""Choose which items an engine unloads to free memory for another."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.placement.types import StepKind

if TYPE_CHECKING:
    from briardyke.placement.draft import Draft

# A replica is unloaded only when the others stay below this utilization, and one is added above
# HIGH_UTILIZATION (replicas.py). The gap prevents alternating loads and unloads while demand varies
# by a quarter.
LOW_UTILIZATION = 0.65


def is_unneeded(draft: Draft, upstream_id: str, item: str) -> bool:
    """Return whether an item is not needed on an engine.

    This holds for an item that is not in the current configuration, for a model on an engine that
    its patterns do not match if an allowed engine serves it, and for an adapter on an engine
    without its model.
    """
    if item in draft.models:
        allowed = draft.candidates.is_allowed(draft.models[item].instances, upstream_id)
        return not allowed and bool(draft.loaded.get(item))
    if item in draft.adapters:
        model = draft.adapters[item].model
        return model not in draft.engines[upstream_id].sizes
    return True


def is_surplus(draft: Draft, upstream_id: str, item: str) -> bool:
    """Return whether the other replicas of a model can serve its demand without this one."""
    others = draft.loaded.get(item, set()) - {upstream_id}
    if not others or len(others) < draft.models[item].minimum_replicas:
        return False
    replicas = draft.replicas(item)
    if upstream_id not in replicas:
        return False
    demand = draft.demand(item)
    extra = demand / (len(replicas) - 1) - demand / len(replicas)
    limit = LOW_UTILIZATION * draft.view.engine_tokens_per_second
    return all(draft.assigned_demand[other] + extra <= limit for other in others) or demand == 0.0


def choose_evictions(
    draft: Draft, upstream_id: str, item: str, needed_bytes: int, *, is_unreachable: bool = False
) -> list[str] | None:
    """Return items to unload so that another item fits, least valuable first.

    An adapter is evicted for a model, for an adapter with higher demand, and for an adapter with
    waiting callers if it has none itself. A model is evicted only when :func:`is_surplus` allows
    it, or when the new item is unreachable otherwise and another replica of the evicted model
    serves callers.

    :param draft: state of the decision.
    :param upstream_id: engine that needs free memory.
    :param item: item that needs the memory.
    :param needed_bytes: bytes that the item must reserve.
    :param is_unreachable: whether no caller can reach the item otherwise.
    :return: items to unload, empty when enough memory is being freed already; ``None`` when not
        enough can be freed.
    """
    engine = draft.engines[upstream_id]
    missing_bytes = needed_bytes - draft.available_bytes(upstream_id)
    if missing_bytes <= 0:
        return []
    if not engine.checks_fencing:
        return None
    chosen: list[str] = []
    for _, _, negative_size, other in removable(draft, upstream_id, item, is_unreachable):
        if missing_bytes <= 0:
            break
        chosen.append(other)
        missing_bytes += negative_size
    if missing_bytes > 0:
        return None
    return _drop_unneeded(draft, upstream_id, chosen, -missing_bytes)


def removable(
    draft: Draft, upstream_id: str, item: str, is_unreachable: bool
) -> list[tuple[int, float, int, str]]:
    """Return the items that may be unloaded, as sorted (rank, demand, negative size, name).

    Items of a lower rank are unloaded first.
    """
    ranked = []
    for other, size in draft.engines[upstream_id].sizes.items():
        if other == item or (upstream_id, other) in draft.unloading:
            continue
        rank = _rank(draft, upstream_id, other, item, is_unreachable)
        if rank is not None:
            ranked.append((rank, draft.demand(other), -size, other))
    return sorted(ranked)


def _rank(
    draft: Draft, upstream_id: str, other: str, item: str, is_unreachable: bool
) -> int | None:
    if (upstream_id, other) in draft.stuck:
        return 1
    order = draft.view.pending.get((upstream_id, other))
    if order is not None and order.kind is StepKind.LOAD:
        return None
    if is_unneeded(draft, upstream_id, other):
        return 0
    if upstream_id in draft.arriving.get(other, ()):
        return None
    if other in draft.models:
        if upstream_id in draft.uncertain.get(other, ()):
            # If it has no other replica, loading it again here costs less than placing it anew.
            return 1 if draft.replicas(other) else None
        if is_surplus(draft, upstream_id, other):
            return 3
        return 4 if is_unreachable and draft.loaded.get(other, set()) - {upstream_id} else None
    if item == draft.adapters[other].model:
        return None
    if item in draft.models or draft.demand(other) == 0.0:
        return 2
    has_more_demand = draft.demand(item) > draft.demand(other) * ADAPTER_DEMAND_RATIO
    is_only_one_waiting = _has_waiting_requests(draft, item) and not _has_waiting_requests(
        draft, other
    )
    return 2 if has_more_demand or is_only_one_waiting else None


# An adapter replaces another only if its demand is more than this many times as high, so that two
# adapters with similar demand do not replace each other in turn.
ADAPTER_DEMAND_RATIO = 2.0


def _has_waiting_requests(draft: Draft, item: str) -> bool:
    demand = draft.view.demand.get(item)
    return demand is not None and demand.waiting_requests > 0


def _drop_unneeded(
    draft: Draft, upstream_id: str, chosen: list[str], excess_bytes: int
) -> list[str]:
    sizes = draft.engines[upstream_id].sizes
    kept = []
    for other in chosen:
        if sizes[other] <= excess_bytes:
            excess_bytes -= sizes[other]
        else:
            kept.append(other)
    return kept
