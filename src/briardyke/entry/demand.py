"""Measure the demand for each model and adapter at this entry process."""

from __future__ import annotations

import math

import attrs

from briardyke.wire.messages import ModelDemand

_TIME_CONSTANT_MS = 10_000.0
_NEGLIGIBLE_PER_SECOND = 0.001


@attrs.define
class _Meter:
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
    """Keep exponentially decaying rates by model or adapter name."""

    def __init__(self) -> None:
        """Start without demand."""
        self._meters: dict[str, _Meter] = {}

    def record(self, name: str, tokens: int, now_ms: float) -> None:
        """Count the arrival of a request that may use a number of tokens."""
        meter = self._meters.setdefault(name, _Meter(updated_at_ms=now_ms))
        meter.decay(now_ms)
        meter.requests_per_second += 1000.0 / _TIME_CONSTANT_MS
        meter.tokens_per_second += tokens * 1000.0 / _TIME_CONSTANT_MS

    def wait(self, name: str, change: int) -> None:
        """Change the number of requests held because nothing has the model loaded."""
        self._meters.setdefault(name, _Meter()).waiting_requests += change

    def rates(self, now_ms: float) -> dict[str, ModelDemand]:
        """Return the current demand and drop what has faded."""
        for meter in self._meters.values():
            meter.decay(now_ms)
        self._meters = {
            name: meter
            for name, meter in self._meters.items()
            if meter.requests_per_second > _NEGLIGIBLE_PER_SECOND or meter.waiting_requests
        }
        return {
            name: ModelDemand(
                round(meter.requests_per_second, 4),
                round(meter.tokens_per_second, 2),
                meter.waiting_requests,
            )
            for name, meter in self._meters.items()
        }
