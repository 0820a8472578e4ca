"""Select one upstream from a few candidates under each routing policy."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briardyke.policy.ejection import EJECTED_BELOW_WEIGHT, MAX_EJECTED_FRACTION

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from briardyke.policy.upstreams import Forecast, UpstreamState

FIRST_TOKEN_TARGET_MS = 640.0
BETWEEN_TOKENS_TARGET_MS = 64.0
# Above this part of a target the cost grows steeply, since the request is likely to miss it.
STEEP_COST_ABOVE = 0.7
STEEP_COST_FACTOR = 5.0
# Spread of the choice: a candidate that costs this much more is chosen 1/e as often. Instances
# that see the same reports would otherwise all pick the same upstream.
COST_SPREAD = 0.05
# An upstream in another data centre is chosen less often when a local one costs no more.
REMOTE_WEIGHT = 0.25
# Round trip between data centres.
REMOTE_ROUND_TRIP_MS = 2.0


def forecast_cost(forecast: Forecast) -> float:
    """Return how close a forecast comes to missing the targets; lower is better."""
    total = 0.0
    for part in (
        forecast.first_token_ms / FIRST_TOKEN_TARGET_MS,
        forecast.between_tokens_ms / BETWEEN_TOKENS_TARGET_MS,
    ):
        total += part + STEEP_COST_FACTOR * max(0.0, part - STEEP_COST_ABOVE)
    return total


def filter_by_health(
    candidates: Sequence[UpstreamState], now_ms: float, source: random.Random
) -> list[UpstreamState]:
    """Leave out ejected upstreams at random by their weight, at most half of the candidates.

    :param candidates: usable upstreams.
    :param now_ms: current time.
    :param source: source of randomness.
    """
    refused: list[tuple[float, UpstreamState]] = []
    kept: list[UpstreamState] = []
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

    :param costs: cost and whether it is in the own data centre, by candidate.
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
