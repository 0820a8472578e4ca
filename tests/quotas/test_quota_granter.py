"""Tests for the grants of tokens by the leader."""

from __future__ import annotations

from typing import Any

import attrs
import trio

from briardyke.accounts.types import AccountQuota, ClientAccount
from briardyke.fleet.control import MAX_LEADER_EVIDENCE_AGE_MS
from briardyke.quotas.bounds import QuotaBounds
from briardyke.quotas.granter import QuotaGranter
from briardyke.quotas.messages import AccountDemand, QuotaRequest
from briardyke.routes.configuration import ServingConfiguration

QUOTA = AccountQuota(1000.0, 1000.0, True, 200)
REQUEST = QuotaRequest("e", [AccountDemand("a", [100.0])])


@attrs.define
class FakeControl:
    """Control instance whose leadership and configuration are set by the test."""

    term: int | None = 1
    is_former_silent: bool = False
    configuration: ServingConfiguration | None = None

    def leading_term(self) -> int | None:
        return self.term

    def is_former_leader_silent(self) -> bool:
        return self.is_former_silent

    def put_in_force(self, version: int, *accounts: ClientAccount) -> None:
        self.configuration = ServingConfiguration(version, (), {}, accounts=accounts)


def granter_of(control: FakeControl) -> QuotaGranter:
    leader: Any = control
    return QuotaGranter(leader, lambda: control.configuration, QuotaBounds())


def led(term: int | None = 1) -> FakeControl:
    """Return a control instance with one account in force."""
    control = FakeControl(term)
    control.put_in_force(1, ClientAccount("a", (), quota=QUOTA))
    return control


async def granted_in(granter: QuotaGranter, duration_s: float) -> float:
    """Ask a hundred times a second and return the tokens granted."""
    tokens = 0.0
    for _ in range(int(duration_s * 100)):
        tokens += sum(grant.tokens for grant in (await granter.grant(REQUEST)).grants)
        await trio.sleep(0.01)
    return tokens


class TestLeadership:
    """Covers instances that do not lead, and those that have just begun to."""

    async def test_instance_that_does_not_lead_grants_nothing(self) -> None:
        reply = await granter_of(led(None)).grant(REQUEST)
        assert (reply.term, reply.grants) == (0, [])

    async def test_leader_that_lost_its_evidence_grants_nothing_until_it_is_fresh_again(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against a leader that was frozen and wakes after another one was elected."""
        control = led()
        granter = granter_of(control)
        assert await granted_in(granter, 3.0) > 0.0
        control.term = None
        assert await granted_in(granter, 3.0) == 0.0
        control.term = 1
        assert await granted_in(granter, 3.0) > 0.0

    async def test_new_leader_grants_its_rate_without_a_burst(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        control = led()
        granter = granter_of(control)
        await granted_in(granter, 1.0)
        control.term = 2
        assert 800.0 <= await granted_in(granter, 1.0) <= 1000.0

    async def test_buckets_fill_without_requests(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against refusals of the first requests long after an election."""
        control = led()
        granter = granter_of(control)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(granter.run)
            await trio.sleep(10.0)
            grant = (await granter.grant(REQUEST)).grants[0]
            assert (grant.tokens, grant.wait_ms) == (100.0, 0.0)
            nursery.cancel_scope.cancel()

    async def test_leader_waits_while_a_former_one_may_still_grant(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        control = led()
        control.is_former_silent = True
        granter = granter_of(control)
        assert await granted_in(granter, MAX_LEADER_EVIDENCE_AGE_MS / 1000.0) == 0.0
        assert await granted_in(granter, 2.0) > 0.0


class TestConfiguration:
    """Covers quotas that come, change and go with the configuration."""

    async def test_nothing_is_granted_before_the_first_configuration(self) -> None:
        reply = await granter_of(FakeControl(1)).grant(REQUEST)
        assert (reply.term, reply.grants) == (1, [])

    async def test_lowered_quota_binds_from_its_configuration_on(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        control = led()
        granter = granter_of(control)
        await granted_in(granter, 3.0)
        control.put_in_force(2, ClientAccount("a", (), quota=attrs.evolve(QUOTA, rate_per_s=200.0)))
        assert 800.0 <= await granted_in(granter, 5.0) <= 1000.0 + 2 * 100.0

    async def test_account_that_is_removed_gets_nothing(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        control = led()
        granter = granter_of(control)
        await granted_in(granter, 1.0)
        control.put_in_force(2)
        assert (await granter.grant(REQUEST)).grants == []
