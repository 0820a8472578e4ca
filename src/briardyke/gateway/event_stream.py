"""Split a stream of server-sent events, so that another upstream can resume it."""

from __future__ import annotations

import re

# Events contain a few tokens; longer data without a terminator is treated as invalid.
MAX_EVENT_BYTES = 256 * 1024
_EVENT_END = re.compile(rb"\r?\n\r?\n")
# The longest terminator without its last byte; this many bytes are searched again.
_TERMINATOR_OVERLAP_BYTES = len(b"\r\n\r\n") - 1
_ID_LINE = re.compile(rb"^id:[ \t]*([^\r\n]*)", re.MULTILINE)


class EventStreamError(Exception):
    """Raised for a stream that cannot be forwarded as it is."""


class EventTooLongError(EventStreamError):
    """Raised for an event without a terminator within the size limit."""


class UnfinishedEventError(EventStreamError):
    """Raised for a stream that ends within an event."""


class EventSplitter:
    """Return complete events and remember the id of the last one."""

    def __init__(self, last_event_id: str = "") -> None:
        """Start after the event with the given id, or at the beginning."""
        self.last_event_id = last_event_id
        self.count = 0
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Add data from the upstream and return the events that are now complete.

        :raises EventTooLongError: when an incomplete event exceeds :data:`MAX_EVENT_BYTES`.
        """
        searched = max(0, len(self._partial) - _TERMINATOR_OVERLAP_BYTES)
        self._partial += data
        end = 0
        for match in _EVENT_END.finditer(self._partial, searched):
            event = self._partial[end : match.end()]
            found = _ID_LINE.search(event)
            if found:
                self.last_event_id = found.group(1).decode("latin-1").strip()
            self.count += 1
            end = match.end()
        whole, self._partial = self._partial[:end], self._partial[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"{len(self._partial)} bytes without an event terminator")
        return whole

    def drop_partial(self) -> None:
        """Discard an incomplete event that its upstream will not finish."""
        self._partial = b""

    def take_remainder(self) -> bytes:
        """Return the line ends after the last event when the stream has ended.

        :raises UnfinishedEventError: when the stream has ended before the blank line of an event.
        """
        remainder, self._partial = self._partial, b""
        if remainder.strip(b"\r\n"):
            raise UnfinishedEventError(f"the stream ended {len(remainder)} bytes into an event")
        return remainder
