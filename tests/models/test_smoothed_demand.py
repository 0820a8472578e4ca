"""Tests for the slow average of demand."""

from __future__ import annotations

import pytest
import trio

from briardyke.models.smoothed_demand import ASSUMED_PER_S, HALF_LIFE_MS, SmoothedDemand


class TestSmoothedDemand:
    """Covers a model that is no longer requested."""

    async def test_demand_halves_in_its_half_life(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        demand = SmoothedDemand()
        await trio.sleep(600)
        demand.add({"m": 2.0})
        assert demand.rates["m"] == pytest.approx(2.0)
        await trio.sleep(HALF_LIFE_MS / 1000.0)
        demand.add({})
        assert demand.rates["m"] == pytest.approx(1.0)

    async def test_forgotten_models_are_dropped(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        demand = SmoothedDemand()
        await trio.sleep(600)
        demand.add({"m": 2.0})
        await trio.sleep(600)
        demand.add({})
        assert demand.rates == {}

    async def test_models_that_a_new_leader_finds_count_for_some_seconds(
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
