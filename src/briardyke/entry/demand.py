"""Measure the demand for each model and adapter at this entry process."""

from __future__ import annotations

import math

import attrs

from briardyke.wire.messages import ModelDemand

_TIME_CONSTANT_MS = 10_000.0
_NEGLIGIBLE_REQUESTS_PER_SECOND = 0.001


@attrs.define
class _DecayingRates:
    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0
    updated_at_ms: float = 0.0
    waiting_requests: int = 0

    def decay(self, now_ms: float) -> None:
        factor = math.exp(-(now_ms - self.updated_at_ms) / _TIME_CONSTANT_MS)
        self.requests_per_second *= factor
        self.tokens_per_second *= factor
        self.updated_at_ms = now_ms


class DemandMeter:
    """Exponentially decaying rates by model or adapter name."""

    def __init__(self) -> None:
        """Start without demand."""
        self._rates_by_name: dict[str, _DecayingRates] = {}

    def record(self, name: str, tokens: int, now_ms: float) -> None:
        """Count the arrival of a request that may use a number of tokens."""
        model_rates = self._rates_by_name.setdefault(name, _DecayingRates(updated_at_ms=now_ms))
        model_rates.decay(now_ms)
        model_rates.requests_per_second += 1000.0 / _TIME_CONSTANT_MS
        model_rates.tokens_per_second += tokens * 1000.0 / _TIME_CONSTANT_MS

    def change_waiting(self, name: str, change: int) -> None:
        """Change the number of requests that wait because no engine has the model loaded."""
        self._rates_by_name.setdefault(name, _DecayingRates()).waiting_requests += change

    def rates(self, now_ms: float) -> dict[str, ModelDemand]:
        """Return the current demand and remove entries whose rate is negligible."""
        for model_rates in self._rates_by_name.values():
            model_rates.decay(now_ms)
        self._rates_by_name = {
            name: model_rates
            for name, model_rates in self._rates_by_name.items()
            if model_rates.requests_per_second > _NEGLIGIBLE_REQUESTS_PER_SECOND
            or model_rates.waiting_requests
        }
        return {
            name: ModelDemand(
                round(model_rates.requests_per_second, 4),
                round(model_rates.tokens_per_second, 2),
                model_rates.waiting_requests,
            )
            for name, model_rates in self._rates_by_name.items()
        }
