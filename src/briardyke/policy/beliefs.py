"""Track the largest share that an instance may still believe it holds."""

from __future__ import annotations

import sys

import attrs


@attrs.define
class _Granted:
    """Record one granted value.

    :param value: the value.
    :param expires_ms: time at which the instance cannot hold it any more.
    :param total: limit that it was granted under.
    """

    value: float
    expires_ms: float
    total: float


class Belief:
    """Bound one instance's share of one quantity from grants and reports.

    A grant that was sent may be lost, or arrive later, so until its lease ends it counts unless a
    report shows that the instance has moved past it. Replies are applied in order, so a report of
    a value excludes every grant issued before the first one of that value.
    """

    def __init__(self) -> None:
        self._grants: list[_Granted] = []
        self._reported = _Granted(0.0, float("-inf"), 0.0)
        self._in_use = 0.0

    def copy(self) -> Belief:
        """Return an independent copy."""
        other = Belief()
        other._grants = [attrs.evolve(grant) for grant in self._grants]
        other._in_use = self._in_use
        other._reported = attrs.evolve(self._reported)
        return other

    def reported(self, value: float, in_use: float, expires_ms: float) -> None:
        """Take an instance's own statement of what it holds.

        :param value: share that it held when it sent the report.
        :param in_use: concurrency in use above the share, 0 for none.
        :param expires_ms: end of the lease that the answer to this report can give.
        """
        for index, grant in enumerate(self._grants):
            if grant.value == value:
                del self._grants[:index]
                break
        else:
            # The share dates from before the grants, all of which may still be under way. Kept
            # as the oldest entry, it is what a repeated report of the same value refers to.
            self._grants.insert(0, _Granted(value, expires_ms, float("inf")))
        self._reported = _Granted(value, expires_ms, float("inf"))
        self._in_use = in_use

    def extend(self, now_ms: float, expires_ms: float) -> None:
        """Lengthen what the instance may still hold, when its lease may have been extended."""
        for held in (self._reported, *self._grants):
            if now_ms < held.expires_ms:
                held.expires_ms = max(held.expires_ms, expires_ms)

    def granted(self, value: float, expires_ms: float, total: float) -> None:
        """Record a grant that is about to be sent."""
        last = self._grants[-1] if self._grants else None
        if last is not None and last.value == value and last.total == total:
            last.expires_ms = max(last.expires_ms, expires_ms)
        else:
            self._grants.append(_Granted(value, expires_ms, total))

    def confirmed(self, now_ms: float) -> float:
        """Return the value of the last report, 0 once it has expired."""
        return self._reported.value if now_ms < self._reported.expires_ms else 0.0

    def largest(self, now_ms: float) -> float:
        """Return the largest share that the instance may use at this time."""
        largest = self.confirmed(now_ms)
        if now_ms < self._reported.expires_ms:
            largest = max(largest, self._in_use)
        for grant in self._grants:
            if now_ms < grant.expires_ms and grant.value > largest:
                largest = grant.value
        return largest

    def entitled(self, now_ms: float, total: float = sys.float_info.max) -> float:
        """Return the largest unexpired grant of this leader, whatever the instance reported.

        :param now_ms: current time.
        :param total: leaves out what was granted under a higher limit.
        """
        return max(
            (g.value for g in self._grants if now_ms < g.expires_ms and g.total <= total),
            default=0.0,
        )

    def expire(self, now_ms: float) -> bool:
        """Drop what has expired; return whether nothing is left."""
        self._grants = [grant for grant in self._grants if now_ms < grant.expires_ms]
        return not self._grants and now_ms >= self._reported.expires_ms

    def only(self, now_ms: float) -> float | None:
        """Return the share if there is no doubt about it, otherwise ``None``."""
        values = {grant.value for grant in self._grants if now_ms < grant.expires_ms}
        if now_ms < self._reported.expires_ms:
            values.update((self._reported.value, max(self._reported.value, self._in_use)))
        return values.pop() if len(values) == 1 else None
