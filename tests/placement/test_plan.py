"""Check placement decisions."""

from __future__ import annotations

import attrs
from placement_support import World, configuration, demand, steps_of

from briardyke.agreed.configuration import Model
from briardyke.placement.types import PendingOrder, StepKind


class TestReachability:
    """Guards against models that no caller can reach."""

    def test_unreachable_models_come_in_order_of_demand_priority_and_replicas(self) -> None:
        """Guards against an urgent model waiting behind others at the store."""
        config = configuration(
            {"a": 1, "b": 1}, c=Model(1, ("*",), priority=1), d=Model(1, ("*",), minimum_replicas=2)
        )
        world = World(config, demand=demand(b=10.0))
        world.engine("e1", 10)
        items = [item for _, _, item in steps_of(world.view())]
        assert items == ["b", "c", "d", "a"]

    def test_model_goes_only_to_engines_that_its_patterns_match(self) -> None:
        """Guards against placement outside the allowed instances."""
        world = World(configuration({}, a=Model(1, ("sales-*",)), b=Model(1, ("sorting-?",))))
        for name in ("sales-1", "sorting-1", "sorting-10"):
            world.engine(name, 10)
        placed = {item: engine for _, engine, item in steps_of(world.view())}
        assert placed == {"a": "sales-1", "b": "sorting-1"}

    def test_large_model_gets_its_place_before_smaller_ones_fill_it(self) -> None:
        """Guards against demand order that splits the free memory."""
        world = World(configuration({"a": 2, "b": 2, "big": 4}), demand=demand(a=9.0, b=8.0))
        world.engine("e1", 4)
        world.engine("e2", 4)
        assert {item for _, _, item in steps_of(world.view())} == {"a", "b", "big"}

    def test_dead_worker_moves_only_what_it_alone_carried(self) -> None:
        """Guards against reshuffling healthy replicas after a failure."""
        world = World(configuration({"a": 1, "b": 1, "c": 1}), demand=demand(a=1, b=1, c=1))
        world.engine("e1", 3, ["a", "b"])
        world.engine("e2", 3, ["b", "c"])
        del world.rows["e1"]
        assert steps_of(world.view()) == [("load", "e2", "a")]

    def test_leaving_engine_takes_nothing_and_its_model_is_placed_elsewhere(self) -> None:
        """Guards against a model that disappears with a planned stop."""
        world = World(configuration({"a": 1, "b": 1}))
        world.engine("e1", 3, ["a"], lifecycle="leaving")
        world.engine("e2", 3, ["b"])
        assert steps_of(world.view()) == [("load", "e2", "a")]

    def test_unplaceable_model_moves_another_out_of_its_only_home(self) -> None:
        """Guards against a model that stays unreachable although a rearrangement fits it."""
        world = World(configuration({"a": 1}, big=Model(4, ("e1",))))
        world.engine("e1", 4, ["a"])
        world.engine("e2", 4)
        assert steps_of(world.view()) == [("load", "e2", "a")]
        world.engine("e2", 4, ["a"])
        assert steps_of(world.view()) == [("unload", "e1", "a")]

    def test_minimum_replicas_are_kept(self) -> None:
        """Guards against one replica where the version asks for two."""
        world = World(configuration({}, a=Model(1, ("*",), minimum_replicas=2)))
        world.engine("e1", 4, ["a"])
        world.engine("e2", 4)
        assert steps_of(world.view()) == [("load", "e2", "a")]

    def test_load_in_doubt_for_long_is_placed_elsewhere(self) -> None:
        """Guards against waiting forever for an engine that announces but takes no orders."""
        world = World(configuration({"a": 1}))
        world.engine("e1", 4)
        world.engine("e2", 4)
        pending = {("e1", "a"): PendingOrder(StepKind.LOAD, 1, 0.0)}
        assert steps_of(world.view(pending=pending), 1000.0) == []
        assert steps_of(world.view(pending=pending), 31_000.0) == [("load", "e2", "a")]


