"""Average demand over a longer period than the entry instances do."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms

if TYPE_CHECKING:
    from collections.abc import Iterable

# Rarely requested models get a request every few seconds. With this half-life, their demand does
# not drop to zero in between.
HALF_LIFE_MS = 8000.0
_MIN_KEPT_PER_S = 0.001
# Requests per second that a new leader assumes for each model that it finds in an engine.
ASSUMED_PER_S = 0.5


class SmoothedDemand:
    """Keep long-term averages of requests per second by model."""

    def __init__(self) -> None:
        self.rates: dict[str, float] = {}
        self._updated_ms = now_ms()

    @property
    def is_started(self) -> bool:
        """Return whether there is an average for any model."""
        return bool(self.rates)

    def assume(self, models: Iterable[str]) -> None:
        """Assume some demand for the models that engines hold.

        When traffic or a new leader starts, the requests of the first second are for only a few of
        the models. Without this assumption, the others would count as unused and be evicted for
        more replicas of those few.
        """
        self.rates = dict.fromkeys(models, ASSUMED_PER_S)
        self._updated_ms = now_ms()

    def add(self, demand: dict[str, float]) -> None:
        """Update the averages with the current rates."""
        now = now_ms()
        old_weight = 0.5 ** ((now - self._updated_ms) / HALF_LIFE_MS)
        self._updated_ms = now
        rates = {
            name: self.rates.get(name, 0.0) * old_weight
            + demand.get(name, 0.0) * (1.0 - old_weight)
            for name in self.rates.keys() | demand.keys()
        }
        self.rates = {name: rate for name, rate in rates.items() if rate >= _MIN_KEPT_PER_S}
