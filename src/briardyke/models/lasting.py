"""Average demand over a longer time than entry instances do."""

from __future__ import annotations

from briardyke.clock import now_ms

# A rare model is asked for every few seconds; over this time its pauses are no end of its demand.
HALF_LIFE_MS = 8000.0
_FORGOTTEN_BELOW = 0.001


class LastingDemand:
    """Keep slow averages of requests a second by model."""

    def __init__(self) -> None:
        self.rates: dict[str, float] = {}
        self._updated_ms = now_ms()

    def add(self, demand: dict[str, float]) -> None:
        """Take the present rates."""
        now = now_ms()
        kept = 0.5 ** ((now - self._updated_ms) / HALF_LIFE_MS)
        self._updated_ms = now
        rates = {
            name: self.rates.get(name, 0.0) * kept + demand.get(name, 0.0) * (1.0 - kept)
            for name in self.rates.keys() | demand.keys()
        }
        self.rates = {name: rate for name, rate in rates.items() if rate >= _FORGOTTEN_BELOW}
