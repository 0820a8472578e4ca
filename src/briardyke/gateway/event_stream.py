"""Split a stream of server-sent events, so that it can be continued by another upstream."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"^id:[ \t]*([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Pass on whole events and remember the id of the last one."""

    def __init__(self, last_event_id: str = "") -> None:
        """Start after an event, or at the beginning."""
        self.last_event_id = last_event_id
        self.count = 0
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes of the upstream and return the whole events among them."""
        self._rest += data
        end = 0
        for match in _EVENT_END.finditer(self._rest):
            event = self._rest[end : match.end()]
            found = _ID_LINE.search(event)
            if found:
                self.last_event_id = found.group(1).decode("latin-1").strip()
            self.count += 1
            end = match.end()
        whole, self._rest = self._rest[:end], self._rest[end:]
        return whole

    def drop_partial(self) -> None:
        """Forget the part of an event that its upstream will not finish."""
        self._rest = b""

    def take_rest(self) -> bytes:
        """Return what followed the last whole event at the proper end of the stream."""
        rest, self._rest = self._rest, b""
        return rest
