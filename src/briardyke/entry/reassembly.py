"""Put one response together from the events of several attempts."""

from __future__ import annotations

import json
import re
from enum import Enum
from typing import TYPE_CHECKING, Any

import attrs

from briardyke.http.sse import DONE, ServerSentEvent

if TYPE_CHECKING:
    from collections.abc import Mapping

_JSON_STRING = re.compile(r'"(?:[^"\\\x00-\x1f]|\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4}))*"')
# Events whose other bytes vary, such as a time for each, are not worth comparing.
_FRAME_LIMIT = 4
_PROBE_TEXT = "<token text>"
_PROBE = json.dumps(_PROBE_TEXT)


class Progress(Enum):
    """State what an event means for the current attempt."""

    CONTINUES = "continues"
    COMPLETE = "complete"
    BROKEN = "broken"


@attrs.frozen
class Piece:
    """Carry one accepted event in the form that the caller sees.

    :param data: JSON with the caller's completion id.
    :param offset: token offset after the event.
    """

    data: str
    offset: int

    @property
    def document(self) -> dict[str, Any]:
        """Return the parsed data."""
        document: dict[str, Any] = json.loads(self.data)
        return document

    @property
    def text(self) -> str:
        """Return the text of the event's token, empty for the final event."""
        choice = _choice(self.document)
        return _text(choice) if choice else ""

    def encode(self) -> bytes:
        """Return the event for the caller."""
        return f"id: {self.offset}\ndata: {self.data}\n\n".encode()


@attrs.frozen
class _Frame:
    """Hold what the events of one attempt have in common: all bytes around the token's text.

    An event with the same bytes has the same attempt id and no finish reason, so it needs no
    parsing; any other event is parsed.
    """

    received: tuple[str, str]
    sent: tuple[str, str]

    def data(self, received: str) -> str | None:
        """Return the data for the caller, or ``None`` when the event has another form."""
        before, after = self.received
        if not (received.startswith(before) and received.endswith(after)):
            return None
        literal = received[len(before) : len(received) - len(after)]
        if _JSON_STRING.fullmatch(literal) is None:
            return None
        return f"{self.sent[0]}{literal}{self.sent[1]}"


class AnswerAssembler:
    """Accept each token once and in order, from whichever attempt is current.

    An event counts only when it carries the current attempt's id and continues at the offset that
    was reached. The final event is kept back until ``[DONE]`` confirms it, so that a break between
    the two leads to one final event and not to two.
    """

    def __init__(self, completion_id: str, offset_tokens: int) -> None:
        """Start at an offset.

        :param completion_id: id that the caller sees.
        :param offset_tokens: tokens that the caller already has.
        """
        self._completion_id = completion_id
        self._attempt_id = ""
        self._final: Piece | None = None
        self._frame: _Frame | None = None
        self._frames_left = 0
        self._begun_at = offset_tokens
        self.offset = offset_tokens
        self.dropped = 0

    def begin(self, attempt_id: str) -> None:
        """Make an attempt current; events of earlier ones no longer count."""
        self._attempt_id = attempt_id
        self._final = None
        self._frame = None
        self._frames_left = _FRAME_LIMIT
        self._begun_at = self.offset

    def take(self, event: ServerSentEvent) -> tuple[Progress, Piece | None]:
        """Judge the next event of the current attempt's connection.

        :param event: the event as received.
        :return: what it means for the attempt, and the piece to pass on, if any. ``BROKEN`` means
            that the attempt cannot be continued; the offset stays valid for the next one.
        """
        if event.data == DONE:
            if self._final is None:
                return Progress.BROKEN, None
            return Progress.COMPLETE, self._final
        if self._frame is not None and event.id.isdecimal():
            data = self._frame.data(event.data)
            if data is not None:
                return self._place(data, int(event.id), final=False)
        document = _document(event.data)
        if document is None or "error" in document:
            return Progress.BROKEN, None
        choice = _choice(document)
        if document.get("id") != self._attempt_id or choice is None or not event.id.isdecimal():
            self.dropped += 1
            return Progress.CONTINUES, None
        final = choice.get("finish_reason") is not None
        # Not from the first event, which would cost a response of one token more than it saves.
        if not final and self._frames_left and self.offset > self._begun_at:
            self._frames_left -= 1
            self._frame = _frame(event.data, _text(choice), self._completion_id)
        data = _encode({**document, "id": self._completion_id})
        return self._place(data, int(event.id), final=final)

    def _place(self, data: str, offset: int, *, final: bool) -> tuple[Progress, Piece | None]:
        expected = self.offset if final else self.offset + 1
        if offset < expected or self._final is not None:
            self.dropped += 1
            return Progress.CONTINUES, None
        if offset > expected:
            return Progress.BROKEN, None  # tokens in between were lost
        piece = Piece(data, offset)
        if final:
            self._final = piece
            return Progress.CONTINUES, None
        self.offset = offset
        return Progress.CONTINUES, piece


def _frame(received: str, text: str, completion_id: str) -> _Frame | None:
    before, literal, after = received.partition(json.dumps(text))
    document = _document(f"{before}{_PROBE}{after}") if literal else None
    choice = _choice(document) if document else None
    # Parsing with another text proves that the literal is the token's text and nothing else.
    if document is None or choice is None or _text(choice) != _PROBE_TEXT:
        return None
    sent = _encode({**document, "id": completion_id}).split(_PROBE)
    return _Frame((before, after), (sent[0], sent[1])) if len(sent) == 2 else None


def _encode(document: Mapping[str, Any]) -> str:
    return json.dumps(document, separators=(",", ":"))


def _document(data: str) -> dict[str, Any] | None:
    try:
        document = json.loads(data)
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


def _choice(document: dict[str, Any]) -> dict[str, Any] | None:
    choices = document.get("choices")
    if isinstance(choices, list) and choices and isinstance(choices[0], dict):
        return choices[0]
    return None


def _text(choice: dict[str, Any]) -> str:
    return choice.get("text") or (choice.get("delta") or {}).get("content") or ""
