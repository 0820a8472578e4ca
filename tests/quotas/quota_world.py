"""Entry instances and leaders without a network, on a clock that tests advance."""

from __future__ import annotations

import attrs

from briardyke.accounts.types import AccountQuota
from briardyke.quotas.bounds import QuotaBounds
from briardyke.quotas.instance import InstanceCredits
from briardyke.quotas.leader import LeaderBuckets
from briardyke.quotas.ledger import Charge, Waiter
from briardyke.quotas.messages import QuotaReply, QuotaRequest

BOUNDS = QuotaBounds(8.0, 0.1, 11_000.0)
QUOTA = AccountQuota(4800.0, 4800.0, True, 200)


@attrs.define(eq=False)
class Use:
    """Tokens of a request that was admitted.

    :param at_ms: time of its admission.
    :param has_run: whether it ran or may still run.
    """

    at_ms: float
    account: str
    charge: Charge
    instance: InstanceCredits
    has_run: bool = True


@attrs.define
class Exchange:
    """Request of an instance to the leader on its way."""

    request: QuotaRequest
    sent_ms: float
    reply: QuotaReply | None = None


class World:
    """Some instances and the present leader; the test decides what arrives, and when."""

    def __init__(
        self, count: int, quotas: dict[str, AccountQuota], bounds: QuotaBounds = BOUNDS
    ) -> None:
        self.now_ms = 100_000.0
        self.bounds = bounds
        self.quotas = quotas
        self.uses: list[Use] = []
        self.waiting: list[tuple[Waiter, InstanceCredits]] = []
        self.instances = [self.new_instance(n, count) for n in range(count)]
        self.exchanges: dict[int, Exchange] = {}
        self.leader = LeaderBuckets(bounds, 1)
        self.leader.update_quotas(quotas, self.now_ms)
        self.messages = 0

    def new_instance(self, number: int, count: int) -> InstanceCredits:
        instance = InstanceCredits(f"e{number}", self.bounds, self.now_ms)
        instance.record_instance_count(count)
        return instance

    def request(self, number: int, account: str, tokens: float) -> Waiter:
        """Let a request of an account arrive at an instance."""
        instance, quota = self.instances[number], self.quotas[account]
        waiter = instance.take(account, quota, tokens, 1000.0, self.now_ms)
        self.waiting.append((waiter, instance))
        self.collect()
        return waiter

    def collect(self) -> None:
        """Record the requests that have been admitted."""
        left = []
        for waiter, instance in self.waiting:
            if waiter.outcome is None:
                left.append((waiter, instance))
            elif waiter.outcome.is_ok():
                charge = waiter.outcome.unwrap()
                self.uses.append(Use(self.now_ms, waiter.account, charge, instance))
        self.waiting = left

    def send(self, number: int) -> bool:
        """Let an instance ask the leader if it wants to; return whether it did."""
        if number in self.exchanges:
            return False
        request = self.instances[number].next_request(self.now_ms)
        if request is None:
            return False
        self.messages += 1
        self.exchanges[number] = Exchange(request, self.now_ms)
        return True

    def handle(self, number: int) -> None:
        """Let the request of an instance reach the leader."""
        exchange = self.exchanges[number]
        if exchange.reply is None:
            exchange.reply = self.leader.answer(exchange.request, self.now_ms)

    def deliver(self, number: int, is_lost: bool = False) -> None:
        """Let the reply reach the instance, or the time for it run out."""
        exchange = self.exchanges.pop(number)
        reply = None if is_lost else exchange.reply
        self.instances[number].apply_reply(reply, exchange.sent_ms, self.now_ms)
        self.collect()

    def exchange(self, number: int) -> None:
        """Let an instance ask the leader and receive the reply at once."""
        if self.send(number):
            self.handle(number)
            self.deliver(number)

    def finish(self, use: Use, has_run: bool) -> None:
        """Let a request end."""
        use.has_run = has_run
        if not has_run:
            use.instance.refund(use.charge, self.now_ms)

    def change_leader(self) -> None:
        self.leader = LeaderBuckets(self.bounds, self.leader.term + 1)
        self.leader.update_quotas(self.quotas, self.now_ms)

    def restart(self, number: int) -> None:
        self.exchanges.pop(number, None)
        old = self.instances[number]
        self.waiting = [row for row in self.waiting if row[1] is not old]
        self.instances[number] = self.new_instance(number, len(self.instances))

    def used(
        self, account: str, since_ms: float, until_ms: float, is_emergency: bool | None = None
    ) -> float:
        """Return the tokens used in a time, by default with those of times without a leader."""
        return sum(
            credit.tokens
            for use in self.uses
            if use.account == account and use.has_run and since_ms <= use.at_ms <= until_ms
            for credit in use.charge.credits
            if is_emergency in (None, credit.term < 0)
        )
