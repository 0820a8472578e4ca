"""Bound the retries of one entry process so that they cannot amplify an overload."""

from __future__ import annotations

RETRY_RATIO = 0.10
RETRIES_PER_SECOND = 3.0
# Unused budget accrues for at most ten seconds of requests and one second of the fixed rate, so
# that a long idle period does not allow a burst of retries.
RATIO_BURST_SECONDS = 10.0


class RetryBudget:
    """Allow retries up to a fraction of the requests plus a fixed rate.

    :param ratio: retries allowed per request.
    :param per_second: retries allowed per second regardless of the requests.
    :param fixed_burst_s: seconds for which unused retries of the fixed rate accrue.
    """

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        per_second: float = RETRIES_PER_SECOND,
        fixed_burst_s: float = 1.0,
    ) -> None:
        self._ratio = ratio
        self.per_second = per_second
        self._fixed_burst_s = fixed_burst_s
        self._fixed = per_second * fixed_burst_s
        self._earned = 0.0
        self._request_rate = 0.0
        self._updated_ms: float | None = None

    def record_request(self, now_ms: float) -> None:
        """Count a request, which adds its ratio of a retry to the budget."""
        self._refill(now_ms)
        self._request_rate += 1.0 / RATIO_BURST_SECONDS
        ceiling = max(1.0, self._request_rate * RATIO_BURST_SECONDS * self._ratio)
        self._earned = min(ceiling, self._earned + self._ratio)

    def try_spend(self, now_ms: float) -> bool:
        """Take one retry from the budget; return whether there was one."""
        self._refill(now_ms)
        if self._fixed >= 1.0:
            self._fixed -= 1.0
            return True
        if self._earned >= 1.0 - 1e-9:
            self._earned = max(0.0, self._earned - 1.0)
            return True
        return False

    def _refill(self, now_ms: float) -> None:
        if self._updated_ms is None:
            self._updated_ms = now_ms
        elapsed_s = max(0.0, now_ms - self._updated_ms) / 1000.0
        self._updated_ms = max(now_ms, self._updated_ms)
        fixed = self._fixed + elapsed_s * self.per_second
        self._fixed = min(self.per_second * self._fixed_burst_s, fixed)
        self._request_rate *= 2.0 ** (-elapsed_s / RATIO_BURST_SECONDS)
        self._earned = min(
            self._earned, max(1.0, self._request_rate * RATIO_BURST_SECONDS * self._ratio)
        )
