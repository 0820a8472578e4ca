"""Replicate entries and snapshots from the leader and advance the commit index."""

from __future__ import annotations

from briardyke.consensus import election
from briardyke.consensus.log import Entry, EntryKind, Snapshot
from briardyke.consensus.members import Member, Membership
from briardyke.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotReply,
)
from briardyke.consensus.state import NodeState, Progress, Role
from briardyke.logs import log_event, log_limited


def start_round(state: NodeState) -> None:
    """Start a heartbeat round; it confirms the leadership once a majority has acknowledged it."""
    state.round_number += 1
    state.round_sent_ms[state.round_number] = state.now_ms
    state.round_boot_ms[state.round_number] = state.boot_ms
    state.next_heartbeat_ms = state.now_ms + state.settings.heartbeat_ms
    state.reported_silence_ms = {
        i: ms
        for i in state.progress
        if (ms := state.silence_ms(i)) >= state.settings.election_min_ms
    }
    broadcast(state, heartbeat=True)
    _update_confirmation(state)


def broadcast(state: NodeState, heartbeat: bool) -> None:
    """Send every other member the entries that it lacks.

    :param heartbeat: whether members that lack no entries receive an empty append request.
    """
    for member in state.membership.members:
        if member.member_id != state.own_id:
            send_append(state, member, heartbeat)


def send_append(state: NodeState, member: Member, heartbeat: bool) -> None:
    """Send a member its next entries or the next chunk of a snapshot."""
    initial = Progress(state.log.last_index + 1, state.now_ms)
    progress = state.progress.setdefault(member.member_id, initial)
    previous_index = progress.next_index - 1
    previous_term = state.log.term_at(previous_index)
    if progress.snapshot is not None or previous_term is None:
        if progress.snapshot is None:
            _send_chunk(state, member, progress)
        elif heartbeat:
            _ask_for_progress(state, member, progress)
        return
    entries = _next_entries(state, progress)
    if not heartbeat and (progress.probing or not entries):
        return
    if not progress.probing:
        progress.next_index += len(entries)
    age_ms = state.confirmation_age_ms
    state.send(
        AppendRequest,
        member.member_id,
        member.address,
        previous_index=previous_index,
        previous_term=previous_term,
        entries=entries,
        commit_index=state.commit_index,
        commit_confirmed=state.commit_confirmed,
        round_number=state.round_number,
        silence_ms=state.reported_silence_ms,
        clock_id=progress.clock_id,
        proven_as_of_ms=(
            progress.reading_ms - age_ms if progress.clock_id and age_ms is not None else None
        ),
    )


def _next_entries(state: NodeState, progress: Progress) -> list[Entry]:
    """Return the entries of the next message, as far as the member may have more in flight."""
    settings, log = state.settings, state.log
    first = progress.next_index
    if progress.probing:
        # The message may be repeated with each heartbeat, until the member replies.
        entries = log.batch(first, settings.max_append_entries, settings.max_probe_bytes)
        fits = sum(len(entry.data) for entry in entries) <= settings.max_probe_bytes
        return entries if fits else []
    in_flight_bytes = log.size_bytes(progress.match_index + 1, first - 1)
    if (
        progress.match_index < log.base_index  # what is in flight is no longer held
        or first - 1 - progress.match_index >= settings.max_in_flight_entries
        or in_flight_bytes >= settings.max_in_flight_bytes
    ):
        return []
    max_bytes = min(settings.max_append_bytes, settings.max_in_flight_bytes - in_flight_bytes)
    return log.batch(first, settings.max_append_entries, max_bytes)


def _send_chunk(state: NodeState, member: Member, progress: Progress) -> None:
    """Send the next chunk of a snapshot; without a part that has arrived, of the newest one."""
    if progress.snapshot is None:
        progress.snapshot_started_ms = state.now_ms
    if progress.snapshot is None or not progress.snapshot_offset_bytes:
        progress.snapshot, progress.snapshot_offset_bytes = state.snapshot, 0
    snapshot, start = progress.snapshot, progress.snapshot_offset_bytes
    assert snapshot is not None
    end = start + state.settings.snapshot_chunk_bytes
    progress.chunk_round = state.round_number
    _send_part(state, member, progress, snapshot.data[start:end], end >= len(snapshot.data))


def _ask_for_progress(state: NodeState, member: Member, progress: Progress) -> None:
    """Send an empty chunk as heartbeat; its reply shows what has arrived."""
    _send_part(state, member, progress, b"", False)


def _send_part(
    state: NodeState, member: Member, progress: Progress, data: bytes, is_last: bool
) -> None:
    snapshot = progress.snapshot
    assert snapshot is not None
    state.send(
        SnapshotChunk,
        member.member_id,
        member.address,
        index=snapshot.index,
        index_term=snapshot.term,
        members=snapshot.members,
        offset_bytes=progress.snapshot_offset_bytes,
        data=data,
        done=is_last,
        round_number=state.round_number,
    )


