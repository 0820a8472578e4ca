"""Tests for background tasks that fail."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from briardyke.supervision import RESTART_MS, keep_running


class TestKeepRunning:
    """Covers defects, proper ends and cancellation."""

    async def test_defect_starts_the_task_anew(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        starts = []

        async def run() -> None:
            starts.append(trio.current_time())
            if len(starts) < 3:
                raise ValueError("file descriptor cannot be a negative integer")

        await keep_running("sweep", run)
        assert [round(start - starts[0], 3) for start in starts] == [
            0.0,
            RESTART_MS / 1000.0,
            2 * RESTART_MS / 1000.0,
        ]

    async def test_defect_of_a_child_task_counts_too(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        starts = 0

        async def child() -> None:
            raise KeyError("row")

        async def run() -> None:
            nonlocal starts
            starts += 1
            if starts == 1:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(child)

        await keep_running("rows", run)
        assert starts == 2

    async def test_cancellation_ends_it(self, autojump_clock: trio.testing.MockClock) -> None:
        with trio.move_on_after(1) as scope:
            await keep_running("client", trio.sleep_forever)
        assert scope.cancelled_caught

    async def test_stop_of_the_process_passes(self) -> None:
        async def run() -> None:
            raise SystemExit(3)

        with pytest.raises(SystemExit):
            await keep_running("client", run)
