"""Keep the latest announcement of each upstream and the time it was last heard."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import attrs

from briardyke.ids import new_id
from briardyke.wire.messages import UpstreamRow

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator, Sequence


UPSTREAM_SILENCE_MS = 3000.0
SILENT_ROW_TTL_MS = 60_000.0
# Age up to which an upstream counts as recently heard. Upstreams announce themselves once a second,
# and two or three syncs add to the age. Older evidence is rare and is listed for each upstream.
MAX_FRESH_AGE_MS = 2000.0
_MAX_FORGOTTEN = 1000


@attrs.frozen
class Freshness:
    """Time since the upstreams of a digest were last heard.

    :param fresh_age_ms: largest age among the upstreams that were heard recently.
    :param stale_ages_ms: age by upstream id for all others.
    """

    fresh_age_ms: float
    stale_ages_ms: dict[str, float]


@attrs.define
class _HeldRow:
    row: UpstreamRow
    heard_at_ms: float
    sequence: int
    structure_sequence: int
    forwarding_at_ms: float = -math.inf


class UpstreamDigest:
    """Latest announcements, merged from several paths and in any order.

    Each change of a row increments the digest's sequence, so that a reader that passes its last
    sequence gets only newer rows.
    """

    def __init__(self) -> None:
        """Start empty, with a random id."""
        self.digest_id = new_id("dig")
        self.sequence = 0
        self.lifecycle_sequence = 0
        self._rows: dict[str, _HeldRow] = {}
        self._forgotten: deque[tuple[int, str]] = deque(maxlen=_MAX_FORGOTTEN)
        self._forgotten_from = 0

    def observe(self, row: UpstreamRow, now_ms: float) -> bool:
        """Merge an announcement.

        :param row: the announcement; its ``age_ms`` is its age now.
        :param now_ms: the runtime's clock.
        :return: whether the row's contents changed.
        """
        heard_at_ms = now_ms - row.age_ms
        held = self._rows.get(row.upstream_id)
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

    def observe_for_forwarding(self, row: UpstreamRow, now_ms: float) -> None:
        """Merge an announcement that this process forwards towards the leader."""
        self.observe(row, now_ms)
        self._rows[row.upstream_id].forwarding_at_ms = now_ms

    def refresh_for_forwarding(
        self, upstream_ids: Iterable[str], heard_at_ms: float, now_ms: float
    ) -> None:
        """Record that upstreams announced through this process were alive at a moment."""
        ids = list(upstream_ids)
        self.refresh(ids, heard_at_ms)
        for upstream_id in ids:
            held = self._rows.get(upstream_id)
            if held is not None:
                held.forwarding_at_ms = now_ms

    def upstreams_to_forward(self, now_ms: float) -> set[str]:
        """Return the upstreams that recently announced themselves through this process."""
        return {
            upstream_id
            for upstream_id, held in self._rows.items()
            if now_ms - held.forwarding_at_ms < UPSTREAM_SILENCE_MS
        }

    def refresh(self, upstream_ids: Iterable[str], heard_at_ms: float) -> None:
        """Record that upstreams were alive at a moment."""
        for upstream_id in upstream_ids:
            held = self._rows.get(upstream_id)
            if held is not None:
                held.heard_at_ms = max(held.heard_at_ms, heard_at_ms)

    def changes_since(
        self,
        sequence: int,
        now_ms: float,
        data_centres: Collection[str] = (),
        *,
        with_load: bool = True,
    ) -> list[UpstreamRow]:
        """Return the rows that changed after a sequence, with their ages.

        :param sequence: last sequence that the reader has.
        :param now_ms: the runtime's clock.
        :param data_centres: data centres to include; empty for all.
        :param with_load: whether to include load figures and cache events; without them a row
            counts as changed only when its address, lifecycle or loaded items did.
        """
        rows = []
        for held in self._rows.values():
            changed = held.sequence if with_load else held.structure_sequence
            if changed > sequence and _is_included(held.row, data_centres):
                row = held.row if with_load else _without_load(held.row)
                rows.append(attrs.evolve(row, age_ms=max(0.0, now_ms - held.heard_at_ms)))
        return rows

    def freshness(
        self,
        now_ms: float,
        data_centres: Collection[str] = (),
        upstream_ids: Collection[str] | None = None,
    ) -> Freshness:
        """Return one age for all recently heard upstreams, and individual ages for the others.

        Listing only the exceptions keeps messages small with any number of upstreams.

        :param now_ms: the runtime's clock.
        :param data_centres: data centres to include; empty for all.
        :param upstream_ids: upstreams to include; ``None`` for all.
        """
        fresh_age_ms = 0.0
        stale_ages_ms = {}
        for upstream_id, held in self._rows.items():
            if upstream_ids is not None and upstream_id not in upstream_ids:
                continue
            if not _is_included(held.row, data_centres):
                continue
            age_ms = max(0.0, now_ms - held.heard_at_ms)
            if age_ms <= MAX_FRESH_AGE_MS:
                fresh_age_ms = max(fresh_age_ms, age_ms)
            else:
                stale_ages_ms[upstream_id] = age_ms
        return Freshness(fresh_age_ms, stale_ages_ms)

    def forgotten_since(self, sequence: int) -> list[str] | None:
        """Return the upstreams dropped after a sequence; ``None`` if the record is incomplete."""
        if sequence < self._forgotten_from:
            return None
        return [i for at, i in self._forgotten if at > sequence and i not in self._rows]

    def alive(self, now_ms: float) -> dict[str, UpstreamRow]:
        """Return the rows that are not silent, by upstream id, as they were received."""
        return {
            upstream_id: held.row
            for upstream_id, held in self._rows.items()
            if now_ms - held.heard_at_ms < UPSTREAM_SILENCE_MS
        }

    def heard_at_ms(self) -> Iterator[tuple[str, float]]:
        """Yield each upstream with the time it was last heard."""
        for upstream_id, held in self._rows.items():
            yield upstream_id, held.heard_at_ms

    def older_than(self, age_ms: float, now_ms: float) -> Sequence[UpstreamRow]:
        """Return the rows not heard for longer than an age, oldest first."""
        stale = [held for held in self._rows.values() if now_ms - held.heard_at_ms > age_ms]
        return [held.row for held in sorted(stale, key=lambda held: held.heard_at_ms)]

    def forget_silent(self, now_ms: float) -> list[str]:
        """Drop rows that have been silent for :data:`SILENT_ROW_TTL_MS` and return their ids."""
        limit_ms = now_ms - SILENT_ROW_TTL_MS
        gone = [i for i, held in self._rows.items() if held.heard_at_ms < limit_ms]
        for upstream_id in gone:
            self.forget(upstream_id)
        return gone

    def forget(self, upstream_id: str) -> None:
        """Drop one row, if it is held, and remember that it was dropped."""
        if self._rows.pop(upstream_id, None) is None:
            return
        self.sequence += 1
        if len(self._forgotten) == _MAX_FORGOTTEN:
            self._forgotten_from = self._forgotten[0][0]
        self._forgotten.append((self.sequence, upstream_id))

    def _store(self, row: UpstreamRow, heard_at_ms: float, *, lifecycle_changed: bool) -> None:
        self.sequence += 1
        if lifecycle_changed:
            self.lifecycle_sequence = self.sequence
        held = self._rows.get(row.upstream_id)
        structure_sequence = self.sequence
        if held is not None and _structure(held.row) == _structure(row):
            structure_sequence = held.structure_sequence
        forwarding_at_ms = held.forwarding_at_ms if held else -math.inf
        self._rows[row.upstream_id] = _HeldRow(
            row, heard_at_ms, self.sequence, structure_sequence, forwarding_at_ms
        )


def _is_included(row: UpstreamRow, data_centres: Collection[str]) -> bool:
    return not data_centres or row.data_centre in data_centres


def _without_load(row: UpstreamRow) -> UpstreamRow:
    return attrs.evolve(row, in_flight=0, queued=0, tokens_per_second=0.0, cache_events=[])


def _structure(row: UpstreamRow) -> UpstreamRow:
    return attrs.evolve(_without_load(row), sequence=0, age_ms=0.0, committed_bytes=0)
