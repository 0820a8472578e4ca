"""Bound the share that an instance may still hold, from its reports and outstanding grants."""

from __future__ import annotations

import sys
from typing import NamedTuple


class _Granted(NamedTuple):
    """Granted value.

    :param value: granted share.
    :param total: limit that it was granted under; infinite for a value that was only reported.
    """

    value: float
    total: float


class ShareBound:
    """Bound on one instance's share of one quantity, from grants and reports.

    A grant may be lost or delayed after it was sent. It therefore counts until the instance's lease
    ends, unless a report shows that the instance has applied a later one. Replies are applied in
    order, so a report of a value rules out every grant issued before the first one of that value.
    The allocator keeps one lease for all shares of an instance, since every reply may extend all.
    """

    __slots__ = ("_grants", "_in_use", "_reported")

    def __init__(self) -> None:
        self._grants: list[_Granted] = []
        self._reported = 0.0
        self._in_use = 0.0

    def copy(self) -> ShareBound:
        """Return an independent copy."""
        other = ShareBound()
        other._grants = list(self._grants)
        other._in_use = self._in_use
        other._reported = self._reported
        return other

    def record_report(self, value: float, in_use: float) -> None:
        """Record the share that an instance reports.

        Repeating an unchanged report has no effect, so the call may be omitted.

        :param value: share that it held when it sent the report.
        :param in_use: concurrency in use above the share, 0 for none.
        """
        for index, grant in enumerate(self._grants):
            if grant.value == value:
                del self._grants[:index]
                break
        else:
            # The share predates the grants, all of which may still be in transit. It is kept as
            # the oldest entry, so that a repeated report of the same value matches it.
            self._grants.insert(0, _Granted(value, float("inf")))
        self._reported = value
        self._in_use = in_use

    def record_grant(self, value: float, total: float) -> None:
        """Record a grant that is about to be sent."""
        last = self._grants[-1] if self._grants else None
        if last is None or last.value != value or last.total != total:
            self._grants.append(_Granted(value, total))

    def last_reported(self) -> float:
        """Return the value of the last report."""
        return self._reported

    def upper_bound(self) -> float:
        """Return the largest share that the instance may be using."""
        largest = self._reported
        if self._in_use > largest:
            largest = self._in_use
        for grant in self._grants:
            if grant.value > largest:
                largest = grant.value
        return largest

    def largest_grant(self, total: float = sys.float_info.max) -> float:
        """Return the largest grant of this leader, regardless of what the instance reported.

        :param total: grants made under a higher limit are ignored.
        """
        return max((g.value for g in self._grants if g.total <= total), default=0.0)

    def exact(self) -> float | None:
        """Return the share if only one value is possible, otherwise ``None``."""
        values = {grant.value for grant in self._grants}
        values.update((self._reported, max(self._reported, self._in_use)))
        return values.pop() if len(values) == 1 else None
