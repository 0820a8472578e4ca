"""Divide one quantity of a limit among instances, given what each may still hold."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briardyke.policy.fairness import max_min_level, max_min_shares, round_to_total

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briardyke.policy.share_bounds import ShareBound

# Shares exceed demand by this factor, so that growth between two syncs is not refused.
DEMAND_HEADROOM = 1.25
# Fraction of a rate that is divided evenly regardless of demand, so that an instance without
# demand can admit a first request at once.
RESERVED_FRACTION = 0.05
# Rates are rounded down to a multiple of the limit divided by this number, so that equal grants
# compare equal.
RATE_STEPS = 4096


def target_shares(demand: Mapping[str, float], total: float, whole: bool) -> dict[str, float]:
    """Return the shares that instances should hold once all leases allow it.

    :param demand: demand of every instance, 0 for none, in the order of their names.
    :param total: the limit.
    :param whole: whether shares are whole numbers.
    """
    if not whole:
        return _target_rates(demand, total)
    demands = {i: value * DEMAND_HEADROOM for i, value in demand.items()}
    # One unit for each instance, as far as that takes at most a quarter of the limit.
    for instance_id in list(demands)[: int(total // 4)]:
        demands[instance_id] = max(1.0, demands[instance_id])
    parts = max_min_shares(demands, float(int(total)))
    return {i: float(n) for i, n in round_to_total(parts, int(total)).items()}


def _target_rates(demand: Mapping[str, float], total: float) -> dict[str, float]:
    """Divide a rate; instances that need only the reserve are computed together as one."""
    step = total / RATE_STEPS
    if not demand or step <= 0.0:
        return dict.fromkeys(demand, 0.0)
    reserve = total * RESERVED_FRACTION / len(demand)
    above = {
        i: value * DEMAND_HEADROOM
        for i, value in demand.items()
        if value * DEMAND_HEADROOM > reserve
    }
    others = len(demand) - len(above)
    level = max_min_level(
        {
            **{i: (value, 1.0) for i, value in above.items()},
            **({"": (reserve * others, float(others))} if others else {}),
        },
        total,
    )
    used = sum(min(value, level) for value in above.values()) + min(reserve, level) * others
    extra = max(0.0, total - used) / len(demand)
    parts = dict.fromkeys(demand, math.floor((min(reserve, level) + extra) / step) * step)
    for instance_id, value in above.items():
        parts[instance_id] = math.floor((min(value, level) + extra) / step) * step
    return parts


def confirm_shares(
    bounds: Mapping[str, ShareBound], instances: Mapping[str, object], total: float, whole: bool
) -> dict[str, float]:
    """Return the reported shares, scaled down in proportion if they exceed the limit."""
    held = {i: bounds[i].last_reported() if i in bounds else 0.0 for i in instances}
    used = sum(held.values())
    if used > total:
        held = {instance_id: value * total / used for instance_id, value in held.items()}
    return _fit_limit(bounds, held, total, whole)


def move_shares(
    bounds: Mapping[str, ShareBound], targets: Mapping[str, float], total: float, whole: bool
) -> dict[str, float]:
    """Move shares towards their targets without granting any capacity twice.

    Shares shrink at once. They grow only by capacity that no instance can still be using.
    """
    largest = {instance_id: bound.upper_bound() for instance_id, bound in bounds.items()}
    spare = total - sum(largest.values())
    if spare < 0.0:
        # The limit was lowered, or an instance reports more than this leader granted, for example
        # requests that outlived their lease. A report alone then justifies no grant.
        fitting = {
            i: min(target, bounds[i].largest_grant() if i in bounds else 0.0)
            for i, target in targets.items()
        }
        return _fit_limit(bounds, fitting, total, whole)
    missing = {
        instance_id: target - largest.get(instance_id, 0.0)
        for instance_id, target in targets.items()
        if target > largest.get(instance_id, 0.0)
    }
    grants = dict(targets)
    if not missing or sum(missing.values()) <= spare:
        return grants
    level = max_min_shares(missing, spare)
    for instance_id, want in missing.items():
        part = min(want, level[instance_id])
        grants[instance_id] = largest.get(instance_id, 0.0) + (
            float(math.floor(part + 1e-9)) if whole else part
        )
    if whole:
        left = int(spare + 1e-9) - sum(int(grants[i] - largest.get(i, 0.0)) for i in missing)
        for instance_id in sorted(missing, key=lambda i: (-missing[i], i))[: max(0, left)]:
            if grants[instance_id] < targets[instance_id]:
                grants[instance_id] += 1.0
    return grants


def _fit_limit(
    bounds: Mapping[str, ShareBound], targets: Mapping[str, float], total: float, whole: bool
) -> dict[str, float]:
    """Reduce shares so that they fit next to every grant made under the current limit."""
    counted = {i: bound.largest_grant(total) for i, bound in bounds.items()}
    used = sum(counted.values())
    grants = {}
    for instance_id, value in targets.items():
        own = counted.get(instance_id, 0.0)
        value = max(0.0, min(value, total - (used - own)))
        grants[instance_id] = float(math.floor(value + 1e-9)) if whole else value
        used += max(0.0, grants[instance_id] - own)
    return grants
