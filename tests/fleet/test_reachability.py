"""Tests for detecting crashed upstreams from reports of entry instances."""

from __future__ import annotations

import attrs
import pytest
import trio

from briardyke.fleet.activity import ActivityAggregator
from briardyke.fleet.reachability import MISSED_HEARTBEAT_MS, unreachable_upstreams
from briardyke.fleet.records import READY, EntryInstance, Upstream
from briardyke.fleet.tables import SoftTables

ROW = Upstream("e", 1, 1, "s", "10.0.0.1:80", "dc", READY)
ENTRY = EntryInstance("entry", 1, 1, "10.0.0.2:80", "dc", True)


@pytest.fixture
async def tables(autojump_clock: trio.testing.MockClock) -> SoftTables:
    tables = SoftTables()
    tables.upstreams.merge(ROW)
    return tables


def record_reports(activity: ActivityAggregator, *unreachable: bool) -> None:
    """Record the report of one entry instance for each flag."""
    for number, flag in enumerate(unreachable):
        ids = ["e"] if flag else []
        row = attrs.evolve(ENTRY, instance_id=f"entry-{number}", unreachable=ids)
        activity.record_report(row)


class TestUnreachableUpstreams:
    """Covers crashed engines and failed network links of entry instances."""

    @pytest.mark.parametrize(
        ("reports", "silence_ms", "is_unreachable"),
        [
            ((True, True, False), MISSED_HEARTBEAT_MS + 100, True),
            ((True, False, False), MISSED_HEARTBEAT_MS + 100, False),
            ((True, True, True), MISSED_HEARTBEAT_MS - 100, False),
            ((False, False), 60_000.0, False),
            ((True,), MISSED_HEARTBEAT_MS + 100, True),
        ],
    )
    async def test_several_reports_and_a_missed_heartbeat_are_required(
        self,
        autojump_clock: trio.testing.MockClock,
        tables: SoftTables,
        reports: tuple[bool, ...],
        silence_ms: float,
        is_unreachable: bool,
    ) -> None:
        await trio.sleep(silence_ms / 1000.0)
        activity = ActivityAggregator("control")
        record_reports(activity, *reports)
        assert unreachable_upstreams(tables, activity) == ({"e"} if is_unreachable else set())

    async def test_unknown_upstream_is_ignored(
        self, autojump_clock: trio.testing.MockClock, tables: SoftTables
    ) -> None:
        activity = ActivityAggregator("control")
        activity.record_report(attrs.evolve(ENTRY, unreachable=["other"]))
        assert unreachable_upstreams(tables, activity) == set()
