"""Combine batch, memory, cache and counters into the state of one engine."""

from __future__ import annotations

import random
from collections import Counter, deque
from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.ids import new_id
from briardyke.standins.engine.batching import ContinuousBatch, Run
from briardyke.standins.engine.faults import EngineFaults
from briardyke.standins.engine.memory import AcceleratorMemory
from briardyke.standins.engine.prefix_cache import PrefixCache
from briardyke.wire.messages import UpstreamRow

if TYPE_CHECKING:
    from briardyke.standins.engine.settings import EngineSettings

_LOAD_SAMPLE_MS = 100.0


@attrs.frozen
class _LoadSample:
    at_ms: float
    in_flight: int
    queued: int
    tokens_per_second: float


@attrs.define(eq=False)
class ActiveRun:
    """Pair a run in the batch with the task that waits for its tokens."""

    run: Run
    # The run can progress before the task that sends its tokens is first scheduled.
    first_position: int
    progressed: trio.Event = attrs.field(factory=trio.Event)


class EngineState:
    """Advance the engine's parts together."""

    def __init__(self, settings: EngineSettings, now_ms: float) -> None:
        """Start with the preloaded items.

        :param settings: settings of the engine.
        :param now_ms: current time.
        """
        self.settings = settings
        self.incarnation = settings.incarnation or new_id("inc")
        self.lifecycle = "ready"
        self.address = str(settings.listen)
        self.memory = AcceleratorMemory(settings.memory, self.incarnation)
        self.batch = ContinuousBatch(settings.batch_speed)
        self.cache = PrefixCache(
            settings.prefix_cache_tokens,
            settings.cache_event_delay_ms,
            settings.cache_event_loss,
            random.Random(settings.seed),
        )
        self.faults = EngineFaults()
        self.active: dict[int, ActiveRun] = {}
        self.runs: Counter[str] = Counter()
        self.refused = 0
        self.cancelled = 0
        self.generated_tokens = 0
        self._sequence = 0
        self._samples: deque[_LoadSample] = deque([_LoadSample(now_ms, 0, 0, 0.0)])
        self._sampled_tokens = 0
        for name, size_bytes in settings.loaded.items():
            self.memory.preload(name, size_bytes)

    def start(self, run: Run, now_ms: float) -> ActiveRun | None:
        """Submit a run; return ``None`` when the queue is full."""
        active = ActiveRun(run, run.position)
        if not self.batch.submit(run, now_ms):
            return None
        self.active[run.key] = active
        return active

    def end(self, active: ActiveRun) -> None:
        """Forget a run that finished or whose caller disconnected."""
        self.active.pop(active.run.key, None)
        if active.run.position < active.run.end:
            self.batch.cancel(active.run)
            self.cancelled += 1

    def tick(self, now_ms: float) -> None:
        """Advance to a time and wake the tasks whose runs progressed."""
        for run, count in self.batch.tick(now_ms, self.faults.speed_factor):
            self.generated_tokens += count
            active = self.active.get(run.key)
            if active is not None:
                active.progressed.set()
                active.progressed = trio.Event()
        self.memory.tick(now_ms, self.batch.uses)
        self._sample(now_ms)

    def _sample(self, now_ms: float) -> None:
        last = self._samples[-1]
        if now_ms - last.at_ms < _LOAD_SAMPLE_MS:
            return
        made = self.generated_tokens - self._sampled_tokens
        self._sampled_tokens = self.generated_tokens
        rate = made * 1000.0 / (now_ms - last.at_ms)
        sample = _LoadSample(now_ms, self.batch.running, self.batch.queued, rate)
        self._samples.append(sample)
        oldest_ms = now_ms - self.settings.report_lag_ms
        while len(self._samples) > 1 and self._samples[1].at_ms <= oldest_ms:
            self._samples.popleft()

    def row(self, now_ms: float) -> UpstreamRow:
        """Return the announcement, with load figures as old as the report lag."""
        self._sequence += 1
        lagging = self.settings.report_lag_ms > 0
        load = self._samples[0]
        memory = self.memory
        return UpstreamRow(
            upstream_id=self.settings.upstream_id,
            incarnation=self.incarnation,
            kind="engine",
            address=self.address,
            data_centre=self.settings.data_centre,
            lifecycle=self.lifecycle,
            loaded=memory.items(),
            in_flight=load.in_flight if lagging else self.batch.running,
            queued=load.queued if lagging else self.batch.queued,
            tokens_per_second=load.tokens_per_second,
            capacity_bytes=self.settings.capacity_bytes,
            committed_bytes=memory.committed_bytes,
            checks_fencing=self.settings.checks_fencing,
            highest_fencing_token=memory.highest_fencing_token,
            ended_order_ids=list(memory.ended_order_ids),
            cache_events=self.cache.events(now_ms),
            sequence=self._sequence,
        )
