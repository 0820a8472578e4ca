"""Estimate which parts of prompts an engine holds in its cache."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def part_keys(model: str, adapter: str, part_ids: Sequence[str]) -> list[int]:
    """Return a key for each part of a prompt, which also depends on all parts before it."""
    key = hash((model, adapter))
    keys = []
    for part_id in part_ids:
        key = hash((key, part_id))
        keys.append(key)
    return keys


class CachedParts:
    """Parts of prompts that were sent to one engine, least recently used first."""

    def __init__(self) -> None:
        """Start empty."""
        self._tokens: OrderedDict[int, int] = OrderedDict()
        self._total = 0

    def cached_tokens(self, keys: Sequence[int]) -> int:
        """Return the tokens at the start of a prompt that are probably cached."""
        found = 0
        for key in keys:
            tokens = self._tokens.get(key)
            if tokens is None:
                break
            found += tokens
        return found

    def record(self, keys: Sequence[int], tokens: Sequence[int], capacity: int) -> None:
        """Record a prompt that the engine reads.

        :param keys: keys of its parts.
        :param tokens: tokens of its parts.
        :param capacity: tokens of the cache that running requests leave.
        """
        held = self._tokens
        # The last part is moved first: an engine evicts the end of a prompt before its beginning.
        for key, size in reversed(list(zip(keys, tokens, strict=False))):
            if key in held:
                held.move_to_end(key)
            else:
                held[key] = size
                self._total += size
        while self._total > capacity and held:
            self._total -= held.popitem(last=False)[1]

    def forget(self, keys: Sequence[int]) -> None:
        """Forget parts that the engine did not read after all."""
        for key in keys:
            self._total -= self._tokens.pop(key, 0)
