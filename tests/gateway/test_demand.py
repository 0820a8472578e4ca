"""Tests for the demand that entry instances report."""

from __future__ import annotations

import pytest
import trio

from briardyke.gateway.demand import HALF_LIFE_MS, DemandMeter


class TestDemandMeter:
    """Covers steady, ending and delayed requests."""

    async def test_steady_requests_give_their_rate(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        meter = DemandMeter()
        for _ in range(200):
            meter.record("m")
            await trio.sleep(0.1)
        assert meter.rates()["m"] == pytest.approx(10.0, rel=0.05)

    async def test_rate_halves_and_is_then_dropped(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        meter = DemandMeter()
        meter.record("m")
        first = meter.rates()["m"]
        await trio.sleep(HALF_LIFE_MS / 1000.0)
        assert meter.rates()["m"] == pytest.approx(first / 2)
        await trio.sleep(60)
        assert meter.rates() == {}

    async def test_requests_in_progress_increase_the_demand(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        meter = DemandMeter()
        for _ in range(60):
            meter.record("m")
            meter.request_started("m")
        await trio.sleep(30)
        assert meter.demand()["m"] == pytest.approx(20.0, abs=0.1)
        for _ in range(60):
            meter.request_finished("m")
        assert meter.demand() == {}
