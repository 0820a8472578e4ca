"""Decide which models and adapters each engine loads and unloads."""

from __future__ import annotations

import heapq
from functools import partial
from typing import TYPE_CHECKING

from briardyke.placement.draft import Draft
from briardyke.placement.eviction import choose_evictions, is_unneeded, removable
from briardyke.placement.replicas import add_replicas

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from briardyke.placement.types import PlacementView, Step

# The weight store starts only a few loads per second, so a decision needs no more steps than this;
# the next tick decides again.
MAX_STEPS = 256
# When no engine has enough free memory, this many are searched for items to evict, those with the
# least assigned demand first.
MAX_EVICTION_ENGINES = 64


def plan(view: PlacementView, now_ms: float) -> list[Step]:
    """Return the changes to start now, most urgent first.

    A load is returned only when its memory is free already. Memory that an unload frees is
    assigned in a later call, once the engine has confirmed it.

    :param view: inputs of the decision.
    :param now_ms: current time in milliseconds.
    :return: at most :data:`MAX_STEPS` steps.
    """
    draft = Draft(view, now_ms)
    _place_missing_models(draft)
    _place_minimum_replicas(draft)
    _place_missing_adapters(draft)
    _unload_unneeded(draft)
    if len(draft.steps) < MAX_STEPS:
        add_replicas(draft, MAX_STEPS)
        _unload_uncertain(draft)
    return draft.steps[:MAX_STEPS]


def _urgency(draft: Draft, item: str) -> tuple[float, int, int, str]:
    model = draft.models[item]
    return -draft.demand(item), -model.priority, -model.minimum_replicas, item


def _place_missing_models(draft: Draft) -> None:
    missing = [m for m in draft.models if not draft.replicas(m)]
    if not missing:
        return
    missing.sort(key=lambda m: _urgency(draft, m))
    engines_by_item = _pack(draft, missing)
    for item in missing:
        if item in engines_by_item:
            draft.load(item, engines_by_item[item])
        elif not _place(draft, item, is_unreachable=True):
            _copy_elsewhere(draft, item)


def _pack(draft: Draft, missing: list[str]) -> dict[str, str]:
    """Choose an engine for each item, largest item first; return nothing unless all items fit.

    Placing the items with the highest demand first could split the free memory so that a large
    model fits nowhere.
    """
    free = dict(draft.free)
    added_demand: dict[str, float] = {}
    engines_by_item: dict[str, str] = {}
    for item in sorted(missing, key=lambda m: (-draft.size(m), *_urgency(draft, m))):
        fits = _fits_free_memory(draft, item, free)
        engine_id = _uncertain_engine(draft, item)
        engine_id = engine_id or draft.candidates.least_busy(
            draft.models[item].instances, fits, len(draft.engines)
        )
        if engine_id is None:
            _restore_assigned_demand(draft, added_demand)
            return {}
        engines_by_item[item] = engine_id
        free[engine_id] -= draft.bytes_to_reserve(item, engine_id)
        added_demand[engine_id] = added_demand.get(engine_id, 0.0) + draft.demand(item)
        draft.assigned_demand[engine_id] += draft.demand(item)
        draft.candidates.changed(engine_id)
    _restore_assigned_demand(draft, added_demand)
    return engines_by_item


def _fits_free_memory(draft: Draft, item: str, free: dict[str, int]) -> Callable[[str], bool]:
    def fits(upstream_id: str) -> bool:
        free_bytes = max(0, free[upstream_id])
        return draft.bytes_to_reserve(item, upstream_id) <= free_bytes and draft.eligible(
            item, upstream_id
        )

    return fits


def _restore_assigned_demand(draft: Draft, added_demand: dict[str, float]) -> None:
    for upstream_id, demand in added_demand.items():
        draft.assigned_demand[upstream_id] -= demand
        draft.candidates.changed(upstream_id)


def _uncertain_engine(draft: Draft, item: str) -> str | None:
    """Return an engine that already holds memory for the item, so that a load there needs no more.

    This includes an engine whose unload of the item is not confirmed: the new load has a higher
    fencing token and so prevents that unload.
    """
    holders = [i for i in draft.uncertain.get(item, ()) if draft.can_load(item, i)]
    if not holders:
        allowed = draft.candidates.allowed(draft.models[item].instances)
        size = draft.size(item)
        holders = [
            i
            for i in allowed
            # Memory that is already assigned to a more urgent item is not taken back.
            if (i, item) in draft.unloading and draft.available_bytes(i) >= size
        ]
    return min(holders, default=None)


def _place(draft: Draft, item: str, *, is_unreachable: bool) -> bool:
    """Load the item where it fits, or unload others for it; return whether that is possible."""
    engine_id = _uncertain_engine(draft, item)
    patterns = draft.models[item].instances
    if engine_id is None:
        engine_id = draft.candidates.least_busy(
            patterns, lambda i: draft.can_load(item, i), len(draft.engines)
        )
    if engine_id is not None:
        draft.load(item, engine_id)
        return True
    allowed = draft.candidates.allowed(patterns)
    least_busy = heapq.nsmallest(
        MAX_EVICTION_ENGINES, allowed, key=lambda i: (draft.assigned_demand[i], i)
    )
    if _evict_for(draft, item, least_busy, is_unreachable=is_unreachable):
        return True
    return (
        is_unreachable
        and draft.may_search_all()
        and _evict_for(draft, item, allowed, is_unreachable=True)
    )


