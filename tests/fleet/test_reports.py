"""Tests for what the reports of entry instances add up to."""

from __future__ import annotations

import attrs
import pytest
import trio

from briardyke.fleet.records import READY, EntryInstance, Upstream
from briardyke.fleet.reports import MISSED_HEARTBEAT_MS, total_demand, unreachable_upstreams
from briardyke.fleet.tables import Tables

ROW = Upstream("e", 1, 1, "s", "10.0.0.1:80", "dc", READY)
ENTRY = EntryInstance("entry", 1, 1, "10.0.0.2:80", "dc", True)


@pytest.fixture
async def tables(autojump_clock: trio.testing.MockClock) -> Tables:
    tables = Tables()
    tables.upstreams.merge(ROW)
    return tables


def report(tables: Tables, *unreachable: bool) -> None:
    """Merge the report of one entry instance for each flag."""
    for number, flag in enumerate(unreachable):
        ids = ["e"] if flag else []
        row = attrs.evolve(ENTRY, instance_id=f"entry-{number}", unreachable=ids)
        tables.entries.merge(row)


class TestUnreachableUpstreams:
    """Covers engines that crash, and links of entry instances that fail."""

    @pytest.mark.parametrize(
        ("reports", "silence_ms", "is_gone"),
        [
            ((True, True, False), MISSED_HEARTBEAT_MS + 100, True),
            ((True, False, False), MISSED_HEARTBEAT_MS + 100, False),
            ((True, True, True), MISSED_HEARTBEAT_MS - 100, False),
            ((False, False), 60_000.0, False),
            ((True,), MISSED_HEARTBEAT_MS + 100, True),
        ],
    )
    async def test_it_takes_several_reports_and_a_missed_heartbeat(
        self,
        tables: Tables,
        reports: tuple[bool, ...],
        silence_ms: float,
        is_gone: bool,
    ) -> None:
        await trio.sleep(silence_ms / 1000.0)
        report(tables, *reports)
        assert unreachable_upstreams(tables) == ({"e"} if is_gone else set())

    async def test_unknown_upstream_is_passed_over(self, tables: Tables) -> None:
        tables.entries.merge(attrs.evolve(ENTRY, unreachable=["other"]))
        assert unreachable_upstreams(tables) == set()


class TestTotalDemand:
    """Covers the demand of all entry instances."""

    async def test_silent_instance_no_longer_counts(self, tables: Tables) -> None:
        tables.entries.merge(attrs.evolve(ENTRY, demand={"m": 2.0, "n": 1.0}))
        await trio.sleep(4.0)
        tables.entries.merge(attrs.evolve(ENTRY, instance_id="other", demand={"m": 3.0}))
        assert total_demand(tables) == {"m": 5.0, "n": 1.0}
        tables.entries.mark_silent(2500.0, float("-inf"))
        assert total_demand(tables) == {"m": 3.0}
