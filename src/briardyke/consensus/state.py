"""Hold the state of a node and the operations that elections and replication share."""

from __future__ import annotations

import random
from enum import Enum
from typing import Any, TypeVar

import attrs

from briardyke.addresses import Address
from briardyke.consensus.log import Entry, EntryKind, HardState, MemoryLog, Snapshot
from briardyke.consensus.members import Membership
from briardyke.consensus.messages import GroupMessage
from briardyke.consensus.proof import StateProof
from briardyke.errors import Failure
from briardyke.ids import new_id

M = TypeVar("M", bound=GroupMessage)


class Role(Enum):
    """List the roles of a member; learners and members without a leader are followers."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen
class NodeSettings:
    """Hold the intervals and limits of a node.

    :param heartbeat_ms: interval of heartbeat rounds.
    :param election_min_ms: minimum election timeout. Orders rely on a leader for up to 900 ms after
        a majority confirmed it; the longer timeout rules out a second leader in that time.
    :param election_max_ms: maximum election timeout.
    :param join_interval_ms: interval at which a process that is not a member asks to join.
    :param caught_up_entries: a learner that lacks at most this many entries counts as caught up.
    :param max_append_entries: maximum number of entries in one message.
    :param max_append_bytes: maximum total size of the entries in one message.
    :param max_in_flight_entries: maximum number of entries sent to a member and not acknowledged.
    :param max_in_flight_bytes: total size of these entries from which no more are sent. A
        connection drops messages beyond twice as much.
    :param max_probe_bytes: maximum total size of the entries that are sent before it is known what
        a member holds.
    :param snapshot_chunk_bytes: size of snapshot chunks.
    :param kept_entries: maximum number of entries before a snapshot that stay in memory, so that a
        slow member can catch up without the snapshot.
    :param kept_bytes: maximum total size of these entries; a larger snapshot raises it to its size.
    :param promotes_learners: whether every learner that has caught up becomes a voter.
    :param replacement_silence_ms: time without a reply after which a learner of another instance
        takes the place of a voter; used only with ``promotes_learners``.
    :param removal_silence_ms: time without a reply after which a member is removed although no
        other instance takes its place; used only with ``promotes_learners``.
    """

    heartbeat_ms: float = 150.0
    election_min_ms: float = 1000.0
    election_max_ms: float = 1800.0
    join_interval_ms: float = 1000.0
    caught_up_entries: int = 256
    max_append_entries: int = 512
    max_append_bytes: int = 1024 * 1024
    max_in_flight_entries: int = 8192
    max_in_flight_bytes: int = 1024 * 1024
    max_probe_bytes: int = 16 * 1024
    snapshot_chunk_bytes: int = 256 * 1024
    kept_entries: int = 1000
    kept_bytes: int = 1024 * 1024
    promotes_learners: bool = False
    replacement_silence_ms: float = 3000.0
    removal_silence_ms: float = 20_000.0


@attrs.define
class Progress:
    """Track the replication progress of another member, as known to the leader.

    :param next_index: next entry to send.
    :param created_ms: time since when this leader sends the member messages.
    :param last_reply_ms: time of the last reply to this leader, or ``created_ms``.
    :param earlier_silence_ms: how long the member had not replied when this leader was elected;
        0 once it has replied.
    :param match_index: last entry known to be on the member's disk.
    :param acked_round: latest heartbeat round that it acknowledged.
    :param probing: whether the matching index is unknown; ``next_index`` then changes only on
        replies.
    :param snapshot: snapshot being sent, if any.
    :param snapshot_offset_bytes: offset of the chunk that was sent last.
    :param chunk_round: heartbeat round in which it was sent.
    :param snapshot_started_ms: time since when the member is sent snapshots.
    :param clock_id: clock of the member's process, empty when not known.
    :param reading_ms: the member's newest reading of it that has arrived here.
    """

    next_index: int
    created_ms: float
    earlier_silence_ms: float = 0.0
    last_reply_ms: float = attrs.field(
        default=attrs.Factory(lambda self: self.created_ms, takes_self=True)
    )
    match_index: int = 0
    acked_round: int = 0
    probing: bool = True
    snapshot: Snapshot | None = None
    snapshot_offset_bytes: int = 0
    chunk_round: int = 0
    snapshot_started_ms: float = 0.0
    clock_id: str = ""
    reading_ms: float = 0.0

    def record_reading(self, clock_id: str, reading_ms: float) -> None:
        """Record a reading of the member's clock; a restarted process has another clock."""
        if clock_id == self.clock_id:
            reading_ms = max(self.reading_ms, reading_ms)
        self.clock_id, self.reading_ms = clock_id, reading_ms


