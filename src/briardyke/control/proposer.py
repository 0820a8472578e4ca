"""Propose commands to a group of the replicated log from any control process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from briardyke.agreed.commands import restamp
from briardyke.clock import now_ms, sleep_ms, wall_unix_ms
from briardyke.consensus.state import Role
from briardyke.control.messages import CommandResult, ForwardCommand
from briardyke.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from briardyke.consensus.driver import ReplicatedLog
    from briardyke.wire.pool import PeerPool

_PAUSE_MS = 50.0
_FORWARD_MARGIN_MS = 200.0
_NOT_EXECUTED = frozenset({ErrorKind.NOT_LEADER, ErrorKind.NO_MAJORITY, ErrorKind.PEER_UNREACHABLE})


class GroupProposer:
    """Propose locally while this process leads the group, else through the leader.

    Every command of the control and claim groups is idempotent (by request id, attempt id or
    order id), so a proposal whose outcome is unknown is repeated until the time is up.
    """

    def __init__(self, group_id: str, log: ReplicatedLog, peers: PeerPool) -> None:
        """Use a group's log and the connections to its other members."""
        self._group_id = group_id
        self._log = log
        self._peers = peers

    async def propose(self, command: bytes, timeout_ms: int) -> Result[bytes, Failure]:
        """Commit a command and return what the state machine answered.

        :param command: encoded command.
        :param timeout_ms: longest wait over all tries.
        :return: the machine's answer; ``not_leader`` when nothing can have been committed;
            ``outcome_unknown`` when it may have been.
        """
        give_up_at_ms = now_ms() + timeout_ms
        uncertain = False
        while (left_ms := give_up_at_ms - now_ms()) > 0:
            outcome = await self._try_once(command, left_ms)
            if outcome.is_ok():
                return outcome
            uncertain = uncertain or outcome.unwrap_err().kind not in _NOT_EXECUTED
            await sleep_ms(_PAUSE_MS)
        if uncertain:
            text = "the outcome is unknown; resend with the same request id"
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, text, retry_after_ms=1000))
        text = "no leader accepted the command in time"
        return Err(Failure(ErrorKind.NOT_LEADER, text, retry_after_ms=1000))

    async def propose_as_leader(self, command: bytes, timeout_ms: float) -> Result[bytes, Failure]:
        """Commit a command only if this process leads the group.

        Records carry the leader's wall time, so that they do not depend on the clock of the
        instance that an operator or caller happened to reach.
        """
        stamped = restamp(command, wall_unix_ms())
        applied = await self._log.propose(stamped, timeout_ms)
        return applied.map(lambda a: a.result)

    async def _try_once(self, command: bytes, left_ms: float) -> Result[bytes, Failure]:
        status = self._log.status()
        if status.role is Role.LEADER:
            return await self.propose_as_leader(command, left_ms)
        address = status.leader_address
        if address is None:
            return Err(Failure(ErrorKind.NOT_LEADER, "no leader is known"))
        message = ForwardCommand(self._group_id, command, left_ms)
        client = self._peers.client(address)
        reply = await client.call(message, min(left_ms, 2000.0) + _FORWARD_MARGIN_MS)
        if reply.is_err():
            return Err(reply.unwrap_err())
        answer: CommandResult = reply.unwrap()
        return Ok(answer.result)
