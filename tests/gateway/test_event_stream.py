"""Tests for splitting streams of events."""

from __future__ import annotations

import time

import pytest

from briardyke.gateway.event_stream import EventSplitter, StrayResponseError, UnfinishedEventError
from briardyke.http.sse import EventParser
from briardyke.turns import ITEMS_PER_TURN

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n"


class TestEventSplitter:
    """Covers events that arrive in fragments of any size."""

    @pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
    def test_only_complete_events_are_returned(self, size: int) -> None:
        splitter, received = EventSplitter(), b""
        for start in range(0, len(EVENTS), size):
            received += splitter.feed(EVENTS[start : start + size])
        assert received == EVENTS
        assert splitter.last_event_id == "3"
        assert splitter.count == 3

    def test_incomplete_event_is_discarded(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(b"id: 4\ndata: d\n\nid: 5\nda") == b"id: 4\ndata: d\n\n"
        splitter.drop_partial()
        assert splitter.feed(b"id: 5\ndata: e\n\n") == b"id: 5\ndata: e\n\n"
        assert splitter.last_event_id == "5"

    @pytest.mark.parametrize("rest", [b"", b"\n", b"\r\n"])
    def test_line_ends_after_the_last_event_are_returned(self, rest: bytes) -> None:
        splitter = EventSplitter("7")
        assert splitter.feed(b"id: 8\ndata: last\n\n" + rest) == b"id: 8\ndata: last\n\n"
        assert splitter.take_remainder() == rest
        assert splitter.last_event_id == "8"

    @pytest.mark.parametrize("rest", [b"id: 8\ndata: last", b"id: 8\n", b"\ni", b": comment\n"])
    def test_stream_must_not_end_within_an_event(self, rest: bytes) -> None:
        splitter = EventSplitter("7")
        splitter.feed(rest)
        with pytest.raises(UnfinishedEventError):
            splitter.take_remainder()
        assert splitter.last_event_id == "7"

    @pytest.mark.parametrize("size", [1, 3, 1000])
    def test_events_before_the_head_of_a_response_are_returned(self, size: int) -> None:
        data, splitter, received = EVENTS + b"HTTP/1.1 503 X\r\n\r\n" + b"\n", EventSplitter(), b""
        with pytest.raises((StrayResponseError, UnfinishedEventError)):
            for start in range(0, len(data), size):
                received += splitter.feed(data[start : start + size])
            splitter.take_remainder()
        assert received == EVENTS
        assert splitter.last_event_id == "3"


class TestUnfinishedEvents:
    """Guards against work that grows with the unfinished event for each byte that arrives."""

    CHUNKS = 20_000
    BOUND = 3.0

    def _cost_s(self, start: EventSplitter | EventParser) -> float:
        started_s = time.process_time()
        for _ in range(self.CHUNKS):
            start.feed(b"x")
        return time.process_time() - started_s

    @pytest.mark.parametrize("kind", [EventSplitter, EventParser])
    def test_chunks_cost_the_same_late_in_a_long_event(
        self, kind: type[EventSplitter] | type[EventParser]
    ) -> None:
        early, late = kind(), kind()
        late.feed(b"data: " + b"x" * 230_000)
        assert self._cost_s(late) < self.BOUND * self._cost_s(early)


class TestManyEventsAtOnce:
    """Guards against events that are lost or joined where more arrive than fit into a turn."""

    def test_all_are_returned_over_several_calls(self) -> None:
        splitter = EventSplitter()
        data = b"".join(b"id: %d\ndata: t\n\n" % number for number in range(1, 1001))
        parts = [splitter.feed(data + b"id: 1001\n")]
        while splitter.is_behind:
            parts.append(splitter.feed(b""))
        assert b"".join(parts) == data
        assert (splitter.count, splitter.last_event_id) == (1000, "1000")
        assert max(part.count(b"data:") for part in parts) <= ITEMS_PER_TURN
        assert splitter.feed(b"data: t\n\n") == b"id: 1001\ndata: t\n\n"
