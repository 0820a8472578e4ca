"""Tests for an entry instance's view of upstreams when control instances restart."""

from __future__ import annotations

import attrs
import pytest
import trio

from briardyke.fleet.messages import FleetReply
from briardyke.fleet.records import DRAINING, GONE, READY, SILENT, Upstream
from briardyke.fleet.view import DEPARTED_TTL_MS, UNLISTED_TTL_MS, FleetView

ROW = Upstream("e", 10, 5, "s", "10.0.0.1:80", "dc", READY)


def reply(*rows: Upstream, is_whole: bool = False) -> FleetReply:
    return FleetReply(
        *(True, False, 1, None, "table", list(rows), 1, None, 1, "", [], [], 0), is_whole=is_whole
    )


@pytest.fixture
async def view(autojump_clock: trio.testing.MockClock) -> FleetView:
    fleet_view = FleetView()
    fleet_view.apply_rows(reply(ROW, is_whole=True))
    return fleet_view


class TestDeparted:
    """Covers departed upstreams after control instances lose the record of their departure."""

    @pytest.mark.parametrize("lifecycle", [DRAINING, GONE])
    async def test_delayed_announcement_does_not_revive_it(
        self, autojump_clock: trio.testing.MockClock, view: FleetView, lifecycle: str
    ) -> None:
        view.apply_rows(reply(attrs.evolve(ROW, lifecycle=lifecycle, sequence=7)))
        view.apply_rows(reply(is_whole=True))  # from a restarted control instance
        view.apply_rows(reply(attrs.evolve(ROW, sequence=6)))
        assert view.upstreams["e"].lifecycle == lifecycle
        await trio.sleep(DEPARTED_TTL_MS / 2000.0)
        assert not view.expire_unlisted()
        await trio.sleep(DEPARTED_TTL_MS / 1000.0)
        assert view.expire_unlisted()

    async def test_restart_with_the_same_id_replaces_it(
        self, autojump_clock: trio.testing.MockClock, view: FleetView
    ) -> None:
        view.apply_rows(reply(attrs.evolve(ROW, lifecycle=GONE)))
        view.apply_rows(reply(attrs.evolve(ROW, incarnation=11, sequence=1)))
        assert view.upstreams["e"].lifecycle == READY

    async def test_silent_upstream_becomes_ready_with_its_next_row(
        self, autojump_clock: trio.testing.MockClock, view: FleetView
    ) -> None:
        view.apply_rows(reply(attrs.evolve(ROW, lifecycle=SILENT)))
        view.apply_rows(reply(ROW))
        assert view.upstreams["e"].lifecycle == READY


class TestUnlisted:
    """Covers replies that lack upstreams."""

    async def test_upstream_stays_until_its_next_heartbeat_is_due(
        self, autojump_clock: trio.testing.MockClock, view: FleetView
    ) -> None:
        view.apply_rows(reply(is_whole=True))
        assert "e" in view.upstreams
        await trio.sleep(UNLISTED_TTL_MS / 1000.0 + 0.1)
        assert view.expire_unlisted()
        assert view.upstreams == {}

    async def test_upstream_that_is_listed_again_is_kept(
        self, autojump_clock: trio.testing.MockClock, view: FleetView
    ) -> None:
        view.apply_rows(reply(is_whole=True))
        view.apply_rows(reply(attrs.evolve(ROW, sequence=6)))
        await trio.sleep(UNLISTED_TTL_MS / 1000.0 + 0.1)
        assert not view.expire_unlisted()
