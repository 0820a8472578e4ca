"""Reduce the traffic of a failing upstream in steps and restore it in steps."""

from __future__ import annotations

# An upstream keeps at least this fraction of its traffic; these requests show when it recovers.
MINIMUM_WEIGHT = 1.0 / 32.0
# Failures within this time count as one, since one broken connection fails many requests.
FAILURE_STEP_MS = 50.0
# Without failures the weight doubles once in this time. Each ejection soon after the previous one
# doubles the time, up to the limit, so that a flapping upstream returns more slowly.
RECOVERY_DOUBLING_MS = 1500.0
RECOVERY_DOUBLING_LIMIT_MS = 12000.0
FLAP_MEMORY_MS = 60000.0
EJECTED_BELOW_WEIGHT = 0.5
# Largest fraction of the candidates of one decision that ejection may remove, rounded down. A
# single candidate is therefore never removed, and a fault that all upstreams share removes at most
# half.
MAX_EJECTED_FRACTION = 0.5


class UpstreamHealth:
    """Track the weight of an upstream: the fraction of its traffic that it receives, 1/32 to 1."""

    def __init__(self) -> None:
        self._weight = 1.0
        self._changed_ms = 0.0
        self._doubling_ms = RECOVERY_DOUBLING_MS
        self._ejected_ms: float | None = None

    def weight(self, now_ms: float) -> float:
        """Return the fraction of its traffic that the upstream receives at this time."""
        if self._weight >= 1.0:
            return 1.0
        doublings = max(0.0, now_ms - self._changed_ms) / self._doubling_ms
        return float(min(1.0, self._weight * 2.0 ** min(doublings, 6.0)))

    def record_failure(self, now_ms: float) -> None:
        """Halve the weight, at most once in 50 ms."""
        current = self.weight(now_ms)
        if current < 1.0 and now_ms - self._changed_ms < FAILURE_STEP_MS:
            return
        if current >= EJECTED_BELOW_WEIGHT > current / 2.0 or current == 1.0:
            self._count_flap(now_ms)
        self._weight = max(MINIMUM_WEIGHT, current / 2.0)
        self._changed_ms = now_ms

    def record_success(self, now_ms: float) -> None:
        """Raise the weight by half after a successful attempt."""
        if self._weight >= 1.0:
            return
        self._weight = min(1.0, self.weight(now_ms) * 1.5)
        self._changed_ms = now_ms

    def _count_flap(self, now_ms: float) -> None:
        recent = self._ejected_ms is not None and now_ms - self._ejected_ms < FLAP_MEMORY_MS
        self._doubling_ms = (
            min(RECOVERY_DOUBLING_LIMIT_MS, self._doubling_ms * 2.0)
            if recent
            else RECOVERY_DOUBLING_MS
        )
        self._ejected_ms = now_ms
