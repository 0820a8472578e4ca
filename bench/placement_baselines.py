"""Provide the placement policies that the benchmark compares."""

from __future__ import annotations

import math
from collections.abc import Callable

from briardyke.placement.draft import Draft
from briardyke.placement.plan import plan
from briardyke.placement.types import PlacementView, Step

Policy = Callable[[PlacementView, float], list[Step]]


def keep_static(view: PlacementView, now_ms: float) -> list[Step]:
    """Change nothing after the initial placement, not even after a failure."""
    return []


def follow_without_hysteresis(view: PlacementView, now_ms: float) -> list[Step]:
    """Match the number of replicas to the present demand at each decision, at any cost."""
    draft = Draft(view, now_ms)
    replica_counts = {
        name: max(1, math.ceil(draft.demand(name) / view.engine_tokens_per_second))
        for name in draft.models
    }
    for name, replica_count in sorted(replica_counts.items()):
        loaded = sorted(draft.loaded.get(name, ()), key=lambda i: (-draft.assigned_demand[i], i))
        for upstream_id in loaded[: max(0, len(loaded) - replica_count)]:
            draft.unload(name, upstream_id)
    for name in sorted(replica_counts, key=lambda n: (-draft.demand(n), n)):
        for _ in range(replica_counts[name] - len(draft.replicas(name))):
            target = draft.candidates.least_busy(
                draft.models[name].instances, lambda i, n=name: draft.can_load(n, i), 10_000
            )
            if target is not None:
                draft.load(name, target)
    return draft.steps


POLICIES: dict[str, Policy] = {
    "static": keep_static,
    "following": follow_without_hysteresis,
    "briardyke": plan,
}
