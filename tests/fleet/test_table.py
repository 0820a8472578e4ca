"""Tests for soft tables."""

from __future__ import annotations

import attrs
import pytest
import trio

from briardyke.fleet.records import DRAINING, GONE, READY, Upstream
from briardyke.fleet.table import SoftTable

ROW = Upstream("i-1", 1000, 5, "s", "10.0.0.1:80", "dc-1", READY)


class TestMerge:
    """Covers delayed, repeated and reordered announcements."""

    @pytest.mark.parametrize(
        ("change", "is_changed"),
        [
            ({"sequence": 4, "lifecycle": DRAINING}, False),
            ({"sequence": 6, "lifecycle": DRAINING}, True),
            ({"sequence": 6}, False),
            ({"incarnation": 999, "sequence": 99, "lifecycle": DRAINING}, False),
            ({"incarnation": 1001, "sequence": 1, "slots": 4}, True),
            ({"lifecycle": GONE}, True),
        ],
    )
    async def test_only_newer_content_changes_the_table(
        self, change: dict[str, object], is_changed: bool
    ) -> None:
        table: SoftTable[Upstream] = SoftTable()
        table.merge(ROW)
        assert table.merge(attrs.evolve(ROW, **change)) is is_changed

    async def test_departure_is_final_within_an_incarnation(self) -> None:
        table: SoftTable[Upstream] = SoftTable()
        table.merge(attrs.evolve(ROW, lifecycle=GONE))
        assert not table.merge(attrs.evolve(ROW, sequence=50))
        assert table.merge(attrs.evolve(ROW, incarnation=2000, sequence=1))


class TestMarkSilent:
    """Covers owners that stop repeating their rows."""

    async def test_row_is_marked_silent_once_until_it_is_repeated(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        table: SoftTable[Upstream] = SoftTable()
        table.merge(ROW)
        await trio.sleep(6)
        assert table.mark_silent(5000.0, 0.0) == [ROW]
        assert table.mark_silent(5000.0, 0.0) == []
        before = table.sequence
        assert table.merge(attrs.evolve(ROW, sequence=6))
        assert [silent for _, silent in table.changed_after(before)] == [False]

    async def test_own_outage_does_not_count_as_silence(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        table: SoftTable[Upstream] = SoftTable()
        table.merge(ROW)
        await trio.sleep(60)
        since_ms = trio.current_time() * 1000.0
        assert table.mark_silent(5000.0, since_ms) == []
