"""Model continuous batching with finite prompt and generation speeds, without I/O."""

from __future__ import annotations

import attrs
from sortedcontainers import SortedKeyList


@attrs.frozen
class BatchSpeed:
    """Describe how fast an engine works.

    :param tokens_per_second: generation speed shared by all requests of the batch.
    :param request_tokens_per_second: highest generation speed of one request.
    :param prompt_tokens_per_second: prompt processing speed, shared.
    :param batch_limit: requests that run at one time.
    :param queue_limit: requests that may wait.
    """

    tokens_per_second: float
    request_tokens_per_second: float
    prompt_tokens_per_second: float
    batch_limit: int
    queue_limit: int


@attrs.define(eq=False)
class Run:
    """Track one request in the engine.

    :param key: identity of the run within the engine.
    :param item: model or adapter that it uses.
    :param prompt_tokens: prompt tokens that are still to be processed.
    :param position: next token to generate.
    :param end: number of tokens of the whole response.
    :param priority: higher values leave the queue first.
    """

    key: int
    item: str
    prompt_tokens: float
    position: int
    end: int
    priority: int
    _progress: float = 0.0

    def advance(self, tokens: float) -> int:
        """Generate, and return how many whole tokens were completed."""
        self._progress += tokens
        # The small allowance keeps binary fractions from delaying a token by one tick.
        completed = min(int(self._progress + 1e-9), self.end - self.position)
        self._progress -= completed
        self.position += completed
        return completed


class ContinuousBatch:
    """Share the engine's speed among the running requests."""

    def __init__(self, speed: BatchSpeed) -> None:
        """Start empty.

        :param speed: limits of the engine.
        """
        self._speed = speed
        self._queue: SortedKeyList = SortedKeyList(key=lambda run: (-run.priority, run.key))
        self._running: dict[int, Run] = {}
        self._advanced_at_ms: float | None = None

    @property
    def running(self) -> int:
        """Return the number of requests in the batch."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def uses(self, item: str) -> bool:
        """Return whether a running or waiting request needs an item."""
        runs = [*self._running.values(), *self._queue]
        return any(run.item == item for run in runs)

    def submit(self, run: Run, now_ms: float) -> bool:
        """Queue a request; return ``False`` when the queue is full."""
        if self.queued >= self._speed.queue_limit and self.running >= self._speed.batch_limit:
            return False
        if not self._running and not self._queue:
            self._advanced_at_ms = now_ms  # an idle engine accumulates no work
        self._queue.add(run)
        self._fill()
        return True

    def cancel(self, run: Run) -> None:
        """Remove a request; one that already left is ignored."""
        if self._running.pop(run.key, None) is None:
            self._queue.discard(run)
        self._fill()

    def tick(self, now_ms: float, factor: float = 1.0) -> list[tuple[Run, int]]:
        """Advance to a time and return the tokens that each request generated.

        :param now_ms: current time.
        :param factor: multiplies all speeds; below 1 for a slow engine, 0 for a stalled one.
        """
        since_ms = self._advanced_at_ms if self._advanced_at_ms is not None else now_ms
        self._advanced_at_ms = now_ms
        elapsed_s = max(0.0, now_ms - since_ms) / 1000.0 * factor
        budget = self._speed.prompt_tokens_per_second * elapsed_s
        generating = [run for run in self._running.values() if run.prompt_tokens <= 0]
        for run in self._running.values():
            used = min(budget, max(0.0, run.prompt_tokens))
            run.prompt_tokens -= used
            budget -= used
        rate = self._rate(len(generating))
        generated = [(run, run.advance(rate * elapsed_s)) for run in generating]
        for run in generating:
            if run.position >= run.end:
                del self._running[run.key]
        self._fill()
        return [(run, count) for run, count in generated if count]

    def _rate(self, generating: int) -> float:
        shared = self._speed.tokens_per_second / max(1, generating)
        return min(self._speed.request_tokens_per_second, shared)

    def _fill(self) -> None:
        while self._queue and self.running < self._speed.batch_limit:
            run = self._queue.pop(0)
            self._running[run.key] = run
