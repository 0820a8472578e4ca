"""Estimate what a request of each model costs an engine, relative to the other models."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briardyke.routes.configuration import ModelSpec

# The fastest models take about a tenth of the time of the slowest ones for each token.
_MIN_COST = 0.1


def relative_costs(
    models: Mapping[str, ModelSpec], intervals_ms: Mapping[str, float]
) -> dict[str, float]:
    """Return the cost of a request by model, 1 for the slowest.

    Load: a model with two fifths of all requests that takes a third of the time per token of others
    of its size. Placed by its size, it gets three times the replicas that it needs, and the other
    models lose theirs.

    :param models: models of a service by name.
    :param intervals_ms: usual time between two events of a stream, for models that had streams
        recently. Any other model is estimated by its size.
    """
    largest_mb = max((m.weights_mb for m in models.values()), default=1.0)
    slowest_ms = max((ms for name, ms in intervals_ms.items() if name in models), default=0.0)
    costs = {}
    for name, model in models.items():
        interval_ms = intervals_ms.get(name, 0.0)
        by_size = model.weights_mb / largest_mb
        cost = interval_ms / slowest_ms if interval_ms > 0 else by_size
        costs[name] = max(_MIN_COST, cost)
    return costs
