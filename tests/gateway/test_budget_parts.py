"""Tests for the parts of the retry budget that entry instances take."""

from __future__ import annotations

import pytest

from briardyke.clock import now_ms
from briardyke.gateway.state import GatewayState, RetryBounds

BOUNDS = RetryBounds(0.2, 192.0, 10.0)


def instance() -> GatewayState:
    return GatewayState(None, "dc", BOUNDS, None)  # type: ignore[arg-type]


def spendable(state: GatewayState) -> int:
    """Return the repeats that an instance can send at once without any request."""
    budget = state.budget("s")
    count = 0
    while budget.try_spend(now_ms()):
        count += 1
    return count


class TestParts:
    """Covers many entry instances of which few carry requests."""

    @pytest.mark.parametrize("listed_count", [5, 20, 76])
    async def test_all_together_keep_the_bound(self, listed_count: int) -> None:
        names = [f"entry-{n}" for n in range(76)]
        listed = set(names[:listed_count])
        total = 0.0
        for name in names:
            state = instance()
            state.divide_budget(name, listed, len(names))
            total += state.budget("s").per_second * BOUNDS.window_s
        # What was kept and what is earned can both be spent within one window.
        assert 2.0 * total <= BOUNDS.slack

    async def test_instances_that_carry_requests_have_the_most(self) -> None:
        listed = {f"entry-{n}" for n in range(20)}
        carrying, idle = instance(), instance()
        carrying.divide_budget("entry-1", listed, 191)
        idle.divide_budget("entry-100", listed, 191)
        assert spendable(carrying) >= 3
        assert spendable(idle) == 0

    async def test_newcomer_takes_no_more_than_its_part(self) -> None:
        newcomer = instance()
        newcomer.divide_budget("entry-20", {f"entry-{n}" for n in range(21)}, 191)
        assert newcomer.budget_part == pytest.approx(1 / 21)


class TestBusy:
    """Covers instances that get single requests only, beside those that carry the traffic."""

    async def test_single_request_makes_no_instance_busy(self) -> None:
        probed = instance()
        probed.divide_budget("entry-100", {"entry-1"}, 191)
        probed.demand.record("app")
        probed.demand.began("app")
        assert not probed.is_busy

    async def test_listed_instance_is_busy_and_one_with_several_requests_too(self) -> None:
        listed, left = instance(), instance()
        listed.divide_budget("entry-1", {"entry-1"}, 191)
        assert listed.is_busy
        left.divide_budget("entry-100", {"entry-1"}, 191)
        for _ in range(2):
            left.demand.began("app")
        assert left.is_busy
