"""Tests of the moment at which a stalled stream is handed over."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import pytest
import trio

from briardyke.gateway.event_stream import EventSplitter
from briardyke.gateway.stream_handover import MAX_OVERLAP_S, Continuation, hand_over
from briardyke.gateway.stream_source import Events
from briardyke.http.h11_client import Fault, UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable

EVENTS = Events(b"id: 2\ndata: t\n\n", 1, is_last=False)


@attrs.define
class FakeSource:
    """Upstream that sends events after a while, or fails.

    :param wait_s: time until then.
    :param fails: whether it fails.
    """

    wait_s: float
    fails: bool = False
    closes: int = 0

    async def next_events(self, splitter: EventSplitter) -> Events:
        await trio.sleep(self.wait_s)
        if self.fails:
            raise UpstreamError(Fault.BROKEN, "closed")
        return EVENTS

    async def aclose(self) -> None:
        self.closes += 1


@attrs.define
class FakeReplacement:
    """Another upstream that responds after a while.

    :param source: the upstream, ``None`` when it refuses.
    :param head_s: time until its response.
    """

    source: FakeSource | None
    head_s: float = 0.0
    left: int = 0
    losses: int = 0

    async def request_rest(self, on_sent: Callable[[], None]) -> Any:
        on_sent()
        await trio.sleep(self.head_s)
        return self.source

    async def record_loss(self, source: object, error: Exception) -> None:
        self.losses += 1

    async def leave_source(self) -> None:
        self.left += 1


async def handed_over(source: FakeSource, replacement: FakeReplacement) -> Continuation | None:
    """Hand a stream over between fakes."""
    splitter = EventSplitter()
    return await hand_over(source, splitter, replacement)  # type: ignore[arg-type]


class TestOverlap:
    """Covers the time in which two upstreams have the request."""

    async def test_events_at_the_end_of_the_overlap_are_not_lost(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against a gap in a stream that is left with events that were read from it."""
        for _ in range(50):  # tasks that wake together run in any order
            source, replacement = FakeSource(MAX_OVERLAP_S), FakeReplacement(None, 10.0)
            continuation = await handed_over(source, replacement)
            if continuation is not None:
                assert (continuation.events, replacement.left) == (EVENTS, 0)

    async def test_first_event_decides_and_not_the_head(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        source, other = FakeSource(0.2), FakeSource(0.3)
        replacement = FakeReplacement(other, 0.1)
        continuation = await handed_over(source, replacement)
        assert continuation is not None
        assert continuation.source is source
        assert (other.closes, replacement.left) == (1, 0)

    async def test_event_of_the_other_upstream_wins(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        source, other = FakeSource(0.2), FakeSource(0.05)
        continuation = await handed_over(source, FakeReplacement(other, 0.1))
        assert continuation is not None
        assert (continuation.source, continuation.events) == (other, EVENTS)
        assert other.closes == 0

    async def test_source_is_left_when_neither_has_sent_an_event_in_time(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        source, other = FakeSource(5.0), FakeSource(5.0)
        replacement = FakeReplacement(other, 0.1)
        started = trio.current_time()
        continuation = await handed_over(source, replacement)
        assert continuation is not None
        assert (continuation.source, continuation.events) == (other, None)
        assert replacement.left == 1
        assert trio.current_time() - started == pytest.approx(MAX_OVERLAP_S)

    async def test_source_is_kept_when_the_other_upstream_fails_in_time(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        other = FakeSource(0.05, fails=True)
        replacement = FakeReplacement(other, 0.1)
        assert await handed_over(FakeSource(5.0), replacement) is None
        assert (replacement.left, replacement.losses, other.closes) == (0, 1, 1)

    async def test_cancelled_handover_closes_the_other_upstream(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        other = FakeSource(5.0)
        with trio.move_on_after(0.2):
            await handed_over(FakeSource(5.0), FakeReplacement(other, 0.1))
        assert other.closes == 1
