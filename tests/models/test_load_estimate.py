"""Tests for the estimated load of engines."""

from __future__ import annotations

from typing import ClassVar

import pytest

from briardyke.models.load_estimate import LoadEstimate


def equal(*engine_ids: str) -> dict[str, float]:
    return dict.fromkeys(engine_ids, 1.0)


class TestLoads:
    """Covers models that share engines."""

    def test_requests_go_to_the_less_loaded_holders(self) -> None:
        holders = {"a": {"e1", "e2", "e3"}, "b": {"e3"}}
        loads = LoadEstimate({"a": 6.0, "b": 3.0}, holders, equal("e1", "e2", "e3")).loads
        assert loads == pytest.approx({"e1": 3.0, "e2": 3.0, "e3": 3.0}, rel=0.1)

    def test_only_holder_gets_all_requests_for_its_model(self) -> None:
        holders = {"a": {"e1"}, "b": {"e1", "e2"}}
        loads = LoadEstimate({"a": 8.0, "b": 2.0}, holders, equal("e1", "e2")).loads
        assert loads["e1"] >= 8.0
        assert loads["e2"] == pytest.approx(2.0, rel=0.15)

    def test_sum_of_loads_is_the_demand_for_held_models(self) -> None:
        holders = {"a": {"e1", "e2"}, "b": {"e2", "e3"}, "c": {"e1", "e3"}}
        demand = {"a": 1.0, "b": 20.0, "c": 5.0, "missing": 9.0}
        loads = LoadEstimate(demand, holders, equal("e1", "e2", "e3", "e4")).loads
        assert sum(loads.values()) == pytest.approx(26.0)
        assert loads["e4"] == 0.0

    def test_load_of_a_single_engine_is_its_demand(self) -> None:
        assert LoadEstimate({}, {}, equal("e1")).loads == {"e1": 0.0}
        assert LoadEstimate({"a": 1.0}, {"a": {"e1"}}, equal("e1")).loads == {"e1": 1.0}


class TestSpeeds:
    """Covers engines of which one is several times as fast as another."""

    SPEEDS: ClassVar = {"slow": 0.5, "fast": 2.0}

    def test_faster_engine_gets_more_of_the_requests(self) -> None:
        loads = LoadEstimate({"a": 10.0}, {"a": {"slow", "fast"}}, self.SPEEDS).loads
        assert loads == pytest.approx({"slow": 4.0, "fast": 4.0})

    def test_replica_on_the_faster_engine_gains_more(self) -> None:
        speeds = self.SPEEDS | {"e": 1.0}
        estimate = LoadEstimate({"a": 10.0}, {"a": {"e"}}, speeds)
        assert estimate.gain_of_adding("a", "fast") > estimate.gain_of_adding("a", "slow")

    def test_removing_the_slower_replica_costs_less(self) -> None:
        speeds = self.SPEEDS | {"e": 1.0}
        estimate = LoadEstimate({"a": 10.0}, {"a": set(speeds)}, speeds)
        assert estimate.loss_of_removing("a", "slow") < estimate.loss_of_removing("a", "fast")


class TestChanges:
    """Covers the estimated effect of one more or one fewer holder of a model."""

    HOLDERS: ClassVar = {"a": {"e1", "e2"}, "b": {"e2"}, "c": {"e3"}}
    DEMAND: ClassVar = {"a": 6.0, "b": 2.0, "c": 1.0}
    ENGINES: ClassVar = {"e1": 1.0, "e2": 1.0, "e3": 1.0, "e4": 1.0}

    def cost(self, holders: dict[str, set[str]]) -> float:
        loads = LoadEstimate(self.DEMAND, holders, self.ENGINES).loads
        return sum(load * load for load in loads.values())

    @pytest.mark.parametrize(("model", "engine"), [("a", "e3"), ("a", "e4"), ("c", "e4")])
    def test_gain_is_close_to_a_full_estimate(self, model: str, engine: str) -> None:
        estimate = LoadEstimate(self.DEMAND, self.HOLDERS, self.ENGINES)
        after = self.cost({**self.HOLDERS, model: self.HOLDERS[model] | {engine}})
        exact = self.cost(self.HOLDERS) - after
        assert estimate.gain_of_adding(model, engine) == pytest.approx(exact, rel=0.2)

    def test_loss_is_close_to_a_full_estimate(self) -> None:
        estimate = LoadEstimate(self.DEMAND, self.HOLDERS, self.ENGINES)
        exact = self.cost({**self.HOLDERS, "a": {"e1"}}) - self.cost(self.HOLDERS)
        assert estimate.loss_of_removing("a", "e2") == pytest.approx(exact, rel=0.2)

    def test_missing_model_changes_no_load(self) -> None:
        estimate = LoadEstimate({"a": 1.0}, {}, equal("e1"))
        assert estimate.gain_of_adding("a", "e1") == 0.0
        assert estimate.loss_of_removing("a", "e1") == 0.0
