"""Split a stream of server-sent events, so that it can be continued by another upstream."""

from __future__ import annotations

import re

# Events hold a few tokens; bytes that are still no event beyond this never become one.
MAX_EVENT_BYTES = 256 * 1024
_EVENT_END = re.compile(rb"\r?\n\r?\n")
# Without its last byte, which decides whether the event has ended.
_LONGEST_END_BYTES = len(b"\r\n\r\n") - 1
_ID_LINE = re.compile(rb"^id:[ \t]*([^\r\n]*)", re.MULTILINE)


class EndlessEventError(Exception):
    """Report bytes without the end of an event."""


class EventSplitter:
    """Pass on whole events and remember the id of the last one."""

    def __init__(self, last_event_id: str = "") -> None:
        """Start after an event, or at the beginning."""
        self.last_event_id = last_event_id
        self.count = 0
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes of the upstream and return the whole events among them.

        :raises EndlessEventError: when an event is longer than any that an upstream sends.
        """
        searched = max(0, len(self._rest) - _LONGEST_END_BYTES)
        self._rest += data
        end = 0
        for match in _EVENT_END.finditer(self._rest, searched):
            event = self._rest[end : match.end()]
            found = _ID_LINE.search(event)
            if found:
                self.last_event_id = found.group(1).decode("latin-1").strip()
            self.count += 1
            end = match.end()
        whole, self._rest = self._rest[:end], self._rest[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EndlessEventError(f"{len(self._rest)} bytes without the end of an event")
        return whole

    def drop_partial(self) -> None:
        """Forget the part of an event that its upstream will not finish."""
        self._rest = b""

    def take_rest(self) -> bytes:
        """Return what followed the last whole event at the proper end of the stream."""
        rest, self._rest = self._rest, b""
        return rest
