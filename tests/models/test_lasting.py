"""Tests for the slow average of demand."""

from __future__ import annotations

import pytest
import trio

from briardyke.models.lasting import ASSUMED_PER_S, HALF_LIFE_MS, LastingDemand


class TestLastingDemand:
    """Covers a model that falls silent."""

    async def test_demand_halves_in_its_half_life(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        lasting = LastingDemand()
        await trio.sleep(600)
        lasting.add({"m": 2.0})
        assert lasting.rates["m"] == pytest.approx(2.0)
        await trio.sleep(HALF_LIFE_MS / 1000.0)
        lasting.add({})
        assert lasting.rates["m"] == pytest.approx(1.0)

    async def test_forgotten_models_are_dropped(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        lasting = LastingDemand()
        await trio.sleep(600)
        lasting.add({"m": 2.0})
        await trio.sleep(600)
        lasting.add({})
        assert lasting.rates == {}

    async def test_models_that_a_new_leader_finds_count_for_some_seconds(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        lasting = LastingDemand()
        assert not lasting.is_started
        lasting.assume({"m", "n"})
        assert lasting.is_started
        await trio.sleep(HALF_LIFE_MS / 1000.0)
        lasting.add({"m": 3.0})
        assert lasting.rates["n"] == pytest.approx(ASSUMED_PER_S / 2)
        assert lasting.rates["m"] > ASSUMED_PER_S
