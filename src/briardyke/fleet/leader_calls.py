"""Ask the leader of the control instances on behalf of an entry instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from briardyke.fleet.messages import (
    AdapterReply,
    AdapterRequest,
    PermitReply,
    PermitRequest,
    TrialReply,
    TrialRequest,
)
from briardyke.quotas.messages import QUOTA_TIMEOUT_MS, QuotaReply, QuotaRequest
from briardyke.upstream_limits.granter import PERMIT_TIMEOUT_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.addresses import Address
    from briardyke.wire.pool import PeerPool

_Reply = TypeVar("_Reply")
_ADAPTER_TIMEOUT_MS = 1500.0
_TRIAL_TIMEOUT_MS = 500.0


class LeaderCalls:
    """Requests to the leader; without one they are answered at once."""

    def __init__(self, peers: PeerPool, leader: Callable[[], Address | None]) -> None:
        """Use the connections to control instances.

        :param leader: returns the peer address of the leader, as far as known.
        """
        self._peers = peers
        self._leader = leader

    async def request_adapter(self, request: AdapterRequest) -> AdapterReply:
        """Ask the leader to load an adapter.

        :return: a reply without upstream when the leader cannot be reached.
        """
        leader = self._leader()
        if leader is None:
            return AdapterReply("", "no leader is known")
        client = self._peers.client(leader)
        reply = await client.call(request, _ADAPTER_TIMEOUT_MS, is_repeatable=True)
        if reply.is_ok() and isinstance(reply.unwrap(), AdapterReply):
            return reply.unwrap()
        failure = reply.err()
        return AdapterReply("", failure.message if failure else "unexpected reply")

    async def request_trial(self, part: str) -> bool:
        """Ask the leader whether one request may test a quarantined part of its prompt."""
        reply = await self._ask(TrialRequest(part), TrialReply, _TRIAL_TIMEOUT_MS)
        return reply is not None and reply.is_granted

    async def request_permit(self, request: PermitRequest) -> PermitReply | None:
        """Ask the leader for a permit at an upstream with a limit.

        :return: ``None`` when the leader cannot be reached in time.
        """
        return await self._ask(request, PermitReply, PERMIT_TIMEOUT_MS)

    async def request_quota(self, request: QuotaRequest) -> QuotaReply | None:
        """Ask the leader for tokens of accounts.

        :return: ``None`` when the leader cannot be reached in time.
        """
        return await self._ask(request, QuotaReply, QUOTA_TIMEOUT_MS)

    async def _ask(self, request: object, kind: type[_Reply], timeout_ms: float) -> _Reply | None:
        """Return the leader's reply of a kind, ``None`` when there is none in time."""
        leader = self._leader()
        if leader is None:
            return None
        reply = (await self._peers.client(leader).call(request, timeout_ms)).ok()
        return reply if isinstance(reply, kind) else None
