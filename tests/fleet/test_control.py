"""Tests for what control instances conclude from the reports of others."""

from __future__ import annotations

import attrs
import pytest
import trio

from briardyke.addresses import parse_address
from briardyke.fleet.control import MISSED_HEARTBEAT_MS, ControlInstance
from briardyke.fleet.records import READY, EntryInstance, Upstream

ROW = Upstream("e", 1, 1, "s", "10.0.0.1:80", "dc", READY)
ENTRY = EntryInstance("entry", 1, 1, "10.0.0.2:80", "dc", True)


@pytest.fixture
async def control(autojump_clock: trio.testing.MockClock) -> ControlInstance:
    control = ControlInstance(None, None, None, parse_address("10.0.0.9:7700"))  # type: ignore
    control.tables.upstreams.merge(ROW)
    return control


def report(control: ControlInstance, *unreachable: bool) -> None:
    """Merge the report of one entry instance for each flag."""
    for number, flag in enumerate(unreachable):
        ids = ["e"] if flag else []
        row = attrs.evolve(ENTRY, instance_id=f"entry-{number}", unreachable=ids)
        control.tables.entries.merge(row)


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
        control: ControlInstance,
        reports: tuple[bool, ...],
        silence_ms: float,
        is_gone: bool,
    ) -> None:
        await trio.sleep(silence_ms / 1000.0)
        report(control, *reports)
        assert control.unreachable_upstreams() == ({"e"} if is_gone else set())

    async def test_unknown_upstream_is_passed_over(self, control: ControlInstance) -> None:
        control.tables.entries.merge(attrs.evolve(ENTRY, unreachable=["other"]))
        assert control.unreachable_upstreams() == set()
