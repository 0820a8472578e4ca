"""Tests for the aggregated activity of entry instances."""

from __future__ import annotations

import attrs
import pytest
import trio

from briardyke.fleet.activity import REPORT_TTL_MS, SUM_TTL_MS, ActivityAggregator
from briardyke.fleet.records import EntryInstance

ENTRY = EntryInstance("entry-1", 1, 1, "10.0.0.2:80", "dc-1", True, {"m": 2.0}, [], 100.0, 3.0)


def entry(name: str, **changes: object) -> EntryInstance:
    return attrs.evolve(ENTRY, instance_id=name, **changes)  # type: ignore[arg-type]


@pytest.fixture
async def aggregators(
    autojump_clock: trio.testing.MockClock,
) -> tuple[ActivityAggregator, ActivityAggregator]:
    return ActivityAggregator("control-1"), ActivityAggregator("control-2")


class TestSums:
    """Covers sums over the entry instances of two control instances."""

    async def test_each_instance_counts_once(
        self,
        autojump_clock: trio.testing.MockClock,
        aggregators: tuple[ActivityAggregator, ActivityAggregator],
    ) -> None:
        one, two = aggregators
        one.record_report(entry("entry-1", in_flight={"e": [3, 1]}))
        one.record_report(entry("entry-1", sequence=2, in_flight={"e": [4, 1]}))
        two.record_report(
            entry("entry-2", data_centre="dc-2", in_flight={"e": [2, 2], "f": [1, 0]})
        )
        one.merge_sum(two.local_sum())
        assert one.demand() == {"m": 4.0}
        assert one.carried_per_s() == {"dc-1": 3.0, "dc-2": 3.0}
        assert one.in_flight_of_others("entry-1") == {"e": [2, 2], "f": [1, 0]}
        assert one.in_flight_of_others("entry-3") == {"e": [6, 3], "f": [1, 0]}

    async def test_report_expires_after_an_entry_instance_switches_control_instance(
        self,
        autojump_clock: trio.testing.MockClock,
        aggregators: tuple[ActivityAggregator, ActivityAggregator],
    ) -> None:
        one, two = aggregators
        one.record_report(ENTRY)
        await trio.sleep(REPORT_TTL_MS / 1000.0 + 0.1)
        two.record_report(ENTRY)
        one.merge_sum(two.local_sum())
        assert one.demand() == {"m": 2.0}

    async def test_sum_of_a_stopped_control_instance_expires(
        self,
        autojump_clock: trio.testing.MockClock,
        aggregators: tuple[ActivityAggregator, ActivityAggregator],
    ) -> None:
        one, two = aggregators
        two.record_report(ENTRY)
        one.merge_sum(two.local_sum())
        await trio.sleep(SUM_TTL_MS / 1000.0 + 0.1)
        assert one.demand() == {}

    async def test_late_sum_does_not_replace_a_newer_one(
        self,
        autojump_clock: trio.testing.MockClock,
        aggregators: tuple[ActivityAggregator, ActivityAggregator],
    ) -> None:
        one, two = aggregators
        late = two.local_sum()
        two.record_report(ENTRY)
        one.merge_sum(two.local_sum())
        one.merge_sum(late)
        assert one.demand() == {"m": 2.0}

    async def test_wanted_model_is_new_only_once(
        self,
        autojump_clock: trio.testing.MockClock,
        aggregators: tuple[ActivityAggregator, ActivityAggregator],
    ) -> None:
        one, two = aggregators
        assert two.record_report(entry("entry-2", wanted=["rare"]))
        assert not two.record_report(entry("entry-2", wanted=["rare"]))
        assert one.merge_sum(two.local_sum())
        assert not one.merge_sum(two.local_sum())


class TestMessageSize:
    """Covers deployments with hundreds of entry instances."""

    async def test_sum_does_not_grow_with_the_number_of_entry_instances(
        self,
        autojump_clock: trio.testing.MockClock,
        aggregators: tuple[ActivityAggregator, ActivityAggregator],
    ) -> None:
        one, two = aggregators
        in_flight = {f"engine-{n}": [3, 1] for n in range(60)}
        for number in range(200):
            one.record_report(entry(f"entry-{number}", in_flight=in_flight))
        two.record_report(entry("entry-1", in_flight=in_flight))
        large, small = one.local_sum(), two.local_sum()
        assert len(large.in_flight) == len(small.in_flight)
        assert large.in_flight["engine-1"] == [600, 200]
