"""Elect a leader: pre-vote, vote, and leadership transfer on a planned stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.consensus import replication
from briardyke.consensus.log import EntryKind
from briardyke.consensus.messages import (
    PreVoteReply,
    PreVoteRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from briardyke.consensus.state import NodeState, Progress, Role
from briardyke.logs import log_event

if TYPE_CHECKING:
    from briardyke.consensus.members import Member


def start_pre_vote(state: NodeState) -> None:
    """Ask the other voters whether an election could succeed.

    This keeps a member that returns from a partition from raising the term of a working group.
    """
    state.role = Role.PRE_CANDIDATE
    state.leader_id, state.leader_address = "", None
    state.votes = {state.own_id}
    state.reset_election_deadline()
    if state.membership.has_majority(state.votes):
        start_election(state, transfer=False)
        return
    for member in _other_voters(state):
        state.send(
            PreVoteRequest,
            member.member_id,
            member.address,
            term=state.term + 1,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
        )


def start_election(state: NodeState, transfer: bool) -> None:
    """Enter a new term and ask the other voters for their votes.

    :param transfer: whether the leader requested this election to transfer leadership.
    """
    state.role = Role.CANDIDATE
    state.leader_id, state.leader_address = "", None
    state.set_hard_state(state.term + 1, state.own_id)
    state.votes = {state.own_id}
    state.reset_election_deadline()
    if state.membership.has_majority(state.votes):
        _become_leader(state)
        return
    for member in _other_voters(state):
        state.send(
            VoteRequest,
            member.member_id,
            member.address,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            transfer=transfer,
        )


def on_pre_vote_request(state: NodeState, message: PreVoteRequest) -> None:
    """Answer a pre-vote request without changing any state."""
    granted = message.term > state.term and _is_electable(state, message)
    term = message.term if granted else state.term
    state.reply(PreVoteReply, message, term=term, granted=granted)


def on_pre_vote_reply(state: NodeState, message: PreVoteReply) -> None:
    """Start the election once a majority would vote for this member."""
    if not message.granted:
        if message.term > state.term:
            state.become_follower(message.term)
        return
    if state.role is Role.PRE_CANDIDATE and message.term == state.term + 1:
        state.votes.add(message.sender_id)
        if state.membership.has_majority(state.votes):
            start_election(state, transfer=False)


def on_vote_request(state: NodeState, message: VoteRequest) -> None:
    """Vote at most once per term, for a member whose log is at least as complete as the own log.

    A learner answers too: a candidate asks only the voters of its own membership, so a learner
    that is asked was promoted by an entry that it has not received yet. A candidate neither
    requests nor counts the votes of members that it lists as learners.
    """
    if message.term < state.term:
        state.reply(VoteReply, message, granted=False)
        return
    if not _is_electable(state, message, message.transfer):
        # While a leader is in contact, a request with a higher term is ignored and raises no term.
        if message.term == state.term or not _has_current_leader(state):
            if message.term > state.term:
                state.become_follower(message.term)
            state.reply(VoteReply, message, granted=False)
        return
    if message.term > state.term:
        state.become_follower(message.term)
    granted = state.hard_state.vote in ("", message.sender_id)
    if granted and not state.hard_state.vote:
        state.set_hard_state(state.term, message.sender_id)
        state.reset_election_deadline()
    state.reply(VoteReply, message, granted=granted)


def on_vote_reply(state: NodeState, message: VoteReply) -> None:
    """Become leader once a majority has voted for this member."""
    if message.term > state.term:
        state.become_follower(message.term)
    elif message.granted and state.role is Role.CANDIDATE and message.term == state.term:
        state.votes.add(message.sender_id)
        if state.membership.has_majority(state.votes):
            _become_leader(state)


def on_timeout_now(state: NodeState, message: TimeoutNow) -> None:
    """Start an election at once, because the leader transfers its leadership."""
    if message.term == state.term and state.is_voter and state.role is Role.FOLLOWER:
        start_election(state, transfer=True)


def continue_transfer(state: NodeState) -> None:
    """Complete a transfer once the target has all entries and all of them are committed.

    The leader steps down when it sends the request, so that it does not count as confirmed while
    another member may already lead.
    """
    target = state.membership.get(state.transfer_target)
    progress = state.progress.get(state.transfer_target)
    if target is None or progress is None:
        state.transfer_target = ""
        return
    last_index = state.log.last_index
    if progress.match_index == last_index and state.commit_index == last_index:
        log_event("leader_transfer", group=state.group_id, target=target.member_id)
        state.send(TimeoutNow, target.member_id, target.address)
        state.become_follower(state.term)


def _become_leader(state: NodeState) -> None:
    log_event("leader_elected", group=state.group_id, member=state.own_id, term=state.term)
    state.role = Role.LEADER
    state.leader_id, state.leader_address = state.own_id, state.own_address
    state.transfer_target = ""
    state.progress = {
        member.member_id: Progress(
            state.log.last_index + 1, state.now_ms, _earlier_silence_ms(state, member.member_id)
        )
        for member in state.membership.members
        if member.member_id != state.own_id
    }
    state.round_number = state.confirmed_round = 0
    state.round_sent_ms.clear()
    state.round_boot_ms.clear()
    state.confirmed_boot_ms = None
    # Starts the check-quorum timeout only: confirmed_age_ms() needs an acknowledged round.
    state.confirmed_at_ms = state.now_ms
    state.term_start_index = state.append(EntryKind.NO_OP, b"").index
    replication.start_round(state)


def _earlier_silence_ms(state: NodeState, member_id: str) -> float:
    if member_id == state.followed_id:
        return state.now_ms - state.leader_contact_ms
    return state.reported_silence_ms.get(member_id, 0.0)


def _other_voters(state: NodeState) -> list[Member]:
    return [m for m in state.membership.voters if m.member_id != state.own_id]


def _has_current_leader(state: NodeState) -> bool:
    window_ms = state.settings.election_min_ms
    if state.role is Role.LEADER:
        return state.now_ms - state.confirmed_at_ms < window_ms
    return state.now_ms - state.leader_contact_ms < window_ms


def _is_electable(
    state: NodeState, message: PreVoteRequest | VoteRequest, transfer: bool = False
) -> bool:
    if _has_current_leader(state) and not transfer:
        return False
    if message.sender_id in state.membership.removed:
        return False
    own = (state.log.last_term, state.log.last_index)
    return (message.last_term, message.last_index) >= own