def _end_snapshot(state: NodeState, member: Member, progress: Progress) -> None:
    snapshot, progress.snapshot = progress.snapshot, None
    assert snapshot is not None
    log_limited(
        "snapshot_sent",
        is_routine=True,
        group=state.group_id,
        member=member.member_id,
        index=snapshot.index,
        bytes=len(snapshot.data),
        duration_ms=round(state.now_ms - progress.snapshot_started_ms),
        missing_entries=state.log.last_index - progress.match_index,
    )


def _record_reply(state: NodeState, message: AppendReply | SnapshotReply) -> Progress | None:
    """Record a reply; return ``None`` unless this member leads in the term of the reply."""
    if message.term > state.term:
        state.become_follower(message.term)
        return None
    if state.role is not Role.LEADER or message.term != state.term:
        return None
    progress = state.progress.get(message.sender_id)
    # Members of earlier builds answer a delayed message of an earlier term with the present term
    # and the round of that message.
    if progress is None or message.round_number > state.round_number:
        return None
    progress.last_reply_ms, progress.earlier_silence_ms = state.now_ms, 0.0
    progress.acked_round = max(progress.acked_round, message.round_number)
    if isinstance(message, AppendReply):
        progress.record_reading(message.clock_id, message.boot_ms)
    _update_confirmation(state)
    return progress


def _update_confirmation(state: NodeState) -> None:
    def acked_round(member_id: str) -> int:
        if member_id == state.own_id:
            return state.round_number
        progress = state.progress.get(member_id)
        return progress.acked_round if progress else 0

    confirmed = state.membership.majority_value(acked_round)
    if confirmed > state.confirmed_round:
        state.confirmed_round = confirmed
        state.confirmed_at_ms = state.round_sent_ms[confirmed]
        state.round_sent_ms = {n: t for n, t in state.round_sent_ms.items() if n >= confirmed}
        state.confirmed_boot_ms = state.round_boot_ms[confirmed]
        state.round_boot_ms = {n: t for n, t in state.round_boot_ms.items() if n >= confirmed}
        state.record_own_proof()


