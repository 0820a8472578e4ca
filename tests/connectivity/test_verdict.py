"""Tests of the decision whether all links to upstreams are lost."""

from __future__ import annotations

import pytest
import trio

from briardyke.clock import now_ms
from briardyke.connectivity.activity import LinkActivity
from briardyke.connectivity.verdict import (
    Probe,
    ProbeResult,
    Suspicion,
    are_links_lost,
    find_suspicion,
)

OPENED, REFUSED, SILENT = ProbeResult.OPENED, ProbeResult.REFUSED, ProbeResult.SILENT


@pytest.fixture(autouse=True)
def paused_clock(autojump_clock: trio.testing.MockClock) -> None:
    """Advance the clock when nothing happens."""


def probes(*results: ProbeResult) -> list[Probe]:
    return [Probe(f"u{i}", "pool", result) for i, result in enumerate(results)]


class TestLinksLost:
    """The verdict from a round of probes."""

    @pytest.mark.parametrize(
        ("results", "has_received", "is_lost"),
        [
            ((), False, False),
            ((REFUSED,), False, False),
            ((SILENT, SILENT, SILENT), False, True),
            ((REFUSED, REFUSED, REFUSED), False, True),
            ((REFUSED, REFUSED, SILENT), True, True),
            ((SILENT, SILENT, REFUSED), True, False),
            ((SILENT, SILENT, SILENT), True, False),
            ((SILENT, REFUSED, OPENED), False, False),
            ((OPENED, OPENED, OPENED), False, False),
        ],
    )
    async def test_one_open_connection_or_a_congested_link_is_no_loss(
        self, results: tuple[ProbeResult, ...], has_received: bool, is_lost: bool
    ) -> None:
        assert are_links_lost(probes(*results), has_received=has_received) is is_lost


class TestSuspicion:
    """Observations after which the links are probed."""

    async def test_calm_activity_raises_none(self) -> None:
        activity = LinkActivity()
        await trio.sleep(5)
        with activity.opening():
            await trio.sleep(0.01)
        activity.begin_request(now_ms())
        await trio.sleep(0.3)
        activity.record_sign(now_ms())
        assert find_suspicion(activity, 0.0) is None

    async def test_failed_connection_counts_until_probed_or_until_one_opens(self) -> None:
        activity = LinkActivity()
        checked_ms = now_ms()
        await trio.sleep(0.1)
        with pytest.raises(OSError), activity.opening():
            raise OSError
        failed_ms = now_ms()
        assert find_suspicion(activity, checked_ms) is Suspicion.CONNECTION_FAILED
        assert find_suspicion(activity, failed_ms + 1.0) is None
        with activity.opening():
            await trio.sleep(0.01)
        assert find_suspicion(activity, checked_ms) is None

    async def test_slow_connection(self) -> None:
        activity = LinkActivity()
        with activity.opening():
            await trio.sleep(0.3)
            assert find_suspicion(activity, 0.0) is Suspicion.CONNECTION_SLOW
        assert find_suspicion(activity, 0.0) is None

    async def test_silence_of_all_upstreams(self) -> None:
        activity = LinkActivity()
        activity.begin_request(now_ms())
        await trio.sleep(0.7)
        assert find_suspicion(activity, 0.0) is Suspicion.UPSTREAMS_SILENT
        activity.record_sign(now_ms())
        assert find_suspicion(activity, 0.0) is None
        activity.end_request()
        await trio.sleep(5)
        assert find_suspicion(activity, 0.0) is None
