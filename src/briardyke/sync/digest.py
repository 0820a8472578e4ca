"""Keep the latest announcement of each upstream with the time of the evidence."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from briardyke.ids import new_id
from briardyke.wire.messages import UpstreamRow

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence


UPSTREAM_SILENCE_MS = 3000.0
FORGET_AFTER_MS = 60_000.0


@attrs.define
class _Entry:
    row: UpstreamRow
    heard_at_ms: float
    sequence: int
    from_below_at_ms: float = -math.inf


class UpstreamDigest:
    """Merge announcements that arrive over several paths, in any order.

    Each change of a row raises the digest's sequence, so that a reader that names the sequence it
    holds gets only what is newer.
    """

    def __init__(self) -> None:
        """Start empty, under a random identity."""
        self.digest_id = new_id("dig")
        self.sequence = 0
        self.lifecycle_sequence = 0
        self._entries: dict[str, _Entry] = {}

    def observe(self, row: UpstreamRow, now_ms: float) -> bool:
        """Take in an announcement.

        :param row: the announcement; its ``age_ms`` is its age now.
        :param now_ms: the runtime's clock.
        :return: whether the row's contents changed.
        """
        heard_at_ms = now_ms - row.age_ms
        held = self._entries.get(row.upstream_id)
        if held is None:
            self._store(row, heard_at_ms, lifecycle_changed=True)
            return True
        if row.incarnation != held.row.incarnation:
            if heard_at_ms <= held.heard_at_ms:
                return False  # a late announcement of an earlier incarnation
            self._store(row, heard_at_ms, lifecycle_changed=True)
            return True
        if row.sequence < held.row.sequence:
            return False
        held.heard_at_ms = max(held.heard_at_ms, heard_at_ms)
        if row.sequence == held.row.sequence:
            return False
        lifecycle_changed = row.lifecycle != held.row.lifecycle
        self._store(row, held.heard_at_ms, lifecycle_changed=lifecycle_changed)
        return True

    def observe_from_below(self, row: UpstreamRow, now_ms: float) -> None:
        """Take in an announcement that has to be passed on towards the leader."""
        self.observe(row, now_ms)
        self._entries[row.upstream_id].from_below_at_ms = now_ms

    def to_pass_on(self, sequence: int, now_ms: float) -> list[UpstreamRow]:
        """Return rows changed after a sequence whose announcements arrive through this process."""
        return [
            row
            for row in self.changes_since(sequence, now_ms)
            if now_ms - self._entries[row.upstream_id].from_below_at_ms < UPSTREAM_SILENCE_MS
        ]

    def refresh(self, ages_ms: Mapping[str, float], as_of_ms: float) -> None:
        """Take in evidence that rows which did not change are still alive.

        :param ages_ms: age of the evidence by upstream id, at the moment ``as_of_ms``.
        :param as_of_ms: moment that the ages refer to, on the runtime's clock.
        """
        for upstream_id, age_ms in ages_ms.items():
            entry = self._entries.get(upstream_id)
            if entry is not None:
                entry.heard_at_ms = max(entry.heard_at_ms, as_of_ms - age_ms)

    def changes_since(
        self, sequence: int, now_ms: float, data_centres: Collection[str] = ()
    ) -> list[UpstreamRow]:
        """Return the rows that changed after a sequence, with their ages.

        :param sequence: sequence that the reader holds.
        :param now_ms: the runtime's clock.
        :param data_centres: data centres to include; empty for all.
        """
        return [
            attrs.evolve(entry.row, age_ms=max(0.0, now_ms - entry.heard_at_ms))
            for entry in self._entries.values()
            if entry.sequence > sequence and _wanted(entry.row, data_centres)
        ]

    def ages_ms(self, now_ms: float, data_centres: Collection[str] = ()) -> dict[str, float]:
        """Return the age of the evidence for each upstream that is not silent."""
        return {
            upstream_id: max(0.0, now_ms - entry.heard_at_ms)
            for upstream_id, entry in self._entries.items()
            if now_ms - entry.heard_at_ms < UPSTREAM_SILENCE_MS and _wanted(entry.row, data_centres)
        }

    def alive(self, now_ms: float) -> dict[str, UpstreamRow]:
        """Return the rows that are not silent, by upstream id, with their ages."""
        return {
            upstream_id: attrs.evolve(entry.row, age_ms=max(0.0, now_ms - entry.heard_at_ms))
            for upstream_id, entry in self._entries.items()
            if now_ms - entry.heard_at_ms < UPSTREAM_SILENCE_MS
        }

    def older_than(self, age_ms: float, now_ms: float) -> Sequence[UpstreamRow]:
        """Return the rows whose evidence is older than an age, oldest first."""
        stale = [e for e in self._entries.values() if now_ms - e.heard_at_ms > age_ms]
        return [e.row for e in sorted(stale, key=lambda e: e.heard_at_ms)]

    def forget_silent(self, now_ms: float) -> list[str]:
        """Drop rows that have been silent for :data:`FORGET_AFTER_MS` and return their ids."""
        limit_ms = now_ms - FORGET_AFTER_MS
        gone = [i for i, entry in self._entries.items() if entry.heard_at_ms < limit_ms]
        for upstream_id in gone:
            del self._entries[upstream_id]
        return gone

    def _store(self, row: UpstreamRow, heard_at_ms: float, *, lifecycle_changed: bool) -> None:
        self.sequence += 1
        if lifecycle_changed:
            self.lifecycle_sequence = self.sequence
        held = self._entries.get(row.upstream_id)
        from_below_at_ms = held.from_below_at_ms if held else -math.inf
        self._entries[row.upstream_id] = _Entry(row, heard_at_ms, self.sequence, from_below_at_ms)


def _wanted(row: UpstreamRow, data_centres: Collection[str]) -> bool:
    return not data_centres or row.data_centre in data_centres