def on_append_reply(state: NodeState, message: AppendReply) -> None:
    """Update the sender's progress, advance the commit index, and send the next entries."""
    progress = _record_reply(state, message)
    member = state.membership.get(message.sender_id)
    if progress is None or member is None:
        return
    if message.success:
        progress.match_index = max(progress.match_index, message.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        if progress.probing:
            progress.probing = False
            progress.next_index = progress.match_index + 1
        if progress.snapshot and progress.match_index >= progress.snapshot.index:
            _end_snapshot(state, member, progress)
        advance_commit(state)
        if state.role is not Role.LEADER:
            return
        if state.transfer_target == member.member_id:
            election.continue_transfer(state)
        if state.role is Role.LEADER:
            send_append(state, member, heartbeat=False)
        return
    stale = message.rejected_index <= progress.match_index
    if stale or (progress.probing and message.rejected_index != progress.next_index - 1):
        return
    progress.probing = True
    continue_at = min(message.match_index + 1, message.rejected_index)
    progress.next_index = max(progress.match_index + 1, continue_at)
    send_append(state, member, heartbeat=True)


def advance_commit(state: NodeState) -> None:
    """Commit the entries that a majority of the voters holds on disk.

    Only an entry of the current term is committed by counting copies: an older entry can still be
    replaced, although a majority holds it, by a leader whose log ends in a higher term.
    """

    def stored_index(member_id: str) -> int:
        if member_id == state.own_id:
            return state.synced_index
        progress = state.progress.get(member_id)
        return progress.match_index if progress else 0

    index = state.membership.majority_value(stored_index)
    if index <= state.commit_index or state.log.term_at(index) != state.term:
        return
    state.commit_index = index
    if state.ready_index is None:
        state.ready_index = state.term_start_index
    state.record_own_proof()
    if index == state.log.last_index:
        broadcast(state, heartbeat=True)  # announces the commit before the next round


def on_append_request(state: NodeState, message: AppendRequest) -> None:
    """Store the leader's entries as a follower."""
    if message.term < state.term:
        _reply_append(state, message, False, 0)  # the higher term makes the old leader step down
        return
    state.follow(message, message.commit_index)
    state.reported_silence_ms = message.silence_ms
    if message.commit_confirmed and state.ready_index is None:
        state.ready_index = message.commit_index
    if message.proven_as_of_ms is not None and message.clock_id == state.clock_id:
        state.proof.add(message.commit_index, message.proven_as_of_ms)
    previous, log = message.previous_index, state.log
    if previous < state.commit_index:
        last = previous + len(message.entries)
        if last <= state.commit_index:
            _reply_append(state, message, True, state.commit_index)
            return
    elif log.term_at(previous) != message.previous_term:
        if previous > log.last_index:
            continue_after = log.last_index
        else:
            continue_after = max(state.commit_index, log.first_index_of_term(previous) - 1)
        _reply_append(state, message, False, continue_after)
        return
    for entry in message.entries:
        if entry.index <= state.commit_index:
            continue
        held = log.term_at(entry.index)
        if held == entry.term:
            continue
        if held is not None:
            _truncate_log(state, entry.index - 1)
        state.store(entry)
    last = previous + len(message.entries)
    state.commit_index = max(state.commit_index, min(message.commit_index, last))
    _reply_append(state, message, True, last)


def _truncate_log(state: NodeState, index: int) -> None:
    state.log.truncate_after(index)
    state.synced_index = min(state.synced_index, index)
    state.memberships = [row for row in state.memberships if row[0] <= index]


def _reply_append(
    state: NodeState, message: AppendRequest | SnapshotChunk, success: bool, match_index: int
) -> None:
    rejected = message.previous_index if isinstance(message, AppendRequest) else 0
    state.reply(
        AppendReply,
        message,
        success=success,
        match_index=match_index,
        rejected_index=rejected,
        round_number=message.round_number if message.term == state.term else 0,
        clock_id=state.clock_id,
        boot_ms=state.boot_ms,
    )


def on_snapshot_chunk(state: NodeState, message: SnapshotChunk) -> None:
    """Collect the chunks of a snapshot and install it after the last one."""
    if message.term < state.term:
        _reply_append(state, message, False, 0)
        return
    state.follow(message, message.index)
    if message.index <= state.commit_index:
        state.incoming_snapshot_key = None
        state.incoming_snapshot_data.clear()
        _reply_append(state, message, True, state.commit_index)
        return
    key = (message.index, message.index_term, message.sender_id)
    if state.incoming_snapshot_key != key:
        state.incoming_snapshot_key = key
        state.incoming_snapshot_data.clear()
    if message.offset_bytes == len(state.incoming_snapshot_data):
        state.incoming_snapshot_data += message.data
        if message.done:
            _install_snapshot(state, message)
            _reply_append(state, message, True, message.index)
            return
    state.reply(
        SnapshotReply,
        message,
        index=message.index,
        received_bytes=len(state.incoming_snapshot_data),
        round_number=message.round_number,
    )


def _install_snapshot(state: NodeState, message: SnapshotChunk) -> None:
    data = bytes(state.incoming_snapshot_data)
    state.incoming_snapshot_key = None
    state.incoming_snapshot_data.clear()
    snapshot = Snapshot(message.index, message.index_term, message.members, data)
    log_event("snapshot_received", group=state.group_id, index=message.index, bytes=len(data))
    state.snapshot = state.effects.snapshot = snapshot
    if state.log.term_at(message.index) == message.index_term:
        kept = [row for row in state.memberships if row[0] > message.index]
        state.effects.snapshot_keeps_log = True
        state.log.compact(message.index)
    else:
        kept = []
        state.log.reset(message.index, message.index_term)
        state.synced_index = message.index
    state.memberships = [(message.index, Membership.decode(message.members)), *kept]
    state.synced_index = max(state.synced_index, message.index)
    state.commit_index = state.delivered_index = message.index


def on_snapshot_reply(state: NodeState, message: SnapshotReply) -> None:
    """Send the chunk that the member expects next, once the last one has arrived or is lost."""
    progress = _record_reply(state, message)
    member = state.membership.get(message.sender_id)
    if progress is None or member is None or progress.snapshot is None:
        return
    if message.index == progress.snapshot.index:
        has_arrived = message.received_bytes != progress.snapshot_offset_bytes
        # The heartbeat that this answers was sent after the chunk.
        is_lost = message.round_number > progress.chunk_round
        progress.snapshot_offset_bytes = message.received_bytes
        if has_arrived or is_lost:
            _send_chunk(state, member, progress)


def propose_members(state: NodeState, encoded: bytes, reason: str) -> None:
    """Append a membership as leader and replicate it.

    :param encoded: the encoded new membership.
    :param reason: description of the change for the log line.
    """
    entry = state.append(EntryKind.MEMBERS, encoded)
    log_event("members_changed", group=state.group_id, index=entry.index, change=reason)
    listed = {member.member_id for member in state.membership.members}
    state.progress = {k: v for k, v in state.progress.items() if k in listed}
    broadcast(state, heartbeat=True)
