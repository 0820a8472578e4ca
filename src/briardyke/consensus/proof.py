"""Prove as of when the state applied by a member includes everything acknowledged to operators."""

from __future__ import annotations

import attrs

# Commit indexes that wait to be applied. Heartbeats without a commit between them share one.
_MAX_PENDING = 64


@attrs.define
class StateProof:
    """Time on the member's own clock as of which its state is proven to be current.

    The clock counts the time in which the machine is suspended. A proof never becomes wrong, since
    the state only goes forward; it becomes old.

    :param as_of_ms: the time, ``None`` without proof.
    """

    as_of_ms: float | None = None
    _pending: list[tuple[int, float]] = attrs.field(factory=list)

    def add(self, index: int, as_of_ms: float) -> None:
        """Add what a confirmed leader stated.

        :param index: entry that includes everything acknowledged up to the time.
        :param as_of_ms: the time.
        """
        if any(held <= index and at_ms >= as_of_ms for held, at_ms in self._pending):
            return
        kept = [(i, t) for i, t in self._pending if i < index or t > as_of_ms]
        if len(kept) < _MAX_PENDING:
            kept.append((index, as_of_ms))
        self._pending = kept

    def advance(self, applied_index: int) -> float | None:
        """Return the time as of which a state with these entries applied is current."""
        proven = [at_ms for index, at_ms in self._pending if index <= applied_index]
        if proven:
            held = self.as_of_ms
            self.as_of_ms = max(proven) if held is None else max(held, *proven)
            self._pending = [row for row in self._pending if row[0] > applied_index]
        return self.as_of_ms
