"""Put one response together from the events of several attempts."""

from __future__ import annotations

import json
from collections.abc import Mapping
from enum import Enum
from typing import Any

import attrs

from briardyke.http.sse import DONE, ServerSentEvent


class Progress(Enum):
    """State what an event means for the current attempt."""

    CONTINUES = "continues"
    COMPLETE = "complete"
    BROKEN = "broken"


@attrs.frozen
class Piece:
    """Carry one accepted event in the form that the caller sees.

    :param document: parsed data with the caller's completion id.
    :param offset: token offset after the event.
    :param text: text of its token, empty for the final event.
    """

    document: Mapping[str, Any]
    offset: int
    text: str

    def encode(self) -> bytes:
        """Return the event for the caller."""
        data = json.dumps(self.document, separators=(",", ":"))
        return ServerSentEvent(data, id=str(self.offset)).encode()


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
        self.offset = offset_tokens
        self.dropped = 0

    def begin(self, attempt_id: str) -> None:
        """Make an attempt current; events of earlier ones no longer count."""
        self._attempt_id = attempt_id
        self._final = None

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
        document = _document(event)
        if document is None or "error" in document:
            return Progress.BROKEN, None
        choice = _choice(document)
        if document.get("id") != self._attempt_id or choice is None or not event.id.isdecimal():
            self.dropped += 1
            return Progress.CONTINUES, None
        text = choice.get("text") or (choice.get("delta") or {}).get("content") or ""
        reason = choice.get("finish_reason")
        return self._place(document, int(event.id), text, final=reason is not None)

    def _place(
        self, document: dict[str, Any], offset: int, text: str, *, final: bool
    ) -> tuple[Progress, Piece | None]:
        expected = self.offset if final else self.offset + 1
        if offset < expected or self._final is not None:
            self.dropped += 1
            return Progress.CONTINUES, None
        if offset > expected:
            return Progress.BROKEN, None  # tokens in between were lost
        piece = Piece({**document, "id": self._completion_id}, offset, text)
        if final:
            self._final = piece
            return Progress.CONTINUES, None
        self.offset = offset
        return Progress.CONTINUES, piece


def _document(event: ServerSentEvent) -> dict[str, Any] | None:
    try:
        document = json.loads(event.data)
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


def _choice(document: dict[str, Any]) -> dict[str, Any] | None:
    choices = document.get("choices")
    if isinstance(choices, list) and choices and isinstance(choices[0], dict):
        return choices[0]
    return None
