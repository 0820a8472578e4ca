"""Tests for the spread of requests over engines."""

from __future__ import annotations

import pytest

from briardyke.models.balance import balanced_loads


class TestBalancedLoads:
    """Covers models that share engines."""

    def test_requests_with_a_choice_go_to_the_less_loaded_engine(self) -> None:
        holders = {"a": {"e1", "e2", "e3"}, "b": {"e3"}}
        loads = balanced_loads({"a": 6.0, "b": 3.0}, holders, ["e1", "e2", "e3"])
        assert loads == pytest.approx({"e1": 3.0, "e2": 3.0, "e3": 3.0}, rel=0.1)

    def test_model_without_a_choice_loads_its_engine_alone(self) -> None:
        holders = {"a": {"e1"}, "b": {"e1", "e2"}}
        loads = balanced_loads({"a": 8.0, "b": 2.0}, holders, ["e1", "e2"])
        assert loads["e1"] >= 8.0
        assert loads["e2"] == pytest.approx(2.0, rel=0.15)

    def test_sum_stays_the_demand_that_engines_hold(self) -> None:
        holders = {"a": {"e1", "e2"}, "b": {"e2", "e3"}, "c": {"e1", "e3"}}
        demand = {"a": 1.0, "b": 20.0, "c": 5.0, "missing": 9.0}
        loads = balanced_loads(demand, holders, ["e1", "e2", "e3", "e4"])
        assert sum(loads.values()) == pytest.approx(26.0)
        assert loads["e4"] == 0.0

    def test_nothing_to_carry_is_no_load(self) -> None:
        assert balanced_loads({}, {}, ["e1"]) == {"e1": 0.0}
        assert balanced_loads({"a": 1.0}, {"a": {"e1"}}, ["e1"]) == {"e1": 1.0}
