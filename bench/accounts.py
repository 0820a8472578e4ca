"""Measure what many client accounts cost an entry instance.

Run ``python bench/accounts.py [ACCOUNTS KEYS_EACH]``; 10,000 accounts with 10 keys each by default.
"""

from __future__ import annotations

import json
import random
import resource
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING, Any

import trio

from briardyke.accounts.types import key_digest
from briardyke.gateway.authorization import authorize
from briardyke.platform.configuration import decode_configuration
from briardyke.routes.decoding import decode_configuration_beside
from briardyke.routes.matching import RouteTable

if TYPE_CHECKING:
    from collections.abc import Callable

SEED = 7
_REPEATS = 5
_LOOK_UPS = 50_000
_ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789"
_KEY_LETTERS = 20


def document(accounts: int, keys_each: int) -> tuple[bytes, list[str]]:
    """Return a configuration document and its keys."""
    source = random.Random(SEED)
    keys = ["".join(source.choices(_ALPHABET, k=_KEY_LETTERS)) for _ in range(accounts * keys_each)]
    rows = [
        {
            "name": f"account-{number}",
            "api_keys": keys[number * keys_each : (number + 1) * keys_each],
            "priority": number % 4,
            "unit": "tokens",
            "plain_tokens": 200,
            "rate_per_s": 122585,
            "burst": 122585,
        }
        for number in range(accounts)
    ]
    route = {
        "name": "r",
        "host": "h",
        "path_prefix": "/",
        "kind": "idempotent",
        "timeout_ms": 1000,
        "service": "s",
    }
    value = {"version": 1, "services": [{"name": "s"}], "routes": [route], "tenants": rows}
    return json.dumps(value).encode(), keys


def held_mb(build: Callable[[], Any]) -> tuple[float, float, Any]:
    """Return the memory that a result holds, the peak while it was built, and the result."""
    tracemalloc.start()
    result = build()
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / 1e6, peak / 1e6, result


def median_ms(action: Callable[[], Any]) -> float:
    """Return the processor time of an action, the median of several runs."""
    times = []
    for _ in range(_REPEATS):
        started = time.process_time()
        action()
        times.append((time.process_time() - started) * 1000.0)
    return sorted(times)[len(times) // 2]


def look_up_us(routes: RouteTable, digests: list[bytes]) -> float:
    """Return the processor time of one decision in microseconds."""
    route = routes.configuration.routes[0]

    def decide_all() -> None:
        for digest in digests:
            authorize(routes, route, digest, is_proven=True)

    return median_ms(decide_all) * 1000.0 / len(digests)


async def longest_pause_ms(body: bytes) -> tuple[float, float]:
    """Return the time to apply a document beside a ticking task, and that task's longest pause."""
    longest = 0.0

    async def tick(*, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        nonlocal longest
        task_status.started()
        while True:
            before = time.perf_counter()
            await trio.sleep(0.001)
            longest = max(longest, (time.perf_counter() - before) * 1000.0)

    async with trio.open_nursery() as nursery:
        await nursery.start(tick)
        started = time.perf_counter()
        decoded = await decode_configuration_beside(
            lambda text: decode_configuration(text).map(RouteTable), body
        )
        applied_ms = (time.perf_counter() - started) * 1000.0
        assert decoded.is_ok()
        nursery.cancel_scope.cancel()
    return applied_ms, longest


def main() -> int:
    """Print the figures."""
    accounts, keys_each = (int(a) for a in sys.argv[1:3]) if len(sys.argv) > 2 else (10_000, 10)
    body, keys = document(accounts, keys_each)
    print(f"document: {len(body) / 1e6:.2f} MB, {accounts} accounts, {len(keys)} keys")
    resident_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    applied_ms, pause_ms = trio.run(longest_pause_ms, body)
    grown_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0 - resident_mb
    print(f"peak of resident memory while applying: {grown_mb:.1f} MB above before")
    print(f"applied beside other tasks: {applied_ms:.0f} ms, longest pause {pause_ms:.1f} ms")
    held, peak, decoded = held_mb(lambda: decode_configuration(body).unwrap())
    print(f"decoded configuration: {held:.1f} MB held, {peak:.1f} MB at the peak")
    held, _, routes = held_mb(lambda: RouteTable(decoded))
    print(f"key table: {held:.1f} MB held")
    print(f"decoding: {median_ms(lambda: decode_configuration(body)):.0f} ms of processor time")
    print(f"key table: {median_ms(lambda: RouteTable(decoded)):.1f} ms of processor time")
    source = random.Random(SEED)
    known = [key_digest(source.choice(keys).encode()) for _ in range(_LOOK_UPS)]
    unknown = [key_digest(f"unknown-{n}".encode()) for n in range(_LOOK_UPS)]
    known_us, unknown_us = look_up_us(routes, known), look_up_us(routes, unknown)
    print(f"decision: {known_us:.2f} us with a known key, {unknown_us:.2f} us with an unknown one")
    digest_us = median_ms(lambda: [key_digest(key.encode()) for key in keys]) * 1000.0 / len(keys)
    print(f"digest of a key: {digest_us:.2f} us")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
