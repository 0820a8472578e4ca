"""Write and read server-sent events."""

from __future__ import annotations

import re

import attrs

DONE = "[DONE]"
# Events contain a few tokens; longer data without a terminator is no event.
MAX_EVENT_BYTES = 256 * 1024
EVENT_END = re.compile(rb"\r?\n\r?\n")
# The longest terminator without its last byte; this many bytes are searched again.
TERMINATOR_OVERLAP_BYTES = len(b"\r\n\r\n") - 1
STREAM_HEADERS = {"content-type": "text/event-stream", "cache-control": "no-store"}


@attrs.frozen
class ServerSentEvent:
    """Carry one event.

    :param data: payload without line breaks.
    :param id: event id; in token streams the token offset after this event.
    :param event: event type, empty for ``message``.
    """

    data: str
    id: str = ""
    event: str = ""

    def encode(self) -> bytes:
        """Return the event's wire form."""
        head = f"event: {self.event}\n" if self.event else ""
        head += f"id: {self.id}\n" if self.id else ""
        return f"{head}data: {self.data}\n\n".encode()


class EventTooLongError(ValueError):
    """Raised for an event without an end within the size limit."""


class EventParser:
    """Cut a byte stream into events."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> list[ServerSentEvent]:
        """Take the next bytes and return the events that they complete.

        :raises EventTooLongError: when the rest exceeds :data:`MAX_EVENT_BYTES`.
        """
        searched = max(0, len(self._buffer) - TERMINATOR_OVERLAP_BYTES)
        self._buffer += chunk
        ends = [match.end() for match in EVENT_END.finditer(self._buffer, searched)]
        whole = bytes(self._buffer[: ends[-1]]) if ends else b""
        del self._buffer[: len(whole)]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"{len(self._buffer)} bytes without the end of an event")
        blocks = whole.replace(b"\r\n", b"\n").split(b"\n\n")
        return [_parse(block.decode("utf-8", "replace")) for block in blocks if block.strip()]


def _parse(block: str) -> ServerSentEvent:
    fields = {"data": "", "id": "", "event": ""}
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data" and fields["data"]:
            fields["data"] += "\n" + value
        elif name in fields:
            fields[name] = value
    return ServerSentEvent(**fields)
