"""Implement one member of a log group as a state machine driven by time and messages."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from briardyke.consensus import election, replication
from briardyke.consensus.log import EntryKind, MemoryLog, Recovered, Snapshot
from briardyke.consensus.members import (
    MemberChange,
    Membership,
    Observation,
    next_automatic_change,
    next_replacement,
)
from briardyke.consensus.messages import (
    AppendReply,
    AppendRequest,
    GroupMessage,
    JoinRefused,
    JoinRequest,
    PreVoteReply,
    PreVoteRequest,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from briardyke.consensus.state import Effects, NodeSettings, NodeState, Role
from briardyke.errors import ErrorKind, Failure
from briardyke.logs import log_error, log_warning

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from briardyke.addresses import Address

_DEFAULT_SETTINGS = NodeSettings()


class Node:
    """Implement a group member without I/O and without reading a clock.

    Most calls return :class:`Effects`, which the caller must perform in this order: persist and
    sync, send, apply. The caller then reports by :meth:`synced` which entries are on disk.
    """

    def __init__(
        self,
        group_id: str,
        own_id: str,
        own_address: Address,
        recovered: Recovered,
        initial_membership: Membership,
        random: random.Random,
        now_ms: float,
        seeds: Sequence[Address] = (),
        settings: NodeSettings = _DEFAULT_SETTINGS,
    ) -> None:
        """Create a member from its stored state.

        :param group_id: log group.
        :param own_id: own member id.
        :param own_address: own peer address.
        :param recovered: state that was read from disk.
        :param initial_membership: members before the first entry; empty for a process that joins.
        :param random: source of election timeouts.
        :param now_ms: current time.
        :param seeds: peer addresses that a process which is not a member asks to join.
        :param settings: intervals and limits.
        """
        snapshot = recovered.snapshot
        base = (snapshot.index, snapshot.term) if snapshot else (0, 0)
        members = Membership.decode(snapshot.members) if snapshot else initial_membership
        memberships = [(base[0], members)]
        for entry in recovered.entries:
            if entry.kind is EntryKind.MEMBERS:
                memberships.append((entry.index, Membership.decode(entry.data)))
        log = MemoryLog(*base, recovered.entries)
        self.state = NodeState(
            group_id=group_id,
            own_id=own_id,
            own_address=own_address,
            seeds=tuple(seeds),
            settings=settings,
            random=random,
            hard_state=recovered.hard_state,
            log=log,
            snapshot=snapshot,
            memberships=memberships,
            now_ms=now_ms,
            commit_index=base[0],
            delivered_index=base[0],
            synced_index=log.last_index,
        )
        self.state.reset_election_deadline()

    def tick(self, now_ms: float, boot_ms: float | None = None) -> Effects:
        """Handle timeouts; must be called several times per heartbeat interval.

        :param now_ms: current time.
        :param boot_ms: the same with the time in which the machine was suspended.
        """
        state = self.state
        state.set_time(now_ms, boot_ms)
        if state.role is Role.LEADER:
            self._tick_leader()
            return self._take_effects()
        if state.is_voter and now_ms >= state.election_deadline_ms:
            election.start_pre_vote(state)
        if self._may_need_to_join():
            self._ask_to_join()
        return self._take_effects()

    def step(self, message: GroupMessage, now_ms: float, boot_ms: float | None = None) -> Effects:
        """Handle a message; messages for another group or member id are ignored.

        :param message: the message.
        :param now_ms: time at which it was at hand, or later.
        :param boot_ms: the same with the time in which the machine was suspended.
        """
        state = self.state
        state.set_time(now_ms, boot_ms)
        is_addressed = message.recipient_id == state.own_id or isinstance(message, JoinRequest)
        if message.group_id == state.group_id and is_addressed:
            _handle(message, state)
        return self._take_effects()

    def propose(self, commands: Sequence[bytes]) -> Effects:
        """Append commands as leader.

        :return: effects with ``proposed``, or with ``refused`` when nothing was appended.
        """
        state = self.state
        refused = self._refusal()
        if refused is not None:
            state.effects.refused = refused
        else:
            for command in commands:
                entry = state.append(EntryKind.COMMAND, command)
                state.effects.proposed.append((entry.index, entry.term))
            replication.broadcast(state, heartbeat=False)
        return self._take_effects()

    def propose_change(self, change: MemberChange) -> Effects:
        """Append a membership change as leader.

        :return: effects with ``proposed``, or with ``refused`` when nothing was appended.
        """
        state = self.state
        failure = self._refusal()
        if failure is None:
            failure = _append_change(state, change).err()
        if failure is None:
            state.effects.proposed.append((state.log.last_index, state.term))
        state.effects.refused = failure
        return self._take_effects()

    def transfer(self, now_ms: float) -> Effects:
        """Transfer leadership to the other voter with the most complete log, before a planned stop.

        New commands are refused until the transfer is done or an election timeout has passed.
        """
        state = self.state
        state.now_ms = now_ms
        others = [m.member_id for m in state.membership.voters if m.member_id in state.progress]
        if state.role is not Role.LEADER or not others:
            state.effects.refused = self._refusal()
            return self._take_effects()
        state.transfer_target = max(others, key=lambda i: state.progress[i].match_index)
        state.transfer_deadline_ms = now_ms + state.settings.election_min_ms
        election.continue_transfer(state)
        return self._take_effects()

    def synced(self, index: int, term: int) -> Effects:
        """Report that entries up to an index are on disk.

        :param index: last entry of the synced batch.
        :param term: its term; the report is ignored if the entry has been replaced since.
        """
        state = self.state
        if state.log.term_at(index) == term and index > state.synced_index:
            state.synced_index = index
            if state.role is Role.LEADER:
                replication.advance_commit(state)
                if state.transfer_target and state.role is Role.LEADER:
                    election.continue_transfer(state)
        return self._take_effects()

    def compact(self, snapshot: Snapshot) -> None:
        """Remove entries that a snapshot on disk includes, except a few for slow members.

        Kept are the last ``kept_entries`` at most, and of those no more than ``kept_bytes``, or
        than the size of a larger snapshot, which costs as much to send.
        """
        state = self.state
        if state.snapshot is not None and snapshot.index <= state.snapshot.index:
            return
        state.snapshot = snapshot
        kept_bytes = max(state.settings.kept_bytes, len(snapshot.data))
        state.log.compact(
            max(
                state.log.base_index,
                snapshot.index - state.settings.kept_entries,
                state.log.first_within(snapshot.index, kept_bytes) - 1,
            )
        )
        position = max(i for i, row in enumerate(state.memberships) if row[0] <= snapshot.index)
        del state.memberships[:position]

    def membership_at(self, index: int) -> Membership:
        """Return the membership in force at an index that is not below the snapshot's."""
        return next(members for at, members in reversed(self.state.memberships) if at <= index)

    def confirmed_age_ms(self, now_ms: float) -> float | None:
        """Return how long ago a majority last confirmed that this member leads.

        :return: time since the send time of the latest heartbeat round that a majority of the
            voters acknowledged; ``None`` when this member does not lead or has not committed an
            entry in its term.
        """
        state = self.state
        if not state.commit_confirmed or not state.confirmed_round:
            return None
        return now_ms - state.confirmed_at_ms

    def start_read_round(self, now_ms: float, boot_ms: float | None = None) -> Effects:
        """Start a heartbeat round; its acknowledgements prove leadership at the start of a read."""
        self.state.set_time(now_ms, boot_ms)
        if self.state.role is Role.LEADER:
            replication.start_round(self.state)
        return self._take_effects()

    def _tick_leader(self) -> None:
        state = self.state
        if state.now_ms - state.confirmed_at_ms >= state.settings.election_min_ms:
            log_warning("leader_without_majority", group=state.group_id, term=state.term)
            state.become_follower(state.term)
            return
        if state.transfer_target and state.now_ms >= state.transfer_deadline_ms:
            state.transfer_target = ""
        if state.now_ms >= state.next_heartbeat_ms:
            replication.start_round(state)
            change = self._next_change()
            if change is not None:
                _append_change(state, change)

    def _next_change(self) -> MemberChange | None:
        members = self.state.membership
        if not self.state.settings.promotes_learners:
            return next_replacement(members, self._is_caught_up, self._is_silent)
        return next_automatic_change(members, self._observe, self.state.settings)

    def _observe(self, member_id: str) -> Observation:
        progress = self.state.progress.get(member_id)
        if progress is None:
            return Observation()
        return Observation(
            self._is_caught_up(member_id),
            self._is_silent(member_id),
            self.state.silence_ms(member_id),
            self.state.now_ms - progress.created_ms,
        )

    def _is_caught_up(self, member_id: str) -> bool:
        progress = self.state.progress.get(member_id)
        if progress is None or progress.probing or self._is_silent(member_id):
            return False
        lag = self.state.log.last_index - progress.match_index
        return progress.match_index > 0 and lag <= self.state.settings.caught_up_entries

    def _is_silent(self, member_id: str) -> bool:
        progress = self.state.progress.get(member_id)
        if progress is None:
            return False
        return self.state.now_ms - progress.last_reply_ms >= self.state.settings.election_min_ms

    def _may_need_to_join(self) -> bool:
        """Return whether this process is not a member, or may have been removed unnoticed.

        A member that was cut off does not receive the entry that removes it. Leaders ignore the
        request of a member that they list.
        """
        state = self.state
        if state.settings.promotes_learners:
            silence_ms = state.now_ms - state.leader_contact_ms
            return not state.is_member or silence_ms >= state.settings.election_max_ms
        return not (state.is_member or state.join_refused or state.is_removed)

    def _ask_to_join(self) -> None:
        state = self.state
        if state.now_ms < state.next_join_ms:
            return
        state.next_join_ms = state.now_ms + state.settings.join_interval_ms
        listed = [member.address for member in state.membership.members]
        for address in dict.fromkeys([*state.seeds, *listed]):
            if address != state.own_address:
                state.send(JoinRequest, "", address)

    def _refusal(self) -> Failure | None:
        state = self.state
        if state.role is Role.LEADER and not state.transfer_target:
            return None
        if state.role is not Role.LEADER and state.leader_address is None:
            return Failure(ErrorKind.NO_MAJORITY, "no leader is known; nothing was proposed")
        leader = "" if state.role is Role.LEADER else str(state.leader_address)
        return Failure(ErrorKind.NOT_LEADER, "this member does not lead the group", leader)

    def _take_effects(self) -> Effects:
        state = self.state
        effects, state.effects = state.effects, Effects()
        if state.commit_index > state.delivered_index:
            effects.committed = state.log.between(state.delivered_index + 1, state.commit_index)
            state.delivered_index = state.commit_index
        return effects


