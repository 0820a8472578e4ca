"""Run a control instance: replicated configuration, soft tables, replies to entry instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgpack
import trio
from result import Err, Ok, Result

from briardyke.clock import now_ms, suspended_ms, wall_unix_ms
from briardyke.consensus.messages import GroupMessage
from briardyke.consensus.state import Role
from briardyke.dispatch.messages import DispatchReport, DispatchRequest, ExplainRequest
from briardyke.errors import ErrorKind, Failure
from briardyke.fleet.compression import compress_document
from briardyke.fleet.entry_reply import build_reply
from briardyke.fleet.machine import ConfigurationMachine
from briardyke.fleet.messages import (
    AdapterReply,
    AdapterRequest,
    FleetReply,
    FleetRequest,
    PermitReply,
    PermitRequest,
    PlaceReply,
    PlaceRequest,
    RowsRequest,
    RowsUpdate,
    StreamReply,
    StreamReport,
    StreamReportReply,
    StreamRequest,
    TrialReply,
    TrialRequest,
)
from briardyke.fleet.reachability import unreachable_upstreams
from briardyke.fleet.records import GONE, Upstream
from briardyke.fleet.rows import RowExchange
from briardyke.ids import new_id
from briardyke.logs import log_event, log_warning
from briardyke.quotas.messages import QuotaReply, QuotaRequest
from briardyke.software_versions.streams import StreamTable
from briardyke.supervision import keep_running

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardyke.addresses import Address
    from briardyke.consensus.driver import ReplicatedLog
    from briardyke.dispatch.coordinator import DispatchCoordinator
    from briardyke.wire.pool import PeerPool

# Age up to which contact with the leader counts. This is the shortest election timeout; after it, a
# new leader may have committed changes.
CONTACT_WINDOW_MS = 1000.0
# Time for which an instance may know of a committed change and not have applied it. It is far above
# a sync of the disk and leaves entry instances most of the two seconds in which a change must be in
# force.
MAX_COMMIT_LAG_MS = 250.0
# Time without a row after which an upstream is marked silent: four missed heartbeats at 1.2 s;
# heartbeats may arrive a few seconds late.
UPSTREAM_SILENT_AFTER_MS = 5000.0
# Entry instances report at least every 0.7 s.
ENTRY_SILENT_AFTER_MS = 2500.0
# Interval for broadcasting activity sums and repeated rows. It is a fraction of the duration of a
# request, so that entry instances can route by the load of the others.
BATCH_INTERVAL_MS = 250.0
# Clocks of instances differ and sometimes jump by seconds.
_MAX_CLOCK_ERROR_MS = 5000
# Age of majority contact up to which an instance acts as leader. It is below the shortest election
# timeout, so that an old leader stops sending orders before a new one starts.
MAX_LEADER_EVIDENCE_AGE_MS = 900.0
# Time after the start during which an instance counts as starting. An election takes up to the
# longest election timeout plus one round; no requirement relies on an instance that has been
# running for less than three seconds.
START_PHASE_MS = 2500.0
# Shortest suspension of the process that puts its leadership in doubt; during a shorter one, no
# other leader can be elected.
MIN_SUSPENSION_MS = 500.0
_PROPOSE_TIMEOUT_MS = 2500.0
_READ_TIMEOUT_MS = 900.0
_TRANSFER_TIMEOUT_MS = 1500.0


class ControlInstance:
    """Control instance with its replicated configuration and its soft tables."""

    def __init__(
        self,
        log: ReplicatedLog,
        machine: ConfigurationMachine,
        peers: PeerPool,
        own_address: Address,
        data_centre: str = "",
    ) -> None:
        """Connect the components; :meth:`run` starts them.

        :param log: member of the consensus group.
        :param machine: its state machine.
        :param peers: connections to other instances.
        :param own_address: own peer address.
        :param data_centre: where this instance runs.
        """
        self.log = log
        self.machine = machine
        self.rows = RowExchange(peers, own_address, self._other_members)
        self.tables = self.rows.tables
        self.streams = StreamTable()
        self.table_id = new_id("tbl")
        self.load_adapter: Callable[[AdapterRequest], Awaitable[AdapterReply]] | None = None
        self.answer_trial: Callable[[TrialRequest], Awaitable[TrialReply]] | None = None
        self.grant_permit: Callable[[PermitRequest], Awaitable[PermitReply]] | None = None
        self.dispatch: DispatchCoordinator | None = None
        self.grant_quota: Callable[[QuotaRequest], Awaitable[QuotaReply]] | None = None
        self._own_address = own_address
        self._data_centre = data_centre
        self._compressed: tuple[int, bytes] | None = None
        self._contact_since_ms = float("inf")
        self._is_behind = False
        self._suspended_ms = suspended_ms()
        self._started_ms = now_ms()

    # Operator

    async def propose_configuration(self, version: int, document: bytes) -> Result[int, Failure]:
        """Commit a validated document unless a higher version is in force.

        :return: the version in force; ``not_leader`` with the leader's peer address as field.
        """
        if self.log.status().role is not Role.LEADER:
            return Err(self._not_leader())
        command = ConfigurationMachine.encode_command(version, document)
        applied = await self.log.propose(command, _PROPOSE_TIMEOUT_MS)
        if applied.is_err():
            failure = applied.unwrap_err()
            log_warning("configuration_not_committed", version=version, reason=failure.message)
            return Err(failure)
        return Ok(msgpack.unpackb(applied.unwrap().result))

    async def read_configuration(self) -> Result[bytes, Failure]:
        """Return the newest document by a linearizable read."""
        if self.log.status().role is not Role.LEADER:
            return Err(self._not_leader())
        if not await self.log.confirm_read(_READ_TIMEOUT_MS) or self.machine.document is None:
            return Err(Failure(ErrorKind.NO_MAJORITY, "cannot confirm the newest configuration"))
        return Ok(self.machine.document)

    def _not_leader(self) -> Failure:
        status = self.log.status()
        if status.leader_address is None or not self.log.has_leader_contact(CONTACT_WINDOW_MS):
            return Failure(ErrorKind.NO_MAJORITY, "no leader is known")
        leader = str(status.leader_address)
        return Failure(ErrorKind.NOT_LEADER, "this instance is not the leader", leader)

    # Upstreams

    @property
    def has_contact(self) -> bool:
        """Return whether this instance has recent contact with a leader."""
        return self.log.has_leader_contact(CONTACT_WINDOW_MS)

    @property
    def is_current(self) -> bool:
        """Return whether this instance has applied what is committed, as far as it can know.

        Contact is not enough: what a follower hears of as committed may still be on its way, or
        wait for its disk.
        """
        return self.has_contact and self.log.commit_lag_ms() < MAX_COMMIT_LAG_MS

    @property
    def is_starting(self) -> bool:
        """Return whether this instance has just started and may have no contact with a leader yet.

        After a power failure of the whole system, entry instances and upstreams restart before an
        election can finish. The state read from disk is committed but may not be the newest.
        """
        return now_ms() - self._started_ms < START_PHASE_MS

    def announce(self, row: Upstream) -> bool:
        """Record an upstream's announcement; return whether it can be acknowledged.

        An earlier started upstream with the same address is marked as gone, since two processes
        cannot share an address. Rows do not pass through the log, so contact suffices.
        """
        if not self.has_contact and not self.is_starting:
            return False
        for other in self.tables.upstreams.rows():
            reused = other.address == row.address and other.upstream_id != row.upstream_id
            if not reused or other.lifecycle == GONE:
                continue
            if other.incarnation > row.incarnation:
                log_event("late_announcement", upstream=row.upstream_id, now=other.upstream_id)
                return True
            self.rows.announce(attrs.evolve(other, lifecycle=GONE))
        self.rows.announce(row)
        return True

    def record_departure(self, upstream_id: str) -> bool:
        """Record that an upstream leaves; return whether it can be acknowledged."""
        if not self.has_contact and not self.is_starting:
            return False
        held = self.tables.upstreams.get(upstream_id)
        if held is None:
            # Announced before this process started; a delayed announcement must not revive it.
            held = Upstream(upstream_id, wall_unix_ms() - _MAX_CLOCK_ERROR_MS, 0)
        self.rows.announce(attrs.evolve(held, lifecycle=GONE))
        return True

    # Placement

    def leading_term(self) -> int | None:
        """Return the term that this instance leads, ``None`` without recent majority contact.

        A leader that was suspended may have been replaced although its clock shows no elapsed time.
        """
        suspended = suspended_ms()
        if suspended - self._suspended_ms >= MIN_SUSPENSION_MS:
            log_event("suspension_noticed", duration_ms=round(suspended - self._suspended_ms))
            self._suspended_ms = suspended
            self.log.expire_confirmation()
        age_ms = self.log.confirmed_age_ms()
        is_fresh = age_ms is not None and age_ms < MAX_LEADER_EVIDENCE_AGE_MS
        return self.log.status().term if is_fresh else None

    def is_former_leader_silent(self) -> bool:
        """Return whether the leader of the term before has not answered this one."""
        return self.log.is_former_leader_silent()

    def live_upstreams(self) -> list[Upstream]:
        """Return the upstreams that have not left and are not silent."""
        rows = self.tables.upstreams.changed_after(0)
        return [row for row, is_silent in rows if not is_silent and row.lifecycle != GONE]

    def unreachable_upstreams(self) -> set[str]:
        """Return the upstreams that entry instances cannot reach and that missed a heartbeat."""
        return unreachable_upstreams(self.tables, self.rows.activity)

    def demand(self) -> dict[str, float]:
        """Return requests per second by model and service, over all entry instances."""
        return self.rows.activity.demand()

    def event_intervals_ms(self) -> dict[str, float]:
        """Return the shortest usual time between two events of a stream, by upstream."""
        return self.rows.activity.event_intervals_ms()

    # Entry instances and peers

    async def handle(self, peer_id: str, message: Any) -> Any:
        """Handle a message from another process and return the reply."""
        if isinstance(message, GroupMessage):
            return await self.log.handle(message)
        if isinstance(message, RowsUpdate):
            return self.rows.apply_update(message)
        if isinstance(message, RowsRequest):
            return self.rows.all_rows()
        if isinstance(message, PlaceRequest):
            return PlaceReply(self._data_centre)
        if isinstance(message, FleetRequest):
            return await self._answer_entry(message)
        if isinstance(message, StreamReport):
            self.streams.record(message.streams)
            return StreamReportReply()
        if isinstance(message, StreamRequest):
            return self._stream_reply(message)
        if isinstance(message, AdapterRequest) and self.load_adapter is not None:
            return await self.load_adapter(message)
        if isinstance(message, TrialRequest) and self.answer_trial is not None:
            return await self.answer_trial(message)
        if isinstance(message, PermitRequest) and self.grant_permit is not None:
            return await self.grant_permit(message)
        if isinstance(message, DispatchRequest) and self.dispatch is not None:
            return await self.dispatch.answer(message)
        if isinstance(message, DispatchReport) and self.dispatch is not None:
            self.dispatch.record(message)
        if isinstance(message, ExplainRequest) and self.dispatch is not None:
            return await self.dispatch.explain(message.request)
        if isinstance(message, QuotaRequest) and self.grant_quota is not None:
            return await self.grant_quota(message)
        return None

    def _stream_reply(self, request: StreamRequest) -> StreamReply:
        return StreamReply(
            self.streams.find(request.request_id, request.service),
            self.rows.versions.by_service().get(request.service, []),
            self.can_inform_entries,
        )

    async def _answer_entry(self, request: FleetRequest) -> FleetReply:
        arrived_ms = now_ms()
        before = self.tables.entries.get(request.entry.instance_id)
        is_changed = self.rows.record_report(request.entry)
        for verdict in request.unlisted_verdicts:
            self.rows.publish_verdict(verdict)
        if is_changed and (before is None or before.is_ready != request.entry.is_ready):
            log_event(
                "entry_changed",
                instance=request.entry.instance_id,
                ready=request.entry.is_ready,
            )
        with trio.move_on_after(request.wait_ms / 1000.0):
            while not self._has_changes_for(request):
                await self.rows.changed.wait(request.wait_ms)
        # Read first: if the process stands still in between, the ages in the reply count from
        # before that time.
        waited_ms = now_ms() - arrived_ms
        return attrs.evolve(build_reply(self, request), waited_ms=waited_ms)

    def _has_changes_for(self, request: FleetRequest) -> bool:
        if request.table_id != self.table_id or not self.can_inform_entries:
            return True
        return (
            self.machine.version > request.held_version
            or self.tables.upstreams.sequence > request.held_upstreams
            or self.tables.entries.sequence > request.held_entries
            or self.tables.changes.sequence > request.held_changes
            or self.tables.verdicts.sequence > request.held_verdicts
            or self.rows.limits.sequence > request.held_limits
        )

    @property
    def can_inform_entries(self) -> bool:
        """Return whether this instance's state is current and complete for entry instances."""
        return self.is_current and self.rows.is_complete

    def compressed_document(self) -> bytes | None:
        """Return the compressed document in force."""
        if self.machine.document is None:
            return None
        if self._compressed is None or self._compressed[0] != self.machine.version:
            self._compressed = self.machine.version, compress_document(self.machine.document)
        return self._compressed[1]

    # Tasks

    async def run(self) -> None:
        """Watch the log and exchange rows until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_running, "watch_log", self._watch_log)
            nursery.start_soon(keep_running, "pass_on_rows", self._broadcast_rows)
            await self.log.wait_applied(1)
            nursery.start_soon(keep_running, "fetch_rows", self.rows.fetch_all)

    async def stop(self) -> None:
        """Transfer leadership before a planned stop."""
        await self.log.transfer_leadership(_TRANSFER_TIMEOUT_MS)

    async def _watch_log(self) -> None:
        version = self.machine.version
        while True:
            await self.log.wait_applied(self.log.status().applied_index + 1)
            if self.machine.version != version:
                version = self.machine.version
                self.rows.changed.notify()

    async def _broadcast_rows(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(BATCH_INTERVAL_MS / 1000.0)
                self._check_lag()
                if self._check_contact():
                    # Rows that others sent before the connections were open again were lost.
                    nursery.start_soon(self.rows.fetch_all)
                self.rows.broadcast_batch()

    def _check_lag(self) -> None:
        """Tell entry instances when committed changes begin to wait here, and when no longer."""
        lag_ms = self.log.commit_lag_ms()
        is_behind = lag_ms >= MAX_COMMIT_LAG_MS
        if is_behind == self._is_behind:
            return
        self._is_behind = is_behind
        self.rows.changed.notify()
        status = self.log.status()
        log_event(
            "commits_delayed",
            is_behind=is_behind,
            lag_ms=f"{lag_ms:.0f}",
            version=self.machine.version,
            applied=status.applied_index,
            known=status.known_commit_index,
        )

    def _check_contact(self) -> bool:
        """Log gained and lost contact, mark silent rows; return whether contact was regained."""
        had_contact = self._contact_since_ms < float("inf")
        if self.has_contact != had_contact:
            self._contact_since_ms = now_ms() if self.has_contact else float("inf")
            status = self.log.status()
            log_event(
                "majority_contact",
                held=self.has_contact,
                role=status.role.value,
                term=status.term,
                leader=status.leader_id,
            )
            self.rows.changed.notify()
        if self.has_contact:
            since_ms = self._contact_since_ms
            for row in self.tables.upstreams.mark_silent(UPSTREAM_SILENT_AFTER_MS, since_ms):
                log_event("upstream_silent", upstream=row.upstream_id, service=row.service)
                self.rows.changed.notify()
            for entry in self.tables.entries.mark_silent(ENTRY_SILENT_AFTER_MS, since_ms):
                log_event("entry_silent", instance=entry.instance_id)
                self.rows.changed.notify()
        return self.has_contact and not had_contact

    def _other_members(self) -> list[Address]:
        members = self.log.status().members
        return list(dict.fromkeys(m.address for m in members if m.address != self._own_address))
