"""Test departures of upstreams whose announcements the control instances no longer know."""

from __future__ import annotations

import attrs
import pytest

from briardyke.fleet.messages import FleetReply
from briardyke.fleet.records import GONE, READY, Upstream
from briardyke.fleet.view import FleetView
from briardyke.gateway.upstream_table import UpstreamTable

SERVICE = "s"
STARTED_MS = 1_000_000


def announced(name: str, lifecycle: str = READY) -> Upstream:
    return Upstream(name, STARTED_MS, 3, SERVICE, f"10.0.0.{ord(name)}:80", "dc", lifecycle)


def departed(name: str) -> Upstream:
    """Return the row of an upstream of which a restarted control instance knows only the id."""
    return Upstream(name, STARTED_MS + 500, 0, lifecycle=GONE)


class EntryUpstreams:
    """Upstreams of an entry instance, as control instances report them."""

    def __init__(self) -> None:
        self.view = FleetView()
        self.table = UpstreamTable()

    def report(self, *rows: Upstream) -> None:
        """Apply the rows of one reply."""
        reply = FleetReply(
            *(True, False, 1, None, "table", list(rows), 1, None, 0, "", [], [], 0, False)
        )
        self.view.apply_rows(reply)
        self.table.update(self.view.upstreams, {})

    def usable(self) -> list[str]:
        """Return the ids of the upstreams that get requests."""
        return sorted(state.row.upstream_id for state in self.table.usable(SERVICE))


class TestDepartureOfAnUnknownUpstream:
    """Guards against a departure that keeps entry instances from using any upstream, after all
    control instances have restarted beside upstreams that leave."""

    async def test_upstreams_listed_after_the_departure_are_used(self) -> None:
        """Guards against 503 for every request after a restart of all processes."""
        entry = EntryUpstreams()
        entry.report(departed("x"))
        entry.report(announced("a"), announced("b"))
        assert entry.usable() == ["a", "b"]

    async def test_later_departures_are_applied(self) -> None:
        """Guards against requests to upstreams that left after the departure of an unknown one."""
        entry = EntryUpstreams()
        entry.report(announced("a"), announced("b"))
        entry.report(departed("x"), announced("b", GONE), announced("c"))
        assert entry.usable() == ["a", "c"]

    async def test_known_upstream_is_no_longer_used(self) -> None:
        """Guards against requests to an upstream that the entry instance still knows."""
        entry = EntryUpstreams()
        entry.report(announced("a"), announced("b"))
        entry.report(departed("a"))
        assert entry.usable() == ["b"]

    async def test_late_announcement_does_not_revive_it_but_a_restart_does(self) -> None:
        """Guards against a departure that is forgotten because its row cannot be used."""
        entry = EntryUpstreams()
        entry.report(departed("a"))
        entry.report(announced("a"))
        assert entry.usable() == []
        entry.report(attrs.evolve(announced("a"), incarnation=STARTED_MS + 900, sequence=1))
        assert entry.usable() == ["a"]

    @pytest.mark.parametrize("address", ["", "10.0.0.9", "10.0.0.9:0", "10.0.0.9:x"])
    async def test_one_unusable_row_does_not_stop_the_others(self, address: str) -> None:
        """Guards against one row of a peer that ends the update of all upstreams."""
        entry = EntryUpstreams()
        entry.report(attrs.evolve(announced("a"), address=address), announced("b"))
        assert entry.usable() == ["b"]
