"""Tests for the record of one request."""

from __future__ import annotations

import pytest
import trio

from briardyke.clock import now_ms
from briardyke.gateway.trace import Trace


class TestTrace:
    """Covers a stream that waited for its model and stood still once.

    Without these times, a late first event could not be told from a pause or a wait.
    """

    async def test_wait_first_event_and_pause_are_told_apart(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        trace = Trace("q", now_ms(), 1)
        await trio.sleep(0.8)
        trace.start_attempt(2)
        trace.add_attempt("e", "answered", 0.0)
        trace.start_attempt(1)
        await trio.sleep(0.2)
        trace.add_events(1, 900.0)
        await trio.sleep(0.3)
        trace.add_events(2, 300.0)
        assert (trace.waited_ms, trace.holders) == (pytest.approx(800.0), 2)
        assert trace.first_event_ms == pytest.approx(1000.0)
        assert (trace.events, trace.longest_pause_ms) == (3, 300.0)
