"""Tests for the placement of models, each under a typical load."""

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
    fields = {"at_hand": frozenset(), "is_free": True, "is_staying": True} | changes
    return EngineView(name, "s", dict.fromkeys(held, 0), **fields)  # type: ignore[arg-type]


def view(
    room: EngineSpec, engines: list[EngineView], starts: int = 9, **demand: float
) -> ModelsView:
    return ModelsView(room, engines, demand, starts)


LOAD, UNLOAD = ChangeKind.LOAD, ChangeKind.UNLOAD


class TestMissingModels:
    """Covers requested models that no engine holds."""

    def test_missing_model_is_loaded_where_there_is_room(self) -> None:
        room = spec(a=40, b=40, c=40)
        engines = [engine("e1", "a", "b"), engine("e2", "a")]
        assert decide(view(room, engines, a=5, c=1)) == [Change(LOAD, "e2", "c", True)]

    def test_model_without_requests_is_unloaded_for_a_missing_one(self) -> None:
        room = spec(a=50, b=50, c=50)
        engines = [engine("e1", "a", "b")]
        assert decide(view(room, engines, a=5, c=1)) == [Change(UNLOAD, "e1", "b")]

    def test_rare_model_does_not_displace_the_only_replica_of_a_busy_one(self) -> None:
        room = spec(a=60, b=60)
        assert decide(view(room, [engine("e1", "a")], a=5, b=1)) == []

    def test_copy_at_hand_is_preferred_and_needs_no_store(self) -> None:
        room = spec(a=50, c=50)
        engines = [engine("e1", "a"), engine("e2", "a", at_hand=frozenset({"c"}))]
        found = decide(view(room, engines, starts=0, a=5, c=1))
        assert found == [Change(LOAD, "e2", "c", False)]

    def test_store_that_is_used_up_starts_nothing(self) -> None:
        assert decide(view(spec(a=50), [engine("e1")], starts=0, a=5)) == []

    @pytest.mark.parametrize("change", [{"is_free": False}, {"is_staying": False}])
    def test_engine_that_is_busy_or_leaves_gets_no_order(self, change: dict[str, bool]) -> None:
        assert decide(view(spec(a=50), [engine("e1", **change)], a=5)) == []


class TestIdleModels:
    """Covers rare models that pause between two requests."""

    def test_idle_model_makes_way_before_a_replica_that_busy_demand_needs(self) -> None:
        room = spec(a=50, b=50, c=50)
        engines = [engine("e1", "a", "b"), engine("e2", "a", "b"), engine("e3", "a", "b")]
        engines[2] = engine("e3", "a", "b")
        state_view = attrs.evolve(view(room, engines, a=9, c=0.3), lasting={"b": 0.3})
        assert {(c.kind, c.model) for c in decide(state_view)} == {(UNLOAD, "b")}

    def test_model_asked_for_lately_stays_before_one_that_was_not(self) -> None:
        room = spec(a=50, b=50, c=50)
        state_view = view(room, [engine("e1", "a", "b")], c=1)
        found = decide(attrs.evolve(state_view, lasting={"a": 0.4, "b": 0.01}))
        assert found == [Change(UNLOAD, "e1", "b")]


class TestShiftingDemand:
    """Covers a model whose demand rises past what its replicas carry."""

    def test_hot_model_gets_a_replica_in_place_of_one_without_demand(self) -> None:
        room = spec(a=50, b=50, c=50)
        engines = [engine("e1", "a", "b"), engine("e2", "b", "c"), engine("e3", "b", "c")]
        changes = decide(view(room, engines, a=9, c=1))
        assert {(c.kind, c.model) for c in changes} == {(UNLOAD, "b")}

    def test_model_that_rises_far_gets_several_replicas_at_once(self) -> None:
        room = spec(a=50, b=50, c=50, d=50)
        engines = [engine("e0", "a")] + [engine(f"e{n}", "bcd"[n % 3]) for n in range(1, 9)]
        changes = decide(view(room, engines, a=30, b=4, c=4, d=4))
        assert [c.model for c in changes].count("a") >= 3

    def test_first_requests_of_the_traffic_displace_nothing(self) -> None:
        room = spec(a=50, b=50, c=50, d=50)
        engines = [engine("e1", "a", "b"), engine("e2", "c"), engine("e3", "b", "c")]
        start = attrs.evolve(view(room, engines, a=9, d=1), is_settled=False)
        assert {c.kind for c in decide(start)} == {LOAD}
        assert UNLOAD in {c.kind for c in decide(view(room, engines, a=9, d=1, c=1))}

    def test_even_load_moves_nothing(self) -> None:
        room = spec(a=50, b=50)
        engines = [engine("e1", "a", "b"), engine("e2", "a", "b")]
        assert decide(view(room, engines, a=5, b=5)) == []

    def test_memory_is_never_committed_beyond_its_bound(self) -> None:
        room = spec(weights_mb=100.0, a=60, b=50)
        assert all(c.kind is UNLOAD for c in decide(view(room, [engine("e1", "b")], a=5, b=0)))


