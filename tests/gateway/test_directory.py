"""Tests for the entry instances that are listed for callers."""

from __future__ import annotations

import attrs

from briardyke.fleet.records import EntryInstance
from briardyke.gateway.directory import (
    CAPACITY_FACTOR,
    MAX_ADDRESSES,
    MIN_LISTED_INSTANCES,
    addresses_for,
    capacity_per_s,
    listed_instances,
)

SMALL = EntryInstance("entry", 1, 1, "", "dc-1", True, capacity_per_s=40.0)


def fleet(count: int, data_centre: str = "dc-1", **changes: object) -> list[EntryInstance]:
    return [
        attrs.evolve(
            SMALL,
            instance_id=f"{data_centre}-{n}",
            address=f"{data_centre}-{n}:80",
            data_centre=data_centre,
            **changes,
        )
        for n in range(count)
    ]


class TestManyInstances:
    """Covers fleets with far more instances than the traffic needs."""

    def test_only_as_many_are_listed_as_the_traffic_needs(self) -> None:
        entries = fleet(30) + fleet(30, "dc-2")
        assert len(addresses_for("dc-1", entries, {})) == MIN_LISTED_INSTANCES
        listed = addresses_for("dc-1", entries, {"dc-1": 100.0})
        assert len(listed) == CAPACITY_FACTOR * 100.0 / 40.0
        assert all(address.startswith("dc-1") for address in listed)

    def test_largest_instances_are_listed_first(self) -> None:
        large = fleet(4, "dc-1", capacity_per_s=130.0)
        entries = [attrs.evolve(e, instance_id=f"s{e.instance_id}") for e in fleet(20)] + large
        listed = addresses_for("dc-1", entries, {"dc-1": 60.0})
        assert {e.address for e in large} <= set(listed)
        assert len(listed) == MIN_LISTED_INSTANCES

    def test_growing_traffic_only_adds_instances(self) -> None:
        entries = fleet(30)
        few = addresses_for("dc-1", entries, {"dc-1": 60.0})
        many = addresses_for("dc-1", entries, {"dc-1": 120.0})
        assert set(few) < set(many)

    def test_burst_lists_instances_up_to_the_limit(self) -> None:
        assert len(addresses_for("dc-1", fleet(90), {"dc-1": 9000.0})) == MAX_ADDRESSES


class TestFewInstances:
    """Covers small fleets and data centres without instances."""

    def test_all_instances_of_a_small_data_centre_are_listed(self) -> None:
        assert len(addresses_for("dc-1", fleet(3) + fleet(3, "dc-2"), {})) == 3

    def test_single_local_instance_is_listed_with_remote_ones(self) -> None:
        entries = fleet(1) + fleet(3, "dc-2")
        assert len(addresses_for("dc-1", entries, {})) == 4
        assert len(addresses_for("", entries, {})) == 4

    def test_list_is_empty_without_instances(self) -> None:
        assert addresses_for("dc-1", [], {}) == []

    def test_listed_instances_cover_every_data_centre(self) -> None:
        entries = fleet(10) + fleet(10, "dc-2") + fleet(1, "dc-3")
        listed = listed_instances(entries, {})
        assert len(listed) >= 2 * MIN_LISTED_INSTANCES
        assert sum(name.startswith("dc-1") for name in listed) >= MIN_LISTED_INSTANCES


class TestCapacity:
    """Covers instances that differ in CPU and network bandwidth."""

    def test_scarcer_of_cpu_and_bandwidth_limits_capacity(self) -> None:
        assert capacity_per_s(1.0, 1000.0) == 100.0
        assert capacity_per_s(1.0, 0.96) == 10.0
        assert capacity_per_s(0.5, 0.0) == 50.0


class TestInstancesWithoutLinks:
    """Guards against addresses at which callers are served only through another instance."""

    def test_callers_are_told_of_the_others(self) -> None:
        entries = [
            EntryInstance("a1", 1, 1, "a1", "a", True, reaches_upstreams=False),
            *(EntryInstance(f"a{i}", 1, 1, f"a{i}", "a", True) for i in (2, 3)),
        ]
        assert addresses_for("a", entries, {}) == ["a2", "a3"]
        assert listed_instances(entries, {}) == {"a2", "a3"}

    def test_lost_data_centre_is_served_by_the_others(self) -> None:
        entries = [
            *(
                EntryInstance(f"a{i}", 1, 1, f"a{i}", "a", True, reaches_upstreams=False)
                for i in (1, 2)
            ),
            EntryInstance("b1", 1, 1, "b1", "b", True),
        ]
        assert addresses_for("a", entries, {}) == ["b1"]

    def test_all_are_listed_if_none_has_links(self) -> None:
        entries = [
            EntryInstance(f"a{i}", 1, 1, f"a{i}", "a", True, reaches_upstreams=False)
            for i in (1, 2)
        ]
        assert addresses_for("a", entries, {}) == ["a1", "a2"]
