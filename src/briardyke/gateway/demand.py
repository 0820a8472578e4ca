"""Measure the recent request rate of each model and service."""

from __future__ import annotations

import math

from briardyke.clock import now_ms

HALF_LIFE_MS = 1200.0
# Duration of a request that is neither delayed nor very long.
TYPICAL_REQUEST_DURATION_S = 3.0
_MIN_RATE = 0.02
_RATE_PER_REQUEST = math.log(2.0) / (HALF_LIFE_MS / 1000.0)


class DemandMeter:
    """Exponentially decaying request rates by name, in requests per second."""

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}
        self._active: dict[str, int] = {}

    @property
    def active_count(self) -> int:
        """Return the number of requests in progress."""
        return sum(self._active.values())

    def record(self, name: str) -> None:
        """Add one request to the rate."""
        now = now_ms()
        self._rates[name] = (self._rate(name, now) + _RATE_PER_REQUEST, now)

    def request_started(self, name: str) -> None:
        """Count a request as in progress."""
        self._active[name] = self._active.get(name, 0) + 1

    def request_finished(self, name: str) -> None:
        """Stop counting a request as in progress."""
        self._active[name] -= 1
        if not self._active[name]:
            del self._active[name]

    def demand(self) -> dict[str, float]:
        """Return the rates, increased by the requests in progress.

        A model with too few or too slow replicas receives no more requests than before, but each
        of them takes longer.
        """
        total = self.rates()
        for name, count in self._active.items():
            total[name] = total.get(name, 0.0) + count / TYPICAL_REQUEST_DURATION_S
        return total

    def rate(self, name: str) -> float:
        """Return the current rate of one name."""
        return self._rate(name, now_ms())

    def rates(self) -> dict[str, float]:
        """Return the current rates and drop names without recent requests."""
        now = now_ms()
        rates = {name: self._rate(name, now) for name in list(self._rates)}
        for name in [n for n, rate in rates.items() if rate < _MIN_RATE]:
            del self._rates[name], rates[name]
        return rates

    def _rate(self, name: str, now: float) -> float:
        rate, at_ms = self._rates.get(name, (0.0, now))
        return float(rate * 0.5 ** ((now - at_ms) / HALF_LIFE_MS))
