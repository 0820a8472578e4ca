"""Run a group member: connect its node to disk, network, timers, state machine and proposers."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING, Any

import attrs
import trio
from result import Err, Ok, Result

from briardyke.clock import boot_ms, now_ms
from briardyke.consensus.commit_lag import CommitLag
from briardyke.consensus.disk_writer import DiskWriter
from briardyke.consensus.interface import Applied, LogStatus, StateMachine
from briardyke.consensus.log import EntryKind, Recovered, Snapshot
from briardyke.consensus.members import MemberChange
from briardyke.consensus.node import Node
from briardyke.consensus.state import Effects, NodeSettings, Role
from briardyke.errors import ErrorKind, Failure
from briardyke.logs import log_error, log_event

if TYPE_CHECKING:
    import random as random_module

    from briardyke.addresses import Address
    from briardyke.consensus.identity import Identity
    from briardyke.consensus.log import Entry
    from briardyke.consensus.messages import GroupMessage
    from briardyke.consensus.storage import GroupStorage

__all__ = ["Applied", "LogStatus", "ReplicatedLog", "StateMachine"]
TICK_MS = 50.0
SNAPSHOT_ENTRIES = 10_000
# Entries since the last snapshot stay in memory and on disk; a larger state allows for more, so
# that writing snapshots at most doubles what is written.
SNAPSHOT_BYTES = 4 * 1024 * 1024
_MAX_BATCH_COMMANDS = 512
_DEFAULT_SETTINGS = NodeSettings()
Sender = Callable[["Address", "GroupMessage"], None]
RunBlocking = Callable[..., Awaitable[Any]]


@attrs.define(eq=False)
class _Proposal:
    """Hold a proposal until its outcome is known; ``term`` is 0 until it is in the log."""

    command: bytes | MemberChange
    term: int = 0
    event: trio.Event = attrs.field(factory=trio.Event)
    outcome: Result[Applied, Failure] | None = None

    def finish(self, outcome: Result[Applied, Failure]) -> None:
        """Set the outcome and wake the proposer."""
        self.outcome = outcome
        self.event.set()


class ReplicatedLog:
    """Replicate commands over the members of one group."""

    def __init__(
        self,
        group_id: str,
        identity: Identity,
        own_address: Address,
        storage: tuple[GroupStorage, Recovered],
        machine: StateMachine,
        send: Sender,
        random: random_module.Random,
        *,
        seeds: Sequence[Address] = (),
        settings: NodeSettings = _DEFAULT_SETTINGS,
        snapshot_entries: int = SNAPSHOT_ENTRIES,
        run_blocking: RunBlocking = trio.to_thread.run_sync,
    ) -> None:
        """Prepare the member; :meth:`run` starts it.

        :param group_id: log group.
        :param identity: identity of this process.
        :param own_address: own peer address.
        :param storage: result of :meth:`Identity.open_group`.
        :param machine: state machine in its initial state; a stored snapshot is restored into it.
        :param send: queues a message for an address without waiting; the message may be lost.
        :param random: source of election timeouts.
        :param seeds: peer addresses that a process which is not a member asks to join.
        :param settings: intervals and limits.
        :param snapshot_entries: applied entries after which a snapshot is written, unless they
            take :data:`SNAPSHOT_BYTES` before.
        :param run_blocking: runs a blocking function outside the event loop.
        """
        self._storage, recovered = storage
        self._machine = machine
        self._send = send
        self._snapshot_entries = snapshot_entries
        self._run_blocking = run_blocking
        self._identity = identity
        self._node_arguments: dict[str, Any] = {
            "group_id": group_id,
            "own_id": identity.member_id,
            "own_address": own_address,
            "recovered": recovered,
            "initial_membership": identity.initial_membership,
            "random": random,
            "seeds": seeds,
            "settings": settings,
        }
        self._node = Node(**self._node_arguments, now_ms=0.0)
        self._is_running = False
        self._defect: Exception | None = None
        self._disk = DiskWriter(group_id, lambda *call: self._run_blocking(*call))
        self._pending: deque[Effects] = deque()
        self._queued_proposals: deque[_Proposal] = deque()
        self._open_proposals: dict[int, _Proposal] = {}
        self._work_available = trio.Event()
        self._progressed = trio.Event()
        self._applied_index = self._applied_term = 0
        self._lag = CommitLag()
        self._snapshot_index = 0
        self._snapshot_bytes = 0
        self._is_snapshot_missing = False
        self._written_snapshot: Snapshot | None = None
        self._snapshot_requests, self._snapshot_queue = trio.open_memory_channel[Snapshot](1)
        if recovered.snapshot is not None:
            self._restore(recovered.snapshot)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Take part in the group until cancelled.

        :raises ExceptionGroup: with an ``OSError`` when the disk fails, an error of the state
            machine, or a defect met by a message. The process must stop, because it is unknown
            what was written, applied or changed.
        """
        self._node = Node(**self._node_arguments, now_ms=now_ms())
        self._is_running = True
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._tick)
                nursery.start_soon(self._write_snapshots)
                nursery.start_soon(self._process_work)
                task_status.started()
        finally:
            self._is_running = False
            unknown = Failure(ErrorKind.OUTCOME_UNKNOWN, "the member stopped")
            for proposal in [*self._open_proposals.values(), *self._queued_proposals]:
                proposal.finish(Err(unknown))
            self._open_proposals.clear()
            self._queued_proposals.clear()

    async def propose(self, command: bytes, timeout_ms: float) -> Result[Applied, Failure]:
        """Replicate a command and return the state machine's result.

        :param command: the command; all members apply it in the same order.
        :param timeout_ms: maximum wait, in milliseconds.
        :return: ``not_leader`` (field: address of the leader) or ``no_majority`` when nothing was
            proposed; ``outcome_unknown`` when the command may still be applied.
        """
        return await self._submit(_Proposal(command), timeout_ms)

    async def change_member(
        self, change: MemberChange, timeout_ms: float
    ) -> Result[Applied, Failure]:
        """Change the membership by one member.

        :param change: the change.
        :param timeout_ms: maximum wait, in milliseconds.
        :return: as for :meth:`propose`, or ``member_change_refused``.
        """
        return await self._submit(_Proposal(change), timeout_ms)

    async def transfer_leadership(self, timeout_ms: float) -> bool:
        """Transfer leadership to another voter before a planned stop.

        :param timeout_ms: maximum wait, in milliseconds.
        :return: whether this member no longer leads.
        """
        self._enqueue(self._node.transfer(now_ms()))
        with trio.move_on_after(timeout_ms / 1000.0):
            await self._progressed.wait()
            while self._node.state.role is Role.LEADER or self._pending:
                await self._progressed.wait()
        return self._node.state.role is not Role.LEADER

    async def wait_applied(self, index: int) -> None:
        """Wait until an entry is applied here."""
        while self._applied_index < index:
            await self._progressed.wait()

    async def handle(self, message: GroupMessage) -> None:
        """Handle a message from another member; replies go through ``send``."""
        # Kept while the disk is full, messages would fill the memory; the group bears their loss.
        if self._is_running and not self._disk.is_full:
            try:
                self._enqueue(self._node.step(message, now_ms(), boot_ms()))
            except Exception as error:
                # The state may have changed in part, so this member must not go on with it.
                self._defect = error
                self._work_available.set()
                raise
        await trio.lowlevel.checkpoint()

    def status(self) -> LogStatus:
        """Return the member's current status."""
        state = self._node.state
        ready = state.ready_index is not None and self._applied_index >= state.ready_index
        return LogStatus(
            state.own_id,
            state.role,
            state.term,
            state.leader_id,
            state.leader_address,
            state.commit_index,
            state.known_commit_index,
            self._applied_index,
            state.membership.members,
            ready,
        )

    def confirmed_age_ms(self) -> float | None:
        """Return how long ago the state applied here was last confirmed to be current.

        :return: milliseconds; ``None`` when this member does not lead or has not yet applied
            everything that earlier leaders acknowledged.
        """
        if self._applied_index < self._node.state.term_start_index:
            return None
        age_ms = self._node.confirmed_age_ms(now_ms())
        confirmed_ms = self._node.state.confirmed_boot_ms
        if age_ms is None or confirmed_ms is None:
            return age_ms
        # An acknowledgement that waited while the machine was suspended looks fresh on a clock that
        # stood still.
        return max(age_ms, boot_ms() - confirmed_ms)

    def proof_age_ms(self) -> float | None:
        """Return the age of the proof that the state applied here is current.

        The state includes everything that was acknowledged to operators up to that long ago. Unlike
        :meth:`confirmed_age_ms`, this holds on every member, and over suspensions of any machine.

        :return: milliseconds; ``None`` without proof, as after a start.
        """
        as_of_ms = self._node.state.proof.advance(self._applied_index)
        return None if as_of_ms is None else max(0.0, boot_ms() - as_of_ms)

    def has_leader_contact(self, window_ms: float) -> bool:
        """Return whether this member had contact with its leader, or as leader with a majority.

        :param window_ms: maximum age of the contact, in milliseconds.
        """
        state = self._node.state
        if state.role is Role.LEADER:
            return state.commit_confirmed and now_ms() - state.confirmed_at_ms < window_ms
        return state.leader_address is not None and now_ms() - state.leader_contact_ms < window_ms

    def commit_lag_ms(self) -> float:
        """Return for how long this member has known of a committed entry that it has not applied.

        :return: milliseconds; infinite while the disk is full, since no message is heard then.
        """
        return float("inf") if self._disk.is_full else self._lag.age_ms(now_ms())

    def is_former_leader_silent(self) -> bool:
        """Return whether the leader of the term before has answered nothing in this one."""
        return self._node.state.is_former_leader_silent

    def expire_confirmation(self) -> None:
        """Step down at the next tick, because the clock stopped while the process was suspended."""
        state = self._node.state
        state.confirmed_at_ms = now_ms() - state.settings.election_min_ms

    async def confirm_read(self, timeout_ms: float) -> bool:
        """Wait until this member has applied every entry committed before the call.

        This requires a heartbeat round that starts after the call and that a majority acknowledges.
        A clock is not sufficient, because the monotonic clock stops while a machine is suspended.

        :param timeout_ms: maximum wait, in milliseconds.
        :return: whether the state was confirmed; always ``False`` on a member that does not lead.
        """
        self._enqueue(self._node.start_read_round(now_ms(), boot_ms()))
        state = self._node.state
        term, round_number = state.term, state.round_number
        with trio.move_on_after(timeout_ms / 1000.0):
            while state.role is Role.LEADER and state.term == term:
                if state.confirmed_round >= round_number and state.commit_confirmed:
                    await self.wait_applied(state.commit_index)
                    return True
                await self._progressed.wait()
        return False

    async def _submit(self, proposal: _Proposal, timeout_ms: float) -> Result[Applied, Failure]:
        if self._disk.is_full:
            return Err(Failure(ErrorKind.NO_MAJORITY, "the disk of this member is full"))
        self._queued_proposals.append(proposal)
        self._work_available.set()
        try:
            with trio.move_on_after(timeout_ms / 1000.0):
                await proposal.event.wait()
        finally:
            if proposal in self._queued_proposals:
                self._queued_proposals.remove(proposal)
        if proposal.outcome is not None:
            return proposal.outcome
        if proposal.term == 0:
            return Err(Failure(ErrorKind.NO_MAJORITY, "nothing was proposed before the timeout"))
        return Err(
            Failure(ErrorKind.OUTCOME_UNKNOWN, "the entry was not applied before the timeout")
        )

    async def _tick(self) -> None:
        while True:
            if not self._disk.is_full:
                self._enqueue(self._node.tick(now_ms(), boot_ms()))
            await trio.sleep(TICK_MS / 1000.0)

    def _enqueue(self, effects: Effects) -> None:
        self._lag.record_known(self._node.state.known_commit_index, now_ms())
        self._pending.append(effects)
        self._work_available.set()

    async def _process_work(self) -> None:
        while True:
            await self._work_available.wait()
            if self._defect is not None:
                raise self._defect
            self._work_available = trio.Event()
            while self._pending or self._queued_proposals or self._written_snapshot:
                self._propose_queued()
                await self._compact()
                await self._execute(self._next_batch())

    def _propose_queued(self) -> None:
        while self._queued_proposals:
            first = self._queued_proposals[0].command
            if not isinstance(first, bytes):
                self._register([self._queued_proposals.popleft()], self._node.propose_change(first))
                continue
            batch: list[_Proposal] = []
            commands: list[bytes] = []
            while self._queued_proposals and len(batch) < _MAX_BATCH_COMMANDS:
                command = self._queued_proposals[0].command
                if not isinstance(command, bytes):
                    break
                commands.append(command)
                batch.append(self._queued_proposals.popleft())
            self._register(batch, self._node.propose(commands))

    def _register(self, batch: Sequence[_Proposal], effects: Effects) -> None:
        if effects.refused is not None:
            for proposal in batch:
                proposal.finish(Err(effects.refused))
        for proposal, (index, term) in zip(batch, effects.proposed, strict=False):
            proposal.term = term
            replaced = self._open_proposals.pop(index, None)
            if replaced is not None:
                replaced.finish(Err(_leadership_lost()))
            self._open_proposals[index] = proposal
        self._pending.append(effects)

    def _next_batch(self) -> list[Effects]:
        """Take pending effects; those with a received snapshot form a batch of their own."""
        batch: list[Effects] = []
        while self._pending:
            if self._pending[0].snapshot is not None:
                return batch or [self._pending.popleft()]
            batch.append(self._pending.popleft())
        return batch

    async def _execute(self, batch: Sequence[Effects]) -> None:
        hard_state = next((e.hard_state for e in reversed(batch) if e.hard_state), None)
        entries = [entry for effects in batch for entry in effects.entries]
        snapshot = batch[0].snapshot if batch else None
        if hard_state is not None or entries:
            try:
                await self._disk.write(self._storage.save, hard_state, entries)
            except OSError as error:
                log_error("storage_failed", group=self._node.state.group_id, reason=error)
                raise
        if snapshot is not None:
            await self._disk.write(self._storage.install, snapshot, batch[0].snapshot_keeps_log)
            self._restore(snapshot)
        for effects in batch:
            for outgoing in effects.messages:
                self._send(outgoing.address, outgoing.message)
        if entries:
            self._enqueue(self._node.synced(entries[-1].index, entries[-1].term))
        for effects in batch:
            for entry in effects.committed:
                self._apply(entry)
        self._fail_lost_proposals()
        self._request_snapshot()
        if batch:
            self._progressed.set()
            self._progressed = trio.Event()
            await trio.lowlevel.checkpoint()

    def _apply(self, entry: Entry) -> None:
        result = b""
        if entry.kind is EntryKind.COMMAND:
            result = self._machine.apply(entry.index, entry.data)
        self._applied_index, self._applied_term = entry.index, entry.term
        self._lag.record_applied(entry.index)
        proposal = self._open_proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.finish(Ok(Applied(entry.index, entry.term, result)))
        else:
            proposal.finish(Err(_leadership_lost()))

    def _fail_lost_proposals(self) -> None:
        state = self._node.state
        leader_term = state.term if state.role is Role.LEADER else 0
        lost = [i for i, proposal in self._open_proposals.items() if proposal.term != leader_term]
        for index in lost:
            self._open_proposals.pop(index).finish(Err(_leadership_lost()))

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.data)
        self._applied_index, self._applied_term = snapshot.index, snapshot.term
        self._lag.record_applied(snapshot.index)
        self._record_snapshot(snapshot.index, snapshot.data)

    def _request_snapshot(self) -> None:
        if not self._is_snapshot_due():
            return
        received = self._node.state.snapshot
        if received is not None and received.index > self._applied_index:
            return  # the disk has yet to store it; the node knows no earlier membership any more
        members = self._node.membership_at(self._applied_index).encode()
        data = self._machine.snapshot()
        snapshot = Snapshot(self._applied_index, self._applied_term, members, data)
        try:
            self._snapshot_requests.send_nowait(snapshot)
        except trio.WouldBlock:
            return  # the previous snapshot is still being written
        self._record_snapshot(self._applied_index, data)

    def _is_snapshot_due(self) -> bool:
        log = self._node.state.log
        size_bytes = log.size_bytes(self._snapshot_index + 1, self._applied_index)
        return (
            self._is_snapshot_missing
            or self._applied_index - self._snapshot_index >= self._snapshot_entries
            or size_bytes >= max(SNAPSHOT_BYTES, self._snapshot_bytes)
        )

    def _record_snapshot(self, index: int, data: bytes) -> None:
        self._snapshot_index, self._snapshot_bytes = index, len(data)
        self._is_snapshot_missing = False

    async def _write_snapshots(self) -> None:
        async for snapshot in self._snapshot_queue:
            if not await self._disk.try_to_write(self._storage.save_snapshot, snapshot):
                self._is_snapshot_missing = True  # the next entry asks for it again
                continue
            self._written_snapshot = snapshot
            self._work_available.set()

    async def _compact(self) -> None:
        if self._written_snapshot is not None:
            snapshot, self._written_snapshot = self._written_snapshot, None
            self._node.compact(snapshot)
            await self._run_blocking(self._storage.delete_segments_before, snapshot.index)
            log_event("log_compacted", index=snapshot.index, bytes=len(snapshot.data))


def _leadership_lost() -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, "leadership was lost before the entry was applied")
