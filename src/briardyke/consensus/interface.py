"""Define what a replicated log asks of a state machine and reports to its users."""

from __future__ import annotations

from typing import Protocol

import attrs

from briardyke.addresses import Address
from briardyke.consensus.members import Member
from briardyke.consensus.state import Role


class StateMachine(Protocol):
    """Apply the commands of a group in log order."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one command and return the result for its proposer."""

    def snapshot(self) -> bytes:
        """Return the complete state."""

    def restore(self, data: bytes) -> None:
        """Replace the complete state."""


@attrs.frozen
class Applied:
    """Report an entry that was committed and applied.

    :param index: position in the log.
    :param term: term of the entry.
    :param result: what the state machine returned.
    """

    index: int
    term: int
    result: bytes


@attrs.frozen
class LogStatus:
    """Describe a member at one moment.

    :param member_id: own member id.
    :param role: role in the group.
    :param term: current term.
    :param leader_id: member id of the known leader, or empty.
    :param leader_address: peer address of the known leader.
    :param commit_index: last committed entry known here.
    :param applied_index: last applied entry.
    :param members: members, voters and learners.
    :param ready: whether everything that the leader had committed at the first contact after the
        start is applied.
    """

    member_id: str
    role: Role
    term: int
    leader_id: str
    leader_address: Address | None
    commit_index: int
    applied_index: int
    members: tuple[Member, ...]
    ready: bool
