"""Meter the grants of one account at the leader."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from briardyke.quotas.bounds import Allowance

# Length of the record of levels. Tokens that are returned later are lost.
RETURN_LIMIT_MS = 10_000.0
# Number of records from which those within a step are merged. Tokens that are returned lose by it.
_EXACT_RECORDS = 256
_RECORD_STEP_MS = 50.0
# Longest time that the refused are told to stay away because of those refused before them.
_MAX_PROMISED_MS = 2000.0


@attrs.define
class _Record:
    """Highest level after the end of the record before and up to the end of this one."""

    start_ms: float
    end_ms: float
    level: float


@attrs.define
class BucketUse:
    """Tokens granted, returned and asked for in vain since the last line of the log."""

    granted: float = 0.0
    returned: float = 0.0
    refused: float = 0.0


class QuotaBucket:
    """Token bucket whose unused tokens can be returned.

    Tokens that are granted and not returned, also later, never exceed ``capacity + rate * t`` in
    any time ``t``. A returned token therefore counts as never taken: it raises the level only by
    what the bucket could have held since the token was granted. Without that, tokens that are
    taken and returned all the time would add up and be used at once.
    """

    def __init__(self, allowance: Allowance, since_ms: float) -> None:
        """Start empty, since grants of a former leader may be unspent.

        :param allowance: its rate and capacity.
        :param since_ms: time from which it fills.
        """
        self.allowance = allowance
        self.level = 0.0
        self._updated_ms = since_ms
        self._since_ms = since_ms
        self._promised = 0.0
        self._promised_ms = since_ms
        self._records: deque[_Record] = deque()
        self.use = BucketUse()

    def change(self, allowance: Allowance, now_ms: float) -> None:
        """Apply another quota; tokens that were granted before are not taken back."""
        if allowance == self.allowance:
            return
        self.refill(now_ms)
        self.allowance = allowance
        self.level = min(self.level, allowance.capacity)
        self._since_ms = self._updated_ms
        self._records.clear()

    def refill(self, now_ms: float) -> None:
        """Add the tokens of the time since the last refill."""
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0.0:
            return
        full = self.allowance.capacity
        self.level = min(full, self.level + elapsed_ms * self.allowance.rate_per_ms)
        self._updated_ms = now_ms
        self._record()

    def take(self, tokens: float, now_ms: float) -> bool:
        """Take tokens if the bucket holds them."""
        self.refill(now_ms)
        if tokens > self.level:
            return False
        self.level -= max(0.0, tokens)
        self.use.granted += tokens
        return True

    def give_back(self, tokens: float, granted_at_ms: float, now_ms: float) -> None:
        """Put back tokens that no request has used since they were granted."""
        self.refill(now_ms)
        if granted_at_ms < max(self._since_ms, now_ms - RETURN_LIMIT_MS):
            return
        later = [record for record in self._records if record.end_ms > granted_at_ms]
        reached = max((record.level for record in later), default=self.level)
        added = min(tokens, max(0.0, self.allowance.capacity - reached))
        self.level += added
        self.use.returned += added
        for record in later:
            record.level += added

    def promise(self, tokens: float, now_ms: float) -> float:
        """Return the time until tokens that cannot be taken now are available.

        Those that were refused before come first. Otherwise all of them would come back at the
        same time, and all but one would be refused again.
        """
        rate = self.allowance.rate_per_ms
        elapsed_ms = max(0.0, now_ms - self._promised_ms)
        before = max(0.0, self._promised - rate * elapsed_ms)
        self._promised_ms = now_ms
        self.use.refused += tokens
        self._promised = min(before + tokens, rate * _MAX_PROMISED_MS)
        return (max(0.0, tokens - self.level) + before) / rate

    def _record(self) -> None:
        oldest_ms = self._updated_ms - RETURN_LIMIT_MS
        while self._records and self._records[0].end_ms < oldest_ms:
            self._records.popleft()
        last = self._records[-1] if len(self._records) >= _EXACT_RECORDS else None
        if last is not None and self._updated_ms - last.start_ms < _RECORD_STEP_MS:
            last.end_ms, last.level = self._updated_ms, max(last.level, self.level)
        else:
            self._records.append(_Record(self._updated_ms, self._updated_ms, self.level))
