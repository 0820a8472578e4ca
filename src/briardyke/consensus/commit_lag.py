"""Measure for how long a member has known of committed entries that it has not applied."""

from __future__ import annotations

from collections import deque

import attrs


@attrs.define
class CommitLag:
    """Committed entries that a member has heard of and not applied yet.

    A follower hears of commits with heartbeats, while the entries may be missing or wait for its
    disk. Load: one row per message that names a newer commit, kept until it is applied.
    """

    _applied_index: int = 0
    _known: deque[tuple[int, float]] = attrs.field(factory=deque)

    def record_known(self, index: int, now_ms: float) -> None:
        """Record that entries up to an index are known to be committed."""
        newest = self._known[-1][0] if self._known else self._applied_index
        if index > newest:
            self._known.append((index, now_ms))

    def record_applied(self, index: int) -> None:
        """Record that entries up to an index are applied."""
        self._applied_index = index
        while self._known and self._known[0][0] <= index:
            self._known.popleft()

    def age_ms(self, now_ms: float) -> float:
        """Return for how long an entry has been known and not applied, 0 when there is none."""
        return now_ms - self._known[0][1] if self._known else 0.0
