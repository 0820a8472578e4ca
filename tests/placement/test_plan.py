"""Tests for placement decisions."""

from __future__ import annotations

import attrs
from placement_support import ViewBuilder, configuration, demand, steps_of

from briardyke.agreed.configuration import Model
from briardyke.placement.types import PendingOrder, StepKind


class TestReachability:
    """Guards against models that no caller can reach."""

    def test_unreachable_models_are_ordered_by_demand_priority_and_replicas(self) -> None:
        """Guards against an urgent model that waits for the loads of others."""
        config = configuration(
            {"a": 1, "b": 1}, c=Model(1, ("*",), priority=1), d=Model(1, ("*",), minimum_replicas=2)
        )
        builder = ViewBuilder(config, demand=demand(b=10.0))
        builder.add_engine("e1", 10)
        items = [item for _, _, item in steps_of(builder.view())]
        assert items == ["b", "c", "d", "a"]

    def test_model_is_loaded_only_by_engines_that_its_patterns_match(self) -> None:
        """Guards against placement outside the allowed instances."""
        builder = ViewBuilder(
            configuration({}, a=Model(1, ("sales-*",)), b=Model(1, ("sorting-?",)))
        )
        for name in ("sales-1", "sorting-1", "sorting-10"):
            builder.add_engine(name, 10)
        engine_by_item = {item: engine for _, engine, item in steps_of(builder.view())}
        assert engine_by_item == {"a": "sales-1", "b": "sorting-1"}

    def test_large_model_is_placed_before_small_ones_use_the_memory(self) -> None:
        """Guards against placement by demand that splits the free memory."""
        builder = ViewBuilder(
            configuration({"a": 2, "b": 2, "big": 4}), demand=demand(a=9.0, b=8.0)
        )
        builder.add_engine("e1", 4)
        builder.add_engine("e2", 4)
        assert {item for _, _, item in steps_of(builder.view())} == {"a", "b", "big"}

    def test_failed_engine_causes_loads_only_of_models_that_it_alone_held(self) -> None:
        """Guards against moving healthy replicas after a failure."""
        builder = ViewBuilder(configuration({"a": 1, "b": 1, "c": 1}), demand=demand(a=1, b=1, c=1))
        builder.add_engine("e1", 3, ["a", "b"])
        builder.add_engine("e2", 3, ["b", "c"])
        del builder.rows["e1"]
        assert steps_of(builder.view()) == [("load", "e2", "a")]

    def test_model_of_an_engine_that_shuts_down_is_placed_elsewhere(self) -> None:
        """Guards against a model that becomes unreachable through a planned shutdown."""
        builder = ViewBuilder(configuration({"a": 1, "b": 1}))
        builder.add_engine("e1", 3, ["a"], lifecycle="leaving")
        builder.add_engine("e2", 3, ["b"])
        assert steps_of(builder.view()) == [("load", "e2", "a")]

    def test_model_is_copied_elsewhere_to_free_the_only_engine_for_another(self) -> None:
        """Guards against a model that stays unreachable although moving another one would help."""
        builder = ViewBuilder(configuration({"a": 1}, big=Model(4, ("e1",))))
        builder.add_engine("e1", 4, ["a"])
        builder.add_engine("e2", 4)
        assert steps_of(builder.view()) == [("load", "e2", "a")]
        builder.add_engine("e2", 4, ["a"])
        assert steps_of(builder.view()) == [("unload", "e1", "a")]

    def test_minimum_replicas_are_kept(self) -> None:
        """Guards against one replica where the configuration requires two."""
        builder = ViewBuilder(configuration({}, a=Model(1, ("*",), minimum_replicas=2)))
        builder.add_engine("e1", 4, ["a"])
        builder.add_engine("e2", 4)
        assert steps_of(builder.view()) == [("load", "e2", "a")]

    def test_model_is_placed_elsewhere_after_its_load_was_unconfirmed_for_long(self) -> None:
        """Guards against waiting forever for an engine that is announced but takes no orders."""
        builder = ViewBuilder(configuration({"a": 1}))
        builder.add_engine("e1", 4)
        builder.add_engine("e2", 4)
        pending = {("e1", "a"): PendingOrder(StepKind.LOAD, 1, 0.0)}
        assert steps_of(builder.view(pending=pending), 1000.0) == []
        assert steps_of(builder.view(pending=pending), 31_000.0) == [("load", "e2", "a")]


