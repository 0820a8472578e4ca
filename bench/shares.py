"""Measure limit shares: refusals of a burst at an idle instance, cost of reports and grants.

Run ``python bench/shares.py burst`` or ``python bench/shares.py cost SIZE...``. The burst model is
deterministic; times of the cost measurement are processor times.
"""

from __future__ import annotations

import sys
import time

from briardyke.agreed.configuration import Limit
from briardyke.policy.limits import RequestLimiter
from briardyke.policy.shares import ShareAllocator
from briardyke.policy.types import LimitRequest, Permit
from briardyke.wire.codec import encode
from briardyke.wire.messages import LimitShare, ShareDemand, SyncReply

INSTANCES = 7
SYNC_MS = 500
ROUND_TRIP_MS = 10
REQUEST_DURATION_MS = 200
BURST_AT_MS = 10_000
END_MS = 20_000
# Callers in the cost measurement, and how many of them are active at each instance.
CALLERS = 200
ACTIVE_CALLERS = 4
LIMIT = "per-caller"


def burst(limit: Limit, base_per_s: float, burst_per_s: float) -> str:
    """Run a steady load at all instances but one, then add a burst at that one.

    Refusals count only while the running requests are below the limit; the arrival rate of every
    scenario is below it as well.
    """
    allocator = ShareAllocator(6000.0, -10_000.0)
    limiters = [RequestLimiter() for _ in range(INSTANCES)]
    replies: list[tuple[float, int, float, list[LimitShare]]] = []
    running: list[tuple[float, int, Permit]] = []
    credit = [0.0] * INSTANCES
    admitted = refused = 0
    last_refusal_ms = BURST_AT_MS
    for now in range(END_MS):
        for index, limiter in enumerate(limiters):
            if now % SYNC_MS == index * SYNC_MS // INSTANCES:
                name = f"entry-{index}"
                allocator.report(name, limiter.held_shares(now), limiter.take_demand(now), now)
                allocator.extend_lease(name, now)
                shares = allocator.allocate({LIMIT: limit}, now, 1)[name]
                replies.append((now + ROUND_TRIP_MS, index, now + 6000.0, shares))
        while replies and replies[0][0] <= now:
            _, index, expires_ms, shares = replies.pop(0)
            limiters[index].apply({LIMIT: limit}, shares, expires_ms)
        while running and running[0][0] <= now:
            _, index, permit = running.pop(0)
            limiters[index].release(permit, 10, now)
        for index, limiter in enumerate(limiters):
            bursting = index == 0 and now >= BURST_AT_MS
            rate = burst_per_s if bursting else 0.0 if index == 0 else base_per_s
            credit[index] += rate / 1000.0
            while credit[index] >= 1.0:
                credit[index] -= 1.0
                result = limiter.admit(LimitRequest("x", "m", "", 10), now)
                if result.is_ok():
                    running.append((now + REQUEST_DURATION_MS, index, result.unwrap()))
                    admitted += bursting
                elif bursting and len(running) < (limit.concurrent_requests or INSTANCES**9):
                    refused += 1
                    last_refusal_ms = now
    waited = last_refusal_ms - BURST_AT_MS
    return f"admitted {admitted} refused {refused} last refusal after {waited} ms"


def cost(count: int) -> str:
    """Return processor times of a report and of allocations, and bytes of shares per instance."""
    limits = {LIMIT: Limit("*", "*", "*", 6000.0, 6000, 6e6)}
    allocator = ShareAllocator(6000.0, -10_000.0)
    names = [f"entry-{index:04d}" for index in range(count)]
    held: dict[str, list[LimitShare]] = {name: [] for name in names}

    def demand(index: int, rate: float) -> list[ShareDemand]:
        callers = [
            f"caller-{(index * ACTIVE_CALLERS + i) % CALLERS}" for i in range(ACTIVE_CALLERS)
        ]
        return [ShareDemand(LIMIT, c, rate, rate, rate * 300.0) for c in callers]

    now = 0.0
    for rate in (3.0, 3.0, 3.0):
        now += 100.0
        for index, name in enumerate(names):
            allocator.report(name, held[name], demand(index, rate), now)
        held = allocator.allocate(limits, now, 7)
    size = sum(len(encode(_reply(name, held[name]))) for name in names[:10]) / len(names[:10])
    started = time.process_time_ns()
    for index, name in enumerate(names[:20]):
        allocator.report(name, held[name], demand(index, 3.0), now)
        allocator.extend_lease(name, now)
    report_us = (time.process_time_ns() - started) / len(names[:20]) / 1000.0
    times = []
    replied_to = names[: max(1, count // 35)]
    for changed in (max(1, CALLERS // 100 // ACTIVE_CALLERS), count):
        now += 100.0
        for index in range(changed):
            allocator.report(names[index], held[names[index]], demand(index, 9.0 + changed), now)
        started = time.process_time_ns()
        _allocate(allocator, limits, now, replied_to)
        times.append((time.process_time_ns() - started) / 1e6)
    return (
        f"{count:5d} instances: report {report_us:.0f} us, allocation {times[0]:.1f} ms after one"
        f" report, {times[1]:.1f} ms with all callers changed, {size:.0f} bytes per instance"
    )


def _allocate(
    allocator: ShareAllocator, limits: dict[str, Limit], now_ms: float, names: list[str]
) -> None:
    allocator.allocate(limits, now_ms, 7, names)


def _reply(name: str, shares: list[LimitShare]) -> SyncReply:
    return SyncReply(0.0, 7, None, None, "", 0, [], False, [], 0.0, {}, "", None, {name: shares})


def main(arguments: list[str]) -> None:
    """Run one measurement."""
    if arguments[0] == "burst":
        for text, limit, base, peak in (
            ("rate 70/s, base 2/s each, burst 40/s", Limit("*", "*", "*", 70.0, None), 2.0, 40.0),
            ("28 concurrent, 0.8 each, burst 10", Limit("*", "*", "*", None, 28), 4.0, 50.0),
            ("70 concurrent, 0.8 each, burst 40", Limit("*", "*", "*", None, 70), 4.0, 200.0),
        ):
            print(f"{text}: {burst(limit, base, peak)}")
    else:
        for size in arguments[1:]:
            print(cost(int(size)), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
