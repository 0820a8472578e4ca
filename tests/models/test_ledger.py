"""Tests for the leader's knowledge of an engine's memory."""

from __future__ import annotations

import attrs

from briardyke.fleet.records import READY, HeldModel, Upstream
from briardyke.models.ledger import UNKNOWN_MODEL, EngineLedger, EngineReport

ROW = Upstream("e", 1, 1, "s", "10.0.0.1:80", "dc", READY, 8, [HeldModel("a")])


class TestReport:
    """Covers reports that do not name what is on its way."""

    async def test_model_on_its_way_keeps_its_memory(self) -> None:
        ledger = EngineLedger(ROW, 3, {"a", "b"}, pending=("b", True))
        ledger.adopt_report(EngineReport(4, {"a": []}, is_busy=True))
        assert ledger.models == {"a", "b"}

    async def test_announced_model_counts_although_the_report_lags(self) -> None:
        row = attrs.evolve(ROW, models=[HeldModel("a"), HeldModel("b")])
        ledger = EngineLedger(row, 3)
        ledger.adopt_report(EngineReport(4, {"a": []}, is_busy=False))
        assert ledger.models == {"a", "b"}

    async def test_order_of_an_earlier_leader_keeps_the_engine_busy(self) -> None:
        ledger = EngineLedger(ROW)
        ledger.adopt_report(EngineReport(4, {"a": []}, is_busy=True))
        assert ledger.pending == (UNKNOWN_MODEL, True)
        ledger.adopt_row(attrs.evolve(ROW, sequence=2))
        assert ledger.pending == (UNKNOWN_MODEL, True)
        ledger.adopt_report(EngineReport(4, {"a": [], "b": []}, is_busy=False))
        assert ledger.pending is None
        assert ledger.models == {"a", "b"}

    async def test_adapters_on_their_way_take_places(self) -> None:
        ledger = EngineLedger(ROW)
        ledger.adopt_report(EngineReport(1, {"a": ["a1"]}, False, [("a", "a2")]))
        assert set(ledger.adapters) == {("a", "a1"), ("a", "a2")}


class TestRow:
    """Covers announcements that end a pending order."""

    async def test_unloaded_model_frees_its_memory_once_it_is_gone(self) -> None:
        ledger = EngineLedger(ROW, 3, {"a", "b"}, pending=("b", False), leaving={"b"})
        ledger.adapters = {("b", "a1"): 0.0, ("a", "a1"): 0.0}
        ledger.adopt_row(attrs.evolve(ROW, sequence=2, models=[HeldModel("a"), HeldModel("b")]))
        assert ledger.models == {"a", "b"}
        ledger.adopt_row(attrs.evolve(ROW, sequence=3))
        assert (ledger.models, ledger.pending) == ({"a"}, None)
        assert set(ledger.adapters) == {("a", "a1")}
