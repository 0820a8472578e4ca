"""Filter candidates by health and pick one by its forecast cost."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briardyke.policy.ejection import EJECTED_BELOW_WEIGHT, MAX_EJECTED_FRACTION

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from briardyke.policy.upstreams import Forecast, RoutedUpstream

FIRST_TOKEN_TARGET_MS = 640.0
BETWEEN_TOKENS_TARGET_MS = 64.0
# Above this fraction of a target the cost grows steeply, since the request will likely miss it.
STEEP_COST_ABOVE = 0.7
STEEP_COST_FACTOR = 5.0
# A candidate that costs this much more than the cheapest is chosen 1/e as often. Without this
# spread, instances that see the same reports would all pick the same upstream.
COST_SPREAD = 0.05
# Weight of an upstream in another data centre when a local one is about as cheap.
REMOTE_WEIGHT = 0.25
# Round trip between data centres.
REMOTE_ROUND_TRIP_MS = 2.0


def forecast_cost(forecast: Forecast) -> float:
    """Return the cost of a forecast relative to the latency targets; lower is better."""
    total = 0.0
    for part in (
        forecast.first_token_ms / FIRST_TOKEN_TARGET_MS,
        forecast.between_tokens_ms / BETWEEN_TOKENS_TARGET_MS,
    ):
        total += part + STEEP_COST_FACTOR * max(0.0, part - STEEP_COST_ABOVE)
    return total


def filter_by_health(
    candidates: Sequence[RoutedUpstream], now_ms: float, source: random.Random
) -> list[RoutedUpstream]:
    """Remove ejected upstreams at random by their weight, at most half of the candidates.

    :param candidates: usable upstreams.
    :param now_ms: current time.
    :param source: source of randomness.
    """
    refused: list[tuple[float, RoutedUpstream]] = []
    kept: list[RoutedUpstream] = []
    for upstream in candidates:
        weight = upstream.health.weight(now_ms)
        if weight < EJECTED_BELOW_WEIGHT * 2.0 and source.random() >= weight:
            refused.append((weight, upstream))
        else:
            kept.append(upstream)
    removable = int(len(candidates) * MAX_EJECTED_FRACTION)
    if len(refused) > removable:
        refused.sort(key=lambda pair: pair[0])
        kept.extend(upstream for _, upstream in refused[removable:])
    return kept


def pick_by_cost(costs: Sequence[tuple[float, bool]], spread: float, source: random.Random) -> int:
    """Return the index of a candidate, chosen at random with preference for low cost.

    :param costs: for each candidate its cost and whether it is in the own data centre.
    :param spread: difference in cost at which a candidate is chosen 1/e as often.
    :param source: source of randomness.
    """
    lowest = min(value for value, _ in costs)
    prefer_local = any(local and value <= lowest + spread for value, local in costs)
    weights = []
    for value, local in costs:
        weight = math.exp(-(value - lowest) / spread)
        weights.append(weight if local or not prefer_local else weight * REMOTE_WEIGHT)
    point = source.random() * sum(weights)
    for index, weight in enumerate(weights):
        point -= weight
        if point < 0.0:
            return index
    return len(costs) - 1
