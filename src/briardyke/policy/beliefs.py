"""Track the largest share that an instance may still believe it holds."""

from __future__ import annotations

import attrs


@attrs.define
class _Granted:
    """Record one granted value.

    :param value: the value.
    :param expires_ms: time at which no instance can hold it any more.
    """

    value: float
    expires_ms: float


class Belief:
    """Bound one instance's share of one quantity from grants and reports.

    A grant that was sent may be lost, or arrive later, so until its lease ends it counts unless a
    report shows that the instance has moved past it. Replies are applied in order, so a report of
    a value excludes every grant issued before the first one that is not above that value.
    """

    def __init__(self) -> None:
        self._grants: list[_Granted] = []
        self._reported = _Granted(0.0, float("-inf"))

    def copy(self) -> Belief:
        """Return an independent copy."""
        other = Belief()
        other._grants = [attrs.evolve(grant) for grant in self._grants]
        other._reported = attrs.evolve(self._reported)
        return other

    def reported(self, value: float, expires_ms: float) -> None:
        """Take an instance's own statement of what it holds.

        :param value: share that it held when it sent the report.
        :param expires_ms: end of the lease that the answer to this report can give.
        """
        for index, grant in enumerate(self._grants):
            if grant.value <= value:
                del self._grants[:index]
                break
        self._reported = _Granted(value, expires_ms)

    def granted(self, value: float, expires_ms: float) -> None:
        """Record a grant that is about to be sent."""
        if self._grants and self._grants[-1].value == value:
            self._grants[-1].expires_ms = max(self._grants[-1].expires_ms, expires_ms)
        else:
            self._grants.append(_Granted(value, expires_ms))

    def confirmed(self, now_ms: float) -> float:
        """Return the value of the last report, 0 once it has expired."""
        return self._reported.value if now_ms < self._reported.expires_ms else 0.0

    def largest(self, now_ms: float) -> float:
        """Return the largest share that the instance may use at this time."""
        largest = self.confirmed(now_ms)
        for grant in self._grants:
            if now_ms < grant.expires_ms and grant.value > largest:
                largest = grant.value
        return largest

    def entitled(self, now_ms: float) -> float:
        """Return the largest unexpired grant of this leader, whatever the instance reported."""
        return max((g.value for g in self._grants if now_ms < g.expires_ms), default=0.0)

    def expire(self, now_ms: float) -> bool:
        """Drop what has expired; return whether nothing is left."""
        self._grants = [grant for grant in self._grants if now_ms < grant.expires_ms]
        return not self._grants and now_ms >= self._reported.expires_ms

    def only(self, now_ms: float) -> float | None:
        """Return the share if there is no doubt about it, otherwise ``None``."""
        values = {grant.value for grant in self._grants if now_ms < grant.expires_ms}
        if now_ms < self._reported.expires_ms:
            values.add(self._reported.value)
        return values.pop() if len(values) == 1 else None
