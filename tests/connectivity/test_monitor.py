"""Tests of the rounds of probes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.connectivity.monitor import ConnectivityMonitor
from briardyke.fleet.records import READY, Upstream
from briardyke.gateway.counters import Counters
from briardyke.gateway.upstream_table import UpstreamTable

if TYPE_CHECKING:
    import pytest


def table_of(*ports: int) -> UpstreamTable:
    rows = {
        f"u{port}": Upstream(f"u{port}", 1, 1, "app", f"127.0.0.1:{port}", "dc", READY, 8, [])
        for port in ports
    }
    table = UpstreamTable()
    table.update(rows, {})
    return table


async def probe_for_ever(states: object) -> None:
    await trio.sleep_forever()


class TestRounds:
    """When a round of probes counts."""

    async def test_round_that_was_cancelled_does_not_count(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monitor = ConnectivityMonitor(table_of(1, 2), Counters(), lambda: True)
        with monkeypatch.context() as patched, trio.move_on_after(0.05):
            patched.setattr(monitor, "_probe", probe_for_ever)
            await monitor.has_links(1000.0)
        assert not monitor.is_lost
        assert not await monitor.has_links(1000.0)

    async def test_requests_that_ask_together_share_a_round(self) -> None:
        counters = Counters()
        monitor = ConnectivityMonitor(table_of(1, 2), counters, lambda: True)
        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(monitor.has_links, 1000.0)
        assert counters.events["upstream_links_probed"] == 1
