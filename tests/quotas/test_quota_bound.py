"""Check the use of a quota in every window against its bound, whatever fails."""

from __future__ import annotations

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from quota_world import World

from briardyke.accounts.types import AccountQuota
from briardyke.quotas.bounds import QuotaBounds

INSTANCES = 3
NUMBERS = st.integers(0, INSTANCES - 1)
SIZES = st.sampled_from([1460.0, 4000.0])
RATES = st.sampled_from([4800.0, 20_000.0])
SLACKS = st.sampled_from([0.0, 11_000.0])
# Largest lifetime of a credit: so long before a window, its tokens may have been granted.
LIFETIME_MS = 1000.0


@attrs.frozen
class InForce:
    """Largest use of a quota from a time on: of tokens that leaders grant, and without a leader."""

    since_ms: float
    granted: float
    emergency: float

    @classmethod
    def of(cls, bounds: QuotaBounds, quota: AccountQuota, since_ms: float) -> InForce:
        allowance = bounds.allowance(quota)
        duration_ms = bounds.window_ms + allowance.lifetime_ms
        granted = allowance.capacity + allowance.rate_per_ms * duration_ms
        assert granted + allowance.emergency <= bounds.largest_use(quota)
        return cls(since_ms, granted, allowance.emergency)


class QuotaBound(RuleBasedStateMachine):
    """Guards against more use than the bound of a quota in any window.

    Requests and replies are lost or late, instances restart or stand still, leaders change, and
    requests that did not run return their tokens.
    """

    @initialize(rate=RATES, slack=SLACKS)
    def start(self, rate: float, slack: float) -> None:
        self.bounds = QuotaBounds(8.0, 0.1, slack)
        quota = AccountQuota(rate, rate, True, 200)
        self.world = World(INSTANCES, {"a": quota}, self.bounds)
        self.in_force = [InForce.of(self.bounds, quota, 0.0)]

    @rule(duration_ms=st.sampled_from([1.0, 20.0, 110.0, 240.0, 600.0, 1000.0, 4000.0, 8000.0]))
    def advance(self, duration_ms: float) -> None:
        self.world.now_ms += duration_ms

    @rule(number=NUMBERS, tokens=SIZES)
    def request(self, number: int, tokens: float) -> None:
        self.world.request(number, "a", tokens)

    @rule(tokens=SIZES, duration_ms=st.sampled_from([0.0, 500.0, 7900.0]))
    def saturate(self, tokens: float, duration_ms: float) -> None:
        """Send more requests than the quota allows, each second and through all instances."""
        until_ms = self.world.now_ms + duration_ms
        while True:
            for number in range(INSTANCES):
                self._exhaust(number, tokens)
            if self.world.now_ms >= until_ms:
                return
            self.world.now_ms += 250.0

    @rule(tokens=SIZES)
    def saturate_without_leader(self, tokens: float) -> None:
        for number in range(INSTANCES):
            self._exhaust(number, tokens, is_lost=True)

    @rule(number=NUMBERS, tokens=SIZES)
    def receive_late(self, number: int, tokens: float) -> None:
        """Let an instance stand still for almost a second after it has asked for tokens."""
        for _ in range(20):
            self.world.request(number, "a", tokens)
        if self.world.send(number):
            self.world.handle(number)
            self.world.now_ms += 240.0
            self.world.deliver(number)

    @rule(tokens=SIZES, cycles=st.sampled_from([1, 20]))
    def refuse_all(self, tokens: float, cycles: int) -> None:
        """Send requests that use the quota and end without having run."""
        for _ in range(cycles):
            before = len(self.world.uses)
            for number in range(INSTANCES):
                self._exhaust(number, tokens)
            self.world.now_ms += 350.0
            for use in self.world.uses[before:]:
                self.world.finish(use, has_run=False)

    def _exhaust(self, number: int, tokens: float, is_lost: bool = False) -> None:
        """Send requests through an instance until one is not admitted."""
        for _ in range(200):
            waiter = self.world.request(number, "a", tokens)
            if self.world.send(number):
                self.world.handle(number)
                self.world.deliver(number, is_lost)
            if waiter.outcome is None or waiter.outcome.is_err():
                return

    @rule(number=NUMBERS)
    def send(self, number: int) -> None:
        self.world.send(number)

    @precondition(lambda self: self.world.exchanges)
    @rule(data=st.data())
    def handle(self, data: st.DataObject) -> None:
        self.world.handle(data.draw(st.sampled_from(sorted(self.world.exchanges))))

    @precondition(lambda self: self.world.exchanges)
    @rule(data=st.data(), is_lost=st.booleans())
    def deliver(self, data: st.DataObject, is_lost: bool) -> None:
        self.world.deliver(data.draw(st.sampled_from(sorted(self.world.exchanges))), is_lost)

    @rule(count=st.sampled_from([1, 10, 200]))
    def refund(self, count: int) -> None:
        """End some of the newest requests without having run them."""
        running = [use for use in self.world.uses if use.has_run]
        for use in running[-count:]:
            self.world.finish(use, has_run=False)

    @rule(number=NUMBERS)
    def restart(self, number: int) -> None:
        self.world.restart(number)

    @rule()
    def change_leader(self) -> None:
        self.world.change_leader()

    @rule(rate=RATES)
    def change_quota(self, rate: float) -> None:
        quota = AccountQuota(rate, rate, True, 200)
        self.world.quotas = {"a": quota}
        self.world.leader.update_quotas(self.world.quotas, self.world.now_ms)
        self.in_force.append(InForce.of(self.bounds, quota, self.world.now_ms))

    @invariant()
    def window_is_within_bound(self) -> None:
        now_ms = self.world.now_ms
        since_ms = now_ms - self.bounds.window_ms
        earlier = [row for row in self.in_force if row.since_ms <= since_ms - LIFETIME_MS]
        later = [row for row in self.in_force if row.since_ms > since_ms - LIFETIME_MS]
        rows = earlier[-1:] + later
        emergency = self.world.used("a", since_ms, now_ms, is_emergency=True)
        assert emergency <= max(row.emergency for row in rows)
        granted = self.world.used("a", since_ms, now_ms, is_emergency=False)
        assert granted <= max(row.granted for row in rows) * (1.0 + 1e-9)


TestQuotaBound = QuotaBound.TestCase
TestQuotaBound.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)
