"""Tests for what the leader knows of an engine's memory and orders."""

from __future__ import annotations

import attrs
import pytest
import trio

from briardyke.clock import now_ms
from briardyke.fleet.records import READY, LoadedModel, Upstream
from briardyke.models.engine_state import UNKNOWN_MODEL, EngineReport, KnownEngineState

ROW = Upstream("e", 1, 1, "s", "10.0.0.1:80", "dc", READY, 8, [LoadedModel("a")])


class TestReport:
    """Covers reports that lack a model or include an adapter that is being loaded."""

    async def test_model_being_loaded_counts_although_the_report_lacks_it(self) -> None:
        state = KnownEngineState(ROW, 3, {"a", "b"}, pending=("b", True))
        state.adopt_report(EngineReport(4, {"a": []}, is_busy=True))
        assert state.models == {"a", "b"}

    async def test_announced_model_counts_although_the_report_lacks_it(self) -> None:
        row = attrs.evolve(ROW, models=[LoadedModel("a"), LoadedModel("b")])
        state = KnownEngineState(row, 3)
        state.adopt_report(EngineReport(4, {"a": []}, is_busy=False))
        assert state.models == {"a", "b"}

    async def test_order_of_an_earlier_leader_keeps_the_engine_busy(self) -> None:
        state = KnownEngineState(ROW)
        state.adopt_report(EngineReport(4, {"a": []}, is_busy=True))
        assert state.pending == (UNKNOWN_MODEL, True)
        state.adopt_row(attrs.evolve(ROW, sequence=2))
        assert state.pending == (UNKNOWN_MODEL, True)
        state.adopt_report(EngineReport(4, {"a": [], "b": []}, is_busy=False))
        assert state.pending is None
        assert state.models == {"a", "b"}

    async def test_first_report_of_an_engine_with_orders_needs_another(self) -> None:
        """Guards against more weights than an engine holds.

        A new leader read a report that showed neither the model that the order of its predecessor
        had just loaded nor that the engine was busy, and ordered another load.
        """
        state = KnownEngineState(ROW)
        state.adopt_report(EngineReport(1, {"a": []}, is_busy=False))
        assert not state.is_confirmed
        state.adopt_report(EngineReport(1, {"a": [], "b": []}, is_busy=False))
        assert state.is_confirmed and state.models == {"a", "b"}

    async def test_report_after_the_end_of_an_order_needs_another(self) -> None:
        state = KnownEngineState(ROW, 3, {"a", "b"}, pending=("b", True))
        state.adopt_report(EngineReport(4, {"a": []}, is_busy=False))
        assert not state.is_confirmed
        state.adopt_report(EngineReport(4, {"a": [], "b": []}, is_busy=False))
        assert state.is_confirmed

    async def test_engine_without_orders_needs_one_report(self) -> None:
        state = KnownEngineState(ROW)
        state.adopt_report(EngineReport(0, {"a": []}, is_busy=False))
        assert state.is_confirmed

    async def test_adapters_being_loaded_use_slots(self) -> None:
        state = KnownEngineState(ROW)
        state.adopt_report(EngineReport(1, {"a": ["a1"]}, False, [("a", "a2")]))
        assert set(state.adapters) == {("a", "a1"), ("a", "a2")}


class TestRow:
    """Covers announcements that show that a pending order is complete."""

    async def test_unloaded_model_is_held_until_an_announcement_lacks_it(self) -> None:
        state = KnownEngineState(ROW, 3, {"a", "b"}, pending=("b", False), unloading_models={"b"})
        state.adapters = {("b", "a1"): 0.0, ("a", "a1"): 0.0}
        state.adopt_row(attrs.evolve(ROW, sequence=2, models=[LoadedModel("a"), LoadedModel("b")]))
        assert state.models == {"a", "b"}
        state.adopt_row(attrs.evolve(ROW, sequence=3))
        assert (state.models, state.pending) == ({"a"}, None)
        assert set(state.adapters) == {("a", "a1")}


class TestLateReport:
    """Covers reports that lag and still show an engine as busy after its order has ended."""

    async def test_order_that_has_just_ended_is_not_mistaken_for_another_one(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        state = KnownEngineState(ROW, 3, {"a", "b"}, pending=("b", True))
        state.adopt_row(attrs.evolve(ROW, sequence=2, models=[LoadedModel("a"), LoadedModel("b")]))
        assert state.pending is None
        state.adopt_report(EngineReport(4, {"a": []}, is_busy=True))
        assert state.pending is None
        await trio.sleep(1.0)
        state.adopt_report(EngineReport(5, {"a": [], "b": []}, is_busy=True))
        assert state.pending == (UNKNOWN_MODEL, True)
        assert state.free_in_ms() < 1000.0
        state.adopt_report(EngineReport(5, {"a": [], "b": []}, is_busy=True))
        assert state.models == {"a", "b"}


class TestPendingOrder:
    """Covers the expected duration of orders, and adapters that a request did not find."""

    async def test_overdue_order_is_expected_to_last_as_long_again(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        state = KnownEngineState(ROW, 1, {"m"})
        assert state.free_in_ms() == 0.0
        state.pending, state.pending_expected_end_ms = ("m", False), now_ms() + 700.0
        assert state.free_in_ms() == pytest.approx(700.0)
        await trio.sleep(5.7)
        assert state.free_in_ms() == pytest.approx(5000.0, abs=10.0)

    async def test_only_loads_are_reported_as_arriving(self) -> None:
        state = KnownEngineState(ROW, 1, {"m"})
        state.pending, state.pending_expected_end_ms = ("n", True), now_ms() + 900.0
        assert state.arriving_ms()["n"] == pytest.approx(900.0, abs=50.0)
        state.pending = ("m", False)
        assert state.arriving_ms() == {}

    async def test_suspect_adapter_keeps_its_slot_until_a_report_lacks_it(self) -> None:
        state = KnownEngineState(ROW, 1, {"m"}, {("m", "a1"): 1.0})
        state.suspect_adapters.add(("m", "a1"))
        assert not state.has_adapter(("m", "a1"))
        assert len(state.adapters) == 1
        state.adopt_report(EngineReport(2, {"m": []}, False))
        assert state.adapters == {} and state.suspect_adapters == set()
