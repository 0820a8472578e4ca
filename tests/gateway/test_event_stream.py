"""Tests for splitting streams of events."""

from __future__ import annotations

import pytest

from briardyke.gateway.event_stream import EventSplitter, StrayResponseError, UnfinishedEventError

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
