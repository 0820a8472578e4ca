"""Model a prefix cache of limited size whose events arrive late and with gaps."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from briardyke.standins import generation
from briardyke.wire.messages import CacheEvent

if TYPE_CHECKING:
    import random

_KEPT_EVENTS = 256
BLOCK_TOKENS = generation.count_tokens("x" * generation.PREFIX_BLOCK_CHARACTERS)


class PrefixCache:
    """Keep the least recently used prefix blocks and report changes."""

    def __init__(
        self, limit_tokens: int, delay_ms: float, loss: float, random_source: random.Random
    ) -> None:
        """Start empty.

        :param limit_tokens: tokens that fit into the cache.
        :param delay_ms: age at which an event becomes visible.
        :param loss: share of events that are lost, 0 to 1.
        :param random_source: decides which events are lost.
        """
        self._limit_blocks = limit_tokens // BLOCK_TOKENS
        self._delay_ms = delay_ms
        self._loss = loss
        self._random = random_source
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=_KEPT_EVENTS)
        self._sequence = 0

    def use(self, hashes: list[int], now_ms: float) -> int:
        """Look up and store a prompt.

        :param hashes: hashes of the prompt's prefixes, shortest first.
        :param now_ms: current time.
        :return: number of prompt tokens that were cached.
        """
        hits = 0
        for value in hashes:
            if value not in self._blocks:
                break
            hits += 1
        for value in hashes[: self._limit_blocks]:
            if value not in self._blocks:
                self._report("stored", value, now_ms)
            self._blocks[value] = None
            self._blocks.move_to_end(value)
        while len(self._blocks) > self._limit_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._report("evicted", evicted, now_ms)
        return hits * BLOCK_TOKENS

    def events(self, now_ms: float) -> list[CacheEvent]:
        """Return the recent events that are old enough to be visible."""
        return [event for at_ms, event in self._events if at_ms + self._delay_ms <= now_ms]

    def _report(self, kind: str, prefix_hash: int, now_ms: float) -> None:
        self._sequence += 1
        if self._random.random() >= self._loss:
            self._events.append((now_ms, CacheEvent(self._sequence, kind, prefix_hash)))
