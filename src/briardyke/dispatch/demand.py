"""Measure the work that arrives and is served, by rank and by account."""

from __future__ import annotations

import statistics

from briardyke.dispatch.decayed_sums import DecayedSums
from briardyke.policy.fairness import max_min_level

# Bursts of arrivals last 3 to 7 s, those of an account 5 to 11 s.
_ARRIVAL_DECAY_MS = 1000.0
_ACCOUNT_DECAY_MS = 1500.0
# Some capacity is left for requests that wait: no burst lasts.
_MAX_OVERTAKING = 0.9
# From this fraction of the capacity on, prompts of one account delay those of others.
_CONTENDED_FRACTION = 0.8
# Accounts yield only above this many times the median: the load of equal ones varies at random, and
# engines serve fewer requests that yield.
_MIN_ABOVE_MEDIAN = 1.5
_LEVEL_TTL_MS = 50.0


class Demand:
    """Work of recent requests, in ms of a typical engine."""

    def __init__(self) -> None:
        """Start without requests."""
        self._arrived = DecayedSums[tuple[int, int]](_ARRIVAL_DECAY_MS)
        self._asked = DecayedSums[str](_ACCOUNT_DECAY_MS)
        self._served = DecayedSums[str](_ACCOUNT_DECAY_MS)
        self._level, self._level_ms = float("inf"), float("-inf")

    def arrive(self, rank: tuple[int, int], account: str, work_ms: float, now_ms: float) -> None:
        """Count a new request."""
        self._arrived.add(rank, work_ms, now_ms)
        self._asked.add(account, work_ms, now_ms)

    def serve(self, account: str, work_ms: float, now_ms: float) -> None:
        """Count a request that is placed."""
        self._served.add(account, work_ms, now_ms)

    def overtaking(
        self, rank: tuple[int, int], is_late: bool, power: float, now_ms: float
    ) -> float:
        """Return the fraction of the capacity for requests that overtake a waiting one.

        :param is_late: whether requests of the same rank that meet their objectives overtake it.
        :param power: work per ms of the engines.
        """
        ahead = (r for r in self._arrived if r < rank or (is_late and r == rank))
        work_per_ms = sum(self._arrived.per_ms(r, now_ms) for r in ahead)
        return min(_MAX_OVERTAKING, work_per_ms / max(0.1, power))

    def is_above_share(self, account: str, power: float, now_ms: float) -> bool:
        """Return whether an account was served more than its share while capacity is short.

        Its requests then yield to those of the others. The share is max-min fair: an account that
        sends many times its usual load takes nothing from the others.
        """
        if now_ms - self._level_ms > _LEVEL_TTL_MS:
            self._level_ms = now_ms
            asked = {a: (self._asked.per_ms(a, now_ms), 1.0) for a in self._asked}
            self._level = max_min_level(asked, _CONTENDED_FRACTION * power)
            if asked:
                median = statistics.median(work for work, _ in asked.values())
                self._level = max(self._level, _MIN_ABOVE_MEDIAN * median)
        return self._served.per_ms(account, now_ms) > self._level
