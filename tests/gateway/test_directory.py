"""Tests for the entry instances that callers are told of."""

from __future__ import annotations

import attrs

from briardyke.fleet.records import EntryInstance
from briardyke.gateway.directory import (
    CAPACITY_FACTOR,
    LEAST_LISTED,
    MAX_ADDRESSES,
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

    def test_only_as_many_are_named_as_the_traffic_needs(self) -> None:
        entries = fleet(30) + fleet(30, "dc-2")
        assert len(addresses_for("dc-1", entries, {})) == LEAST_LISTED
        named = addresses_for("dc-1", entries, {"dc-1": 100.0})
        assert len(named) == CAPACITY_FACTOR * 100.0 / 40.0
        assert all(address.startswith("dc-1") for address in named)

    def test_large_instances_go_first(self) -> None:
        large = fleet(4, "dc-1", capacity_per_s=130.0)
        entries = [attrs.evolve(e, instance_id=f"s{e.instance_id}") for e in fleet(20)] + large
        named = addresses_for("dc-1", entries, {"dc-1": 60.0})
        assert {e.address for e in large} <= set(named)
        assert len(named) == LEAST_LISTED

    def test_growing_traffic_only_adds(self) -> None:
        entries = fleet(30)
        few = addresses_for("dc-1", entries, {"dc-1": 60.0})
        many = addresses_for("dc-1", entries, {"dc-1": 120.0})
        assert set(few) < set(many)

    def test_burst_names_all_up_to_the_bound(self) -> None:
        assert len(addresses_for("dc-1", fleet(90), {"dc-1": 9000.0})) == MAX_ADDRESSES


class TestFewInstances:
    """Covers small fleets and data centres without instances."""

    def test_all_of_a_small_data_centre_are_named(self) -> None:
        assert len(addresses_for("dc-1", fleet(3) + fleet(3, "dc-2"), {})) == 3

    def test_single_near_instance_brings_in_the_others(self) -> None:
        entries = fleet(1) + fleet(3, "dc-2")
        assert len(addresses_for("dc-1", entries, {})) == 4
        assert len(addresses_for("", entries, {})) == 4

    def test_none_is_named_without_any(self) -> None:
        assert addresses_for("dc-1", [], {}) == []

    def test_listed_instances_are_those_of_every_data_centre(self) -> None:
        entries = fleet(10) + fleet(10, "dc-2") + fleet(1, "dc-3")
        listed = listed_instances(entries, {})
        assert len(listed) >= 2 * LEAST_LISTED
        assert sum(name.startswith("dc-1") for name in listed) >= LEAST_LISTED


class TestCapacity:
    """Covers instances that differ in processor and link."""

    def test_the_scarcer_of_processor_and_link_counts(self) -> None:
        assert capacity_per_s(1.0, 1000.0) == 100.0
        assert capacity_per_s(1.0, 0.96) == 10.0
        assert capacity_per_s(0.5, 0.0) == 50.0
