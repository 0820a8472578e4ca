"""Decide which engine loads or unloads what."""

from __future__ import annotations

import heapq
from functools import partial
from typing import TYPE_CHECKING

from briardyke.placement.draft import Draft
from briardyke.placement.replicas import follow_demand
from briardyke.placement.room import removable, unwanted, victims

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from briardyke.placement.types import PlacementView, Step

# The store starts a few loads per second, so a decision needs to be no longer than this; the next
# tick decides again.
MAX_STEPS = 256
# Engines that are examined for room when none has enough free memory, least busy first.
ROOM_PROBES = 64


def plan(view: PlacementView, now_ms: float) -> list[Step]:
    """Return the changes to start now, most urgent first.

    A load is returned only when its memory is free already. Memory that an unload frees is
    assigned in a later call, once the engine has confirmed it.

    :param view: what placement sees.
    :param now_ms: current time in milliseconds.
    :return: at most :data:`MAX_STEPS` steps.
    """
    draft = Draft(view, now_ms)
    _reach_models(draft)
    _keep_minimum(draft)
    _reach_adapters(draft)
    _clean(draft)
    if len(draft.steps) < MAX_STEPS:
        follow_demand(draft, MAX_STEPS)
        _settle_doubt(draft)
    return draft.steps[:MAX_STEPS]


def _urgency(draft: Draft, item: str) -> tuple[float, int, int, str]:
    model = draft.models[item]
    return -draft.demand(item), -model.priority, -model.minimum_replicas, item


def _reach_models(draft: Draft) -> None:
    missing = [m for m in draft.models if not draft.replicas(m)]
    if not missing:
        return
    missing.sort(key=lambda m: _urgency(draft, m))
    homes = _pack(draft, missing)
    for item in missing:
        if item in homes:
            draft.load(item, homes[item])
        elif not _place(draft, item, reach=True):
            _relocate(draft, item)


def _pack(draft: Draft, missing: list[str]) -> dict[str, str]:
    """Choose homes for all items, largest first; empty when they do not all fit.

    Placing the most demanded first could split the free memory so that a large model fits nowhere.
    """
    free = dict(draft.free)
    taken: dict[str, float] = {}
    homes: dict[str, str] = {}
    for item in sorted(missing, key=lambda m: (-draft.size(m), *_urgency(draft, m))):
        fits = _fits(draft, item, free)
        home = _doubtful_home(draft, item)
        home = home or draft.candidates.least_busy(
            draft.models[item].instances, fits, len(draft.engines)
        )
        if home is None:
            _restore(draft, taken)
            return {}
        homes[item] = home
        free[home] -= draft.need(item, home)
        taken[home] = taken.get(home, 0.0) + draft.demand(item)
        draft.pressure[home] += draft.demand(item)
        draft.candidates.changed(home)
    _restore(draft, taken)
    return homes


def _fits(draft: Draft, item: str, free: dict[str, int]) -> Callable[[str], bool]:
    def fits(upstream_id: str) -> bool:
        room = max(0, free[upstream_id])
        return draft.need(item, upstream_id) <= room and draft.eligible(item, upstream_id)

    return fits


def _restore(draft: Draft, taken: dict[str, float]) -> None:
    for upstream_id, demand in taken.items():
        draft.pressure[upstream_id] -= demand
        draft.candidates.changed(upstream_id)


def _doubtful_home(draft: Draft, item: str) -> str | None:
    """Return an engine that holds memory for the item already; a load there needs no more.

    It may also be an engine whose unload of the item is in doubt: the new load has a higher token
    and so prevents that unload.
    """
    held = [i for i in draft.doubtful.get(item, ()) if draft.can_take(item, i)]
    if not held:
        allowed = draft.candidates.allowed(draft.models[item].instances)
        size = draft.size(item)
        held = [
            i
            for i in allowed
            # Memory that is assigned to a more urgent item already is not taken back.
            if (i, item) in draft.unloading and draft.available(i) >= size
        ]
    return min(held, default=None)


def _place(draft: Draft, item: str, *, reach: bool) -> bool:
    """Load the item where it fits, or make room for it; return whether that is possible."""
    home = _doubtful_home(draft, item)
    patterns = draft.models[item].instances
    if home is None:
        home = draft.candidates.least_busy(
            patterns, lambda i: draft.can_take(item, i), len(draft.engines)
        )
    if home is not None:
        draft.load(item, home)
        return True
    allowed = draft.candidates.allowed(patterns)
    least = heapq.nsmallest(ROOM_PROBES, allowed, key=lambda i: (draft.pressure[i], i))
    if _make_room(draft, item, least, reach=reach):
        return True
    return reach and draft.may_scan() and _make_room(draft, item, allowed, reach=True)


