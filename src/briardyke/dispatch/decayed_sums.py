"""Sum recent amounts, older ones with less weight."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

K = TypeVar("K")


class DecayedSums(Generic[K]):
    """Sums by key whose amounts count less by a factor of e after a time."""

    def __init__(self, decay_ms: float) -> None:
        """Start without amounts."""
        self._decay_ms = decay_ms
        self._sums: dict[K, tuple[float, float]] = {}

    def add(self, key: K, amount: float, now_ms: float) -> None:
        """Add an amount."""
        self._sums[key] = (self.recent(key, now_ms) + amount, now_ms)

    def recent(self, key: K, now_ms: float) -> float:
        """Return the sum of recent amounts."""
        amount, at_ms = self._sums.get(key, (0.0, now_ms))
        return amount * math.exp((at_ms - now_ms) / self._decay_ms)

    def per_ms(self, key: K, now_ms: float) -> float:
        """Return the recent amount per ms."""
        return self.recent(key, now_ms) / self._decay_ms

    def __iter__(self) -> Iterator[K]:
        """Iterate over all keys with amounts."""
        return iter(self._sums)