def _evict_for(
    draft: Draft, item: str, upstream_ids: Iterable[str], *, is_unreachable: bool
) -> bool:
    """Unload items from the engine with the fewest evictions, and assign its memory to the item."""
    best: tuple[int, float, str, list[str]] | None = None
    for upstream_id in upstream_ids:
        if not draft.eligible(item, upstream_id):
            continue
        needed_bytes = draft.bytes_to_reserve(item, upstream_id)
        evictions = choose_evictions(
            draft, upstream_id, item, needed_bytes, is_unreachable=is_unreachable
        )
        if evictions is None:
            continue
        key = (len(evictions), draft.assigned_demand[upstream_id], upstream_id, evictions)
        if best is None or key < best:
            best = key
    if best is None:
        return False
    _, _, upstream_id, evictions = best
    for other in evictions:
        draft.unload(other, upstream_id)
    draft.assign_memory(item, upstream_id)
    return True


def _copy_elsewhere(draft: Draft, item: str) -> None:
    """Copy a model to another engine, so that a later decision can free its memory here."""
    if not draft.may_search_all():
        return
    options = []
    for upstream_id in draft.candidates.allowed(draft.models[item].instances):
        if draft.engines[upstream_id].checks_fencing and draft.eligible(item, upstream_id):
            to_copy = _models_to_copy(draft, item, upstream_id)
            if to_copy is not None:
                options.append((len(to_copy), upstream_id, to_copy))
    for _, _, to_copy in sorted(options):
        for other in to_copy:
            target = draft.candidates.least_busy(
                draft.models[other].instances, partial(draft.can_load, other), len(draft.engines)
            )
            if target is not None:
                draft.load(other, target)
                return
        if not to_copy:
            return


def _models_to_copy(draft: Draft, item: str, upstream_id: str) -> list[str] | None:
    """Return the models to copy elsewhere before the item can fit, or ``None`` if it cannot.

    A model whose other replica is being loaded counts as copied.
    """
    sizes = draft.engines[upstream_id].sizes
    missing_bytes = draft.bytes_to_reserve(item, upstream_id) - draft.available_bytes(upstream_id)
    missing_bytes += sum(
        negative_size for _, _, negative_size, _ in removable(draft, upstream_id, item, True)
    )
    sole_replicas = []
    for other, size in sizes.items():
        if other not in draft.models or upstream_id not in draft.loaded.get(other, ()):
            continue
        elsewhere = draft.replicas(other) - {upstream_id}
        if not elsewhere:
            sole_replicas.append((-size, other))
        elif not elsewhere & draft.loaded.get(other, set()):
            missing_bytes -= size
    to_copy = []
    for negative_size, other in sorted(sole_replicas):
        if missing_bytes <= 0:
            break
        to_copy.append(other)
        missing_bytes += negative_size
    return to_copy if missing_bytes <= 0 else None


def _place_minimum_replicas(draft: Draft) -> None:
    below_minimum = []
    for item, model in draft.models.items():
        if model.minimum_replicas > 1 and draft.replicas(item):
            allowed = len(draft.candidates.allowed(model.instances))
            if len(draft.replicas(item)) < min(model.minimum_replicas, allowed):
                below_minimum.append(item)
    for item in sorted(below_minimum, key=lambda m: _urgency(draft, m)):
        for _ in range(draft.models[item].minimum_replicas - len(draft.replicas(item))):
            if not _place(draft, item, is_unreachable=False):
                break


def _place_missing_adapters(draft: Draft) -> None:
    demanded = [
        a
        for a in draft.view.demand
        if a in draft.adapters and draft.demand(a) > 0 and not draft.replicas(a)
    ]
    for item in sorted(demanded, key=lambda a: (-draft.demand(a), a)):
        with_model = draft.loaded.get(draft.adapters[item].model, set())
        fitting = [i for i in with_model if draft.can_load(item, i)]
        if fitting:
            draft.load(item, min(fitting, key=lambda i: (draft.assigned_demand[i], i)))
        else:
            least_busy = sorted(with_model, key=lambda i: (draft.assigned_demand[i], i))[
                :MAX_EVICTION_ENGINES
            ]
            _evict_for(draft, item, least_busy, is_unreachable=False)


def _unload_unneeded(draft: Draft) -> None:
    """Unload items that are not needed where they are and have no demand."""
    for upstream_id, engine in draft.engines.items():
        if not engine.checks_fencing or not engine.ready:
            continue
        for item in sorted(engine.sizes):
            if (upstream_id, item) in draft.unloading or not is_unneeded(draft, upstream_id, item):
                continue
            order = draft.view.pending.get((upstream_id, item))
            is_in_progress = order is not None and (upstream_id, item) not in draft.stuck
            if draft.demand(item) == 0.0 and not (is_in_progress and draft.is_configured(item)):
                draft.unload(item, upstream_id)


def _unload_uncertain(draft: Draft) -> None:
    """Unload uncertain items that are not needed.

    The higher fencing token of the unload prevents the earlier load.
    """
    for item in sorted(draft.uncertain):
        for upstream_id in sorted(draft.uncertain[item]):
            if draft.engines[upstream_id].checks_fencing:
                draft.unload(item, upstream_id)
