"""Table of soft-state rows that their owners refresh; it keeps the newest version of each."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

import attrs

from briardyke.clock import now_ms


class Row(Protocol):
    """Interface of a row in a soft table."""

    @property
    def key(self) -> str:
        """Return the row's key."""

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the sort key between rows of one key; it starts with the incarnation."""


R = TypeVar("R", bound="Row")


@attrs.define
class _StoredRow(Generic[R]):
    row: R
    confirmed_ms: float
    changed_sequence: int
    is_silent: bool = False


class SoftTable(Generic[R]):
    """Table of rows; each change of content increments its sequence."""

    def __init__(self) -> None:
        self._stored: dict[str, _StoredRow[R]] = {}
        self.sequence = 0

    def merge(self, row: R, age_ms: float = 0.0) -> bool:
        """Store a row unless a newer one is held.

        :param row: the row.
        :param age_ms: known time since its owner sent it.
        :return: whether the content changed.
        """
        confirmed_ms = now_ms() - age_ms
        held = self._stored.get(row.key)
        if held is None:
            self.sequence += 1
            self._stored[row.key] = _StoredRow(row, confirmed_ms, self.sequence)
            return True
        if row.order < held.row.order:
            return False
        held.confirmed_ms = max(held.confirmed_ms, confirmed_ms)
        if row.order == held.row.order:
            return False
        is_changed = held.is_silent or not held.row.same_content(row)  # type: ignore[attr-defined]
        held.is_silent = False
        held.row = row
        if is_changed:
            self.sequence += 1
            held.changed_sequence = self.sequence
        return is_changed

    def confirm(self, key: str, incarnation: int) -> bool:
        """Record that an owner repeated its row unchanged.

        :return: whether the content changed, because the row was marked silent.
        """
        held = self._stored.get(key)
        if held is None or held.row.order[0] != incarnation:
            return False  # the owner's full row arrives with a later update
        held.confirmed_ms = now_ms()
        if not held.is_silent:
            return False
        held.is_silent = False
        self.sequence += 1
        held.changed_sequence = self.sequence
        return True

    def get(self, key: str) -> R | None:
        """Return a row."""
        held = self._stored.get(key)
        return held.row if held else None

    def rows(self) -> list[R]:
        """Return all rows."""
        return [stored.row for stored in self._stored.values()]

    def changed_after(self, sequence: int) -> list[tuple[R, bool]]:
        """Return the rows that changed after a sequence, each with whether it is silent."""
        found = self._stored.values()
        return [(s.row, s.is_silent) for s in found if s.changed_sequence > sequence]

    def changed_with_age(self, sequence: int) -> list[tuple[R, float]]:
        """Return the rows that changed after a sequence, each with its age in milliseconds."""
        now = now_ms()
        found = self._stored.values()
        return [(s.row, now - s.confirmed_ms) for s in found if s.changed_sequence > sequence]

    def age_ms(self, key: str) -> float:
        """Return the time since the owner of a row confirmed it."""
        return now_ms() - self._stored[key].confirmed_ms

    def is_silent(self, key: str) -> bool:
        """Return whether a row is marked silent."""
        return self._stored[key].is_silent

    def mark_silent(self, window_ms: float, since_ms: float) -> list[R]:
        """Mark the rows that were not confirmed within a window; return those newly marked.

        :param window_ms: time without confirmation after which a row counts as silent.
        :param since_ms: earliest time that counts as silence, such as the end of an own outage.
        """
        limit_ms = now_ms() - window_ms
        marked = []
        for stored in self._stored.values():
            if not stored.is_silent and max(stored.confirmed_ms, since_ms) < limit_ms:
                self.sequence += 1
                stored.is_silent, stored.changed_sequence = True, self.sequence
                marked.append(stored.row)
        return marked

    def confirmed_within(self, window_ms: float) -> list[tuple[R, float]]:
        """Return the rows confirmed within a window, with their ages."""
        now = now_ms()
        found = [(s.row, now - s.confirmed_ms) for s in self._stored.values()]
        return [(row, age) for row, age in found if age <= window_ms]

    def forget(self, key: str) -> None:
        """Drop a row."""
        self._stored.pop(key, None)
