"""Measure the work that arrives, by rank."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briardyke.dispatch.drain import power

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardyke.dispatch.engine_load import EngineLoad

# Arrivals count less by a factor of e after this time; bursts last 3 to 7 s.
_DECAY_MS = 1000.0
# Time for which the total power of the engines is kept.
_POWER_TTL_MS = 100.0


class Arrivals:
    """Work of recent requests, in ms of a typical engine."""

    def __init__(self) -> None:
        """Start without arrivals."""
        self._work: dict[tuple[int, int], tuple[float, float]] = {}
        self._power, self._power_ms = 0.0, -math.inf

    def add(self, rank: tuple[int, int], work_ms: float, now_ms: float) -> None:
        """Count a new request."""
        self._work[rank] = (self._recent(rank, now_ms) + work_ms, now_ms)

    def ahead_of(
        self,
        rank: tuple[int, int],
        is_late: bool,
        engines: Sequence[EngineLoad],
        now_ms: float,
    ) -> float:
        """Return the fraction of the capacity for requests that overtake a waiting one.

        :param is_late: whether requests of the same rank that meet their objectives overtake it.
        """
        if now_ms - self._power_ms > _POWER_TTL_MS:
            self._power, self._power_ms = sum(power(e, now_ms) for e in engines), now_ms
        ahead = (r for r in self._work if r < rank or (is_late and r == rank))
        work_ms = sum(self._recent(r, now_ms) for r in ahead)
        return work_ms / _DECAY_MS / max(0.1, self._power)

    def _recent(self, rank: tuple[int, int], now_ms: float) -> float:
        work_ms, at_ms = self._work.get(rank, (0.0, now_ms))
        return work_ms * math.exp((at_ms - now_ms) / _DECAY_MS)
