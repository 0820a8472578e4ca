"""Answer the demand of all entry instances from one bucket per account."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.quotas.bucket import BucketUse, QuotaBucket
from briardyke.quotas.messages import AccountGrant, QuotaReply

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briardyke.accounts.types import AccountQuota
    from briardyke.quotas.bounds import QuotaBounds
    from briardyke.quotas.messages import AccountDemand, QuotaRequest

# Part of a bucket that is kept for requests that have arrived.
_KEPT_FRACTION = 0.5
# Lifetime of tokens for an account whose quota has just been removed.
_UNLIMITED_LIFETIME_MS = 250.0
# Time after the start of a term in which empty buckets refuse requests within their quotas: what
# waited during the election is drained by what a usual account leaves of its quota.
_STARTING_MS = 3000.0


class LeaderBuckets:
    """Buckets of one term of leadership.

    Load: 88 entry instances with two requests a second each, 16 accounts, one of them with six
    times its usual demand. No instance sees enough of an account to know its use.
    """

    def __init__(self, bounds: QuotaBounds, term: int, started_ms: float = float("-inf")) -> None:
        """Start without accounts.

        :param bounds: how far the use of quotas may exceed them.
        :param term: term of the leader.
        :param started_ms: start of the term.
        """
        self._started_ms = started_ms
        self.term = term
        self._bounds = bounds
        self._buckets: dict[str, QuotaBucket] = {}
        self._unlimited: set[str] = set()

    def update_quotas(self, quotas: Mapping[str, AccountQuota], now_ms: float) -> None:
        """Apply the quotas of the configuration in force, by account."""
        self._unlimited = {name for name, quota in quotas.items() if not quota.is_limited}
        limited = {name: quota for name, quota in quotas.items() if quota.is_limited}
        self._buckets = {n: bucket for n, bucket in self._buckets.items() if n in limited}
        for name, quota in limited.items():
            allowance = self._bounds.allowance(quota)
            if name in self._buckets:
                self._buckets[name].change(allowance, now_ms)
            else:
                self._buckets[name] = QuotaBucket(allowance, now_ms)

    def bucket(self, account: str) -> QuotaBucket:
        """Return the bucket of an account with a quota."""
        return self._buckets[account]

    def take_use(self, count: int) -> list[tuple[str, float, BucketUse]]:
        """Return level and use of the accounts that asked most in vain, and count anew.

        :param count: largest number of accounts.
        """
        rows = [(n, b.level, b.use) for n, b in self._buckets.items() if b.use.refused > 0.0]
        for bucket in self._buckets.values():
            bucket.use = BucketUse()
        return sorted(rows, key=lambda row: row[2].refused, reverse=True)[:count]

    def answer(self, request: QuotaRequest, now_ms: float) -> QuotaReply:
        """Grant what the buckets hold."""
        grants = (self._grant(demand, now_ms) for demand in request.demands)
        return QuotaReply(
            self.term,
            now_ms,
            [grant for grant in grants if grant is not None],
            is_starting=now_ms - self._started_ms < _STARTING_MS,
        )

    def _grant(self, demand: AccountDemand, now_ms: float) -> AccountGrant | None:
        if demand.account in self._unlimited:
            return AccountGrant(demand.account, sum(demand.needed), _UNLIMITED_LIFETIME_MS)
        bucket = self._buckets.get(demand.account)
        if bucket is None:
            return None
        for row in demand.returned:
            if row.term == self.term and row.tokens > 0.0:
                bucket.give_back(row.tokens, row.granted_at_ms, now_ms)
        tokens, wait_ms = 0.0, 0.0
        for needed in demand.needed:
            if not bucket.take(needed, now_ms):
                wait_ms = bucket.promise(needed, now_ms)
                break
            tokens += needed
        allowance = bucket.allowance
        if not wait_ms and demand.wanted > 0.0:
            free = bucket.level - allowance.capacity * _KEPT_FRACTION
            advance = min(demand.wanted, free)
            if advance > 0.0 and bucket.take(advance, now_ms):
                tokens += advance
        return AccountGrant(demand.account, tokens, allowance.lifetime_ms, wait_ms)
