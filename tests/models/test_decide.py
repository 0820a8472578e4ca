"""Tests for placement decisions under typical loads."""

from __future__ import annotations

import attrs
import pytest

from briardyke.models.decide import decide
from briardyke.models.types import Change, ChangeKind, EngineView, ModelsView
from briardyke.routes.configuration import EngineSpec, ModelSpec


def spec(weights_mb: float = 100.0, **sizes: float) -> EngineSpec:
    models = {name: ModelSpec(name, mb, 5.0, 1.0, 0.5, 0, 0.0) for name, mb in sizes.items()}
    return EngineSpec(8, weights_mb, 8, 1.0, 1000, models)


def engine(name: str, *held: str, **changes: object) -> EngineView:
    fields = {"at_hand": frozenset(), "is_free": True, "is_available": True} | changes
    return EngineView(name, "s", dict.fromkeys(held, 0), **fields)  # type: ignore[arg-type]


def view(
    engine_spec: EngineSpec, engines: list[EngineView], store_loads_left: int = 9, **demand: float
) -> ModelsView:
    return ModelsView(engine_spec, engines, demand, store_loads_left)


LOAD, UNLOAD = ChangeKind.LOAD, ChangeKind.UNLOAD


class TestMissingModels:
    """Covers requested models that no engine holds."""

    def test_missing_model_is_loaded_where_memory_is_free(self) -> None:
        engine_spec = spec(a=40, b=40, c=40)
        engines = [engine("e1", "a", "b"), engine("e2", "a")]
        assert decide(view(engine_spec, engines, a=5, c=1)) == [Change(LOAD, "e2", "c", True)]

    def test_model_without_requests_is_unloaded_for_a_missing_one(self) -> None:
        engine_spec = spec(a=50, b=50, c=50)
        engines = [engine("e1", "a", "b")]
        assert decide(view(engine_spec, engines, a=5, c=1)) == [Change(UNLOAD, "e1", "b")]

    def test_rare_model_does_not_displace_the_only_replica_of_a_busy_one(self) -> None:
        engine_spec = spec(a=60, b=60)
        assert decide(view(engine_spec, [engine("e1", "a")], a=5, b=1)) == []

    def test_engine_with_a_local_copy_is_preferred_and_needs_no_store(self) -> None:
        engine_spec = spec(a=50, c=50)
        engines = [engine("e1", "a"), engine("e2", "a", at_hand=frozenset({"c"}))]
        found = decide(view(engine_spec, engines, store_loads_left=0, a=5, c=1))
        assert found == [Change(LOAD, "e2", "c", False)]

    def test_no_load_starts_beyond_the_limit_of_the_store(self) -> None:
        assert decide(view(spec(a=50), [engine("e1")], store_loads_left=0, a=5)) == []

    @pytest.mark.parametrize("change", [{"is_free": False}, {"is_available": False}])
    def test_engine_that_is_busy_or_unavailable_gets_no_order(
        self, change: dict[str, bool]
    ) -> None:
        assert decide(view(spec(a=50), [engine("e1", **change)], a=5)) == []


class TestIdleModels:
    """Covers rarely requested models between two requests."""

    def test_idle_model_is_evicted_before_a_replica_of_a_busy_model(self) -> None:
        engine_spec = spec(a=50, b=50, c=50)
        engines = [engine("e1", "a", "b"), engine("e2", "a", "b"), engine("e3", "a", "b")]
        engines[2] = engine("e3", "a", "b")
        models_view = attrs.evolve(
            view(engine_spec, engines, a=9, c=0.3), long_term_demand={"b": 0.3}
        )
        assert {(c.kind, c.model) for c in decide(models_view)} == {(UNLOAD, "b")}

    def test_model_without_recent_requests_is_evicted_before_one_with_some(self) -> None:
        engine_spec = spec(a=50, b=50, c=50)
        models_view = view(engine_spec, [engine("e1", "a", "b")], c=1)
        found = decide(attrs.evolve(models_view, long_term_demand={"a": 0.4, "b": 0.01}))
        assert found == [Change(UNLOAD, "e1", "b")]


