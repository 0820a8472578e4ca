"""Derive the relative speed of engines from the pace of their streams."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from briardyke.models.types import EngineView

# Beyond this factor, the pace says more about a disruption than about the engine's hardware.
_MAX_SPEED_RATIO = 4.0
# Speed of an engine that accepts nothing.
_MIN_SPEED = 0.01


def relative_speeds(intervals_ms: Mapping[str, float]) -> dict[str, float]:
    """Return the speed of each engine relative to the median one.

    Engines bought over years differ in speed by a factor of two or more. A busy model on slow ones
    needs more replicas and delays its callers while fast ones serve rarely requested models.

    :param intervals_ms: shortest usual time between two events of a stream by engine, 0 when
        unknown; such an engine counts as typical.
    """
    known = [interval_ms for interval_ms in intervals_ms.values() if interval_ms > 0]
    typical_ms = statistics.median(known) if known else 0.0
    return {
        engine_id: _clamped(typical_ms / interval_ms) if interval_ms > 0 else 1.0
        for engine_id, interval_ms in intervals_ms.items()
    }


def effective_speeds(engines: Sequence[EngineView], demand_per_s: float) -> dict[str, float]:
    """Return the speed of each engine, reduced where it accepts fewer requests than its part.

    An engine in need that keeps the only replica of a model refuses most of its callers. With a
    speed in proportion to what it accepts, its models look overloaded and are loaded elsewhere.

    :param demand_per_s: requests per second for all engines together.
    """
    speeds = {engine.upstream_id: engine.speed for engine in engines}
    mean_per_s = demand_per_s / max(1.0, sum(speeds.values()))
    for engine in engines:
        if engine.limit_per_s is not None and engine.limit_per_s < mean_per_s * engine.speed:
            accepted = max(_MIN_SPEED, engine.limit_per_s / mean_per_s)
            speeds[engine.upstream_id] = min(engine.speed, accepted)
    return speeds


def _clamped(ratio: float) -> float:
    return min(_MAX_SPEED_RATIO, max(1.0 / _MAX_SPEED_RATIO, ratio))