@attrs.frozen
class Outgoing:
    """Pair a message with its destination address.

    :param address: peer address.
    :param message: the message.
    """

    address: Address
    message: GroupMessage


@attrs.define
class Effects:
    """Collect the actions that a node requires, in this order: persist, sync, send, apply.

    :param hard_state: term and vote to persist, if changed.
    :param snapshot: received snapshot to persist and restore.
    :param snapshot_keeps_log: whether the log entries after that snapshot stay valid.
    :param entries: entries to persist; an entry at a stored index replaces the stored entry and
        all that follow it.
    :param messages: messages to send once all of the above is synced.
    :param committed: entries to apply.
    :param proposed: index and term of each accepted command.
    :param refused: reason for which the proposal was not accepted.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    snapshot_keeps_log: bool = False
    entries: list[Entry] = attrs.field(factory=list)
    messages: list[Outgoing] = attrs.field(factory=list)
    committed: list[Entry] = attrs.field(factory=list)
    proposed: list[tuple[int, int]] = attrs.field(factory=list)
    refused: Failure | None = None


@attrs.define
class NodeState:
    """Hold the complete state of a node.

    :param group_id: log group.
    :param own_id: own member id.
    :param own_address: own peer address.
    :param seeds: peer addresses that a process which is not a member asks to join.
    :param settings: intervals and limits.
    :param random: source of election timeouts.
    :param hard_state: term and vote.
    :param log: entries in memory.
    :param snapshot: latest snapshot.
    :param memberships: index of the entry and membership, in log order; the last one is in force.
    :param now_ms: time of the latest call.
    :param boot_ms: the same on a clock that also counts suspensions of the machine.
    :param clock_id: identifies that clock to the leader. A reading that was taken before a restart
        of the machine means another time after it.
    :param proof: as of when the applied state is proven to be current, on that clock.
    :param commit_index: last entry known to be committed.
    :param delivered_index: last entry returned in ``Effects.committed``.
    :param synced_index: last own entry known to be on disk.
    """

    group_id: str
    own_id: str
    own_address: Address
    seeds: tuple[Address, ...]
    settings: NodeSettings
    random: random.Random
    hard_state: HardState
    log: MemoryLog
    snapshot: Snapshot | None
    memberships: list[tuple[int, Membership]]
    now_ms: float
    commit_index: int
    delivered_index: int
    synced_index: int
    role: Role = Role.FOLLOWER
    leader_id: str = ""
    leader_address: Address | None = None
    # The last leader that this member followed, and its term.
    followed_id: str = ""
    followed_term: int = 0
    # A member that acknowledged a heartbeat right before a restart must not vote for another
    # leader too early, so a start counts as contact with a leader.
    leader_contact_ms: float = attrs.field(
        default=attrs.Factory(lambda self: self.now_ms, takes_self=True)
    )
    election_deadline_ms: float = 0.0
    votes: set[str] = attrs.field(factory=set)
    progress: dict[str, Progress] = attrs.field(factory=dict)
    term_start_index: int = 0
    next_heartbeat_ms: float = 0.0
    round_number: int = 0
    round_sent_ms: dict[int, float] = attrs.field(factory=dict)
    confirmed_round: int = 0
    confirmed_at_ms: float = 0.0
    # Send times of unconfirmed rounds, and of the confirmed one, on the clock of ``boot_ms``.
    round_boot_ms: dict[int, float] = attrs.field(factory=dict)
    confirmed_boot_ms: float | None = None
    boot_ms: float = attrs.field(default=attrs.Factory(lambda self: self.now_ms, takes_self=True))
    clock_id: str = attrs.field(factory=lambda: new_id("clk"))
    proof: StateProof = attrs.field(factory=StateProof)
    transfer_target: str = ""
    transfer_deadline_ms: float = 0.0
    next_join_ms: float = 0.0
    join_refused: bool = False
    ready_index: int | None = None
    # Members that did not reply to the last leader that this member followed, and for how long.
    reported_silence_ms: dict[str, float] = attrs.field(factory=dict)
    # Newest entry that a leader has called committed; this member may not hold it.
    heard_commit_index: int = 0
    incoming_snapshot_key: tuple[int, int, str] | None = None
    incoming_snapshot_data: bytearray = attrs.field(factory=bytearray)
    effects: Effects = attrs.field(factory=Effects)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def membership(self) -> Membership:
        """Return the membership in force, which is the latest in the log, committed or not."""
        return self.memberships[-1][1]

    @property
    def is_voter(self) -> bool:
        """Return whether this member votes under the membership in force."""
        return self.membership.is_voter(self.own_id)

    @property
    def is_member(self) -> bool:
        """Return whether this process is listed under the membership in force."""
        return self.membership.get(self.own_id) is not None

    @property
    def is_removed(self) -> bool:
        """Return whether this process was a member and has been removed."""
        return self.own_id in self.membership.removed

    @property
    def known_commit_index(self) -> int:
        """Return the newest entry known to be committed, whether this member holds it or not."""
        return max(self.commit_index, self.heard_commit_index)

    @property
    def commit_confirmed(self) -> bool:
        """Return whether this leader has committed an entry of its own term."""
        return self.role is Role.LEADER and self.commit_index >= self.term_start_index

    @property
    def is_former_leader_silent(self) -> bool:
        """Return whether the leader of the term before has answered nothing in this one.

        ``False`` when another member may have led in between.
        """
        if self.role is not Role.LEADER or self.term != self.followed_term + 1:
            return False
        progress = self.progress.get(self.followed_id)
        return progress is not None and progress.acked_round == 0

    def silence_ms(self, member_id: str) -> float:
        """Return how long a member has not replied to this or earlier leaders, as known here."""
        progress = self.progress.get(member_id)
        if progress is None:
            return 0.0
        return self.now_ms - progress.last_reply_ms + progress.earlier_silence_ms

    @property
    def confirmation_age_ms(self) -> float | None:
        """Return the age of this leader's confirmation at the time of the latest call.

        ``None`` without an entry committed in its term: until then, it may lack the knowledge of
        what earlier leaders acknowledged.
        """
        if not self.commit_confirmed or self.confirmed_boot_ms is None:
            return None
        return self.boot_ms - self.confirmed_boot_ms

    def set_time(self, now_ms: float, boot_ms: float | None) -> None:
        """Set the time of a call, ``boot_ms`` by default for a machine that is never suspended."""
        self.now_ms = now_ms
        self.boot_ms = now_ms if boot_ms is None else boot_ms

    def record_own_proof(self) -> None:
        """Record that a majority has confirmed this leader.

        No other leader had been elected when the confirmed round was sent, so what was acknowledged
        before that time is committed here.
        """
        if self.commit_confirmed and self.confirmed_boot_ms is not None:
            self.proof.add(self.commit_index, self.confirmed_boot_ms)

    def set_hard_state(self, term: int, vote: str) -> None:
        """Change term and vote, and add them to the effects to be persisted."""
        self.hard_state = self.effects.hard_state = HardState(term, vote)

    def append(self, kind: EntryKind, data: bytes) -> Entry:
        """Append a new entry in the current term as leader."""
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self.store(entry)
        return entry

    def store(self, entry: Entry) -> None:
        """Append an entry to the log and to the effects; a membership takes effect at once."""
        self.log.append(entry)
        self.effects.entries.append(entry)
        if entry.kind is EntryKind.MEMBERS:
            self.memberships.append((entry.index, Membership.decode(entry.data)))

    def send(self, cls: type[M], recipient_id: str, address: Address, **fields: Any) -> None:
        """Queue a message; ``fields`` may override the common fields."""
        common_fields: dict[str, Any] = {
            "group_id": self.group_id,
            "sender_id": self.own_id,
            "sender_address": self.own_address,
            "recipient_id": recipient_id,
            "term": self.term,
        }
        message = cls(**(common_fields | fields))
        self.effects.messages.append(Outgoing(address, message))

    def reply(self, cls: type[M], request: GroupMessage, **fields: Any) -> None:
        """Queue a reply to a message."""
        self.send(cls, request.sender_id, request.sender_address, **fields)

    def reset_election_deadline(self) -> None:
        """Choose a random election deadline between the minimum and maximum timeout from now."""
        low, high = self.settings.election_min_ms, self.settings.election_max_ms
        self.election_deadline_ms = self.now_ms + self.random.uniform(low, high)

    def become_follower(self, term: int) -> None:
        """Become a follower in a term that is not lower than the current one."""
        if term > self.term:
            self.set_hard_state(term, "")
            self.leader_id, self.leader_address = "", None
        if self.role is Role.LEADER:
            self.leader_id, self.leader_address = "", None
        self.role = Role.FOLLOWER
        self.progress.clear()
        self.votes.clear()
        self.transfer_target = ""
        self.reset_election_deadline()

    def follow(self, message: GroupMessage, commit_index: int) -> None:
        """Accept the sender of an append or snapshot of the current or a later term as leader.

        :param commit_index: newest entry that the message shows to be committed.
        """
        self.heard_commit_index = max(self.heard_commit_index, commit_index)
        if message.term > self.term or self.role is not Role.FOLLOWER:
            self.become_follower(message.term)
        self.leader_id, self.leader_address = message.sender_id, message.sender_address
        self.followed_id, self.followed_term = message.sender_id, message.term
        self.leader_contact_ms = self.now_ms
        self.reset_election_deadline()
