"""Model of engines for tests that replay load: batches, prompts in chunks, a cache, slow spells."""

from __future__ import annotations

import itertools
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

STEP_MS, TOKENS_PER_MS, EVENT_TOKENS = 9.5, 19.5, 4


@attrs.define(eq=False)
class Stream:
    name: str
    at_ms: float
    prompt: int
    output: int
    objective_ms: float
    model: str = "m"
    account: str = ""
    priority: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    gap_ms: float = 300.0
    unread: int = 0
    produced: int = 0
    sent_ms: float = 0.0
    first_ms: float = float("inf")
    last_ms: float = 0.0
    interval_ms: float = 0.0
    longest_gap_ms: float = 0.0
    is_rejected: bool = False

    def is_late(self) -> bool:
        """Return whether its first event or one of the following came too late."""
        return self.first_ms - self.at_ms > self.objective_ms or self.longest_gap_ms > self.gap_ms


@attrs.define(eq=False)
class ModelledEngine:
    """One engine; :meth:`step` runs one step and returns its end."""

    name: str
    speed: float
    slots: int = 32
    cache_tokens: int = 93_013
    chunk: int = 1024
    spells: tuple[tuple[float, float], ...] = ()
    spell_factor: float = 2.5
    factors: dict[str, float] = attrs.field(factory=dict)
    waiting: list[Stream] = attrs.field(factory=list)
    reading: deque[Stream] = attrs.field(factory=deque)
    running: list[Stream] = attrs.field(factory=list)
    cache: OrderedDict[tuple, int] = attrs.field(factory=OrderedDict)
    is_busy: bool = False
    most_tokens: int = 0
    read_tokens: int = 0

    def slowness(self, now_ms: float) -> float:
        return next((self.spell_factor for a, b in self.spells if a <= now_ms < b), 1.0)

    def used_tokens(self) -> int:
        return sum(s.prompt + s.output for s in (*self.reading, *self.running))

    def step(self, now_ms: float, on_event: Callable[[Stream, float], None]) -> float:
        self.waiting.sort(key=lambda s: s.priority)
        while self.waiting and len(self.reading) + len(self.running) < self.slots:
            stream = self.waiting.pop(0)
            stream.unread = max(1, stream.prompt - self._cached(stream))
            self.reading.append(stream)
            self.read_tokens += stream.unread
        self.most_tokens = max(self.most_tokens, self.used_tokens())
        streams = [*self.running, *itertools.islice(self.reading, 1)]
        factor = max(self.factors.get(s.model, 1.0) for s in streams)
        took_ms = (STEP_MS + 0.03 * len(self.running)) * factor
        read = None
        if self.reading:
            read = self.reading[0]
            chunk = min(self.chunk, read.unread)
            read.unread -= chunk
            took_ms += chunk / TOKENS_PER_MS * self.factors.get(read.model, 1.0)
        end_ms = now_ms + took_ms * self.speed * self.slowness(now_ms)
        for stream in self.running[:]:
            stream.produced += 1
            if stream.produced % EVENT_TOKENS == 0 or stream.produced >= stream.output:
                stream.interval_ms = end_ms - stream.last_ms
                if stream.produced > EVENT_TOKENS:
                    stream.longest_gap_ms = max(stream.longest_gap_ms, stream.interval_ms)
                else:
                    stream.first_ms = end_ms
                on_event(stream, end_ms)
                stream.last_ms = end_ms
            if stream.produced >= stream.output:
                self.running.remove(stream)
        if read is not None and read.unread == 0:
            self.running.append(self.reading.popleft())
        return end_ms

    def _cached(self, stream: Stream) -> int:
        """Return the cached tokens of a prompt, and keep its parts."""
        found, prefix, is_known = 0, (stream.model,), True
        for part, tokens in stream.parts:
            prefix = (*prefix, part)
            is_known = is_known and prefix in self.cache
            found += tokens if is_known else 0
            self.cache[prefix] = tokens
            self.cache.move_to_end(prefix)
        while self.cache and sum(self.cache.values()) > self.cache_tokens - self.used_tokens():
            self.cache.popitem(last=False)
        return found
