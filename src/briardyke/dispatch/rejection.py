"""Tell rejected callers when to come back."""

from __future__ import annotations

# Random part of a time to come back, relative to it, so that callers do not return together.
_SPREAD = 0.25
# Fraction of the capacity that is planned for callers that come back; new ones take the rest.
_RETURNED_FRACTION = 0.5
_MIN_RETRY_MS = 30.0
_MAX_RETRY_MS = 8000.0


class RetryTimes:
    """Times to come back, by model.

    Each rejected caller gets the time after the one before it for which capacity is expected, so a
    burst that was rejected returns no faster than it can be served.
    """

    def __init__(self) -> None:
        """Start without rejected callers."""
        self._promised_until_ms: dict[str, float] = {}

    def reserve(
        self, model: str, start_ms: float, work_ms: float, fraction: float, now_ms: float
    ) -> float:
        """Return the time until a rejected caller should come back.

        :param start_ms: time until the requests ahead of it have been served.
        :param work_ms: time that the engines of its model together take for it.
        :param fraction: pseudo-random number of the request, 0 to 1.
        """
        limit_ms = now_ms + _MAX_RETRY_MS
        at_ms = max(now_ms + start_ms, self._promised_until_ms.get(model, 0.0))
        at_ms = min(limit_ms, at_ms)
        self._promised_until_ms[model] = at_ms + work_ms / _RETURNED_FRACTION
        retry_ms = (at_ms - now_ms) * (1.0 + _SPREAD * fraction)
        return min(_MAX_RETRY_MS * (1.0 + _SPREAD), max(_MIN_RETRY_MS, retry_ms))