class TestShiftingDemand:
    """Covers a model whose demand rises beyond the capacity of its replicas."""

    def test_busy_model_gets_a_replica_in_place_of_a_model_without_demand(self) -> None:
        engine_spec = spec(a=50, b=50, c=50)
        engines = [engine("e1", "a", "b"), engine("e2", "b", "c"), engine("e3", "b", "c")]
        changes = decide(view(engine_spec, engines, a=9, c=1))
        assert {(c.kind, c.model) for c in changes} == {(UNLOAD, "b")}

    def test_model_with_a_large_rise_in_demand_gets_several_replicas_at_once(self) -> None:
        engine_spec = spec(a=50, b=50, c=50, d=50)
        engines = [engine("e0", "a")] + [engine(f"e{n}", "bcd"[n % 3]) for n in range(1, 9)]
        changes = decide(view(engine_spec, engines, a=30, b=4, c=4, d=4))
        assert [c.model for c in changes].count("a") >= 3

    def test_nothing_is_unloaded_when_traffic_has_just_started(self) -> None:
        engine_spec = spec(a=50, b=50, c=50, d=50)
        engines = [engine("e1", "a", "b"), engine("e2", "c"), engine("e3", "b", "c")]
        start = attrs.evolve(view(engine_spec, engines, a=9, d=1), is_demand_settled=False)
        assert {c.kind for c in decide(start)} == {LOAD}
        assert UNLOAD in {c.kind for c in decide(view(engine_spec, engines, a=9, d=1, c=1))}

    def test_nothing_changes_under_an_even_load(self) -> None:
        engine_spec = spec(a=50, b=50)
        engines = [engine("e1", "a", "b"), engine("e2", "a", "b")]
        assert decide(view(engine_spec, engines, a=5, b=5)) == []

    def test_memory_is_never_overcommitted(self) -> None:
        engine_spec = spec(weights_mb=100.0, a=60, b=50)
        assert all(
            c.kind is UNLOAD for c in decide(view(engine_spec, [engine("e1", "b")], a=5, b=0))
        )


class TestAdapters:
    """Covers models with many adapters, which an engine cannot load while it loads a model."""

    def test_one_holder_stays_free_while_another_one_is_busy(self) -> None:
        engine_spec = spec(a=40, b=40, c=40)
        with_adapters = attrs.evolve(engine_spec.models["a"], adapters=20)
        engine_spec = attrs.evolve(engine_spec, models=engine_spec.models | {"a": with_adapters})
        engines = [engine("e1", "a"), engine("e2", "a", is_free=False)]
        engine_spec = attrs.evolve(
            engine_spec, models={k: engine_spec.models[k] for k in ("a", "b")}
        )
        held = [engine("e3", "b"), *engines]
        assert decide(view(engine_spec, [attrs.evolve(e) for e in held], a=1, b=9)) == []
        held[2] = engine("e2", "a")
        assert len(decide(view(engine_spec, held, a=1, b=9))) == 1

    def test_overloaded_model_does_not_wait_for_a_holder_that_is_busy_for_long(self) -> None:
        engine_spec = spec(a=40, b=40)
        with_adapters = attrs.evolve(engine_spec.models["a"], adapters=20)
        engine_spec = attrs.evolve(engine_spec, models=engine_spec.models | {"a": with_adapters})
        busy = engine("e2", "a", is_free=False, free_in_ms=6000.0)
        found = decide(view(engine_spec, [engine("e3", "b"), engine("e1", "a"), busy], a=1, b=9))
        assert found == [Change(LOAD, "e1", "b", True)]

    def test_only_holder_of_a_model_still_loads_missing_models(self) -> None:
        engine_spec = spec(a=40, c=40)
        with_adapters = attrs.evolve(engine_spec.models["a"], adapters=20)
        engine_spec = attrs.evolve(engine_spec, models=engine_spec.models | {"a": with_adapters})
        found = decide(view(engine_spec, [engine("e1", "a")], a=5, c=1))
        assert found == [Change(LOAD, "e1", "c", True)]


