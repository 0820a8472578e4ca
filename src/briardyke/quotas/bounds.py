"""Divide what a quota allows in a window between grants, unspent credits and emergencies."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.quotas.messages import QUOTA_TIMEOUT_MS

if TYPE_CHECKING:
    from briardyke.accounts.types import AccountQuota

# Parts of the slack. The first covers the time that requests need from their callers to the entry
# instances and covers differences of rates between clocks; the second is for instances without a
# leader; the third is for credits that are granted before a window and spent in it. What remains
# of the third, and the rest, enlarges the burst.
_MARGIN_FRACTION = 0.1
_EMERGENCY_FRACTION = 0.5
_UNSPENT_FRACTION = 0.2
# Below this lifetime, credits would expire on their way; above the other, nothing is gained.
_MIN_LIFETIME_MS = QUOTA_TIMEOUT_MS
_MAX_LIFETIME_MS = 1000.0
# Smallest capacity of a bucket as a part of what the quota allows in a window, for quotas without a
# burst, and the time of the rate that it does not exceed.
_MIN_CAPACITY_FRACTION = 0.25
_MIN_CAPACITY_MS = 1000.0


@attrs.frozen
class Allowance:
    """What the leader and the entry instances may grant and use of one quota.

    In every window the sum of ``capacity``, of ``rate_per_ms`` over the window and one lifetime,
    and of ``emergency`` is within the bound of the quota.

    :param rate_per_ms: tokens that the leader grants per millisecond.
    :param capacity: tokens that it grants at once in addition.
    :param lifetime_ms: time from the request for tokens for which they may be used.
    :param emergency: tokens that all instances together may use in a window without a leader.
    """

    rate_per_ms: float
    capacity: float
    lifetime_ms: float
    emergency: float


@attrs.frozen
class QuotaBounds:
    """How far the use of a quota may exceed it.

    In every window, an account may use ``(rate * window + burst) * (1 + overage) + slack``.

    :param window_s: length of the window, in seconds.
    :param overage: fraction by which the use may exceed the quota.
    :param slack: tokens by which it may exceed that. It does not apply to quotas in requests.
    """

    window_s: float = 8.0
    overage: float = 0.1
    slack: float = 0.0

    @property
    def window_ms(self) -> float:
        """Return the length of the window in milliseconds."""
        return self.window_s * 1000.0

    def largest_use(self, quota: AccountQuota) -> float:
        """Return the largest use of a quota in a window."""
        return self._quota_in_window(quota) + self._slack(quota)

    def allowance(self, quota: AccountQuota) -> Allowance:
        """Return what may be granted of a quota, which must set a limit."""
        rate_per_ms = quota.rate_per_s / 1000.0
        slack = self._slack(quota)
        lifetime_ms = slack * _UNSPENT_FRACTION / rate_per_ms
        lifetime_ms = min(_MAX_LIFETIME_MS, max(_MIN_LIFETIME_MS, lifetime_ms))
        emergency = slack * _EMERGENCY_FRACTION
        granted = self.largest_use(quota) - emergency - slack * _MARGIN_FRACTION
        duration_ms = self.window_ms + lifetime_ms
        least = min(rate_per_ms * _MIN_CAPACITY_MS, granted * _MIN_CAPACITY_FRACTION)
        capacity = max(least, granted - rate_per_ms * duration_ms)
        # Without slack, the lifetime of the credits lowers the rate.
        rate_per_ms = min(rate_per_ms, (granted - capacity) / duration_ms)
        return Allowance(rate_per_ms, capacity, lifetime_ms, emergency)

    def _quota_in_window(self, quota: AccountQuota) -> float:
        return quota.rate_per_s * self.window_s + quota.burst

    def _slack(self, quota: AccountQuota) -> float:
        fixed = self.slack if quota.is_in_tokens else 0.0
        return self._quota_in_window(quota) * self.overage + fixed
