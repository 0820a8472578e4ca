"""Replicate the soft-state rows of upstreams and entry instances between control instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.fleet.activity import ActivityAggregator
from briardyke.fleet.messages import RowsRequest, RowsUpdate
from briardyke.fleet.records import GONE
from briardyke.fleet.tables import SoftTables
from briardyke.logs import log_event
from briardyke.quarantine.evidence import CrashEvidence
from briardyke.software_versions.services import ServiceVersions
from briardyke.sync.notifier import Notifier
from briardyke.upstream_limits.statements import KnownLimits, LimitStatement

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.addresses import Address
    from briardyke.fleet.records import EntryInstance, ModelChanges, Upstream
    from briardyke.quarantine.records import PartVerdict
    from briardyke.wire.pool import PeerPool

# Number of batches after which the rows repeated in the meantime are sent in full, for control
# instances that missed a change: about every three seconds.
_FULL_ROWS_BATCHES = 12
# How long a starting control instance waits for the rows of the others before it replies to entry
# instances as current. When all control instances start at once, no rows exist to wait for.
_ROWS_TIMEOUT_MS = 500.0
# Crashes younger than this are sent again in full batches; each batch may be lost.
_REPEATED_CRASHES_MS = 10_000.0
# Rows of departed owners are kept so that delayed announcements do not revive them.
_ROW_TTL_MS = 120_000.0


class RowExchange:
    """Soft tables of a control instance, synchronised with those of the others.

    Changes are sent at once. Rows that owners only repeat are sent as ids in batches, since full
    rows of dozens of upstreams and hundreds of entry instances would be most of the traffic between
    data centres.
    """

    def __init__(
        self, peers: PeerPool, own_address: Address, others: Callable[[], list[Address]]
    ) -> None:
        """Start with empty tables.

        :param peers: connections to other instances.
        :param own_address: own peer address.
        :param others: returns the peer addresses of the other control instances.
        """
        self.tables = SoftTables()
        self.activity = ActivityAggregator(str(own_address))
        self.changed = Notifier()
        self.placement_inputs_changed = Notifier()
        self.evidence = CrashEvidence()
        self.crashes_changed = Notifier()
        self.limits = KnownLimits()
        self.versions = ServiceVersions()
        self.is_complete = False
        self._peers = peers
        self._others = others
        self._batches = 0
        self._repeated_upstreams: set[str] = set()
        self._repeated_entries: set[str] = set()
        self._pending_full_upstreams: set[str] = set()
        self._pending_full_entries: set[str] = set()
        self._reported_sound: set[str] = set()
        self._own_limits = KnownLimits(keeps_unknown_ends=True)
        self._reported_limits: set[str] = set()

    # From owners

    def announce(self, row: Upstream) -> None:
        """Store the row that an upstream announced to this instance."""
        self._repeated_upstreams.add(row.upstream_id)
        if self._merge_upstream(row, 0.0):
            self._broadcast(RowsUpdate([row], [0.0], [], []))

    def record_report(self, entry: EntryInstance) -> bool:
        """Store an entry instance's report; return whether its row for callers changed."""
        self._repeated_entries.add(entry.instance_id)
        if self.activity.record_report(entry):
            self.placement_inputs_changed.notify()
            self._broadcast(RowsUpdate([], [], [], [], activity=self.activity.local_sum()))
        self._record_crashes(entry)
        self._record_limits(entry)
        row = entry.without_activity()
        if not self.tables.entries.merge(row):
            return False
        self.changed.notify()
        self._broadcast(RowsUpdate([], [], [row], [0.0]))
        return True

    def publish_model_changes(self, row: ModelChanges) -> None:
        """Store and broadcast the pending model changes of an upstream."""
        if self.tables.changes.merge(row):
            self.changed.notify()
            self._broadcast(RowsUpdate([], [], [], [], [row]))

    def _record_crashes(self, entry: EntryInstance) -> None:
        """Store what an entry instance reports of crashes, and broadcast new crashes."""
        self.evidence.merge_sound_ages(entry.sound_ages_ms)
        self._reported_sound.update(entry.sound_ages_ms)
        new = [report for report in entry.crashes if self.evidence.merge(report)]
        if new:
            self.crashes_changed.notify()
            self._broadcast(RowsUpdate([], [], [], [], crashes=new))

    def publish_verdict(self, row: PartVerdict) -> bool:
        """Store and broadcast a verdict on a part of prompts; return whether it is a newer one."""
        if not self._merge_verdict(row):
            return False
        self.changed.notify()
        self._broadcast(RowsUpdate([], [], [], [], verdicts=[row]))
        return True

    def _merge_verdict(self, row: PartVerdict) -> bool:
        """Store a verdict unless it is held already, which tells better when it was made."""
        held = self.tables.verdicts.get(row.part)
        if held is not None and row.order <= held.order:
            return False
        return self.tables.verdicts.merge(row)

    # From other control instances

    def apply_update(self, update: RowsUpdate) -> None:
        """Merge rows and activity from another control instance."""
        for row, age_ms in zip(update.upstreams, update.upstream_ages_ms, strict=True):
            self._merge_upstream(row, age_ms)
        is_changed = False
        for entry, age_ms in zip(update.entries, update.entry_ages_ms, strict=True):
            is_changed |= self.tables.entries.merge(entry, age_ms)
        for changes in update.changes:
            is_changed |= self.tables.changes.merge(changes)
        for upstream_id, incarnation in update.repeated_upstreams.items():
            is_changed |= self.tables.upstreams.confirm(upstream_id, incarnation)
        for instance_id, incarnation in update.repeated_entries.items():
            is_changed |= self.tables.entries.confirm(instance_id, incarnation)
        for verdict in update.verdicts:
            is_changed |= self._merge_verdict(verdict)
        if is_changed:
            self.changed.notify()
        self._merge_limits(update.limits)
        self.versions.merge_ages(update.version_ages_ms)
        self.evidence.merge_sound_ages(update.sound_ages_ms)
        new_crashes = [report for report in update.crashes if self.evidence.merge(report)]
        if new_crashes:
            self.crashes_changed.notify()
        if update.activity is not None and self.activity.merge_sum(update.activity):
            self.placement_inputs_changed.notify()

    def all_rows(self) -> RowsUpdate:
        """Return all rows, for a control instance that starts."""
        upstreams = self.tables.upstreams.confirmed_within(_ROW_TTL_MS)
        entries = self.tables.entries.confirmed_within(_ROW_TTL_MS)
        return RowsUpdate(
            [row for row, _ in upstreams],
            [age for _, age in upstreams],
            [row for row, _ in entries],
            [age for _, age in entries],
            [row.aged(age_ms) for row, age_ms in self.tables.changes.changed_with_age(0)],
            crashes=self.evidence.reports(),
            sound_ages_ms=self.evidence.sound_ages_ms(),
            verdicts=self._aged_verdicts(),
            limits=self.limits.statements(),
            version_ages_ms=self.versions.ages_ms(),
        )

    async def fetch_all(self) -> None:
        """Fetch the rows of all other control instances.

        One instance may not have received a departure that another one recorded, so all are asked.
        """

        async def ask(address: Address) -> None:
            reply = await self._peers.client(address).call(
                RowsRequest(), _ROWS_TIMEOUT_MS, is_repeatable=True
            )
            if reply.is_ok() and isinstance(reply.unwrap(), RowsUpdate):
                self.apply_update(reply.unwrap())

        async with trio.open_nursery() as nursery:
            for address in self._others():
                nursery.start_soon(ask, address)
        self.is_complete = True
        self.changed.notify()

    def broadcast_batch(self) -> None:
        """Broadcast the rows repeated since the last batch, and the local activity sum."""
        self._batches += 1
        self._pending_full_upstreams |= self._repeated_upstreams
        self._pending_full_entries |= self._repeated_entries
        if self._batches % _FULL_ROWS_BATCHES == 0:
            update = self._full_rows()
            self._pending_full_upstreams.clear()
            self._pending_full_entries.clear()
        else:
            update = RowsUpdate(
                *([], [], [], []),
                repeated_upstreams={
                    key: row.incarnation
                    for key in self._repeated_upstreams
                    if (row := self.tables.upstreams.get(key))
                },
                repeated_entries={
                    key: entry.incarnation
                    for key in self._repeated_entries
                    if (entry := self.tables.entries.get(key))
                },
            )
        self._repeated_upstreams.clear()
        self._repeated_entries.clear()
        ages_ms = self.evidence.sound_ages_ms()
        sound = {part: ages_ms[part] for part in self._reported_sound if part in ages_ms}
        self._reported_sound.clear()
        activity = self.activity.local_sum()
        limits = self._take_reported_limits()
        self._broadcast(attrs.evolve(update, activity=activity, sound_ages_ms=sound, limits=limits))

    def _full_rows(self) -> RowsUpdate:
        tables = self.tables
        upstreams = [u for k in self._pending_full_upstreams if (u := tables.upstreams.get(k))]
        entries = [e for k in self._pending_full_entries if (e := tables.entries.get(k))]
        return RowsUpdate(
            upstreams,
            [tables.upstreams.age_ms(row.key) for row in upstreams],
            entries,
            [tables.entries.age_ms(row.key) for row in entries],
            crashes=[r for r in self.evidence.reports() if r.age_ms < _REPEATED_CRASHES_MS],
            verdicts=self._aged_verdicts(),
        )

    def _aged_verdicts(self) -> list[PartVerdict]:
        return [row.aged(age_ms) for row, age_ms in self.tables.verdicts.changed_with_age(0)]

    def _record_limits(self, entry: EntryInstance) -> None:
        """Store the limits that an entry instance reports; broadcast at once what is new.

        Only statements that own entry instances received are sent. A statement that control
        instances passed on to each other would look newer with each passage.
        """
        for statement in entry.limits:
            self._own_limits.merge(statement)
            self._reported_limits.add(statement.upstream_id)
        if self._merge_limits(entry.limits):
            limits = self._take_reported_limits()
            self._broadcast(RowsUpdate(*([], [], [], []), limits=limits))

    def _merge_limits(self, statements: list[LimitStatement]) -> bool:
        changed = [statement for statement in statements if self.limits.merge(statement)]
        for statement in changed:
            log_event(
                "upstream_limit_changed",
                upstream=statement.upstream_id,
                limit_per_s=statement.limit_per_s,
            )
        if changed:
            self.changed.notify()
            self.placement_inputs_changed.notify()
        return bool(changed)

    def _take_reported_limits(self) -> list[LimitStatement]:
        reported, self._reported_limits = self._reported_limits, set()
        return [s for s in self._own_limits.statements() if s.upstream_id in reported]

    def _broadcast(self, update: RowsUpdate) -> None:
        self._peers.broadcast(self._others(), update)

    def _merge_upstream(self, row: Upstream, age_ms: float) -> bool:
        if row.lifecycle != GONE:
            self.versions.observe(row.service, row.software_version, age_ms)
        held = self.tables.upstreams.get(row.upstream_id)
        before = held.lifecycle if held else "unknown"
        if not self.tables.upstreams.merge(row, age_ms):
            return False
        if before != row.lifecycle:
            log_event(
                "upstream_changed",
                upstream=row.upstream_id,
                service=row.service,
                before=before,
                lifecycle=row.lifecycle,
                sequence=row.sequence,
                age_ms=round(age_ms),
            )
        self.changed.notify()
        self.placement_inputs_changed.notify()
        return True
