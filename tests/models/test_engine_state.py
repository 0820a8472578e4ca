"""Tests for the leader's knowledge of an engine's memory."""

from __future__ import annotations

import attrs
import pytest
import trio

from briardyke.clock import now_ms
from briardyke.fleet.records import READY, LoadedModel, Upstream
from briardyke.models.engine_state import UNKNOWN_MODEL, EngineReport, EngineState

ROW = Upstream("e", 1, 1, "s", "10.0.0.1:80", "dc", READY, 8, [LoadedModel("a")])


class TestReport:
    """Covers reports that do not name what is on its way."""

    async def test_model_on_its_way_keeps_its_memory(self) -> None:
        ledger = EngineState(ROW, 3, {"a", "b"}, pending=("b", True))
        ledger.adopt_report(EngineReport(4, {"a": []}, is_busy=True))
        assert ledger.models == {"a", "b"}

    async def test_announced_model_counts_although_the_report_lags(self) -> None:
        row = attrs.evolve(ROW, models=[LoadedModel("a"), LoadedModel("b")])
        ledger = EngineState(row, 3)
        ledger.adopt_report(EngineReport(4, {"a": []}, is_busy=False))
        assert ledger.models == {"a", "b"}

    async def test_order_of_an_earlier_leader_keeps_the_engine_busy(self) -> None:
        ledger = EngineState(ROW)
        ledger.adopt_report(EngineReport(4, {"a": []}, is_busy=True))
        assert ledger.pending == (UNKNOWN_MODEL, True)
        ledger.adopt_row(attrs.evolve(ROW, sequence=2))
        assert ledger.pending == (UNKNOWN_MODEL, True)
        ledger.adopt_report(EngineReport(4, {"a": [], "b": []}, is_busy=False))
        assert ledger.pending is None
        assert ledger.models == {"a", "b"}

    async def test_adapters_on_their_way_take_places(self) -> None:
        ledger = EngineState(ROW)
        ledger.adopt_report(EngineReport(1, {"a": ["a1"]}, False, [("a", "a2")]))
        assert set(ledger.adapters) == {("a", "a1"), ("a", "a2")}


class TestRow:
    """Covers announcements that end a pending order."""

    async def test_unloaded_model_frees_its_memory_once_it_is_gone(self) -> None:
        ledger = EngineState(ROW, 3, {"a", "b"}, pending=("b", False), leaving={"b"})
        ledger.adapters = {("b", "a1"): 0.0, ("a", "a1"): 0.0}
        ledger.adopt_row(attrs.evolve(ROW, sequence=2, models=[LoadedModel("a"), LoadedModel("b")]))
        assert ledger.models == {"a", "b"}
        ledger.adopt_row(attrs.evolve(ROW, sequence=3))
        assert (ledger.models, ledger.pending) == ({"a"}, None)
        assert set(ledger.adapters) == {("a", "a1")}


class TestLateReport:
    """Covers reports that still name an order which has ended."""

    async def test_order_that_has_just_ended_is_not_taken_for_another_one(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        ledger = EngineState(ROW, 3, {"a", "b"}, pending=("b", True))
        ledger.adopt_row(attrs.evolve(ROW, sequence=2, models=[LoadedModel("a"), LoadedModel("b")]))
        assert ledger.pending is None
        ledger.adopt_report(EngineReport(4, {"a": []}, is_busy=True))
        assert ledger.pending is None
        await trio.sleep(1.0)
        ledger.adopt_report(EngineReport(5, {"a": [], "b": []}, is_busy=True))
        assert ledger.pending == (UNKNOWN_MODEL, True)
        assert ledger.free_in_ms() < 1000.0
        ledger.adopt_report(EngineReport(5, {"a": [], "b": []}, is_busy=True))
        assert ledger.models == {"a", "b"}


class TestOrderUnderWay:
    """Covers how long an engine with an order is expected to be busy."""

    async def test_overdue_order_is_expected_to_last_as_long_again(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        ledger = EngineState(ROW, 1, {"m"})
        assert ledger.free_in_ms() == 0.0
        ledger.pending, ledger.pending_until_ms = ("m", False), now_ms() + 700.0
        assert ledger.free_in_ms() == pytest.approx(700.0)
        await trio.sleep(5.7)
        assert ledger.free_in_ms() == pytest.approx(5000.0, abs=10.0)

    async def test_only_loads_are_told_as_arriving(self) -> None:
        ledger = EngineState(ROW, 1, {"m"})
        ledger.pending, ledger.pending_until_ms = ("n", True), now_ms() + 900.0
        assert ledger.arriving_ms()["n"] == pytest.approx(900.0, abs=50.0)
        ledger.pending = ("m", False)
        assert ledger.arriving_ms() == {}

    async def test_doubted_adapter_keeps_its_place_until_a_report_denies_it(self) -> None:
        ledger = EngineState(ROW, 1, {"m"}, {("m", "a1"): 1.0})
        ledger.doubted_adapters.add(("m", "a1"))
        assert not ledger.has_adapter(("m", "a1"))
        assert len(ledger.adapters) == 1
        ledger.adopt_report(EngineReport(2, {"m": []}, False))
        assert ledger.adapters == {} and ledger.doubted_adapters == set()
