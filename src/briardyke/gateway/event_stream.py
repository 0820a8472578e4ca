"""Split a stream of server-sent events, so that another upstream can resume it."""

from __future__ import annotations

import copy
import re

from briardyke.http.sse import EVENT_END, MAX_EVENT_BYTES, TERMINATOR_OVERLAP_BYTES
from briardyke.turns import ITEMS_PER_TURN

# Lines other than comments and empty lines.
_FIELD_LINE = re.compile(rb"^[^:\r\n]", re.MULTILINE)
_STATUS_LINE = re.compile(rb"^HTTP/1\.[01] [0-9]{3}\b", re.MULTILINE)
_NUMBER = re.compile(r"[0-9]{1,18}")
_ID_LINE = re.compile(rb"^id:[ \t]*([^\r\n]*)", re.MULTILINE)


class EventStreamError(Exception):
    """Raised for a stream that cannot be forwarded as it is."""


class EventTooLongError(EventStreamError):
    """Raised for an event without a terminator within the size limit."""


class UnfinishedEventError(EventStreamError):
    """Raised for a stream that ends within an event."""


class EventOrderError(EventStreamError):
    """Raised for a resumed stream that does not go on after the last forwarded event."""


class StrayResponseError(EventStreamError):
    """Raised for the head of another response within a stream."""


class EventSplitter:
    """Return complete events and remember the id of the last one.

    :ivar count: number of events returned so far.
    :ivar is_behind: whether more of the data may be complete events than were returned, which the
        next call of :meth:`feed` returns.
    """

    def __init__(self, last_event_id: str = "") -> None:
        """Start after the event with the given id, or at the beginning."""
        self.last_event_id = last_event_id
        self.count = 0
        self._partial = bytearray()
        # Up to here, no terminator ends in the incomplete event.
        self._searched_bytes = 0
        self.is_behind = False
        self._has_events = False
        self._is_resumed = False
        self._is_position_known = True

    @property
    def is_resumable(self) -> bool:
        """Return whether the last event id tells which events have been forwarded."""
        return self._is_position_known

    def feed(self, data: bytes) -> bytes:
        """Add data from the upstream and return complete events, as many as fit into a turn.

        :raises EventTooLongError: when an incomplete event exceeds :data:`MAX_EVENT_BYTES`.
        :raises StrayResponseError: when a response head follows the events returned last.
        :raises EventOrderError: when the first event after a resumption has no later id.
        """
        self._partial += data
        whole = self._take_whole()
        if not self.is_behind and len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"{len(self._partial)} bytes without an event terminator")
        return whole

    def _take_whole(self) -> bytes:
        end, searched = 0, self._searched_bytes
        for _ in range(ITEMS_PER_TURN):
            match = EVENT_END.search(self._partial, searched)
            if match is None:
                break
            event = self._partial[end : match.end()]
            if _STATUS_LINE.search(event):
                if end:
                    break  # the events before it are whole; the rest is judged at the next call
                raise StrayResponseError("a response head within the stream")
            if _FIELD_LINE.search(event):
                self._record_event(event)
            self.count += 1
            end = searched = match.end()
        self.is_behind = match is not None
        whole = bytes(self._partial[:end])
        del self._partial[:end]
        self._searched_bytes = 0
        if not self.is_behind:
            self._searched_bytes = max(0, len(self._partial) - TERMINATOR_OVERLAP_BYTES)
        return whole

    def _record_event(self, event: bytearray) -> None:
        found = _ID_LINE.search(event)
        event_id = found.group(1).decode("latin-1").strip() if found else ""
        if self._is_resumed and not _is_later(event_id, self.last_event_id):
            raise EventOrderError(f"event {event_id!r} follows event {self.last_event_id!r}")
        self._has_events = True
        self._is_resumed = False
        self._is_position_known = bool(event_id)
        if event_id:
            self.last_event_id = event_id

    def drop_partial(self) -> None:
        """Discard an incomplete event that its upstream will not finish."""
        self._partial = bytearray()
        self._searched_bytes = 0
        self.is_behind = False
        self._is_resumed = self._has_events

    def fork(self) -> EventSplitter:
        """Return a splitter for the rest of the stream as another upstream sends it."""
        other = copy.copy(self)
        other.drop_partial()
        return other

    def take_remainder(self) -> bytes:
        """Return the line ends after the last event when the stream has ended.

        :raises UnfinishedEventError: when the stream has ended before the blank line of an event.
        """
        remainder, self._partial = bytes(self._partial), bytearray()
        if remainder.strip(b"\r\n"):
            raise UnfinishedEventError(f"the stream ended {len(remainder)} bytes into an event")
        return remainder


def _is_later(event_id: str, last_event_id: str) -> bool:
    """Return whether an event can follow another; ids that are not numbers need only differ."""
    if _NUMBER.fullmatch(event_id) and _NUMBER.fullmatch(last_event_id):
        return int(event_id) > int(last_event_id)
    return event_id not in ("", last_event_id)
