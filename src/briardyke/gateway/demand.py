"""Count the requests for each model and service over the last seconds."""

from __future__ import annotations

import math

from briardyke.clock import now_ms

HALF_LIFE_MS = 2000.0
# A request that is neither delayed nor very long lasts about this long.
TYPICAL_REQUEST_DURATION_S = 3.0
_FORGOTTEN_BELOW = 0.02
_RATE_OF_ONE = math.log(2.0) / (HALF_LIFE_MS / 1000.0)


class DemandMeter:
    """Keep exponentially weighted rates by name, in requests a second."""

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}
        self._active: dict[str, int] = {}

    @property
    def active_count(self) -> int:
        """Return the requests that are being carried."""
        return sum(self._active.values())

    def record(self, name: str) -> None:
        """Count one request."""
        now = now_ms()
        self._rates[name] = (self._rate(name, now) + _RATE_OF_ONE, now)

    def began(self, name: str) -> None:
        """Count a request that is being carried."""
        self._active[name] = self._active.get(name, 0) + 1

    def ended(self, name: str) -> None:
        """Count the end of a request that was being carried."""
        self._active[name] -= 1
        if not self._active[name]:
            del self._active[name]

    def demand(self) -> dict[str, float]:
        """Return the rates, raised where requests pile up.

        Load: a model whose replicas are too few or too slow gets no more requests than before, but
        each of them lasts longer.
        """
        total = self.rates()
        for name, count in self._active.items():
            total[name] = total.get(name, 0.0) + count / TYPICAL_REQUEST_DURATION_S
        return total

    def rate(self, name: str) -> float:
        """Return the present rate of one name."""
        return self._rate(name, now_ms())

    def rates(self) -> dict[str, float]:
        """Return the present rates; names without recent requests are dropped."""
        now = now_ms()
        rates = {name: self._rate(name, now) for name in list(self._rates)}
        for name in [n for n, rate in rates.items() if rate < _FORGOTTEN_BELOW]:
            del self._rates[name], rates[name]
        return rates

    def _rate(self, name: str, now: float) -> float:
        rate, at_ms = self._rates.get(name, (0.0, now))
        return float(rate * 0.5 ** ((now - at_ms) / HALF_LIFE_MS))
