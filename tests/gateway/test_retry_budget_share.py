"""Tests for how entry instances share the retry budget."""

from __future__ import annotations

import pytest

from briardyke.clock import now_ms
from briardyke.gateway.state import GatewayState, RetryBounds

BOUNDS = RetryBounds(0.2, 192.0, 10.0)


def instance() -> GatewayState:
    return GatewayState(None, "dc", BOUNDS, None)  # type: ignore[arg-type]


def spendable(state: GatewayState) -> int:
    """Return the retries that an instance can send at once without any request."""
    budget = state.budget("s")
    count = 0
    while budget.try_spend(now_ms()):
        count += 1
    return count


class TestShares:
    """Covers many entry instances of which few process requests."""

    @pytest.mark.parametrize("listed_count", [5, 20, 76])
    async def test_all_shares_together_stay_within_the_limit(self, listed_count: int) -> None:
        names = [f"entry-{n}" for n in range(76)]
        listed = set(names[:listed_count])
        total = 0.0
        for name in names:
            state = instance()
            state.update_listing(name, listed, len(names))
            total += state.budget("s").per_second * BOUNDS.window_s
        # Saved and newly earned retries can both be spent within one window.
        assert 2.0 * total <= BOUNDS.slack

    async def test_listed_instances_have_most_of_the_budget(self) -> None:
        listed = {f"entry-{n}" for n in range(20)}
        listed_instance, idle = instance(), instance()
        listed_instance.update_listing("entry-1", listed, 191)
        idle.update_listing("entry-100", listed, 191)
        assert spendable(listed_instance) >= 3
        assert spendable(idle) == 0

    async def test_new_instance_takes_only_its_share(self) -> None:
        added = instance()
        added.update_listing("entry-20", {f"entry-{n}" for n in range(21)}, 191)
        assert added.fixed_budget_share == pytest.approx(1 / 21)


class TestBusy:
    """Covers instances that receive single requests only, and those with regular traffic."""

    async def test_single_request_does_not_make_an_instance_busy(self) -> None:
        probed = instance()
        probed.update_listing("entry-100", {"entry-1"}, 191)
        probed.demand.record("app")
        probed.demand.request_started("app")
        assert not probed.is_busy

    async def test_listed_instance_or_one_with_several_requests_is_busy(self) -> None:
        listed, unlisted = instance(), instance()
        listed.update_listing("entry-1", {"entry-1"}, 191)
        assert listed.is_busy
        unlisted.update_listing("entry-100", {"entry-1"}, 191)
        for _ in range(2):
            unlisted.demand.request_started("app")
        assert unlisted.is_busy
