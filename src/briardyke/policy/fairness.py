"""Divide a capacity by max-min fairness."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


def max_min_level(demands: Mapping[str, tuple[float, float]], capacity: float) -> float:
    """Return the max-min fair share per unit of weight.

    :param demands: demand and weight by name.
    :param capacity: amount to divide.
    :return: level at which giving each the smaller of its demand and level times weight uses up the
        capacity; infinite when the capacity covers every demand.
    """
    remaining = capacity
    weight_left = sum(weight for _, weight in demands.values())
    for demand, weight in sorted(demands.values(), key=lambda pair: pair[0] / pair[1]):
        if demand * weight_left > remaining * weight:
            return remaining / weight_left
        remaining -= demand
        weight_left -= weight
    return float("inf")


def max_min_shares(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Divide a capacity by max-min fairness; capacity beyond the demand is divided evenly.

    :param demands: demand by name.
    :param capacity: amount to divide.
    """
    if not demands:
        return {}
    level = max_min_level({name: (demand, 1.0) for name, demand in demands.items()}, capacity)
    parts = {name: min(demand, level) for name, demand in demands.items()}
    extra = max(0.0, capacity - sum(parts.values())) / len(parts)
    return {name: part + extra for name, part in parts.items()}


def round_to_total(parts: Mapping[str, float], total: int) -> dict[str, int]:
    """Round parts to whole numbers with the given sum, largest remainders first.

    :param parts: parts whose sum is the total.
    :param total: sum of the result.
    """
    whole = {name: int(part + 1e-9) for name, part in parts.items()}
    missing = total - sum(whole.values())
    order = sorted(parts, key=lambda name: (whole[name] - parts[name], name))
    for name in order[: max(0, missing)]:
        whole[name] += 1
    return whole
