"""The batch model: finite speed, priorities, limits."""

from __future__ import annotations

import random

import pytest

from briardyke.standins.engine.batching import BatchSpeed, ContinuousBatch, Run
from briardyke.standins.engine.prefix_cache import BLOCK_TOKENS, PrefixCache

SPEED = BatchSpeed(100.0, 50.0, 1000.0, batch_limit=4, queue_limit=2)


def _batch(count: int, **changes: object) -> tuple[ContinuousBatch, list[Run]]:
    batch = ContinuousBatch(SPEED)
    runs = [Run(key, "m1", 0.0, 0, 1000, 0) for key in range(count)]
    assert all(batch.submit(run, 0.0) for run in runs)
    return batch, runs


class TestContinuousBatch:
    @pytest.mark.parametrize(("running", "each"), [(1, 50), (2, 50), (4, 25), (6, 25)])
    def test_speed_is_shared_up_to_the_request_limit(self, running: int, each: int) -> None:
        """Guards against an engine whose speed grows without bound with its load."""
        batch, runs = _batch(running)
        batch.tick(1000.0)
        assert [run.position for run in runs] == [each] * min(4, running) + [0] * (running - 4)

    def test_speed_does_not_depend_on_the_tick(self) -> None:
        """Guards against figures that change with the resolution."""
        positions = set()
        for steps in (1, 7, 1000):
            batch, runs = _batch(4)
            for step in range(1, steps + 1):
                batch.tick(1000.0 * step / steps)
            positions.add(runs[0].position)
        assert positions == {25}

    def test_queue_goes_by_priority_then_arrival(self) -> None:
        """Guards against priorities that are ignored."""
        batch, runs = _batch(4)
        low, high = Run(10, "m1", 0.0, 0, 5, 0), Run(11, "m1", 0.0, 0, 5, 1)
        assert batch.submit(low, 0.0)
        assert batch.submit(high, 0.0)
        assert not batch.submit(Run(12, "m1", 0.0, 0, 5, 9), 0.0)  # queue is full
        batch.cancel(runs[0])
        batch.tick(1000.0)
        assert (low.position, high.position) == (0, 5)

    def test_prompt_is_processed_before_generation(self) -> None:
        """Guards against first tokens that cost nothing."""
        batch = ContinuousBatch(SPEED)
        run = Run(1, "m1", 500.0, 0, 10, 0)
        batch.submit(run, 0.0)
        batch.tick(499.0)
        batch.tick(520.0)
        assert run.position == 0
        batch.tick(540.0)
        assert run.position == 1

    @pytest.mark.parametrize("factor", [0.0, 0.5])
    def test_factor_slows_the_engine(self, factor: float) -> None:
        """Guards against a slow-engine switch without effect."""
        batch, runs = _batch(1)
        batch.tick(1000.0, factor)
        assert runs[0].position == 50 * factor

    def test_idle_engine_accumulates_no_work(self) -> None:
        """Guards against a burst of tokens after an idle time."""
        batch, _ = _batch(0)
        run = Run(1, "m1", 0.0, 0, 1000, 0)
        batch.tick(0.0)
        batch.submit(run, 10_000.0)
        batch.tick(10_020.0)
        assert run.position == 1


class TestPrefixCache:
    def test_hits_count_and_least_recently_used_leaves(self) -> None:
        """Guards against a cache without limit and against hits after eviction."""
        cache = PrefixCache(2 * BLOCK_TOKENS, 0.0, 0.0, random.Random(1))
        assert cache.use([1, 2], 0.0) == 0
        assert cache.use([1, 2], 0.0) == 2 * BLOCK_TOKENS
        assert cache.use([3], 0.0) == 0
        assert cache.use([1], 0.0) == 0
        assert [(e.kind, e.prefix_hash) for e in cache.events(0.0)][2:] == [
            ("stored", 3),
            ("evicted", 1),
            ("stored", 1),
            ("evicted", 2),
        ]

    def test_events_are_late_and_have_gaps(self) -> None:
        """Guards against routing that is tested only with perfect events."""
        cache = PrefixCache(1000 * BLOCK_TOKENS, 500.0, 0.3, random.Random(1))
        cache.use(list(range(100)), 0.0)
        assert cache.events(499.0) == []
        numbers = [event.sequence for event in cache.events(500.0)]
        assert 50 < len(numbers) < 90
        assert numbers == sorted(set(numbers))
