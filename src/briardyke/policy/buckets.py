"""Meter request and token rates with token buckets and decaying averages."""

from __future__ import annotations

import math

BURST_SECONDS = 1.0
# Marks a reported share that states concurrency in use above the granted share.
IN_USE_VERSION = -1
DEMAND_WINDOW_S = 2.0
# Retry hint while no share is held; one of the next syncs grants one.
NO_SHARE_RETRY_MS = 1000


class TokenBucket:
    """Limit a rate with a burst of one second at that rate, at least one unit.

    A charge may exceed the level; the refill makes up for the deficit before the next admission,
    so a single large request can pass while the average rate still holds.
    """

    def __init__(self) -> None:
        # A new bucket starts with one unit instead of a full burst, since other instances may have
        # used the rate until now.
        self._level = 1.0
        self._rate = 0.0
        self._slowest = 0.0
        self._updated_ms: float | None = None

    def set_rate(self, rate: float) -> None:
        """Change the rate; the time since the last refill counts at the lowest rate set since."""
        self._slowest = min(self._slowest, rate) if self._updated_ms is not None else rate
        self._rate = rate
        self._level = min(self._level, self._capacity)

    def wait_ms(self, now_ms: float) -> int | None:
        """Return the time until a request is admitted, 0 for now, ``None`` while the rate is 0."""
        self._refill(now_ms)
        if self._rate <= 0.0:
            return None
        if self._level >= 1.0 - 1e-9:
            return 0
        return max(1, math.ceil((1.0 - self._level) / self._rate * 1000.0))

    def charge(self, amount: float) -> None:
        """Take an amount; a negative amount is returned, up to the capacity."""
        self._level = min(self._capacity, self._level - amount)

    @property
    def _capacity(self) -> float:
        return max(1.0, self._rate * BURST_SECONDS)

    def _refill(self, now_ms: float) -> None:
        if self._updated_ms is not None and now_ms > self._updated_ms:
            elapsed_s = (now_ms - self._updated_ms) / 1000.0
            self._level = min(self._capacity, self._level + elapsed_s * self._slowest)
        self._updated_ms = max(now_ms, self._updated_ms or now_ms)
        self._slowest = self._rate


class DecayingRate:
    """Estimate a rate per second by an exponential average over about two seconds."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._updated_ms = 0.0

    def add(self, amount: float, now_ms: float) -> None:
        """Add an amount that arrived at this time."""
        self._sum = self.per_second(now_ms) * DEMAND_WINDOW_S + amount
        self._updated_ms = now_ms

    def per_second(self, now_ms: float) -> float:
        """Return the rate at this time."""
        elapsed_s = max(0.0, now_ms - self._updated_ms) / 1000.0
        return self._sum * math.exp(-elapsed_s / DEMAND_WINDOW_S) / DEMAND_WINDOW_S