def _append_change(state: NodeState, change: MemberChange) -> Result[None, Failure]:
    """Append a membership change unless an earlier one is still uncommitted.

    Until the leader has committed an entry of its own term, an earlier leader's change may be
    uncommitted too; two such changes can produce two disjoint majorities.
    """
    if not state.commit_confirmed or state.memberships[-1][0] > state.commit_index:
        text = "an earlier change or the first entry of the term is not committed yet"
        return Err(Failure(ErrorKind.MEMBER_CHANGE_REFUSED, text))
    if change.action == "remove" and change.member_id == state.own_id:
        text = "the leader cannot be removed; transfer leadership first"
        return Err(Failure(ErrorKind.MEMBER_CHANGE_REFUSED, text, "member_id"))
    result = state.membership.with_change(change)
    if result.is_err():
        return Err(result.unwrap_err())
    # Without a majority of voters that reply, the change could be neither committed nor undone.
    if not result.unwrap().has_majority(_responding_members(state)):
        text = "after the change, no majority of the voters would reply"
        return Err(Failure(ErrorKind.MEMBER_CHANGE_REFUSED, text, "member_id"))
    reason = f"{change.action} {change.member_id}"
    replication.propose_members(state, result.unwrap().encode(), reason)
    return Ok(None)


def _responding_members(state: NodeState) -> set[str]:
    oldest_ms = state.now_ms - state.settings.election_min_ms
    responding = {
        i for i, row in state.progress.items() if row.match_index and row.last_reply_ms > oldest_ms
    }
    return responding | {state.own_id}


