"""Generate tokens that depend only on request id, model, prompt and position."""

from __future__ import annotations

import xxhash

from briardyke.prompts import (
    PREFIX_BLOCK_CHARACTERS,
    count_tokens,
    prefix_hashes,
    prompt_text,
    token_limit,
)

__all__ = [
    "PREFIX_BLOCK_CHARACTERS",
    "count_tokens",
    "prefix_hashes",
    "prompt_text",
    "seed_of",
    "token_limit",
    "token_text",
    "whole_text",
]


def seed_of(request_id: str, model: str, prompt: str) -> int:
    """Return the seed of a request's generation."""
    return xxhash.xxh64_intdigest("\0".join((request_id, model, prompt)).encode())


def token_text(seed: int, position: int) -> str:
    """Return the text of the token at a position, counted from 0."""
    return f"{xxhash.xxh32_intdigest(position.to_bytes(8, 'big'), seed & 0xFFFFFFFF):08x} "


def whole_text(request_id: str, model: str, prompt: str, tokens: int) -> str:
    """Return the text of a complete response."""
    seed = seed_of(request_id, model, prompt)
    return "".join(token_text(seed, position) for position in range(tokens))
