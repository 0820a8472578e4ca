"""Count loads from the weight store in a sliding window."""

from __future__ import annotations

from collections import deque

from briardyke.clock import now_ms

# A new leader doesn't know what the one before it started within the window.
_ASSUMED_AT_START = 3


class StoreLoadLimiter:
    """Limit the loads that start within a window, over all engines of a service."""

    def __init__(self, window_s: float) -> None:
        """Start with some loads assumed.

        :param window_s: length of the window, in seconds.
        """
        self._window_ms = window_s * 1000.0
        self._starts: deque[float] = deque([now_ms()] * _ASSUMED_AT_START)

    def free(self, loads_per_s: float) -> int:
        """Return how many loads may start now."""
        limit_ms = now_ms() - self._window_ms
        while self._starts and self._starts[0] < limit_ms:
            self._starts.popleft()
        allowed = int(loads_per_s * self._window_ms / 1000.0)
        return max(0, max(1, allowed) - len(self._starts))

    def record(self) -> None:
        """Count a load that starts."""
        self._starts.append(now_ms())
