"""Measure the usual time between two events of a stream, by model."""

from __future__ import annotations

import attrs

from briardyke.clock import now_ms

# Weights of one event: a shorter interval counts more, so that the mean stays near the interval of
# an engine that reads no prompts, which tells the speed of the model.
SHORTER_INTERVAL_WEIGHT = 0.05
LONGER_INTERVAL_WEIGHT = 0.005
# Demand moves to other models within seconds; older intervals are of little use.
_TTL_MS = 20_000.0


def shortest_usual(held_ms: float, observed_ms: float) -> float:
    """Return the shortest usual interval after one more observation; 0 stands for none."""
    if held_ms == 0.0:
        return observed_ms
    weight = SHORTER_INTERVAL_WEIGHT if observed_ms < held_ms else LONGER_INTERVAL_WEIGHT
    return held_ms + weight * (observed_ms - held_ms)


@attrs.define
class ModelIntervals:
    """Shortest usual time between two events of a stream, by model.

    The size of a model's weights does not tell its speed: of two models of about the same size, one
    may take a third of the other's time per token.
    """

    _intervals: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def observe(self, model: str, interval_ms: float) -> None:
        """Add the time between two events of a stream of a model."""
        held_ms, _ = self._intervals.get(model, (0.0, 0.0))
        self._intervals[model] = shortest_usual(held_ms, interval_ms), now_ms()

    def intervals_ms(self) -> dict[str, float]:
        """Return the intervals of models with recent streams."""
        limit_ms = now_ms() - _TTL_MS
        return {m: round(ms, 1) for m, (ms, at_ms) in self._intervals.items() if at_ms >= limit_ms}
