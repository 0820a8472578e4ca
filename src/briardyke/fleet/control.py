"""Run a control instance: agreed configuration, soft tables, answers to entry instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgpack
import trio
from result import Err, Ok, Result

from briardyke.clock import now_ms, suspended_ms, wall_unix_ms
from briardyke.consensus.messages import GroupMessage
from briardyke.consensus.state import Role
from briardyke.errors import ErrorKind, Failure
from briardyke.fleet.activity import ActivityBoard
from briardyke.fleet.machine import ConfigurationMachine
from briardyke.fleet.messages import (
    Activity,
    AdapterReply,
    AdapterRequest,
    FleetReply,
    FleetRequest,
    PlaceReply,
    PlaceRequest,
    RowsRequest,
    RowsUpdate,
)
from briardyke.fleet.packing import pack
from briardyke.fleet.records import GONE, SILENT, ModelChanges, Upstream
from briardyke.fleet.reports import unreachable_upstreams
from briardyke.fleet.tables import Tables
from briardyke.ids import new_id
from briardyke.logs import log_event, log_warning
from briardyke.supervision import keep_running
from briardyke.sync.notifier import Notifier

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardyke.addresses import Address
    from briardyke.consensus.driver import ReplicatedLog
    from briardyke.wire.pool import PeerPool

# A follower that has not heard the leader for this long answers nothing as current. It is the
# shortest election timeout, after which another leader may have moved on.
CONTACT_WINDOW_MS = 1000.0
# Four missed heartbeats of an upstream at 1.2 s; heartbeats may arrive a few seconds late.
UPSTREAM_SILENCE_MS = 5000.0
# Entry instances report every 0.7 s at least.
ENTRY_SILENCE_MS = 2500.0
# Sums of what entry instances do, and repeated rows, are passed on together at this interval: a
# part of the time that a request lasts, so that others can choose by it.
BATCH_INTERVAL_MS = 250.0
# Every so many batches, repeated rows are passed on whole, for those that missed a change: about
# once in three seconds.
_WHOLE_BATCHES = 12
# A control instance that starts waits this long for the rows of the others before it tells entry
# instances what it knows; with all of them starting there is nothing to wait for.
_ROWS_TIMEOUT_MS = 500.0
# Clocks of instances differ, and jump by seconds at times.
_CLOCK_DOUBT_MS = 5000
# Below the shortest election timeout, so that an old leader stops ordering before a new one starts.
LEADER_EVIDENCE_MS = 900.0
# An election takes up to the longest election timeout and a round; nobody counts on an instance
# that has been back for less than three seconds.
STARTING_MS = 2500.0
# Shorter suspensions than this leave no time for another leader.
SUSPENSION_MS = 500.0
_PROPOSE_TIMEOUT_MS = 2500.0
_READ_TIMEOUT_MS = 900.0
# Rows of departed owners are kept, so that late announcements do not revive them.
_FORGET_MS = 120_000.0
_TRANSFER_TIMEOUT_MS = 1500.0


class ControlInstance:
    """Keep the agreed configuration and the soft tables of one control instance."""

    def __init__(
        self,
        log: ReplicatedLog,
        machine: ConfigurationMachine,
        peers: PeerPool,
        own: Address,
        data_centre: str = "",
    ) -> None:
        """Wire the parts; :meth:`run` starts them.

        :param log: member of the group that agrees.
        :param machine: its state machine.
        :param peers: connections to other instances.
        :param own: own peer address.
        :param data_centre: where this instance runs.
        """
        self.log = log
        self.machine = machine
        self.tables = Tables()
        self.activity = ActivityBoard(str(own))
        self.placement_news = Notifier()
        self.table_id = new_id("tbl")
        self.load_adapter: Callable[[AdapterRequest], Awaitable[AdapterReply]] | None = None
        self._peers = peers
        self._own = own
        self._data_centre = data_centre
        self._incarnation = wall_unix_ms()
        self._has_rows = False
        self._packed: tuple[int, bytes] | None = None
        self._batches = 0
        self._changed = Notifier()
        self._fresh_upstreams: set[str] = set()
        self._fresh_entries: set[str] = set()
        self._current_since_ms = float("inf")
        self._suspended_ms = suspended_ms()
        self._started_ms = now_ms()

    # Operator

    async def offer(self, version: int, document: bytes) -> Result[int, Failure]:
        """Commit a checked document unless its number is overtaken.

        :return: the number in force; ``not_leader`` with the leader's peer address as field.
        """
        if self.log.status().role is not Role.LEADER:
            return Err(self._not_leader())
        command = ConfigurationMachine.command(version, document)
        applied = await self.log.propose(command, _PROPOSE_TIMEOUT_MS)
        if applied.is_err():
            failure = applied.unwrap_err()
            log_warning("configuration_not_committed", version=version, reason=failure.message)
            return Err(failure)
        return Ok(msgpack.unpackb(applied.unwrap().result))

    async def newest(self) -> Result[bytes, Failure]:
        """Return the newest document, proved to be the newest at the time of the call."""
        if self.log.status().role is not Role.LEADER:
            return Err(self._not_leader())
        if not await self.log.confirm_read(_READ_TIMEOUT_MS) or self.machine.document is None:
            return Err(Failure(ErrorKind.NO_MAJORITY, "the newest configuration is not certain"))
        return Ok(self.machine.document)

    def _not_leader(self) -> Failure:
        status = self.log.status()
        if status.leader_address is None or not self.log.hears_leader(CONTACT_WINDOW_MS):
            return Failure(ErrorKind.NO_MAJORITY, "no leader is known")
        leader = str(status.leader_address)
        return Failure(ErrorKind.NOT_LEADER, "this instance does not lead", leader)

    # Upstreams

    @property
    def is_current(self) -> bool:
        """Return whether this instance takes part in the working majority."""
        return self.log.hears_leader(CONTACT_WINDOW_MS)

    @property
    def is_starting(self) -> bool:
        """Return whether this instance has just started and may not have heard a leader yet.

        Load: after a loss of power everywhere, entry instances and upstreams are back before an
        election can end. What this instance holds from disk is committed, though maybe not newest.
        """
        return now_ms() - self._started_ms < STARTING_MS

    def announce(self, row: Upstream) -> bool:
        """Take an upstream's announcement; return whether it can be acknowledged.

        A start at an address that another row names ends that row: two processes cannot share it.
        """
        if not self.is_current and not self.is_starting:
            return False
        for other in self.tables.upstreams.rows():
            reused = other.address == row.address and other.upstream_id != row.upstream_id
            if not reused or other.lifecycle == GONE:
                continue
            if other.incarnation > row.incarnation:
                log_event("late_announcement", upstream=row.upstream_id, now=other.upstream_id)
                return True
            self._take_upstream(attrs.evolve(other, lifecycle=GONE))
        self._take_upstream(row)
        return True

    def depart(self, upstream_id: str) -> bool:
        """Take note that an upstream leaves; return whether it can be acknowledged."""
        if not self.is_current and not self.is_starting:
            return False
        held = self.tables.upstreams.get(upstream_id)
        if held is None:
            # It was announced before this process started; a late announcement must not revive it.
            held = Upstream(upstream_id, wall_unix_ms() - _CLOCK_DOUBT_MS, 0)
        self._take_upstream(attrs.evolve(held, lifecycle=GONE))
        return True

    def _take_upstream(self, row: Upstream, age_ms: float = 0.0, is_own: bool = True) -> None:
        held = self.tables.upstreams.get(row.upstream_id)
        before = held.lifecycle if held else "unknown"
        changed = self.tables.upstreams.merge(row, age_ms)
        if is_own:
            self._fresh_upstreams.add(row.upstream_id)
        if not changed:
            return
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
        self._changed.notify()
        self.placement_news.notify()
        if is_own:
            self._broadcast(RowsUpdate([row], [0.0], [], []))

    # Placement

    def leading_term(self) -> int | None:
        """Return the term that this instance leads with fresh evidence, else ``None``.

        A leader that was suspended may have been replaced although its clock shows no time passed.
        """
        suspended = suspended_ms()
        if suspended - self._suspended_ms >= SUSPENSION_MS:
            log_event("suspension_noticed", duration_ms=round(suspended - self._suspended_ms))
            self._suspended_ms = suspended
            self.log.distrust_evidence()
        age_ms = self.log.confirmed_age_ms()
        is_fresh = age_ms is not None and age_ms < LEADER_EVIDENCE_MS
        return self.log.status().term if is_fresh else None

    def live_upstreams(self) -> list[Upstream]:
        """Return the upstreams that have not left and are not silent."""
        rows = self.tables.upstreams.changed_after(0)
        return [row for row, is_silent in rows if not is_silent and row.lifecycle != GONE]

    def unreachable_upstreams(self) -> set[str]:
        """Return the upstreams that have gone, as entry instances and missed heartbeats tell."""
        return unreachable_upstreams(self.tables, self.activity)

    def demand(self) -> dict[str, float]:
        """Return requests a second by model, over all entry instances."""
        return self.activity.demand()

    def tell_changes(self, row: ModelChanges) -> None:
        """Tell all entry instances which models of an upstream come and go."""
        if self.tables.changes.merge(row):
            self._changed.notify()
            self._broadcast(RowsUpdate([], [], [], [], [row]))

    # Entry instances and peers

    async def handle(self, peer_id: str, message: Any) -> Any:
        """Handle a message of another process and return the reply."""
        if isinstance(message, GroupMessage):
            return await self.log.handle(message)
        if isinstance(message, RowsUpdate):
            return self._take_rows(message)
        if isinstance(message, RowsRequest):
            return self._all_rows()
        if isinstance(message, PlaceRequest):
            return PlaceReply(self._data_centre)
        if isinstance(message, FleetRequest):
            return await self._answer_entry(message)
        if isinstance(message, AdapterRequest) and self.load_adapter is not None:
            return await self.load_adapter(message)
        return None

    async def _answer_entry(self, request: FleetRequest) -> FleetReply:
        before = self.tables.entries.get(request.entry.instance_id)
        row = request.entry.without_activity()
        if self.activity.report(request.entry):
            self.placement_news.notify()
            self._broadcast(RowsUpdate([], [], [], [], activity=self._own_activity()))
        if self.tables.entries.merge(row):
            self._changed.notify()
            self._broadcast(RowsUpdate([], [], [row], [0.0]))
            if before is None or before.is_ready != request.entry.is_ready:
                log_event(
                    "entry_changed",
                    instance=request.entry.instance_id,
                    ready=request.entry.is_ready,
                )
        self._fresh_entries.add(request.entry.instance_id)
        with trio.move_on_after(request.wait_ms / 1000.0):
            while not self._has_news(request):
                await self._changed.wait(request.wait_ms)
        return self._reply(request)

    def _has_news(self, request: FleetRequest) -> bool:
        if request.table_id != self.table_id or not self._is_informed:
            return True
        return (
            self.machine.version > request.held_version
            or self.tables.upstreams.sequence > request.held_upstreams
            or self.tables.entries.sequence > request.held_entries
            or self.tables.changes.sequence > request.held_changes
        )

    @property
    def _is_informed(self) -> bool:
        """Return whether entry instances can rely on what this instance knows."""
        return self.is_current and self._has_rows

    def _reply(self, request: FleetRequest) -> FleetReply:
        is_known = request.table_id == self.table_id
        upstreams = [
            attrs.evolve(row, lifecycle=SILENT) if is_silent and row.lifecycle != GONE else row
            for row, is_silent in self.tables.upstreams.changed_after(
                request.held_upstreams if is_known else 0
            )
        ]
        entries = None
        if not is_known or self.tables.entries.sequence > request.held_entries:
            entries = [
                row
                for row, is_silent in self.tables.entries.changed_after(0)
                if not is_silent and row.is_ready
            ]
        is_newer = self.machine.version > request.held_version or request.held_version == 0
        leader = self.log.status().leader_address
        return FleetReply(
            is_current=self._is_informed,
            is_starting=self.is_starting,
            version=self.machine.version,
            configuration=self._packed_document() if is_newer else None,
            table_id=self.table_id,
            upstreams=upstreams,
            upstream_sequence=self.tables.upstreams.sequence,
            entries=entries,
            entry_sequence=self.tables.entries.sequence,
            leader=str(leader or ""),
            controls=[str(m.address) for m in self.log.status().members],
            changes=[
                row.aged(age_ms)
                for row, age_ms in self.tables.changes.changed_with_age(
                    request.held_changes if is_known else 0
                )
            ],
            change_sequence=self.tables.changes.sequence,
            is_whole=not is_known,
            others=(
                self.activity.others(request.entry.instance_id)
                if request.entry.carried_per_s
                else {}
            ),
            carried_per_s=self.activity.carried_per_s(),
        )

    def _packed_document(self) -> bytes | None:
        if self.machine.document is None:
            return None
        if self._packed is None or self._packed[0] != self.machine.version:
            self._packed = self.machine.version, pack(self.machine.document)
        return self._packed[1]

    def _own_activity(self) -> Activity:
        return self.activity.own_sum(self._incarnation)

    def _take_rows(self, update: RowsUpdate) -> None:
        for row, age_ms in zip(update.upstreams, update.upstream_ages_ms, strict=True):
            self._take_upstream(row, age_ms, is_own=False)
        for entry, age_ms in zip(update.entries, update.entry_ages_ms, strict=True):
            if self.tables.entries.merge(entry, age_ms):
                self._changed.notify()
        for changes in update.changes:
            if self.tables.changes.merge(changes):
                self._changed.notify()
        for upstream_id, incarnation in update.repeated_upstreams.items():
            if self.tables.upstreams.confirm(upstream_id, incarnation):
                self._changed.notify()
        for instance_id, incarnation in update.repeated_entries.items():
            if self.tables.entries.confirm(instance_id, incarnation):
                self._changed.notify()
        if update.activity is not None and self.activity.take(update.activity):
            self.placement_news.notify()

    def _all_rows(self) -> RowsUpdate:
        upstreams = self.tables.upstreams.heard_within(_FORGET_MS)
        entries = self.tables.entries.heard_within(_FORGET_MS)
        return RowsUpdate(
            [row for row, _ in upstreams],
            [age for _, age in upstreams],
            [row for row, _ in entries],
            [age for _, age in entries],
            [row.aged(age_ms) for row, age_ms in self.tables.changes.changed_with_age(0)],
        )

    # Tasks

    async def run(self) -> None:
        """Watch, pass on rows and adopt configurations until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_running, "watch_log", self._watch_log)
            nursery.start_soon(keep_running, "pass_on_rows", self._pass_on_rows)
            nursery.start_soon(keep_running, "fetch_rows", self._fetch_rows)

    async def stop(self) -> None:
        """Hand over leadership before a planned stop."""
        await self.log.transfer_leadership(_TRANSFER_TIMEOUT_MS)

    async def _watch_log(self) -> None:
        version = self.machine.version
        while True:
            await self.log.wait_applied(self.log.status().applied_index + 1)
            if self.machine.version != version:
                version = self.machine.version
                self._changed.notify()

    async def _pass_on_rows(self) -> None:
        while True:
            await trio.sleep(BATCH_INTERVAL_MS / 1000.0)
            self._note_contact()
            self._batches += 1
            upstreams = [u for k in self._fresh_upstreams if (u := self.tables.upstreams.get(k))]
            entries = [e for k in self._fresh_entries if (e := self.tables.entries.get(k))]
            self._fresh_upstreams.clear()
            self._fresh_entries.clear()
            if self._batches % _WHOLE_BATCHES == 0:
                update = RowsUpdate(
                    upstreams, [0.0] * len(upstreams), entries, [0.0] * len(entries)
                )
            else:
                update = RowsUpdate(
                    *([], [], [], []),
                    repeated_upstreams={u.upstream_id: u.incarnation for u in upstreams},
                    repeated_entries={e.instance_id: e.incarnation for e in entries},
                )
            self._broadcast(attrs.evolve(update, activity=self._own_activity()))

    def _note_contact(self) -> None:
        was_current = self._current_since_ms < float("inf")
        if self.is_current != was_current:
            self._current_since_ms = now_ms() if self.is_current else float("inf")
            status = self.log.status()
            log_event(
                "majority_contact",
                held=self.is_current,
                role=status.role.value,
                term=status.term,
                leader=status.leader_id,
            )
            self._changed.notify()
        if self.is_current:
            since_ms = self._current_since_ms
            for row in self.tables.upstreams.mark_silent(UPSTREAM_SILENCE_MS, since_ms):
                log_event("upstream_silent", upstream=row.upstream_id, service=row.service)
                self._changed.notify()
            for entry in self.tables.entries.mark_silent(ENTRY_SILENCE_MS, since_ms):
                log_event("entry_silent", instance=entry.instance_id)
                self._changed.notify()

    def _broadcast(self, update: RowsUpdate) -> None:
        self._peers.send_all(self._other_members(), update)

    def _other_members(self) -> list[Address]:
        members = self.log.status().members
        return list(dict.fromkeys(m.address for m in members if m.address != self._own))

    async def _fetch_rows(self) -> None:
        """Ask the other instances for their rows once after the start.

        An answer of one instance may lack a departure that another one took last, so all are asked.
        """
        await self.log.wait_applied(1)

        async def ask(address: Address) -> None:
            reply = await self._peers.client(address).call(RowsRequest(), _ROWS_TIMEOUT_MS)
            if reply.is_ok() and isinstance(reply.unwrap(), RowsUpdate):
                self._take_rows(reply.unwrap())

        async with trio.open_nursery() as nursery:
            for address in self._other_members():
                nursery.start_soon(ask, address)
        self._has_rows = True
        self._changed.notify()
