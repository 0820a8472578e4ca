"""Tests for splitting streams of events."""

from __future__ import annotations

import pytest

from briardyke.gateway.event_stream import EventSplitter

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

    def test_remainder_at_the_normal_end_is_returned(self) -> None:
        splitter = EventSplitter("7")
        splitter.feed(b"id: 8\ndata: last")
        assert splitter.take_remainder() == b"id: 8\ndata: last"
        assert splitter.last_event_id == "7"
