"""Limit the loads from the weight store in a sliding window."""

from __future__ import annotations

from collections import deque

from briardyke.clock import now_ms

# A new leader does not know how many loads the previous leader started within the window.
_ASSUMED_LOADS = 3


class StoreLoadLimiter:
    """Limit the number of loads that start within a window, over all engines."""

    def __init__(self, window_s: float) -> None:
        """Start as if the previous leader had just started some loads.

        :param window_s: length of the window, in seconds.
        """
        self._window_ms = window_s * 1000.0
        self._starts: deque[float] = deque([now_ms()] * _ASSUMED_LOADS)

    def free(self, loads_per_s: float) -> int:
        """Return the number of loads that may start now, with at least one per window."""
        limit_ms = now_ms() - self._window_ms
        while self._starts and self._starts[0] < limit_ms:
            self._starts.popleft()
        allowed = int(loads_per_s * self._window_ms / 1000.0)
        return max(0, max(1, allowed) - len(self._starts))

    def record(self) -> None:
        """Count a load that starts."""
        self._starts.append(now_ms())