class TestFewEnginesLeft:
    """Covers a busy model on one of a few engines while rarely used models are requested."""

    def test_busy_model_gets_the_next_engine_before_rare_models(self) -> None:
        engine_spec = spec(hot=40, warm=40, r1=40, r2=40, r3=40)
        engines = [engine("e1", "hot", "warm"), engine("e2", "r1", "r2")]
        engines.append(engine("e3", "r2", is_free=False, free_in_ms=5000.0))
        found = decide(view(engine_spec, engines, hot=15, warm=5, r3=0.5))
        assert [(c.upstream_id, c.kind) for c in found] == [("e2", UNLOAD)]

    def test_rare_model_is_loaded_when_busy_models_are_evenly_loaded(self) -> None:
        engine_spec = spec(hot=40, warm=40, r1=40, r2=40)
        engines = [engine("e1", "hot", "warm"), engine("e2", "hot", "warm"), engine("e3", "r1")]
        assert decide(view(engine_spec, engines, hot=4, warm=4, r2=0.5))[0].model == "r2"


class TestLongLoads:
    """Covers loads from the store, during which an engine accepts no other order for seconds."""

    def test_decision_waits_for_an_engine_that_is_free_soon_and_keeps_a_copy(self) -> None:
        engine_spec = spec(a=40, b=40, c=40)
        soon = engine("e1", "a", at_hand=frozenset({"c"}), is_free=False, free_in_ms=600.0)
        assert decide(view(engine_spec, [soon, engine("e2", "b")], a=1, b=1, c=2)) == []
        late = attrs.evolve(soon, free_in_ms=9000.0)
        found = decide(view(engine_spec, [late, engine("e2", "b")], a=1, b=1, c=2))
        assert found == [Change(LOAD, "e2", "c", True)]

    def test_rare_models_leave_engines_free_for_a_rise_in_demand(self) -> None:
        engine_spec = spec(a=40, **{f"r{i}": 40.0 for i in range(5)})
        engines = [engine(f"e{i}", "a") for i in range(5)]
        rare = {f"r{i}": 0.5 for i in range(5)}
        assert len(decide(view(engine_spec, engines, a=20, **rare))) == 2
        engines[0] = engine("e0", "a", is_free=False, is_loading_from_store=True, free_in_ms=3000.0)
        assert len(decide(view(engine_spec, engines, a=20, **rare))) == 1

    def test_loads_of_rare_models_do_not_delay_a_busy_model(self) -> None:
        engine_spec = spec(a=40, b=40, r=40)
        loading = {"is_free": False, "is_loading_from_store": True, "free_in_ms": 5000.0}
        engines = [engine("e1", "r", **loading), engine("e2", "r", **loading), engine("e3", "b")]
        assert decide(view(engine_spec, engines, a=5, b=5)) == [Change(LOAD, "e3", "a", True)]

    def test_model_that_stays_missing_is_loaded_eventually(self) -> None:
        engine_spec = spec(weights_mb=50.0, a=40, r=40)
        models_view = attrs.evolve(
            view(engine_spec, [engine("e1", "a")], a=0.4, r=0.35), long_term_demand={"a": 0.4}
        )
        assert decide(models_view) == []
        later = attrs.evolve(models_view, missing_s={"r": 30.0})
        assert decide(later) == [Change(UNLOAD, "e1", "a")]


class TestReplicaBeingLoaded:
    """Covers a busy model with one replica that serves and one that is still being loaded."""

    def test_serving_replica_stays_until_the_other_one_serves(self) -> None:
        engine_spec = spec(weights_mb=50.0, a=40, b=40, c=40)
        serving = engine("e1", "a")
        loading = engine("e2", "a", is_free=False, free_in_ms=5000.0, loading="a")
        other = engine("e3", "b", is_free=False, free_in_ms=9000.0)
        models_view = view(engine_spec, [serving, loading, other], a=4, b=4, c=1)
        assert decide(models_view) == []
        arrived = attrs.evolve(loading, is_free=True, free_in_ms=0.0, loading="")
        found = decide(attrs.evolve(models_view, engines=[serving, arrived, other]))
        assert [(c.kind, c.model) for c in found] == [(UNLOAD, "a")]

    def test_replica_added_by_the_same_decision_is_no_substitute(self) -> None:
        """Guards against unloading the only serving replica of the busiest model.

        Its next replicas had been ordered in the same decision and took three seconds to load.
        """
        engine_spec = spec(weights_mb=50.0, a=40, b=40)
        engines = [engine("e1", "a", at_hand=frozenset({"b"})), engine("e2"), engine("e3")]
        found = decide(attrs.evolve(view(engine_spec, engines, a=25, b=2), missing_s={"b": 60.0}))
        assert Change(LOAD, "e2", "a", True) in found
        assert {c.kind for c in found} == {LOAD}


