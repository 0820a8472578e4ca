"""Verify a streamed response against the deterministic generator."""

from __future__ import annotations

import json
from typing import Any

import attrs

from briardyke.http.sse import DONE, ServerSentEvent
from briardyke.standins import generation


@attrs.define
class ResponseVerifier:
    """Check each event of one response, over any number of connections.

    :param request_id: identity of the request.
    :param model: model name.
    :param prompt: prompt as :func:`briardyke.standins.generation.prompt_text` returns it.
    :param max_tokens: tokens of the whole response.
    :param one_id: whether all connections must show the same completion id.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    one_id: bool = True
    offset: int = 0
    finished: bool = False
    done: bool = False
    error: dict[str, Any] | None = None
    wrong: str = ""
    _completion_id: str = ""
    _seed: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Derive the seed."""
        self._seed = generation.seed_of(self.request_id, self.model, self.prompt)

    def take(self, event: ServerSentEvent) -> bool:
        """Check an event; return whether it carried a token."""
        if event.event == "error":
            self.error = self._parse(event).get("error") or {}
            return False
        if event.data == DONE:
            self.done = True
            whole = self.finished and self.offset == self.max_tokens
            if not whole:
                self._fail(f"[DONE] after {self.offset} of {self.max_tokens} tokens")
            return False
        document = self._parse(event)
        try:
            choice = document["choices"][0]
            text = choice["delta"].get("content", "")
            self._check_id(document["id"])
        except (KeyError, IndexError, TypeError, AttributeError):
            self._fail("event is no chat completion chunk")
            return False
        if choice.get("finish_reason") is not None:
            self.finished = True
            return False
        right = generation.token_text(self._seed, self.offset)
        if event.id != str(self.offset + 1) or text != right:
            self._fail(f"token {self.offset} is {text!r} with id {event.id}, not {right!r}")
            return False
        self.offset += 1
        return True

    def _check_id(self, completion_id: str) -> None:
        if self.one_id and self._completion_id not in ("", completion_id):
            self._fail(f"completion id changed to {completion_id}")
        self._completion_id = completion_id

    def _parse(self, event: ServerSentEvent) -> dict[str, Any]:
        try:
            document = json.loads(event.data)
        except ValueError:
            document = None
        if not isinstance(document, dict):
            self._fail("event is no JSON object")
            return {}
        return document

    def _fail(self, text: str) -> None:
        self.wrong = self.wrong or text
