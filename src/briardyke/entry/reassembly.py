"""Assemble one response from the events of several attempts."""

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
# Largest number of templates per attempt: events whose other bytes vary, for example with a
# timestamp each, never match one.
_TEMPLATE_LIMIT = 4
_PLACEHOLDER_TEXT = "<token text>"
_PLACEHOLDER = json.dumps(_PLACEHOLDER_TEXT)


class Progress(Enum):
    """State of the current attempt after an event."""

    CONTINUES = "continues"
    COMPLETE = "complete"
    BROKEN = "broken"


@attrs.frozen
class CallerEvent:
    """Accepted event in the form that is sent to the caller.

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
class _EventTemplate:
    """Bytes around the token's text, which the events of one attempt have in common.

    An event with the same bytes has the same attempt id and no finish reason, so it needs no
    parsing; any other event is parsed.
    """

    received: tuple[str, str]
    sent: tuple[str, str]

    def render(self, received: str) -> str | None:
        """Return the data for the caller, or ``None`` when the event has another form."""
        before, after = self.received
        if not (received.startswith(before) and received.endswith(after)):
            return None
        literal = received[len(before) : len(received) - len(after)]
        if _JSON_STRING.fullmatch(literal) is None:
            return None
        return f"{self.sent[0]}{literal}{self.sent[1]}"


class ResponseAssembler:
    """Accept each token once and in order, from the current attempt.

    An event counts only when it carries the current attempt's id and continues at the offset
    reached so far. The final event is held back until ``[DONE]`` confirms it, so that an
    interruption between the two does not lead to two final events.
    """

    def __init__(self, completion_id: str, offset_tokens: int) -> None:
        """Set up the assembler at an offset.

        :param completion_id: id that the caller sees.
        :param offset_tokens: tokens that the caller already has.
        """
        self._completion_id = completion_id
        self._attempt_id = ""
        self._final: CallerEvent | None = None
        self._template: _EventTemplate | None = None
        self._templates_left = 0
        self._start_offset = offset_tokens
        self.offset = offset_tokens
        self.dropped = 0

    def begin(self, attempt_id: str) -> None:
        """Make an attempt current; events of earlier ones no longer count."""
        self._attempt_id = attempt_id
        self._final = None
        self._template = None
        self._templates_left = _TEMPLATE_LIMIT
        self._start_offset = self.offset

    def accept(self, event: ServerSentEvent) -> tuple[Progress, CallerEvent | None]:
        """Process the next event of the current attempt.

        :param event: the event as received.
        :return: state of the attempt, and the event to send to the caller, if any. ``BROKEN`` means
            that the attempt cannot continue; the offset stays valid for the next attempt.
        """
        if event.data == DONE:
            if self._final is None:
                return Progress.BROKEN, None
            return Progress.COMPLETE, self._final
        if self._template is not None and event.id.isdecimal():
            data = self._template.render(event.data)
            if data is not None:
                return self._accept_at(data, int(event.id), final=False)
        document = _document(event.data)
        if document is None or "error" in document:
            return Progress.BROKEN, None
        choice = _choice(document)
        if document.get("id") != self._attempt_id or choice is None or not event.id.isdecimal():
            self.dropped += 1
            return Progress.CONTINUES, None
        final = choice.get("finish_reason") is not None
        # No template from the first event: for a response of one token it would only add work.
        if not final and self._templates_left and self.offset > self._start_offset:
            self._templates_left -= 1
            self._template = _template(event.data, _text(choice), self._completion_id)
        data = _encode({**document, "id": self._completion_id})
        return self._accept_at(data, int(event.id), final=final)

    def _accept_at(
        self, data: str, offset: int, *, final: bool
    ) -> tuple[Progress, CallerEvent | None]:
        expected = self.offset if final else self.offset + 1
        if offset < expected or self._final is not None:
            self.dropped += 1
            return Progress.CONTINUES, None
        if offset > expected:
            return Progress.BROKEN, None  # tokens in between are missing
        caller_event = CallerEvent(data, offset)
        if final:
            self._final = caller_event
            return Progress.CONTINUES, None
        self.offset = offset
        return Progress.CONTINUES, caller_event


def _template(received: str, text: str, completion_id: str) -> _EventTemplate | None:
    before, literal, after = received.partition(json.dumps(text))
    document = _document(f"{before}{_PLACEHOLDER}{after}") if literal else None
    choice = _choice(document) if document else None
    # Parsing with a placeholder verifies that the literal is the text of the token.
    if document is None or choice is None or _text(choice) != _PLACEHOLDER_TEXT:
        return None
    sent = _encode({**document, "id": completion_id}).split(_PLACEHOLDER)
    return _EventTemplate((before, after), (sent[0], sent[1])) if len(sent) == 2 else None


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