class TestAdapters:
    """Covers models with many adapters, which an engine cannot take while it loads a model."""

    def test_one_holder_stays_free_while_another_one_changes(self) -> None:
        room = spec(a=40, b=40, c=40)
        with_adapters = attrs.evolve(room.models["a"], adapters=20)
        room = attrs.evolve(room, models=room.models | {"a": with_adapters})
        engines = [engine("e1", "a"), engine("e2", "a", is_free=False)]
        room = attrs.evolve(room, models={k: room.models[k] for k in ("a", "b")})
        held = [engine("e3", "b"), *engines]
        assert decide(view(room, [attrs.evolve(e) for e in held], a=1, b=9)) == []
        held[2] = engine("e2", "a")
        assert len(decide(view(room, held, a=1, b=9))) == 1

    def test_overloaded_model_does_not_wait_for_a_holder_that_is_busy_for_long(self) -> None:
        room = spec(a=40, b=40)
        with_adapters = attrs.evolve(room.models["a"], adapters=20)
        room = attrs.evolve(room, models=room.models | {"a": with_adapters})
        busy = engine("e2", "a", is_free=False, free_in_ms=6000.0)
        found = decide(view(room, [engine("e3", "b"), engine("e1", "a"), busy], a=1, b=9))
        assert found == [Change(LOAD, "e1", "b", True)]

    def test_only_holder_still_takes_missing_models(self) -> None:
        room = spec(a=40, c=40)
        with_adapters = attrs.evolve(room.models["a"], adapters=20)
        room = attrs.evolve(room, models=room.models | {"a": with_adapters})
        found = decide(view(room, [engine("e1", "a")], a=5, c=1))
        assert found == [Change(LOAD, "e1", "c", True)]


class TestFewEnginesLeft:
    """Covers a busy model on one of few engines while rare models are asked for."""

    def test_busy_model_gets_the_next_engine_before_rare_ones(self) -> None:
        room = spec(hot=40, warm=40, r1=40, r2=40, r3=40)
        engines = [engine("e1", "hot", "warm"), engine("e2", "r1", "r2")]
        engines.append(engine("e3", "r2", is_free=False, free_in_ms=5000.0))
        found = decide(view(room, engines, hot=15, warm=5, r3=0.5))
        assert [(c.upstream_id, c.kind) for c in found] == [("e2", UNLOAD)]

    def test_rare_model_still_gets_a_place_when_busy_ones_are_even(self) -> None:
        room = spec(hot=40, warm=40, r1=40, r2=40)
        engines = [engine("e1", "hot", "warm"), engine("e2", "hot", "warm"), engine("e3", "r1")]
        assert decide(view(room, engines, hot=4, warm=4, r2=0.5))[0].model == "r2"


class TestLongLoads:
    """Covers loads from the store, which keep an engine from other orders for seconds."""

    def test_engine_that_is_free_soon_and_keeps_a_copy_is_waited_for(self) -> None:
        room = spec(a=40, b=40, c=40)
        soon = engine("e1", "a", at_hand=frozenset({"c"}), is_free=False, free_in_ms=600.0)
        assert decide(view(room, [soon, engine("e2", "b")], a=1, b=1, c=2)) == []
        late = attrs.evolve(soon, free_in_ms=9000.0)
        found = decide(view(room, [late, engine("e2", "b")], a=1, b=1, c=2))
        assert found == [Change(LOAD, "e2", "c", True)]

    def test_rare_models_leave_engines_free_for_a_rise_in_demand(self) -> None:
        room = spec(a=40, **{f"r{i}": 40.0 for i in range(5)})
        engines = [engine(f"e{i}", "a") for i in range(5)]
        rare = {f"r{i}": 0.5 for i in range(5)}
        assert len(decide(view(room, engines, a=20, **rare))) == 2
        engines[0] = engine("e0", "a", is_free=False, is_loading=True, free_in_ms=3000.0)
        assert len(decide(view(room, engines, a=20, **rare))) == 1

    def test_busy_model_is_not_held_back_by_loads_of_rare_ones(self) -> None:
        room = spec(a=40, b=40, r=40)
        loading = {"is_free": False, "is_loading": True, "free_in_ms": 5000.0}
        engines = [engine("e1", "r", **loading), engine("e2", "r", **loading), engine("e3", "b")]
        assert decide(view(room, engines, a=5, b=5)) == [Change(LOAD, "e3", "a", True)]

    def test_model_that_stays_missing_is_loaded_eventually(self) -> None:
        room = spec(weights_mb=50.0, a=40, r=40)
        state_view = attrs.evolve(
            view(room, [engine("e1", "a")], a=0.4, r=0.35), lasting={"a": 0.4}
        )
        assert decide(state_view) == []
        later = attrs.evolve(state_view, missing_s={"r": 30.0})
        assert decide(later) == [Change(UNLOAD, "e1", "a")]


class TestReplicaBeingLoaded:
    """Covers a busy model with one replica that serves and one that is still being loaded."""

    def test_serving_replica_stays_until_the_other_one_serves(self) -> None:
        room = spec(weights_mb=50.0, a=40, b=40, c=40)
        serving = engine("e1", "a")
        loading = engine("e2", "a", is_free=False, free_in_ms=5000.0, arriving="a")
        other = engine("e3", "b", is_free=False, free_in_ms=9000.0)
        state_view = view(room, [serving, loading, other], a=4, b=4, c=1)
        assert decide(state_view) == []
        arrived = attrs.evolve(loading, is_free=True, free_in_ms=0.0, arriving="")
        found = decide(attrs.evolve(state_view, engines=[serving, arrived, other]))
        assert [(c.kind, c.model) for c in found] == [(UNLOAD, "a")]


class TestFluctuatingDemand:
    """Covers demand that goes up and down around what the replicas carry."""

    def test_nothing_moves_while_it_stays_within_the_margins(self) -> None:
        room = spec(a=50, b=50, c=50)
        engines = [engine("e1", "a", "b"), engine("e2", "a", "c"), engine("e3", "b", "c")]
        for demand in (4.0, 5.0, 6.0, 7.0, 5.0):
            assert decide(view(room, engines, a=demand, b=3, c=3)) == []

    def test_model_stays_for_a_while_after_its_load(self) -> None:
        room = spec(a=50, b=50, c=50)
        held = engine("e1", "a", "b", recent=frozenset({"b"}))
        assert decide(view(room, [held], a=5, c=1)) == []