class TestFluctuatingDemand:
    """Covers demand that varies around the capacity of the replicas."""

    def test_nothing_changes_while_demand_stays_within_the_margins(self) -> None:
        engine_spec = spec(a=50, b=50, c=50)
        engines = [engine("e1", "a", "b"), engine("e2", "a", "c"), engine("e3", "b", "c")]
        for demand in (4.0, 5.0, 6.0, 7.0, 5.0):
            assert decide(view(engine_spec, engines, a=demand, b=3, c=3)) == []

    def test_recently_loaded_model_is_not_evicted(self) -> None:
        engine_spec = spec(a=50, b=50, c=50)
        held = engine("e1", "a", "b", recently_loaded=frozenset({"b"}))
        assert decide(view(engine_spec, [held], a=5, c=1)) == []


class TestLimitedEngine:
    """Covers an engine that accepts fewer requests than its models receive."""

    def test_only_replica_on_a_limited_engine_gets_another_one(self) -> None:
        engine_spec = spec(a=40, b=40, c=40)
        limited = engine("e1", "a", limit_per_s=1.0)
        engines = [limited, engine("e2", "b"), engine("e3", "c")]
        found = decide(view(engine_spec, engines, a=4, b=4, c=4))
        assert [(c.kind, c.model) for c in found] == [(LOAD, "a")]
        assert found[0].upstream_id != "e1"

    def test_same_engine_without_a_limit_is_left_alone(self) -> None:
        engine_spec = spec(a=40, b=40, c=40)
        engines = [engine("e1", "a"), engine("e2", "b"), engine("e3", "c")]
        assert decide(view(engine_spec, engines, a=4, b=4, c=4)) == []

    def test_limited_engine_gets_no_replica_of_a_busy_model(self) -> None:
        engine_spec = spec(a=40, b=40)
        limited = engine("e1", "b", limit_per_s=0.5)
        engines = [limited, engine("e2", "a"), engine("e3", "b")]
        found = decide(view(engine_spec, engines, a=12, b=1))
        assert [(c.upstream_id, c.model) for c in found] == [("e3", "a")]


class TestSoftwareVersions:
    """Covers services with upstreams of two software versions."""

    ENGINES = (
        engine("e1", "a", software_version="v1"),
        engine("e2", "a", software_version="v2"),
        engine("e3", "b", software_version="v2"),
        engine("e4", "b", software_version="v1"),
    )

    def test_broken_streams_of_a_busy_model_can_go_on_at_their_version(self) -> None:
        found = decide(view(spec(a=50, b=50), list(self.ENGINES), a=4, b=3.6))
        held = {(c.upstream_id, c.model) for c in found if c.kind is LOAD}
        assert {("e3", "a"), ("e4", "a")} & held

    def test_one_version_needs_no_second_replica(self) -> None:
        engines = [attrs.evolve(e, software_version="v1") for e in self.ENGINES]
        assert decide(view(spec(a=50, b=50), engines, a=4, b=3.6)) == []

    def test_pair_of_a_version_outlasts_another_replica(self) -> None:
        engine_spec = spec(a=50, b=50, c=50)
        pair = [engine(f"e{n}", "a", "b", software_version="v1") for n in (2, 3)]
        engines = [*pair, engine("e1", "a", "b", software_version="v2")]
        found = decide(view(engine_spec, engines, a=6, b=6, c=2))
        assert {c.upstream_id for c in found} == {"e1"}
