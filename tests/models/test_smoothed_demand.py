"""Tests for the long-term averages of demand."""

from __future__ import annotations

import pytest
import trio

from briardyke.models.smoothed_demand import ASSUMED_PER_S, HALF_LIFE_MS, SmoothedDemand


class TestSmoothedDemand:
    """Covers models that are not requested any more, or not yet."""

    async def test_demand_halves_within_the_half_life(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        demand = SmoothedDemand()
        await trio.sleep(600)
        demand.add({"m": 2.0})
        assert demand.rates["m"] == pytest.approx(2.0)
        await trio.sleep(HALF_LIFE_MS / 1000.0)
        demand.add({})
        assert demand.rates["m"] == pytest.approx(1.0)

    async def test_models_with_negligible_demand_are_dropped(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        demand = SmoothedDemand()
        await trio.sleep(600)
        demand.add({"m": 2.0})
        await trio.sleep(600)
        demand.add({})
        assert demand.rates == {}

    async def test_new_leader_assumes_demand_for_the_models_that_it_finds(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        demand = SmoothedDemand()
        assert not demand.is_started
        demand.assume({"m", "n"})
        assert demand.is_started
        await trio.sleep(HALF_LIFE_MS / 1000.0)
        demand.add({"m": 3.0})
        assert demand.rates["n"] == pytest.approx(ASSUMED_PER_S / 2)
        assert demand.rates["m"] > ASSUMED_PER_S
