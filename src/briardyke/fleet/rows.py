"""Exchange the soft rows of upstreams and entry instances between control instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.fleet.activity import ActivityBoard
from briardyke.fleet.messages import RowsRequest, RowsUpdate
from briardyke.fleet.tables import Tables
from briardyke.logs import log_event
from briardyke.sync.notifier import Notifier

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.addresses import Address
    from briardyke.fleet.records import EntryInstance, ModelChanges, Upstream
    from briardyke.wire.pool import PeerPool

# Every so many batches, the rows that were repeated since are passed on whole, for those that
# missed a change: about once in three seconds.
_WHOLE_BATCHES = 12
# A control instance that starts waits this long for the rows of the others before it tells entry
# instances what it knows; with all of them starting there is nothing to wait for.
_ROWS_TIMEOUT_MS = 500.0
# Rows of departed owners are kept, so that late announcements do not revive them.
_FORGET_MS = 120_000.0


class RowExchange:
    """Hold the soft tables of a control instance and keep those of the others alike.

    Changes travel at once. What owners only repeat travels as names in batches, since whole rows of
    dozens of upstreams and hundreds of entry instances are most of the bytes between data centres.
    """

    def __init__(self, peers: PeerPool, own: Address, others: Callable[[], list[Address]]) -> None:
        """Start with empty tables.

        :param peers: connections to other instances.
        :param own: own peer address.
        :param others: returns the peer addresses of the other control instances.
        """
        self.tables = Tables()
        self.activity = ActivityBoard(str(own))
        self.changed = Notifier()
        self.placement_inputs_changed = Notifier()
        self.is_complete = False
        self._peers = peers
        self._others = others
        self._batches = 0
        self._fresh_upstreams: set[str] = set()
        self._fresh_entries: set[str] = set()
        self._due_upstreams: set[str] = set()
        self._due_entries: set[str] = set()

    # From owners

    def announce(self, row: Upstream) -> None:
        """Take a row of an upstream that has called this instance."""
        self._fresh_upstreams.add(row.upstream_id)
        if self._merge_upstream(row, 0.0):
            self._send(RowsUpdate([row], [0.0], [], []))

    def report(self, entry: EntryInstance) -> bool:
        """Take the report of an entry instance; return whether callers would notice a change."""
        self._fresh_entries.add(entry.instance_id)
        if self.activity.report(entry):
            self.placement_inputs_changed.notify()
            self._send(RowsUpdate([], [], [], [], activity=self.activity.own_sum()))
        row = entry.without_activity()
        if not self.tables.entries.merge(row):
            return False
        self.changed.notify()
        self._send(RowsUpdate([], [], [row], [0.0]))
        return True

    def publish_model_changes(self, row: ModelChanges) -> None:
        """Pass on which models of an upstream come and go."""
        if self.tables.changes.merge(row):
            self.changed.notify()
            self._send(RowsUpdate([], [], [], [], [row]))

    # From other control instances

    def take(self, update: RowsUpdate) -> None:
        """Take what another control instance passes on."""
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
        if is_changed:
            self.changed.notify()
        if update.activity is not None and self.activity.take(update.activity):
            self.placement_inputs_changed.notify()

    def all_rows(self) -> RowsUpdate:
        """Return all rows, for an instance that starts."""
        upstreams = self.tables.upstreams.heard_within(_FORGET_MS)
        entries = self.tables.entries.heard_within(_FORGET_MS)
        return RowsUpdate(
            [row for row, _ in upstreams],
            [age for _, age in upstreams],
            [row for row, _ in entries],
            [age for _, age in entries],
            [row.aged(age_ms) for row, age_ms in self.tables.changes.changed_with_age(0)],
        )

    async def fetch(self) -> None:
        """Ask the other instances for their rows, once after the start.

        An answer of one instance may lack a departure that another one took last, so all are asked.
        """

        async def ask(address: Address) -> None:
            reply = await self._peers.client(address).call(RowsRequest(), _ROWS_TIMEOUT_MS)
            if reply.is_ok() and isinstance(reply.unwrap(), RowsUpdate):
                self.take(reply.unwrap())

        async with trio.open_nursery() as nursery:
            for address in self._others():
                nursery.start_soon(ask, address)
        self.is_complete = True
        self.changed.notify()

    def pass_on(self) -> None:
        """Pass on what was repeated since the last batch, and the sum of the entry instances."""
        self._batches += 1
        self._due_upstreams |= self._fresh_upstreams
        self._due_entries |= self._fresh_entries
        if self._batches % _WHOLE_BATCHES == 0:
            update = self._whole_rows()
            self._due_upstreams.clear()
            self._due_entries.clear()
        else:
            update = RowsUpdate(
                *([], [], [], []),
                repeated_upstreams={
                    key: row.incarnation
                    for key in self._fresh_upstreams
                    if (row := self.tables.upstreams.get(key))
                },
                repeated_entries={
                    key: entry.incarnation
                    for key in self._fresh_entries
                    if (entry := self.tables.entries.get(key))
                },
            )
        self._fresh_upstreams.clear()
        self._fresh_entries.clear()
        self._send(attrs.evolve(update, activity=self.activity.own_sum()))

    def _whole_rows(self) -> RowsUpdate:
        tables = self.tables
        upstreams = [u for k in self._due_upstreams if (u := tables.upstreams.get(k))]
        entries = [e for k in self._due_entries if (e := tables.entries.get(k))]
        return RowsUpdate(
            upstreams,
            [tables.upstreams.age_ms(row.key) for row in upstreams],
            entries,
            [tables.entries.age_ms(row.key) for row in entries],
        )

    def _send(self, update: RowsUpdate) -> None:
        self._peers.send_all(self._others(), update)

    def _merge_upstream(self, row: Upstream, age_ms: float) -> bool:
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
