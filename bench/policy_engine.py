"""Simulate an engine with continuous batching, a prefix cache, priorities and finite speed."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import TYPE_CHECKING, Any

from briardyke.wire.messages import CacheEvent, LoadedItem, UpstreamRow

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

SLOTS = 16
ITERATION_MS = 8.0
BATCH_PER_REQUEST_MS = 0.5
PREFILL_PER_TOKEN_MS = 0.03
CACHE_CAPACITY_BLOCKS = 160
EVENTS_REPORTED = 24
# Fraction of the cache events that a report omits, besides those beyond EVENTS_REPORTED.
EVENT_LOSS_FRACTION = 0.2
MEAN_OUTPUT_TOKENS = 60


class EventLoop:
    """Run callbacks in the order of their simulated time."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def at(self, time_ms: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule a callback at a simulated time."""
        self._count += 1
        heapq.heappush(self._events, (time_ms, self._count, callback, arguments))

    def run(self, until_ms: float) -> None:
        """Run all callbacks that are due before a time."""
        while self._events and self._events[0][0] < until_ms:
            self.now_ms, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)


class Job:
    """One attempt inside an engine."""

    def __init__(
        self,
        hashes: tuple[int, ...],
        prompt_tokens: int,
        output_tokens: int,
        priority: int,
        first: Callable[[], None],
        done: Callable[[bool], None],
    ) -> None:
        self.hashes, self.prompt_tokens, self.remaining_tokens = (
            hashes,
            prompt_tokens,
            output_tokens,
        )
        self.priority, self.first, self.done, self.started = priority, first, done, False


class Engine:
    """Serve jobs in iterations that each produce one token of every running job."""

    def __init__(
        self, loop: EventLoop, name: str, slowdown: float, data_centre: str, random: random.Random
    ) -> None:
        self.loop, self.name, self.slowdown, self.data_centre = loop, name, slowdown, data_centre
        self.random = random
        self.models: set[str] = set()
        self.alive = True
        self.incarnation = 1
        self._clear()

    def capacity_per_second(self) -> float:
        """Return the requests a second that the engine can serve within the target."""
        best = 0.0
        for batch in range(1, SLOTS + 1):
            iteration = self.slowdown * (ITERATION_MS + BATCH_PER_REQUEST_MS * batch)
            if iteration <= 60.0:
                request_ms = MEAN_OUTPUT_TOKENS * iteration + batch * self.slowdown * 12.0
                best = max(best, 1000.0 * batch / request_ms)
        return best

    def submit(self, job: Job) -> None:
        """Queue a job."""
        self._sequence += 1
        heapq.heappush(self.queue, (-job.priority, self._sequence, job))
        if not self._busy:
            self._start_iteration(self.incarnation)

    def crash(self) -> None:
        """Fail every job and stop."""
        jobs = [*self.running, *(job for _, _, job in self.queue)]
        self.alive = False
        self.incarnation += 1
        self._clear()
        for job in jobs:
            job.done(False)

    def row(self) -> UpstreamRow:
        """Return a report of the current state."""
        events = [
            e for e in self._events[-EVENTS_REPORTED:] if self.random.random() > EVENT_LOSS_FRACTION
        ]
        return UpstreamRow(
            self.name,
            str(self.incarnation),
            "engine",
            "127.0.0.1:1",
            self.data_centre,
            loaded=[LoadedItem(m, 1, "", "loaded") for m in sorted(self.models)],
            in_flight=len(self.running),
            queued=len(self.queue),
            cache_events=events,
        )

    def _clear(self) -> None:
        self.running: list[Job] = []
        self.queue: list[tuple[int, int, Job]] = []
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._busy = False
        self._sequence = 0

    def _start_iteration(self, incarnation: int) -> None:
        if incarnation != self.incarnation or not self.alive:
            return
        prefill_tokens = 0.0
        while self.queue and len(self.running) < SLOTS:
            job = heapq.heappop(self.queue)[2]
            prefill_tokens += job.prompt_tokens * (1.0 - self._look_up(job.hashes))
            self.running.append(job)
        self._busy = bool(self.running)
        if self._busy:
            batch_ms = ITERATION_MS + BATCH_PER_REQUEST_MS * len(self.running)
            duration_ms = self.slowdown * (batch_ms + PREFILL_PER_TOKEN_MS * prefill_tokens)
            self.loop.at(self.loop.now_ms + duration_ms, self._finish_iteration, incarnation)

    def _finish_iteration(self, incarnation: int) -> None:
        if incarnation != self.incarnation or not self.alive:
            return
        running = []
        for job in self.running:
            if not job.started:
                job.started = True
                job.first()
            job.remaining_tokens -= 1
            if job.remaining_tokens > 0:
                running.append(job)
            else:
                job.done(True)
        self.running = running
        self._start_iteration(incarnation)

    def _look_up(self, hashes: tuple[int, ...]) -> float:
        cached = 0
        for prefix_hash in hashes:
            if prefix_hash not in self._cache:
                break
            cached += 1
        for prefix_hash in hashes:
            if prefix_hash not in self._cache:
                self._record_event("stored", prefix_hash)
            self._cache[prefix_hash] = None
            self._cache.move_to_end(prefix_hash)
            if len(self._cache) > CACHE_CAPACITY_BLOCKS:
                self._record_event("evicted", self._cache.popitem(last=False)[0])
        return cached / max(1, len(hashes))

    def _record_event(self, kind: str, prefix_hash: int) -> None:
        sequence = self._events[-1].sequence + 1 if self._events else 1
        self._events.append(CacheEvent(sequence, kind, prefix_hash))
        del self._events[:-200]