class TestMemory:
    """Guards against accelerator memory that is promised twice."""

    def test_reservation_counts_although_the_announcement_shows_nothing(self) -> None:
        """Guards against trusting an announcement while a load is on its way."""
        world = World(configuration({"a": 3, "b": 3}), demand=demand(b=10.0))
        world.engine("e1", 4)
        world.reserve("e1", "a", 3)
        assert steps_of(world.view()) == [("load", "e1", "a")]

    def test_load_waits_for_the_confirmed_unload(self) -> None:
        """Guards against reserving memory that is still in use."""
        world = World(configuration({"b": 3, "a": 3}))
        world.engine("e1", 4, ["a"])
        world.engine("e2", 3, ["a"])
        first = steps_of(world.view())
        assert [kind for kind, _, _ in first] == ["unload"]
        key = (first[0][1], "a")
        unloading = {key: PendingOrder(StepKind.UNLOAD, 3, 0.0)}
        assert steps_of(world.view(pending=unloading)) == []

    def test_last_replica_is_never_unloaded(self) -> None:
        """Guards against trading one unreachable model for another."""
        world = World(configuration({"a": 3, "b": 3}), demand=demand(b=10_000.0))
        world.engine("e1", 4, ["a"])
        assert steps_of(world.view()) == []

    def test_replica_whose_unload_is_in_doubt_is_not_counted_as_reachable(self) -> None:
        """Guards against unloading the only certain replica beside a doubtful one."""
        world = World(configuration({"a": 3, "b": 3}))
        world.engine("e1", 4, ["a"])
        world.engine("e2", 4, ["a"])
        unloading = {("e1", "a"): PendingOrder(StepKind.UNLOAD, 3, 0.0)}
        assert steps_of(world.view(pending=unloading)) == []

    def test_engine_that_ignores_fencing_is_not_unloaded_for_room(self) -> None:
        """Guards against counting on memory that a late order can fill again."""
        world = World(configuration({"a": 3, "b": 3}))
        world.engine("e1", 4, ["a"], checks_fencing=False)
        world.engine("e2", 4, ["a"], checks_fencing=False)
        assert steps_of(world.view()) == []

    def test_unknown_items_are_unloaded_when_idle(self) -> None:
        """Guards against items of old versions that hold memory for ever."""
        world = World(configuration({"a": 1}))
        world.engine("e1", 4, ["a", "old"], sizes={"old": 2})
        world.engine("e2", 4, ["older"], checks_fencing=False, sizes={"older": 2})
        assert steps_of(world.view()) == [("unload", "e1", "old")]

    def test_earlier_incarnation_holds_nothing(self) -> None:
        """Guards against memory lost to reservations of a process that is gone."""
        world = World(configuration({"a": 3, "b": 3}))
        world.engine("e1", 4, ["a"])
        world.rows["e1"] = attrs.evolve(world.rows["e1"], incarnation="e1-2", loaded=[])
        assert ("load", "e1", "a") in steps_of(world.view()) or ("load", "e1", "b") in steps_of(
            world.view()
        )


class TestAdapters:
    """Guards against adapters that callers ask for and cannot reach."""

    def test_demanded_adapter_is_loaded_beside_its_model(self) -> None:
        """Guards against an adapter on an engine without its model."""
        world = World(configuration({"m": 2, "n": 2}, {"x": ("m", 1), "y": ("m", 1)}))
        world.engine("e1", 4, ["n"])
        world.engine("e2", 4, ["m"])
        world.demand = demand(x=5.0)
        assert steps_of(world.view()) == [("load", "e2", "x")]

    def test_least_demanded_adapter_gives_way(self) -> None:
        """Guards against removing a busy adapter for a new one."""
        adapters = {"x": ("m", 1), "y": ("m", 1), "z": ("m", 1)}
        world = World(configuration({"m": 2}, adapters), demand=demand(x=100, y=1, z=50))
        world.engine("e1", 4, ["m", "x", "y"])
        assert steps_of(world.view()) == [("unload", "e1", "y")]


class TestReplicas:
    """Guards against replicas that miss demand or cost more than they gain."""

    def test_replica_is_added_where_demand_exceeds_one_engine(self) -> None:
        """Guards against ignoring a burst."""
        world = World(configuration({"a": 2}), demand=demand(a=4000.0))
        world.engine("e1", 4, ["a"])
        world.engine("e2", 4)
        assert steps_of(world.view()) == [("load", "e2", "a")]

    def test_move_must_pay_for_itself(self) -> None:
        """Guards against moves for a gain below their weighted cost."""
        config = configuration({"a": 2})
        world = World(config, demand=demand(a=4000.0))
        world.engine("e1", 4, ["a"])
        world.engine("e2", 4)
        costly = attrs.evolve(config.placement, move_weight=10.0)
        assert steps_of(world.view(configuration=attrs.evolve(config, placement=costly))) == []

    def test_small_changes_of_demand_cause_no_moves(self) -> None:
        """Guards against loading and unloading in turn around a threshold."""
        world = World(configuration({"a": 2, "b": 2}))
        world.engine("e1", 2, ["a"])
        world.engine("e2", 2, ["b"])
        world.engine("e3", 2, ["b"])
        for rate in (1900.0, 2100.0, 1900.0, 2100.0):
            world.demand = demand(a=rate, b=2600.0)
            assert steps_of(world.view()) == []

    def test_plan_depends_only_on_the_view(self) -> None:
        """Guards against two leaders that decide differently from the same state."""
        world = World(configuration({f"m{i}": 1 + i % 3 for i in range(9)}), demand=demand(m3=5))
        for i in range(4):
            world.engine(f"e{i}", 6)
        assert steps_of(world.view()) == steps_of(world.view())
