"""Define the state machine interface of a replicated log and the data that the log returns."""

from __future__ import annotations

from typing import Protocol

import attrs

from briardyke.addresses import Address
from briardyke.consensus.members import Member
from briardyke.consensus.state import Role


class StateMachine(Protocol):
    """Apply the commands of a group in log order."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one command and return the result for the proposer."""

    def snapshot(self) -> bytes:
        """Return the complete state."""

    def restore(self, data: bytes) -> None:
        """Replace the complete state by the output of :meth:`snapshot`."""


@attrs.frozen
class Applied:
    """Describe an entry that was committed and applied.

    :param index: position in the log.
    :param term: term of the entry.
    :param result: what the state machine returned.
    """

    index: int
    term: int
    result: bytes


@attrs.frozen
class LogStatus:
    """Describe the current status of a member.

    :param member_id: own member id.
    :param role: role in the group.
    :param term: current term.
    :param leader_id: member id of the known leader, or empty.
    :param leader_address: peer address of the known leader.
    :param commit_index: last committed entry known here.
    :param known_commit_index: newest entry known to be committed, held here or not.
    :param applied_index: last applied entry.
    :param members: members, voters and learners.
    :param ready: whether this member has applied everything that the leader had committed at the
        first contact after the start.
    """

    member_id: str
    role: Role
    term: int
    leader_id: str
    leader_address: Address | None
    commit_index: int
    known_commit_index: int
    applied_index: int
    members: tuple[Member, ...]
    ready: bool
