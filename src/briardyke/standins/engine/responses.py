"""Write an engine's responses in the OpenAI-compatible form."""

from __future__ import annotations

import json
from typing import Any

import attrs

from briardyke.http.sse import DONE, ServerSentEvent

DONE_EVENT = ServerSentEvent(DONE).encode()


@attrs.frozen
class ResponseForm:
    """Describe how one request's response is written.

    :param attempt_id: completion id of the response.
    :param model: model name.
    :param chat: whether the request was for a chat completion.
    :param prompt_tokens: length of the prompt.
    :param cached_tokens: prompt tokens found in the prefix cache.
    """

    attempt_id: str
    model: str
    chat: bool
    prompt_tokens: int
    cached_tokens: int

    def token_event(self, text: str, offset: int) -> bytes:
        """Return the event of one token.

        :param text: text of the token.
        :param offset: offset after the token.
        """
        part: dict[str, Any] = {"delta": {"content": text}} if self.chat else {"text": text}
        return self._event({"index": 0, **part, "finish_reason": None}, offset)

    def finish_event(self, offset: int) -> bytes:
        """Return the event that reports the finish reason and the usage."""
        part: dict[str, Any] = {"delta": {}} if self.chat else {"text": ""}
        choice = {"index": 0, **part, "finish_reason": "length"}
        return self._event(choice, offset, {"usage": self._usage(offset)})

    def whole(self, text: str, tokens: int) -> dict[str, Any]:
        """Return the body of a response that is not streamed."""
        message = {"role": "assistant", "content": text}
        part: dict[str, Any] = {"message": message} if self.chat else {"text": text}
        return {
            "id": self.attempt_id,
            "object": "chat.completion" if self.chat else "text_completion",
            "model": self.model,
            "choices": [{"index": 0, **part, "finish_reason": "length"}],
            "usage": self._usage(tokens),
        }

    def _event(
        self, choice: dict[str, Any], offset: int, more: dict[str, Any] | None = None
    ) -> bytes:
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        head = {"id": self.attempt_id, "object": kind, "model": self.model}
        data = json.dumps({**head, "choices": [choice], **(more or {})}, separators=(",", ":"))
        return ServerSentEvent(data, id=str(offset)).encode()

    def _usage(self, tokens: int) -> dict[str, Any]:
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self.prompt_tokens + tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }
