"""Read the prompt of a completion request and hash its prefixes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import xxhash
from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from collections.abc import Mapping

DEFAULT_MAX_TOKENS = 16
MAX_TOKENS_LIMIT = 100_000
PREFIX_BLOCK_CHARACTERS = 256
_CHARACTERS_PER_TOKEN = 4


def prompt_text(body: Mapping[str, Any]) -> Result[str, Failure]:
    """Return the prompt of a completion request as one text.

    :param body: request body with ``messages`` or ``prompt``.
    :return: the prompt, or a failure of kind ``field_invalid``.
    """
    if isinstance(body.get("prompt"), str):
        return Ok(body["prompt"])
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return _invalid("messages", "messages must be a list with at least one item")
    lines = []
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("content"), str):
            return _invalid("messages", "each message needs a textual content")
        lines.append(f"{message.get('role', 'user')}: {message['content']}")
    return Ok("\n".join(lines))


def token_limit(body: Mapping[str, Any]) -> Result[int, Failure]:
    """Return how many tokens a request generates."""
    value = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    if isinstance(value, bool) or not isinstance(value, int) or not 1 <= value <= MAX_TOKENS_LIMIT:
        return _invalid("max_tokens", f"max_tokens must be 1 to {MAX_TOKENS_LIMIT}")
    return Ok(value)


def _invalid(field: str, message: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.FIELD_INVALID, message, field))


def count_tokens(text: str) -> int:
    """Return the number of tokens that a text counts for."""
    return max(1, -(-len(text) // _CHARACTERS_PER_TOKEN))


def prefix_hashes(model: str, prompt: str) -> list[int]:
    """Return one hash for each whole block of the prompt, shortest prefix first.

    Each hash covers the model and all text up to the end of its block.
    """
    value = xxhash.xxh64_intdigest(model.encode())
    hashes = []
    for end in range(PREFIX_BLOCK_CHARACTERS, len(prompt) + 1, PREFIX_BLOCK_CHARACTERS):
        block = prompt[end - PREFIX_BLOCK_CHARACTERS : end]
        value = xxhash.xxh64_intdigest(block.encode(), value)
        hashes.append(value)
    return hashes
