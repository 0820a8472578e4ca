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


def suspended_ms() -> float:
    """Return how long this machine has been suspended since its start, in milliseconds.

    The runtime's clock stands still meanwhile, so evidence looks fresher than it is.
    """
    boot_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    return (boot_ns - time.clock_gettime_ns(time.CLOCK_MONOTONIC)) / 1e6


def boot_ms() -> float:
    """Return :func:`now_ms` with the time in which this machine was suspended."""
    return now_ms() + suspended_ms()


async def sleep_ms(duration_ms: float) -> None:
    """Suspend the current task.

    :param duration_ms: time to wait, in milliseconds.
    """
    await trio.sleep(max(0.0, duration_ms) / 1000.0)
