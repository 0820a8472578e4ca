"""Tests for the cost of requests by model."""

from __future__ import annotations

from briardyke.models.decide import decide
from briardyke.models.model_cost import relative_costs
from briardyke.models.types import ChangeKind, EngineView, ModelsView
from briardyke.routes.configuration import EngineSpec, ModelSpec


def spec(*names: str) -> EngineSpec:
    models = {name: ModelSpec(name, 70.0, 8.0, 1.6, 0.8, 0, 0.0) for name in names}
    return EngineSpec(32, 220.0, 8, 8.0, 93_000, models)


class TestRelativeCosts:
    """Covers the estimate."""

    def test_observed_speed_goes_before_size(self) -> None:
        models = spec("slow", "fast", "new").models
        costs = relative_costs(models, {"slow": 40.0, "fast": 14.0, "gone": 900.0})
        assert costs == {"slow": 1.0, "fast": 0.35, "new": 1.0}

    def test_sizes_serve_until_streams_are_observed(self) -> None:
        models = {
            "large": ModelSpec("large", 80.0, 8.0, 1.6, 0.8, 0, 0.0),
            "small": ModelSpec("small", 20.0, 8.0, 1.6, 0.8, 0, 0.0),
        }
        assert relative_costs(models, {}) == {"large": 1.0, "small": 0.25}


class TestFastModelOfFullSize:
    """Guards against replicas for a fast model that the slower ones of its size need."""

    def test_replica_goes_to_the_model_that_costs_most(self) -> None:
        engines = [
            EngineView(f"e{n}", "pool", {"fast" if n < 4 else "slow": 0}, frozenset(), True, True)
            for n in range(6)
        ]
        demand = {"fast": 40.0, "slow": 20.0}
        seen = {"fast": 14.0, "slow": 40.0}
        models = spec("fast", "slow")
        informed = decide(ModelsView(models, engines, demand, 8, demand, model_intervals_ms=seen))
        loads = [change.model for change in informed if change.kind is ChangeKind.LOAD]
        assert loads and set(loads) == {"slow"}
