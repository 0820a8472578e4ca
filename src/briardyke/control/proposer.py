"""Propose commands to a consensus group from any control process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from briardyke.agreed.commands import replace_wall_time
from briardyke.clock import now_ms, sleep_ms, wall_unix_ms
from briardyke.consensus.state import Role
from briardyke.control.messages import CommandResult, ForwardCommand
from briardyke.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from briardyke.consensus.driver import ReplicatedLog
    from briardyke.wire.pool import PeerPool

_RETRY_PAUSE_MS = 50.0
_FORWARD_MARGIN_MS = 200.0
_NOT_EXECUTED = frozenset({ErrorKind.NOT_LEADER, ErrorKind.NO_MAJORITY, ErrorKind.PEER_UNREACHABLE})


class GroupProposer:
    """Propose locally while this process leads the group, else through the leader.

    Every command of the control and claim groups is idempotent (by request id, attempt id or
    order id), so a proposal whose outcome is unknown is retried until the timeout.
    """

    def __init__(self, group_id: str, log: ReplicatedLog, peers: PeerPool) -> None:
        """Use a group's log and the connections to its other members."""
        self._group_id = group_id
        self._log = log
        self._peers = peers

    async def propose(self, command: bytes, timeout_ms: int) -> Result[bytes, Failure]:
        """Commit a command and return the state machine's result.

        :param command: encoded command.
        :param timeout_ms: longest wait over all attempts.
        :return: the machine's result; ``not_leader`` when nothing can have been committed;
            ``outcome_unknown`` when it may have been.
        """
        deadline_ms = now_ms() + timeout_ms
        may_be_committed = False
        while (remaining_ms := deadline_ms - now_ms()) > 0:
            outcome = await self._attempt(command, remaining_ms)
            if outcome.is_ok():
                return outcome
            may_be_committed = may_be_committed or outcome.unwrap_err().kind not in _NOT_EXECUTED
            await sleep_ms(_RETRY_PAUSE_MS)
        if may_be_committed:
            text = "the outcome is unknown; resend with the same request id"
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, text, retry_after_ms=1000))
        text = "no leader accepted the command in time"
        return Err(Failure(ErrorKind.NOT_LEADER, text, retry_after_ms=1000))

    async def propose_as_leader(self, command: bytes, timeout_ms: float) -> Result[bytes, Failure]:
        """Commit a command only if this process leads the group.

        The command is stamped with the leader's wall time, so that records do not depend on the
        clock of the instance that received the request.
        """
        stamped = replace_wall_time(command, wall_unix_ms())
        applied = await self._log.propose(stamped, timeout_ms)
        return applied.map(lambda a: a.result)

    async def _attempt(self, command: bytes, remaining_ms: float) -> Result[bytes, Failure]:
        status = self._log.status()
        if status.role is Role.LEADER:
            return await self.propose_as_leader(command, remaining_ms)
        address = status.leader_address
        if address is None:
            return Err(Failure(ErrorKind.NOT_LEADER, "no leader is known"))
        message = ForwardCommand(self._group_id, command, remaining_ms)
        client = self._peers.client(address)
        reply = await client.call(message, min(remaining_ms, 2000.0) + _FORWARD_MARGIN_MS)
        if reply.is_err():
            return Err(reply.unwrap_err())
        command_result: CommandResult = reply.unwrap()
        return Ok(command_result.result)