@singledispatch
def _handle(message: Any, state: NodeState) -> None:
    log_warning("message_ignored", group=state.group_id, type=type(message).__name__)


@_handle.register
def _(message: PreVoteRequest, state: NodeState) -> None:
    election.on_pre_vote_request(state, message)


@_handle.register
def _(message: PreVoteReply, state: NodeState) -> None:
    election.on_pre_vote_reply(state, message)


@_handle.register
def _(message: VoteRequest, state: NodeState) -> None:
    election.on_vote_request(state, message)


@_handle.register
def _(message: VoteReply, state: NodeState) -> None:
    election.on_vote_reply(state, message)


@_handle.register
def _(message: TimeoutNow, state: NodeState) -> None:
    election.on_timeout_now(state, message)


@_handle.register
def _(message: AppendRequest, state: NodeState) -> None:
    replication.on_append_request(state, message)


@_handle.register
def _(message: AppendReply, state: NodeState) -> None:
    replication.on_append_reply(state, message)


@_handle.register
def _(message: SnapshotChunk, state: NodeState) -> None:
    replication.on_snapshot_chunk(state, message)


@_handle.register
def _(message: SnapshotReply, state: NodeState) -> None:
    replication.on_snapshot_reply(state, message)


@_handle.register
def _(message: JoinRequest, state: NodeState) -> None:
    if state.role is not Role.LEADER:
        if state.leader_address and not message.forwarded:
            state.send(
                JoinRequest,
                "",
                state.leader_address,
                forwarded=True,
                sender_id=message.sender_id,
                sender_address=message.sender_address,
            )
        return
    if state.membership.get(message.sender_id) is not None:
        return
    if message.sender_id not in state.membership.removed:
        _append_change(state, MemberChange("add", message.sender_id, message.sender_address))
    elif state.settings.promotes_learners:
        _append_change(state, MemberChange("readmit", message.sender_id, message.sender_address))
    else:
        state.reply(JoinRefused, message)


@_handle.register
def _(message: JoinRefused, state: NodeState) -> None:
    if not state.is_member and not state.join_refused:
        log_error("member_was_removed", group=state.group_id, member=state.own_id)
        state.join_refused = True