def _make_room(draft: Draft, item: str, upstream_ids: Iterable[str], *, reach: bool) -> bool:
    best: tuple[int, float, str, list[str]] | None = None
    for upstream_id in upstream_ids:
        if not draft.eligible(item, upstream_id):
            continue
        need = draft.need(item, upstream_id)
        chosen = victims(draft, upstream_id, item, need, reach=reach)
        if chosen is None:
            continue
        key = (len(chosen), draft.pressure[upstream_id], upstream_id, chosen)
        if best is None or key < best:
            best = key
    if best is None:
        return False
    _, _, upstream_id, chosen = best
    for other in chosen:
        draft.unload(other, upstream_id)
    draft.claim(item, upstream_id)
    return True


def _relocate(draft: Draft, item: str) -> None:
    """Copy a model to another engine, so that a later decision can unload it to make room."""
    if not draft.may_scan():
        return
    options = []
    for upstream_id in draft.candidates.allowed(draft.models[item].instances):
        if draft.engines[upstream_id].checks_fencing and draft.eligible(item, upstream_id):
            movers = _movers(draft, item, upstream_id)
            if movers is not None:
                options.append((len(movers), upstream_id, movers))
    for _, _, movers in sorted(options):
        for other in movers:
            target = draft.candidates.least_busy(
                draft.models[other].instances, partial(draft.can_take, other), len(draft.engines)
            )
            if target is not None:
                draft.load(other, target)
                return
        if not movers:
            return


def _movers(draft: Draft, item: str, upstream_id: str) -> list[str] | None:
    """Return the models that must get another replica before the item can fit, if that suffices.

    A model whose other replica is on its way counts as moved.
    """
    sizes = draft.engines[upstream_id].sizes
    missing = draft.need(item, upstream_id) - draft.available(upstream_id)
    missing += sum(size for _, _, size, _ in removable(draft, upstream_id, item, True))
    sole = []
    for other, size in sizes.items():
        if other not in draft.models or upstream_id not in draft.loaded.get(other, ()):
            continue
        elsewhere = draft.replicas(other) - {upstream_id}
        if not elsewhere:
            sole.append((-size, other))
        elif not elsewhere & draft.loaded.get(other, set()):
            missing -= size
    movers = []
    for size, other in sorted(sole):
        if missing <= 0:
            break
        movers.append(other)
        missing += size
    return movers if missing <= 0 else None


def _keep_minimum(draft: Draft) -> None:
    short = []
    for item, model in draft.models.items():
        if model.minimum_replicas > 1 and draft.replicas(item):
            allowed = len(draft.candidates.allowed(model.instances))
            if len(draft.replicas(item)) < min(model.minimum_replicas, allowed):
                short.append(item)
    for item in sorted(short, key=lambda m: _urgency(draft, m)):
        for _ in range(draft.models[item].minimum_replicas - len(draft.replicas(item))):
            if not _place(draft, item, reach=False):
                break


def _reach_adapters(draft: Draft) -> None:
    wanted = [
        a
        for a in draft.view.demand
        if a in draft.adapters and draft.demand(a) > 0 and not draft.replicas(a)
    ]
    for item in sorted(wanted, key=lambda a: (-draft.demand(a), a)):
        beside = draft.loaded.get(draft.adapters[item].model, set())
        fitting = [i for i in beside if draft.can_take(item, i)]
        if fitting:
            draft.load(item, min(fitting, key=lambda i: (draft.pressure[i], i)))
        else:
            least = sorted(beside, key=lambda i: (draft.pressure[i], i))[:ROOM_PROBES]
            _make_room(draft, item, least, reach=False)


def _clean(draft: Draft) -> None:
    """Unload at once what serves nothing and has no demand left."""
    for upstream_id, engine in draft.engines.items():
        if not engine.checks_fencing or not engine.ready:
            continue
        for item in sorted(engine.sizes):
            if (upstream_id, item) in draft.unloading or not unwanted(draft, upstream_id, item):
                continue
            order = draft.view.pending.get((upstream_id, item))
            fresh = order is not None and (upstream_id, item) not in draft.stuck
            if draft.demand(item) == 0.0 and not (fresh and draft.known(item)):
                draft.unload(item, upstream_id)


def _settle_doubt(draft: Draft) -> None:
    """Unload what is in doubt and not needed; the unload's token prevents the earlier load."""
    for item in sorted(draft.doubtful):
        for upstream_id in sorted(draft.doubtful[item]):
            if draft.engines[upstream_id].checks_fencing:
                draft.unload(item, upstream_id)