class TestMemory:
    """Guards against accelerator memory that is assigned twice."""

    def test_reservation_counts_although_the_announcement_shows_nothing(self) -> None:
        """Guards against relying on an announcement while a load is in transit."""
        builder = ViewBuilder(configuration({"a": 3, "b": 3}), demand=demand(b=10.0))
        builder.add_engine("e1", 4)
        builder.add_reservation("e1", "a", 3)
        assert steps_of(builder.view()) == [("load", "e1", "a")]

    def test_load_waits_for_the_confirmed_unload(self) -> None:
        """Guards against reserving memory that is still in use."""
        builder = ViewBuilder(configuration({"b": 3, "a": 3}))
        builder.add_engine("e1", 4, ["a"])
        builder.add_engine("e2", 3, ["a"])
        first = steps_of(builder.view())
        assert [kind for kind, _, _ in first] == ["unload"]
        key = (first[0][1], "a")
        unloading = {key: PendingOrder(StepKind.UNLOAD, 3, 0.0)}
        assert steps_of(builder.view(pending=unloading)) == []

    def test_last_replica_is_never_unloaded(self) -> None:
        """Guards against making one model unreachable to load another."""
        builder = ViewBuilder(configuration({"a": 3, "b": 3}), demand=demand(b=10_000.0))
        builder.add_engine("e1", 4, ["a"])
        assert steps_of(builder.view()) == []

    def test_replica_with_an_unconfirmed_unload_does_not_count_as_reachable(self) -> None:
        """Guards against unloading the only replica that is certain to stay."""
        builder = ViewBuilder(configuration({"a": 3, "b": 3}))
        builder.add_engine("e1", 4, ["a"])
        builder.add_engine("e2", 4, ["a"])
        unloading = {("e1", "a"): PendingOrder(StepKind.UNLOAD, 3, 0.0)}
        assert steps_of(builder.view(pending=unloading)) == []

    def test_nothing_is_unloaded_to_free_memory_on_an_engine_that_ignores_fencing(self) -> None:
        """Guards against relying on memory that a delayed order can use again."""
        builder = ViewBuilder(configuration({"a": 3, "b": 3}))
        builder.add_engine("e1", 4, ["a"], checks_fencing=False)
        builder.add_engine("e2", 4, ["a"], checks_fencing=False)
        assert steps_of(builder.view()) == []

    def test_unknown_items_are_unloaded_when_idle(self) -> None:
        """Guards against items of old configurations that hold memory forever."""
        builder = ViewBuilder(configuration({"a": 1}))
        builder.add_engine("e1", 4, ["a", "old"], sizes={"old": 2})
        builder.add_engine("e2", 4, ["older"], checks_fencing=False, sizes={"older": 2})
        assert steps_of(builder.view()) == [("unload", "e1", "old")]

    def test_reservations_of_an_earlier_incarnation_hold_no_memory(self) -> None:
        """Guards against memory that stays reserved for a process that has ended."""
        builder = ViewBuilder(configuration({"a": 3, "b": 3}))
        builder.add_engine("e1", 4, ["a"])
        builder.rows["e1"] = attrs.evolve(builder.rows["e1"], incarnation="e1-2", loaded=[])
        assert ("load", "e1", "a") in steps_of(builder.view()) or ("load", "e1", "b") in steps_of(
            builder.view()
        )


class TestAdapters:
    """Guards against adapters that callers request and cannot reach."""

    def test_requested_adapter_is_loaded_where_its_model_is_loaded(self) -> None:
        """Guards against an adapter on an engine without its model."""
        builder = ViewBuilder(configuration({"m": 2, "n": 2}, {"x": ("m", 1), "y": ("m", 1)}))
        builder.add_engine("e1", 4, ["n"])
        builder.add_engine("e2", 4, ["m"])
        builder.demand = demand(x=5.0)
        assert steps_of(builder.view()) == [("load", "e2", "x")]

    def test_adapter_with_the_least_demand_is_evicted(self) -> None:
        """Guards against evicting a busy adapter for a new one."""
        adapters = {"x": ("m", 1), "y": ("m", 1), "z": ("m", 1)}
        builder = ViewBuilder(configuration({"m": 2}, adapters), demand=demand(x=100, y=1, z=50))
        builder.add_engine("e1", 4, ["m", "x", "y"])
        assert steps_of(builder.view()) == [("unload", "e1", "y")]


class TestReplicas:
    """Guards against missing replicas, and moves that cost more than they gain."""

    def test_replica_is_added_where_demand_exceeds_one_engine(self) -> None:
        """Guards against ignoring a burst of demand."""
        builder = ViewBuilder(configuration({"a": 2}), demand=demand(a=4000.0))
        builder.add_engine("e1", 4, ["a"])
        builder.add_engine("e2", 4)
        assert steps_of(builder.view()) == [("load", "e2", "a")]

    def test_no_move_costs_more_than_it_gains(self) -> None:
        """Guards against a move whose gain is below its weighted cost."""
        config = configuration({"a": 2})
        builder = ViewBuilder(config, demand=demand(a=4000.0))
        builder.add_engine("e1", 4, ["a"])
        builder.add_engine("e2", 4)
        costly = attrs.evolve(config.placement, move_weight=10.0)
        assert steps_of(builder.view(configuration=attrs.evolve(config, placement=costly))) == []

    def test_small_changes_of_demand_cause_no_moves(self) -> None:
        """Guards against alternating loads and unloads around a threshold."""
        builder = ViewBuilder(configuration({"a": 2, "b": 2}))
        builder.add_engine("e1", 2, ["a"])
        builder.add_engine("e2", 2, ["b"])
        builder.add_engine("e3", 2, ["b"])
        for rate in (1900.0, 2100.0, 1900.0, 2100.0):
            builder.demand = demand(a=rate, b=2600.0)
            assert steps_of(builder.view()) == []

    def test_plan_depends_only_on_the_view(self) -> None:
        """Guards against two leaders that decide differently from the same state."""
        builder = ViewBuilder(
            configuration({f"m{i}": 1 + i % 3 for i in range(9)}), demand=demand(m3=5)
        )
        for i in range(4):
            builder.add_engine(f"e{i}", 6)
        assert steps_of(builder.view()) == steps_of(builder.view())
