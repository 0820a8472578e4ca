"""Read the runtime's clock, which tests pause and advance, and the wall clock."""

from __future__ import annotations

import time

import trio


def now_ms() -> float:
    """Return the time on trio's clock in milliseconds; it never goes backwards."""
    return trio.current_time() * 1000.0


def wall_unix_ms() -> int:
    """Return the wall clock in milliseconds since the Unix epoch; for records only."""
    return time.time_ns() // 1_000_000


async def sleep_ms(duration_ms: float) -> None:
    """Suspend the current task.

    :param duration_ms: time to wait, in milliseconds.
    """
    await trio.sleep(max(0.0, duration_ms) / 1000.0)
