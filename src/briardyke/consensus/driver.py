"""Run one member of a log group: disk, network, timers, state machine and callers."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING, Any

import attrs
import trio
from result import Err, Ok, Result

from briardyke.clock import now_ms
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
_MAX_BATCH_COMMANDS = 512
_DEFAULT_SETTINGS = NodeSettings()
Sender = Callable[["Address", "GroupMessage"], None]
RunBlocking = Callable[..., Awaitable[Any]]


@attrs.define(eq=False)
class _Waiter:
    """Wait for one proposal; ``term`` is 0 until it is in the log."""

    command: bytes | MemberChange
    term: int = 0
    event: trio.Event = attrs.field(factory=trio.Event)
    outcome: Result[Applied, Failure] | None = None

    def finish(self, outcome: Result[Applied, Failure]) -> None:
        """Hand the outcome to the proposer."""
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
        :param machine: state machine in its initial state; a snapshot is restored into it here.
        :param send: queues a message to an address without waiting; it may be lost.
        :param random: source of election timeouts.
        :param seeds: addresses that an unlisted member asks to join.
        :param settings: intervals and limits.
        :param snapshot_entries: applied entries after which a snapshot is written.
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
            "founding": identity.founding,
            "random": random,
            "seeds": seeds,
            "settings": settings,
        }
        self._node = Node(**self._node_arguments, now_ms=0.0)
        self._is_running = False
        self._pending: deque[Effects] = deque()
        self._queue: deque[_Waiter] = deque()
        self._waiters: dict[int, _Waiter] = {}
        self._work = trio.Event()
        self._progress = trio.Event()
        self._applied_index = self._applied_term = 0
        self._snapshot_index = 0
        self._written: Snapshot | None = None
        self._snapshot_requests, self._snapshot_queue = trio.open_memory_channel[Snapshot](1)
        if recovered.snapshot is not None:
            self._restore(recovered.snapshot)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Take part in the group until cancelled.

        :raises ExceptionGroup: with an ``OSError`` when the disk fails, or an error of the state
            machine. The process must stop, since what was written or applied is unknown.
        """
        self._node = Node(**self._node_arguments, now_ms=now_ms())
        self._is_running = True
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._tick)
                nursery.start_soon(self._write_snapshots)
                nursery.start_soon(self._work_through)
                task_status.started()
        finally:
            self._is_running = False
            unknown = Failure(ErrorKind.OUTCOME_UNKNOWN, "the member stopped")
            for waiter in [*self._waiters.values(), *self._queue]:
                waiter.finish(Err(unknown))
            self._waiters.clear()
            self._queue.clear()

    async def propose(self, command: bytes, timeout_ms: float) -> Result[Applied, Failure]:
        """Replicate a command and return the state machine's result.

        :param command: the command; all members apply it in the same order.
        :param timeout_ms: longest wait, in milliseconds.
        :return: ``not_leader`` (field: address of the leader) or ``no_majority`` when nothing was
            proposed; ``outcome_unknown`` when the command may still be applied.
        """
        return await self._submit(_Waiter(command), timeout_ms)

    async def change_member(
        self, change: MemberChange, timeout_ms: float
    ) -> Result[Applied, Failure]:
        """Change the membership by one member.

        :param change: the change.
        :param timeout_ms: longest wait, in milliseconds.
        :return: as :meth:`propose`, or ``member_change_refused``.
        """
        return await self._submit(_Waiter(change), timeout_ms)

    async def transfer_leadership(self, timeout_ms: float) -> bool:
        """Hand leadership to another voter before a planned stop.

        :param timeout_ms: longest wait, in milliseconds.
        :return: whether this member no longer leads.
        """
        self._absorb(self._node.transfer(now_ms()))
        with trio.move_on_after(timeout_ms / 1000.0):
            await self._progress.wait()
            while self._node.state.role is Role.LEADER or self._pending:
                await self._progress.wait()
        return self._node.state.role is not Role.LEADER

    async def wait_applied(self, index: int) -> None:
        """Wait until an entry is applied here."""
        while self._applied_index < index:
            await self._progress.wait()

    async def handle(self, message: GroupMessage) -> None:
        """Handle a message from another member; answers go through ``send``."""
        if self._is_running:
            self._absorb(self._node.step(message, now_ms()))
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
            self._applied_index,
            state.membership.members,
            ready,
        )

    def confirmed_age_ms(self) -> float | None:
        """Return the age of the evidence that the state applied here is current.

        :return: milliseconds; ``None`` when this member does not lead or has not yet applied
            everything that earlier leaders acknowledged.
        """
        if self._applied_index < self._node.state.term_start_index:
            return None
        return self._node.confirmed_age_ms(now_ms())

    def has_leader_contact(self, window_ms: float) -> bool:
        """Return whether a majority or its leader was heard within a window, in milliseconds."""
        state = self._node.state
        if state.role is Role.LEADER:
            return state.commit_confirmed and now_ms() - state.evidence_ms < window_ms
        return state.leader_address is not None and now_ms() - state.leader_contact_ms < window_ms

    def expire_confirmation(self) -> None:
        """Step down at the next tick: the evidence of leadership is older than the clock says."""
        state = self._node.state
        state.evidence_ms = now_ms() - state.settings.election_min_ms

    async def confirm_read(self, timeout_ms: float) -> bool:
        """Wait until the state applied here is proved to be current at the time of the call.

        The proof is a round of acknowledgements that began after the call. A clock is not enough:
        the steady clock of a suspended machine stands still.

        :param timeout_ms: longest wait, in milliseconds.
        :return: whether it was proved; never for a member that does not lead.
        """
        self._absorb(self._node.start_read(now_ms()))
        state = self._node.state
        term, number = state.term, state.round_number
        with trio.move_on_after(timeout_ms / 1000.0):
            while state.role is Role.LEADER and state.term == term:
                if state.evidence_round >= number and state.commit_confirmed:
                    await self.wait_applied(state.commit_index)
                    return True
                await self._progress.wait()
        return False

    async def _submit(self, waiter: _Waiter, timeout_ms: float) -> Result[Applied, Failure]:
        self._queue.append(waiter)
        self._work.set()
        try:
            with trio.move_on_after(timeout_ms / 1000.0):
                await waiter.event.wait()
        finally:
            if waiter in self._queue:
                self._queue.remove(waiter)
        if waiter.outcome is not None:
            return waiter.outcome
        if waiter.term == 0:
            return Err(Failure(ErrorKind.NO_MAJORITY, "nothing was proposed before the timeout"))
        return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "not applied before the timeout"))

    async def _tick(self) -> None:
        while True:
            self._absorb(self._node.tick(now_ms()))
            await trio.sleep(TICK_MS / 1000.0)

    def _absorb(self, effects: Effects) -> None:
        self._pending.append(effects)
        self._work.set()

    async def _work_through(self) -> None:
        while True:
            await self._work.wait()
            self._work = trio.Event()
            while self._pending or self._queue or self._written:
                self._propose_queued()
                await self._compact()
                await self._carry_out(self._next_batch())

    def _propose_queued(self) -> None:
        while self._queue:
            first = self._queue[0].command
            if not isinstance(first, bytes):
                self._start([self._queue.popleft()], self._node.propose_change(first))
                continue
            batch: list[_Waiter] = []
            commands: list[bytes] = []
            while self._queue and len(batch) < _MAX_BATCH_COMMANDS:
                command = self._queue[0].command
                if not isinstance(command, bytes):
                    break
                commands.append(command)
                batch.append(self._queue.popleft())
            self._start(batch, self._node.propose(commands))

    def _start(self, batch: Sequence[_Waiter], effects: Effects) -> None:
        if effects.refused is not None:
            for waiter in batch:
                waiter.finish(Err(effects.refused))
        for waiter, (index, term) in zip(batch, effects.proposed, strict=False):
            waiter.term = term
            replaced = self._waiters.pop(index, None)
            if replaced is not None:
                replaced.finish(Err(_lost_leadership()))
            self._waiters[index] = waiter
        self._pending.append(effects)

    def _next_batch(self) -> list[Effects]:
        """Take all pending effects up to a received snapshot, which is handled by itself."""
        batch: list[Effects] = []
        while self._pending:
            if self._pending[0].snapshot is not None:
                return batch or [self._pending.popleft()]
            batch.append(self._pending.popleft())
        return batch

    async def _carry_out(self, batch: Sequence[Effects]) -> None:
        hard_state = next((e.hard_state for e in reversed(batch) if e.hard_state), None)
        entries = [entry for effects in batch for entry in effects.entries]
        snapshot = batch[0].snapshot if batch else None
        if hard_state is not None or entries:
            try:
                await self._run_blocking(self._storage.save, hard_state, entries)
            except OSError as error:
                log_error("storage_failed", group=self._node.state.group_id, reason=error)
                raise
        if snapshot is not None:
            await self._run_blocking(self._storage.install, snapshot, batch[0].snapshot_keeps_log)
            self._restore(snapshot)
        for effects in batch:
            for outgoing in effects.messages:
                self._send(outgoing.address, outgoing.message)
        if entries:
            self._absorb(self._node.synced(entries[-1].index, entries[-1].term))
        for effects in batch:
            for entry in effects.committed:
                self._apply(entry)
        self._fail_lost_proposals()
        self._request_snapshot()
        if batch:
            self._progress.set()
            self._progress = trio.Event()
            await trio.lowlevel.checkpoint()

    def _apply(self, entry: Entry) -> None:
        result = b""
        if entry.kind is EntryKind.COMMAND:
            result = self._machine.apply(entry.index, entry.data)
        self._applied_index, self._applied_term = entry.index, entry.term
        waiter = self._waiters.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term == entry.term:
            waiter.finish(Ok(Applied(entry.index, entry.term, result)))
        else:
            waiter.finish(Err(_lost_leadership()))

    def _fail_lost_proposals(self) -> None:
        state = self._node.state
        leading_term = state.term if state.role is Role.LEADER else 0
        lost = [i for i, waiter in self._waiters.items() if waiter.term != leading_term]
        for index in lost:
            self._waiters.pop(index).finish(Err(_lost_leadership()))

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.data)
        self._applied_index, self._applied_term = snapshot.index, snapshot.term
        self._snapshot_index = snapshot.index

    def _request_snapshot(self) -> None:
        if self._applied_index - self._snapshot_index < self._snapshot_entries:
            return
        members = self._node.membership_at(self._applied_index).encode()
        data = self._machine.snapshot()
        snapshot = Snapshot(self._applied_index, self._applied_term, members, data)
        try:
            self._snapshot_requests.send_nowait(snapshot)
        except trio.WouldBlock:
            return  # the previous snapshot is still being written
        self._snapshot_index = self._applied_index

    async def _write_snapshots(self) -> None:
        async for snapshot in self._snapshot_queue:
            await self._run_blocking(self._storage.save_snapshot, snapshot)
            self._written = snapshot
            self._work.set()

    async def _compact(self) -> None:
        if self._written is not None:
            snapshot, self._written = self._written, None
            self._node.compact(snapshot)
            await self._run_blocking(self._storage.drop_until, snapshot.index)
            log_event("log_compacted", index=snapshot.index, bytes=len(snapshot.data))


def _lost_leadership() -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, "leadership was lost before the entry was applied")
