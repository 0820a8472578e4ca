"""Average demand over a longer period than entry instances do."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms

if TYPE_CHECKING:
    from collections.abc import Iterable

# A rare model is requested every few seconds; with this half-life a pause does not end its demand.
HALF_LIFE_MS = 8000.0
_FORGOTTEN_BELOW = 0.001
# Requests a second that a new leader assumes for each model that it finds in an engine.
ASSUMED_PER_S = 0.5


class SmoothedDemand:
    """Keep slow averages of requests a second by model."""

    def __init__(self) -> None:
        self.rates: dict[str, float] = {}
        self._updated_ms = now_ms()

    @property
    def is_started(self) -> bool:
        """Return whether any model is known."""
        return bool(self.rates)

    def assume(self, models: Iterable[str]) -> None:
        """Assume some demand for the models that engines hold.

        At the start of traffic, and of a leader, the first requests of a second are a few of
        all models. Without this the others would count as unused and be evicted for more replicas
        of the few.
        """
        self.rates = dict.fromkeys(models, ASSUMED_PER_S)
        self._updated_ms = now_ms()

    def add(self, demand: dict[str, float]) -> None:
        """Update the averages with the current rates."""
        now = now_ms()
        kept = 0.5 ** ((now - self._updated_ms) / HALF_LIFE_MS)
        self._updated_ms = now
        rates = {
            name: self.rates.get(name, 0.0) * kept + demand.get(name, 0.0) * (1.0 - kept)
            for name in self.rates.keys() | demand.keys()
        }
        self.rates = {name: rate for name, rate in rates.items() if rate >= _FORGOTTEN_BELOW}
