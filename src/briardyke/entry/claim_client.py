"""Claim non-idempotent requests through the control processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from briardyke.clock import now_ms, sleep_ms
from briardyke.errors import ErrorKind, Failure
from briardyke.wire.messages import ClaimEnd, ClaimReply, ClaimRequest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardyke.addresses import Address
    from briardyke.wire.pool import PeerPool

_CALL_TIMEOUT_MS = 1500.0
_RETRY_DELAY_MS = 50.0


class ControlClaimClient:
    """Send claims to any control process, which forwards them to the leader of the shard."""

    def __init__(self, peers: PeerPool, addresses: Sequence[Address]) -> None:
        """Set up the client.

        :param peers: connections to other processes.
        :param addresses: peer addresses of the control processes.
        """
        self._peers = peers
        self._addresses = addresses
        self._address_index = 0

    async def claim(self, request: ClaimRequest, timeout_ms: float) -> Result[ClaimReply, Failure]:
        """Claim the right to run a request.

        Retries are safe: an attempt that already holds the claim is granted it again.

        :param request: the claim.
        :param timeout_ms: timeout over all retries, in milliseconds.
        :return: the reply, or ``claim_unavailable``; the request must then not be dispatched.
        """
        return await self._send(request, timeout_ms)

    async def end(self, request: ClaimEnd, timeout_ms: float) -> Result[ClaimReply, Failure]:
        """Record how a claimed request ended; parameters as for :meth:`claim`."""
        return await self._send(request, timeout_ms)

    async def _send(
        self, message: ClaimRequest | ClaimEnd, timeout_ms: float
    ) -> Result[ClaimReply, Failure]:
        give_up_at_ms = now_ms() + timeout_ms
        while (remaining_ms := give_up_at_ms - now_ms()) > 0:
            address = self._addresses[self._address_index % len(self._addresses)]
            reply = await self._peers.client(address).call(
                message, min(remaining_ms, _CALL_TIMEOUT_MS)
            )
            if reply.is_ok() and isinstance(reply.unwrap(), ClaimReply):
                return Ok(reply.unwrap())
            self._address_index += 1
            await sleep_ms(_RETRY_DELAY_MS)
        text = "no control process recorded the claim in time"
        return Err(Failure(ErrorKind.CLAIM_UNAVAILABLE, text, retry_after_ms=1000))
