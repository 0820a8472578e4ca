"""Tests for the grants of permits by the leader."""

from __future__ import annotations

from typing import Any

import attrs
import trio

from briardyke.fleet.messages import PermitRequest
from briardyke.upstream_limits.granter import MAX_PERMIT_WAIT_MS, PERMIT_TIMEOUT_MS, PermitGranter
from briardyke.upstream_limits.statements import KnownLimits, LimitStatement

REQUEST = PermitRequest("u", 1, 2.0, 0.0)


@attrs.define
class FakeControl:
    """Control instance whose leadership is set by the test."""

    term: int | None = 1
    limits: KnownLimits = attrs.field(factory=KnownLimits)

    @property
    def rows(self) -> Any:
        return self

    def leading_term(self) -> int | None:
        return self.term


async def granted_in(granter: PermitGranter, duration_s: float, request: PermitRequest) -> int:
    """Ask a hundred times a second and return the number of grants."""
    count = 0
    for _ in range(int(duration_s * 100)):
        count += (await granter.grant(request)).is_granted
        await trio.sleep(0.01)
    return count


class TestLeader:
    """Covers instances that do not lead, and those that have just begun to."""

    async def test_instance_that_does_not_lead_grants_nothing(self) -> None:
        control: Any = FakeControl(None)
        assert not (await PermitGranter(control).grant(REQUEST)).is_granted

    async def test_new_leader_waits_until_the_slots_of_the_former_one_are_used(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        control: Any = FakeControl()
        granter = PermitGranter(control)
        assert await granted_in(granter, 10.0, REQUEST) >= 18
        control.term = 2
        lifetime_s = (MAX_PERMIT_WAIT_MS + PERMIT_TIMEOUT_MS) / 1000.0
        assert await granted_in(granter, lifetime_s, REQUEST) == 0
        assert await granted_in(granter, 10.0, REQUEST) >= 18


class TestLimit:
    """Covers which limit counts."""

    async def test_limit_that_control_instances_know_counts(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        control: Any = FakeControl()
        control.limits.merge(LimitStatement("u", 1, 1.0, 0.0, 0.0))
        assert 9 <= await granted_in(PermitGranter(control), 11.0, REQUEST) <= 12

    async def test_new_process_of_an_upstream_has_a_schedule_of_its_own(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        control: Any = FakeControl()
        granter = PermitGranter(control)
        await granted_in(granter, 5.0, REQUEST)
        restarted = attrs.evolve(REQUEST, incarnation=2, limit_per_s=20.0)
        assert await granted_in(granter, 5.0, restarted) >= 90
