"""Charge the requests of client accounts at an entry instance."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeAlias

import trio

from briardyke.clock import boot_ms
from briardyke.quotas.instance import InstanceCredits
from briardyke.quotas.messages import QuotaReply, QuotaRequest

if TYPE_CHECKING:
    from result import Result

    from briardyke.accounts.types import AccountQuota
    from briardyke.errors import Failure
    from briardyke.quotas.bounds import QuotaBounds
    from briardyke.quotas.ledger import Charge, Waiter

RequestQuota: TypeAlias = Callable[[QuotaRequest], Awaitable[QuotaReply | None]]


class AccountCredits:
    """Credits of this instance, with one request to the leader in flight at a time."""

    def __init__(self, instance_id: str, bounds: QuotaBounds, request_quota: RequestQuota) -> None:
        """Set up; :meth:`run` asks the leader.

        :param instance_id: this instance.
        :param bounds: how far the use of quotas may exceed them.
        :param request_quota: asks the leader for tokens.
        """
        self._credits = InstanceCredits(instance_id, bounds, boot_ms())
        self._request_quota = request_quota
        self._wake = trio.Event()

    def record_instance_count(self, count: int) -> None:
        """Record how many entry instances are ready."""
        self._credits.record_instance_count(count)

    async def take(
        self, account: str, quota: AccountQuota, tokens: float, max_wait_ms: float
    ) -> Result[Charge, Failure]:
        """Charge a request before it is sent to an upstream.

        :param account: name of its account.
        :param quota: quota of the account, which must set a limit.
        :param tokens: what the request counts.
        :param max_wait_ms: longest wait while no leader can be asked.
        :return: the charge; ``rate_limited`` over the quota, ``no_majority`` without a leader.
        """
        waiter = self._credits.take(account, quota, tokens, max_wait_ms, boot_ms())
        if waiter.outcome is None:
            await self._wait(waiter, max_wait_ms)
        assert waiter.outcome is not None
        return waiter.outcome

    async def _wait(self, waiter: Waiter, max_wait_ms: float) -> None:
        decided = trio.Event()
        waiter.on_decided = decided.set
        self._wake.set()
        try:
            with trio.move_on_after(max_wait_ms / 1000.0):
                await decided.wait()
        except BaseException:
            self._credits.withdraw(waiter, boot_ms())
            raise
        if waiter.outcome is None:
            self._credits.withdraw(waiter, boot_ms())

    def refund(self, charge: Charge) -> None:
        """Return the tokens of a request that has not run and never will."""
        self._credits.refund(charge, boot_ms())

    def available(self, account: str) -> float:
        """Return the unspent credits of an account."""
        return self._credits.available(account, boot_ms())

    def held(self) -> dict[str, float]:
        """Return the unspent credits by account."""
        return self._credits.held(boot_ms())

    async def run(self) -> None:
        """Ask the leader while requests wait for tokens, until cancelled."""
        while True:
            self._wake = trio.Event()
            ask_ms = self._credits.next_ask_ms()
            wait_s = float("inf") if ask_ms is None else max(0.0, ask_ms - boot_ms()) / 1000.0
            if wait_s > 0.0:
                with trio.move_on_after(wait_s):
                    await self._wake.wait()
            sent_ms = boot_ms()
            request = self._credits.next_request(sent_ms)
            if request is not None:
                reply = await self._request_quota(request)
                self._credits.apply_reply(reply, sent_ms, boot_ms())
