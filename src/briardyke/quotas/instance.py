"""Spend credits at an entry instance, and batch its demand for further ones."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure
from briardyke.quotas.ledger import AccountLedger, Charge, Waiter
from briardyke.quotas.messages import AccountDemand, QuotaRequest

if TYPE_CHECKING:
    from briardyke.accounts.types import AccountQuota
    from briardyke.quotas.bounds import QuotaBounds
    from briardyke.quotas.messages import AccountGrant, QuotaReply

# Reasons of refusals in counters and log lines.
OVER_QUOTA = "over_quota"
TOO_LARGE = "too_large"
NO_LEADER = "no_leader"
# Time without requests to the leader after one to which none replied.
_RETRY_MS = 100.0
# Longest time for which a request waits for tokens that the leader has named. Streams are due
# within half a second.
MAX_TOKEN_WAIT_MS = 100.0
# Retry-After when no leader can be asked; an election takes up to two seconds.
_NO_LEADER_RETRY_MS = 1000
# The number of instances may grow by a quarter before an instance that is cut off knows it.
_INSTANCE_MARGIN = 1.25
# Accounts that have not been used for this long are forgotten, after every expiry.
_UNUSED_MS = 60_000.0


class InstanceCredits:
    """Credits of one entry instance; times are those of a clock that counts suspensions.

    Load: an account at several times its quota. Its requests are refused here without a message
    until the time that the leader named.
    """

    def __init__(self, instance_id: str, bounds: QuotaBounds, started_ms: float) -> None:
        """Start without credits; those of an earlier process are lost.

        :param instance_id: this instance.
        :param bounds: how far the use of quotas may exceed them.
        :param started_ms: time at which this process started.
        """
        self._instance_id = instance_id
        self._bounds = bounds
        self._started_ms = started_ms
        self._instance_count = 1
        self._ledgers: dict[str, AccountLedger] = {}
        self._asked: set[str] = set()
        self._retry_ms = float("-inf")
        self._is_leader_silent = False

    def record_instance_count(self, count: int) -> None:
        """Record how many entry instances share the allowance for times without a leader.

        The largest number counts: one that is cut off may soon belong to a larger fleet again.
        """
        self._instance_count = max(self._instance_count, count)

    def take(
        self, account: str, quota: AccountQuota, tokens: float, max_wait_ms: float, now_ms: float
    ) -> Waiter:
        """Charge a request, or let it wait for tokens; :attr:`Waiter.outcome` tells which.

        :param account: name of the account.
        :param quota: its quota, which must set a limit.
        :param tokens: what the request counts.
        :param max_wait_ms: longest wait while no leader can be asked.
        """
        ledger = self._ledgers.get(account)
        if ledger is None:
            ledger = self._ledgers[account] = AccountLedger(account)
        ledger.allowance = allowance = self._bounds.allowance(quota)
        ledger.used_ms = now_ms
        token_wait_ms = min(max_wait_ms, MAX_TOKEN_WAIT_MS)
        waiter = Waiter(account, tokens, now_ms + token_wait_ms, now_ms + max_wait_ms)
        if tokens > allowance.capacity:
            text = f"{tokens:.0f} tokens are more than the quota of {account} allows at once"
            waiter.decide(Err(_over_quota(text, self._bounds.window_ms, TOO_LARGE)))
            return waiter
        is_first = not ledger.waiters or tokens <= 0.0
        charge = ledger.spend(tokens, now_ms) if is_first else None
        if charge is None and self._is_leader_silent:
            charge = self._spend_emergency(ledger, tokens, now_ms)
        if charge is not None:
            waiter.decide(Ok(charge))
        elif ledger.is_refused(waiter):
            waiter.decide(_refused(ledger, now_ms))
        else:
            ledger.waiters.append(waiter)
        return waiter

    def next_ask_ms(self) -> float | None:
        """Return the time at which the leader should be asked, ``None`` while nobody waits."""
        times_ms = (row.blocked_until_ms for row in self._ledgers.values() if row.waiters)
        earliest_ms = min(times_ms, default=None)
        return None if earliest_ms is None else max(earliest_ms, self._retry_ms)

    def next_request(self, now_ms: float) -> QuotaRequest | None:
        """Return the request to send now, if any; the one before must have ended."""
        self._forget_unused(now_ms)
        ask_ms = self.next_ask_ms()
        if ask_ms is None or now_ms < ask_ms:
            return None
        asked = [
            row for row in self._ledgers.values() if row.waiters and row.blocked_until_ms <= now_ms
        ]
        self._asked = {row.account for row in asked}
        demands = [
            AccountDemand(row.account, row.needed(now_ms), row.wanted(now_ms), row.take_returned())
            for row in asked
        ]
        demands += [
            AccountDemand(row.account, [], 0.0, returned)
            for row in self._ledgers.values()
            if row.account not in self._asked and (returned := row.take_returned())
        ]
        return QuotaRequest(self._instance_id, demands)

    def apply_reply(self, reply: QuotaReply | None, sent_ms: float, now_ms: float) -> None:
        """Spend what a reply grants.

        :param reply: the reply, ``None`` when there was none in time.
        :param sent_ms: time at which its request was sent.
        """
        asked, self._asked = self._asked, set()
        is_granted = reply is not None and reply.term > 0
        self._is_leader_silent = not is_granted
        if reply is None or not is_granted:
            self._retry_ms = now_ms + _RETRY_MS
            for account in asked:
                self._serve_emergency(self._ledgers[account], now_ms)
                for waiter in self._ledgers[account].waiters:
                    # The buckets of the next leader are empty at first.
                    waiter.token_limit_ms = waiter.leader_limit_ms
            return
        known = set()
        for grant in reply.grants:
            ledger = self._ledgers.get(grant.account)
            if ledger is not None:
                known.add(grant.account)
                expires_ms = sent_ms + grant.lifetime_ms
                ledger.add(grant.tokens, expires_ms, reply.term, reply.granted_at_ms)
                ledger.is_starting = reply.is_starting
                self._serve(ledger, grant, now_ms)
        if asked - known:
            # The leader has not decoded the configuration that this instance has.
            self._retry_ms = now_ms + _RETRY_MS

    def _serve(self, ledger: AccountLedger, grant: AccountGrant, now_ms: float) -> None:
        """Charge the waiting requests in order, and refuse those that would wait too long."""
        while ledger.waiters:
            charge = ledger.spend(ledger.waiters[0].tokens, now_ms)
            if charge is None:
                break
            ledger.waiters.popleft().decide(Ok(charge))
        if grant.wait_ms <= 0.0:
            return
        ledger.blocked_until_ms = now_ms + grant.wait_ms
        kept: deque[Waiter] = deque()
        for waiter in ledger.waiters:
            if ledger.is_refused(waiter):
                waiter.decide(_refused(ledger, now_ms))
            else:
                kept.append(waiter)
        ledger.waiters = kept

    def withdraw(self, waiter: Waiter, now_ms: float) -> None:
        """End the wait of a request; what it was charged, if anything, is refunded."""
        if waiter.outcome is not None:
            charge = waiter.outcome.ok()
            if charge is not None:
                self.refund(charge, now_ms)
            return
        ledger = self._ledgers[waiter.account]
        ledger.waiters.remove(waiter)
        if ledger.blocked_until_ms > now_ms and not self._is_leader_silent:
            waiter.decide(_refused(ledger, now_ms))
            return
        text = f"no leader to grant tokens of {waiter.account}"
        reasons = (NO_LEADER,)
        waiter.decide(Err(Failure(ErrorKind.NO_MAJORITY, text, "", _NO_LEADER_RETRY_MS, reasons)))

    def refund(self, charge: Charge, now_ms: float) -> None:
        """Return the tokens of a request that has not run."""
        ledger = self._ledgers.get(charge.account)
        if ledger is not None:
            ledger.refund(charge, now_ms)

    def available(self, account: str, now_ms: float) -> float:
        """Return the unspent credits of an account."""
        ledger = self._ledgers.get(account)
        return 0.0 if ledger is None else ledger.available(now_ms)

    def held(self, now_ms: float) -> dict[str, float]:
        """Return the unspent credits by account."""
        return {name: ledger.available(now_ms) for name, ledger in self._ledgers.items()}

    # Times without a leader

    def _serve_emergency(self, ledger: AccountLedger, now_ms: float) -> None:
        while ledger.waiters:
            charge = self._spend_emergency(ledger, ledger.waiters[0].tokens, now_ms)
            if charge is None:
                return
            ledger.waiters.popleft().decide(Ok(charge))

    def _spend_emergency(
        self, ledger: AccountLedger, tokens: float, now_ms: float
    ) -> Charge | None:
        """Charge a request to what this instance may use without a leader.

        A process that started within the window may have had a predecessor that used all of it.
        """
        window_ms = self._bounds.window_ms
        if now_ms - self._started_ms < window_ms:
            return None
        share = ledger.allowance.emergency / (_INSTANCE_MARGIN * self._instance_count)
        return ledger.spend_emergency(tokens, share, window_ms, now_ms)

    def _forget_unused(self, now_ms: float) -> None:
        unused = [
            name
            for name, ledger in self._ledgers.items()
            if not ledger.waiters and now_ms - ledger.used_ms >= _UNUSED_MS
        ]
        for name in unused:
            del self._ledgers[name]


def _over_quota(text: str, wait_ms: float, reason: str) -> Failure:
    return Failure(ErrorKind.RATE_LIMITED, text, "", max(1, round(wait_ms)), (reason,))


def _refused(ledger: AccountLedger, now_ms: float) -> Result[Charge, Failure]:
    wait_ms = ledger.blocked_until_ms - now_ms
    text = f"account {ledger.account} is over its quota"
    return Err(_over_quota(text, wait_ms, OVER_QUOTA))
