"""Define the messages between the members of one log group."""

from __future__ import annotations

import attrs

from briardyke.addresses import Address
from briardyke.consensus.log import Entry
from briardyke.wire.codec import message


@attrs.frozen(kw_only=True)
class GroupMessage:
    """Hold the fields that all messages share.

    :param group_id: log group; several groups share one connection.
    :param sender_id: member id of the sender.
    :param sender_address: peer address for replies; a new learner knows no member addresses yet.
    :param recipient_id: member id of the recipient. A process that restarted with new storage at
        the same address ignores messages to its previous id.
    :param term: the sender's term.
    """

    group_id: str
    sender_id: str
    sender_address: Address
    recipient_id: str
    term: int


@message
@attrs.frozen(kw_only=True)
class PreVoteRequest(GroupMessage):
    """Ask whether the recipient would vote for the sender in ``term``, without an election.

    :param last_index: last entry of the sender's log.
    :param last_term: term of that entry.
    """

    last_index: int
    last_term: int


@message
@attrs.frozen(kw_only=True)
class PreVoteReply(GroupMessage):
    """Answer a pre-vote request; ``term`` is the requested term when granted.

    :param granted: whether the sender would vote for the recipient.
    """

    granted: bool


@message
@attrs.frozen(kw_only=True)
class VoteRequest(GroupMessage):
    """Ask for the recipient's vote in ``term``.

    :param last_index: last entry of the sender's log.
    :param last_term: term of that entry.
    :param transfer: whether the leader requested this election in order to transfer leadership.
    """

    last_index: int
    last_term: int
    transfer: bool = False


@message
@attrs.frozen(kw_only=True)
class VoteReply(GroupMessage):
    """Answer a vote request.

    :param granted: whether the sender's vote is stored for the recipient.
    """

    granted: bool


@message
@attrs.frozen(kw_only=True)
class AppendRequest(GroupMessage):
    """Send log entries; a message without entries is a heartbeat.

    :param previous_index: index of the entry before the first one sent.
    :param previous_term: term of that entry.
    :param entries: consecutive entries.
    :param commit_index: the leader's commit index.
    :param commit_confirmed: whether the leader has committed an entry of its own term, so that
        its commit index covers everything that earlier leaders acknowledged.
    :param round_number: number of the leader's latest heartbeat round.
    :param silence_ms: members that have not replied for an election timeout, and for how long, so
        that the next leader does not count anew.
    :param clock_id: clock of the recipient to which ``proven_as_of_ms`` belongs.
    :param proven_as_of_ms: time on that clock up to which ``commit_index`` covers everything that
        was acknowledged to operators, ``None`` without proof. It is the recipient's newest reading
        that has arrived at the leader, less the age of the leader's confirmation by a majority, so
        a delayed message does not look newer than it is.
    """

    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit_index: int
    commit_confirmed: bool
    round_number: int
    silence_ms: dict[str, float] = attrs.field(factory=dict)
    clock_id: str = ""
    proven_as_of_ms: float | None = None


@message
@attrs.frozen(kw_only=True)
class AppendReply(GroupMessage):
    """Answer an append request or the last chunk of a snapshot.

    :param success: whether the log matched at ``previous_index``.
    :param match_index: last index known to match; after a mismatch, the index to continue from.
    :param rejected_index: ``previous_index`` of the rejected request.
    :param round_number: heartbeat round of the request.
    :param clock_id: clock of the sender; another process or start has another one.
    :param boot_ms: the sender's reading of it when it received the request.
    """

    success: bool
    match_index: int
    rejected_index: int
    round_number: int
    clock_id: str = ""
    boot_ms: float = 0.0


@message
@attrs.frozen(kw_only=True)
class SnapshotChunk(GroupMessage):
    """Send one chunk of a snapshot.

    :param index: last entry that the snapshot includes.
    :param index_term: term of that entry.
    :param members: encoded membership.
    :param offset_bytes: position of ``data`` in the snapshot.
    :param data: bytes of the chunk.
    :param done: whether this is the last chunk.
    :param round_number: number of the leader's latest heartbeat round.
    """

    index: int
    index_term: int
    members: bytes
    offset_bytes: int
    data: bytes
    done: bool
    round_number: int


@message
@attrs.frozen(kw_only=True)
class SnapshotReply(GroupMessage):
    """Report how much of a snapshot has arrived.

    :param index: last entry that the snapshot includes.
    :param received_bytes: bytes received so far, which is the offset of the next chunk.
    :param round_number: heartbeat round of the chunk.
    """

    index: int
    received_bytes: int
    round_number: int


@message
@attrs.frozen(kw_only=True)
class TimeoutNow(GroupMessage):
    """Ask the recipient to start an election at once; sent to transfer leadership."""


@message
@attrs.frozen(kw_only=True)
class JoinRequest(GroupMessage):
    """Ask to be added as a learner; sent to known addresses with an empty recipient id.

    :param forwarded: whether a member already passed the request on to the leader.
    """

    forwarded: bool = False


@message
@attrs.frozen(kw_only=True)
class JoinRefused(GroupMessage):
    """Tell a removed member that its id cannot join again."""
