"""Run nodes on simulated disks and a simulated network, and check Raft's guarantees."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from typing import TYPE_CHECKING, Any

import attrs
import msgpack

from briardyke.addresses import Address
from briardyke.consensus.log import Entry, EntryKind, HardState, Recovered, Snapshot
from briardyke.consensus.members import Member, MemberChange, Membership
from briardyke.consensus.node import Node
from briardyke.consensus.state import Effects, NodeSettings, Role

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_MS = 50.0


class Disk:
    """Hold the synced state, which is all that survives a crash."""

    def __init__(self) -> None:
        self.hard_state, self.snapshot = HardState(), None
        self.entries: list[Entry] = []

    def save(self, effects: Effects) -> None:
        self.hard_state = effects.hard_state or self.hard_state
        if effects.snapshot is not None:
            kept = self.entries if effects.snapshot_keeps_log else []
            self.save_snapshot(effects.snapshot, kept)
        for entry in effects.entries:
            self.entries = [held for held in self.entries if held.index < entry.index] + [entry]

    def save_snapshot(self, snapshot: Snapshot, kept: list[Entry]) -> None:
        self.snapshot = snapshot
        self.entries = [entry for entry in kept if entry.index > snapshot.index]

    def holds(self, entry: Entry) -> bool:
        if self.snapshot is not None and entry.index <= self.snapshot.index:
            return True
        return entry in self.entries

    def recovered(self) -> Recovered:
        return Recovered(self.hard_state, self.snapshot, tuple(self.entries))


@attrs.define(eq=False)
class Host:
    """Hold one instance; ``node`` is ``None`` while its process does not run.

    :param clock_offset_ms: reading of its own clock at time 0.
    :param stopped_ms: time for which its clock without suspensions has stood still.
    """

    name: str
    address: Address
    member_id: str
    initial_membership: Membership
    disk: Disk = attrs.field(factory=Disk)
    node: Node | None = None
    pending: deque[Effects] = attrs.field(factory=deque)
    applied: list[bytes] = attrs.field(factory=list)
    applied_index: int = 0
    own_proposals: dict[int, int] = attrs.field(factory=dict)
    suspended_until: float = 0.0
    clock_offset_ms: float = 0.0
    stopped_ms: float = 0.0

    def clocks(self, now: float) -> tuple[float, float]:
        """Return the readings of both clocks, without and with suspensions."""
        return now - self.stopped_ms, now + self.clock_offset_ms


class Cluster:
    """Simulate several instances and check the guarantees after each event."""

    def __init__(
        self,
        voters: int = 3,
        learners: int = 0,
        seed: int = 0,
        sync_ms: float = 0.0,
        promotes_learners: bool = False,
    ) -> None:
        self.random = random.Random(seed)
        self.now, self.sync_ms = 0.0, sync_ms
        self.loss = self.duplication = 0.0
        self.delay_ms = (1.0, 1.0)
        self.settings = NodeSettings(
            snapshot_chunk_bytes=64,
            kept_entries=3,
            max_append_entries=4,
            caught_up_entries=4,
            max_in_flight_bytes=16,
            max_probe_bytes=4,
            promotes_learners=promotes_learners,
        )
        self.partitions: list[set[str]] = []
        self.is_dropped: Callable[[str, str, Any], bool] = lambda sender, receiver, message: False
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._storage_ids = itertools.count()
        self._clock_random = random.Random(f"clocks of {seed}")
        names = [chr(ord("a") + i) for i in range(voters + learners)]
        addresses = {name: Address("127.0.0.1", 1 + i) for i, name in enumerate(names)}
        self.initial_membership = Membership(
            tuple(Member(f"{name}#0", addresses[name], True) for name in names[:voters])
        )
        self.hosts = {
            name: Host(name, addresses[name], f"{name}#0", self.initial_membership)
            for name in names
        }
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, Entry] = {}
        self.acknowledged: list[Entry] = []
        self.acknowledged_ms: list[tuple[float, int]] = []
        self.disks: dict[str, Disk | None] = {h.member_id: h.disk for h in self.hosts.values()}
        for host in self.hosts.values():
            if not self.initial_membership.get(host.member_id):
                host.initial_membership = Membership()
            self.start(host)
            self._tick(host)

    # Operations on instances

    def start(self, host: Host) -> None:
        """Start a process with the synced state of its disk."""
        host.pending.clear()
        host.own_proposals.clear()
        # The process alone was restarted, or its machine, whose clock then begins anew.
        restarted_ms, other_ms = -self.now, self._clock_random.uniform(0.0, 1e7)
        host.clock_offset_ms = self._clock_random.choice(
            [host.clock_offset_ms, restarted_ms, other_ms]
        )
        recovered = host.disk.recovered()
        host.applied, host.applied_index = [], 0
        if recovered.snapshot:
            self._restore(host, recovered.snapshot)
        host.node = Node(
            "g",
            host.member_id,
            host.address,
            recovered,
            host.initial_membership,
            random.Random(self.random.random()),
            self.now,
            [other.address for other in self.hosts.values()],
            self.settings,
        )

    def add_host(self, name: str) -> Host:
        """Start an instance with an empty disk at a new address."""
        address = Address("127.0.0.1", len(self.hosts) + 1)
        host = self.hosts[name] = Host(name, address, f"{name}#0", Membership())
        self.disks[host.member_id] = host.disk
        self.start(host)
        self._tick(host)
        return host

    def crash(self, host: Host) -> None:
        """Kill a process; effects that are not synced are lost."""
        host.node = None
        host.pending.clear()

    def lose_disk(self, host: Host, keep_id: bool = False) -> None:
        """Replace a disk by an empty one and restart the process, which must join with a new id."""
        self.crash(host)
        self.disks[host.member_id] = None
        host.disk = Disk()
        if not keep_id:
            host.member_id = f"{host.name}#{next(self._storage_ids) + 1}"
            host.initial_membership = Membership()
        self.disks[host.member_id] = host.disk
        self.start(host)

    def can_lose_disk(self, host: Host) -> bool:
        """Return whether the group can tolerate the loss of this disk."""
        return self.has_intact_majority(without=host.member_id)

    def has_intact_majority(self, without: str = "") -> bool:
        """Return whether every membership in use has a majority of voters with intact disks."""
        changes = [e for e in self.committed.values() if e.kind is EntryKind.MEMBERS]
        latest = max(changes, key=lambda entry: entry.index, default=None)
        memberships = [Membership.decode(latest.data) if latest else self.initial_membership]
        for other in self.hosts.values():
            entries = other.disk.entries
            if other.node is not None:
                log = other.node.state.log
                entries = log.between(log.base_index + 1, log.last_index)
            memberships += [
                Membership.decode(entry.data)
                for entry in entries
                if entry.kind is EntryKind.MEMBERS and (not latest or entry.index > latest.index)
            ]
        return all(
            members.has_majority(
                i for i, disk in self.disks.items() if disk is not None and i != without
            )
            for members in memberships
        )

    def suspend(self, host: Host, duration_ms: float) -> None:
        """Suspend a process; its messages are delayed while time passes."""
        host.suspended_until = self.now + duration_ms

    def compact(self, host: Host) -> None:
        """Write a snapshot of everything applied."""
        if host.node is None or host.pending or not host.applied_index:
            return
        term = host.node.state.log.term_at(host.applied_index)
        if term is None or not host.disk.holds(self.committed[host.applied_index]):
            return
        members = host.node.membership_at(host.applied_index).encode()
        data = msgpack.packb(host.applied)
        snapshot = Snapshot(host.applied_index, term, members, data)
        host.disk.save_snapshot(snapshot, host.disk.entries)
        host.node.compact(snapshot)

    def propose(self, host: Host, command: bytes) -> bool:
        """Propose a command; return whether it was accepted."""
        assert host.node is not None
        effects = host.node.propose([command])
        for index, term in effects.proposed:
            host.own_proposals[index] = term
        self._execute(host, effects)
        return bool(effects.proposed)

    def change(self, host: Host, change: MemberChange) -> Effects:
        """Propose a membership change."""
        effects = host.node.propose_change(change)
        self._execute(host, effects)
        return effects

    def transfer(self, host: Host) -> None:
        """Transfer leadership to another voter."""
        self._execute(host, host.node.transfer(self.now))

    @property
    def running(self) -> list[Host]:
        return [host for host in self.hosts.values() if host.node is not None]

    def leader(self) -> Host | None:
        """Return the running leader of the highest term."""
        leading = [host for host in self.running if host.node.state.role is Role.LEADER]
        return max(leading, key=lambda host: host.node.state.term, default=None)

    def heal(self) -> None:
        """End all faults and start the processes that do not run."""
        self.loss = self.duplication = 0.0
        self.delay_ms, self.partitions = (1.0, 1.0), []
        for host in self.hosts.values():
            host.suspended_until = 0.0
            if host.node is None:
                self.start(host)

    def settle(self, timeout_ms: float = 30_000) -> Host:
        """Run until a command is acknowledged by a leader and applied by all members."""
        command = f"settle-{self.now}".encode()
        proposed, end = None, self.now + timeout_ms
        while self.now < end:
            self.advance(100)
            leader = self.leader()
            if leader is not None and proposed is not leader and self.propose(leader, command):
                proposed = leader
            listed = leader.node.state.membership.members if leader else ()
            members = [h for h in self.running if any(h.member_id == m.member_id for m in listed)]
            if members and all(command in host.applied for host in members):
                assert leader is not None
                return leader
        raise AssertionError(f"no progress: {[h.node.state.membership for h in self.running]}")

    # Simulation

    def advance(self, duration_ms: float) -> None:
        """Process all events of the next milliseconds."""
        end = self.now + duration_ms
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.now = max(self.now, at)
            action()
        self.now = end

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _tick(self, host: Host) -> None:
        if host.node is not None and self.now >= host.suspended_until:
            self._execute(host, host.node.tick(*host.clocks(self.now)))
        self._schedule(max(self.now + TICK_MS, host.suspended_until), lambda: self._tick(host))

    def _execute(self, host: Host, effects: Effects) -> None:
        self._check_leaders()
        self._check_synced(host, effects)
        host.pending.append(effects)
        if self.sync_ms:
            node = host.node
            delay = self.random.uniform(0, self.sync_ms)
            self._schedule(self.now + delay, lambda: self._flush(host, node))
        else:
            self._flush(host, host.node)

    def _flush(self, host: Host, node: Node | None) -> None:
        if host.node is not node or node is None:
            return
        if self.now < host.suspended_until:
            self._schedule(host.suspended_until, lambda: self._flush(host, node))
            return
        while host.pending:
            effects = host.pending.popleft()
            host.disk.save(effects)
            if effects.snapshot is not None:
                self._restore(host, effects.snapshot)
            for outgoing in effects.messages:
                self._send(host, outgoing.address, outgoing.message)
            if effects.entries:
                last = effects.entries[-1]
                following = node.synced(last.index, last.term)
                self._check_synced(host, following)
                host.pending.append(following)
            for entry in effects.committed:
                self._apply(host, entry)
        self.proof_age_ms(host)

    def _send(self, host: Host, address: Address, message: Any) -> None:
        receiver = next(h for h in self.hosts.values() if h.address == address)
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            if self.random.random() >= self.loss:
                at = self.now + self.random.uniform(*self.delay_ms)
                self._schedule(at, lambda: self._deliver(host, receiver, message))

    def _deliver(self, sender: Host, receiver: Host, message: Any) -> None:
        for group in self.partitions:
            if (sender.name in group) != (receiver.name in group):
                return
        if self.is_dropped(sender.name, receiver.name, message):
            return
        if self.now < receiver.suspended_until:
            self._schedule(
                receiver.suspended_until, lambda: self._deliver(sender, receiver, message)
            )
        elif receiver.node is not None:
            self._execute(receiver, receiver.node.step(message, *receiver.clocks(self.now)))

    # Checks

    def proof_age_ms(self, host: Host) -> float | None:
        """Return the age of a running member's proof; check that the member's state bears it out.

        Whatever was acknowledged up to the time of the proof must be applied.
        """
        assert host.node is not None
        as_of_ms = host.node.state.proof.advance(host.applied_index)
        if as_of_ms is None:
            return None
        as_of = as_of_ms - host.clock_offset_ms
        assert as_of <= self.now, "proof as of a later time"
        due = max((index for at, index in self.acknowledged_ms if at < as_of), default=0)
        assert host.applied_index >= due, f"acknowledged before the proof and not applied: {due}"
        return self.now - as_of

    def _check_leaders(self) -> None:
        confirmed_terms = []
        for host in self.running:
            state = host.node.state
            if state.role is Role.LEADER:
                first = self.leaders.setdefault(state.term, host.member_id)
                assert first == host.member_id, f"two leaders in term {state.term}"
                age = host.node.confirmed_age_ms(self.now)
                if age is not None and age < 900:
                    confirmed_terms.append(state.term)
        assert len(confirmed_terms) <= 1, f"two recently confirmed leaders: terms {confirmed_terms}"

    def _check_synced(self, host: Host, effects: Effects) -> None:
        """Check proposals when they are committed, under the membership in force at that moment.

        When they are applied, the leader may have appended a change that removes one of the voters
        that hold them.
        """
        voters = host.node.state.membership.voters
        for entry in effects.committed:
            if host.own_proposals.get(entry.index) == entry.term:
                disks = [self.disks[member.member_id] for member in voters]
                on_disk = [disk is None or disk.holds(entry) for disk in disks]
                assert sum(on_disk) > len(voters) // 2, "acknowledged without a synced majority"

    def _apply(self, host: Host, entry: Entry) -> None:
        known = self.committed.setdefault(entry.index, entry)
        assert known == entry, f"committed entry changed: {known} became {entry}"
        assert entry.index == host.applied_index + 1, "entry applied out of order"
        host.applied_index = entry.index
        if entry.kind is EntryKind.COMMAND:
            host.applied.append(entry.data)
        if host.own_proposals.pop(entry.index, None) == entry.term:
            self.acknowledged.append(entry)
            self.acknowledged_ms.append((self.now, entry.index))

    def _restore(self, host: Host, snapshot: Snapshot) -> None:
        commands = msgpack.unpackb(snapshot.data)
        expected = [
            entry.data
            for index, entry in sorted(self.committed.items())
            if index <= snapshot.index and entry.kind is EntryKind.COMMAND
        ]
        assert commands == expected, "snapshot differs from the committed entries"
        host.applied, host.applied_index = commands, snapshot.index

    def check_durable(self) -> None:
        """Check that no acknowledged command is lost.

        If a learner loses its disk in the second before its promotion, the two other voters cannot
        make progress, but every acknowledged entry must still be on an intact disk.
        """
        self.advance(3000)
        if self.has_intact_majority():
            leader = self.settle()
            missing = [e for e in self.acknowledged if e.data not in leader.applied]
        else:
            disks = [disk for disk in self.disks.values() if disk is not None]
            missing = [e for e in self.acknowledged if not any(d.holds(e) for d in disks)]
        assert not missing, f"acknowledged commands were lost: {missing}"
