"""Compare two versions of the relay in one run, or measure the relay's resident memory.

Run ``PYTHONPATH=src:bench python bench/relay_pairs.py --before DIRECTORY`` with the ``src``
directory of an earlier version (``git archive REVISION src | tar -x -C DIRECTORY``), or with
``--memory``. Both versions relay for the same callers and upstreams, in turn, with the order
swapped in each pair, so that other work on the machine affects both alike.
"""

from __future__ import annotations

import argparse
import os
import statistics
import threading
import time
from contextlib import ExitStack

import trio
from relay import CONCURRENCY, child, measure, read_usage, run_callers

COALESCE_MS = 20.0
SHORT_REQUESTS = 384
_SAMPLE_INTERVAL_S = 0.2


def measure_one(relay: str, streams: int, tokens: int, interval_ms: float) -> dict[str, float]:
    """Return the processor time of a request of one token and of each further token."""
    one = measure(relay, streams, max(1, SHORT_REQUESTS // streams), 1, COALESCE_MS)
    each = max(1, 16 // streams)
    many = measure(relay, streams, each, tokens, COALESCE_MS, tokens * interval_ms)
    rest_us = many["us_per_request"] - one["us_per_request"]
    return {"us_per_request": one["us_per_request"], "us_per_token": rest_us / (tokens - 1)}


def compare(before: str, after: str, streams: int, pairs: int, given: argparse.Namespace) -> None:
    """Print the median of each version and the median ratio of the pairs."""
    rows: list[tuple[dict[str, float], dict[str, float]]] = []
    for number in range(pairs):
        order = (before, after) if number % 2 == 0 else (after, before)
        got = {x: measure_one(x, streams, given.tokens, given.interval_ms) for x in order}
        rows.append((got[before], got[after]))
    for name in rows[0][0]:
        ratios = [b[name] / a[name] for a, b in rows]
        print(
            f"streams={streams} interval_ms={given.interval_ms:g} {name} pairs={pairs}"
            f" before={statistics.median(a[name] for a, _ in rows):.0f}"
            f" after={statistics.median(b[name] for _, b in rows):.0f}"
            f" median_ratio={statistics.median(ratios):.3f}"
            f" ratios=[{min(ratios):.3f}..{max(ratios):.3f}]",
            flush=True,
        )


def measure_memory(relay: str, streams: int, tokens: int, interval_ms: float) -> float:
    """Return the largest resident memory seen while streams are open, in MiB."""
    callers = threading.Thread(
        target=run_callers, args=([relay], streams, 1, tokens, COALESCE_MS, 100.0)
    )
    callers.start()
    resident = [0.0]
    while callers.is_alive():
        resident.append(trio.run(read_usage, relay)["resident_mib"])
        time.sleep(_SAMPLE_INTERVAL_S)
    return max(resident)


def main() -> None:
    """Start the upstreams and the relays, and measure."""
    parser = argparse.ArgumentParser(description="Compare two versions of the relay.")
    parser.add_argument("--before", default="")
    parser.add_argument("--after", default="src")
    parser.add_argument("--memory", action="store_true")
    parser.add_argument("--streams", type=int, nargs="+", default=[8, 64])
    parser.add_argument("--pairs", type=int, default=5)
    parser.add_argument("--tokens", type=int, default=64)
    parser.add_argument("--interval-ms", type=float, default=10.0)
    given = parser.parse_args()
    with ExitStack() as stack:
        upstream = ("--role", "upstream", "--interval-ms", str(given.interval_ms))
        targets = ",".join([stack.enter_context(child(*upstream)) for _ in range(3)])
        relay = ("--role", "relay", "--targets", targets)
        if given.memory:
            for streams in CONCURRENCY:
                with child(*relay) as address:
                    peak = measure_memory(address, streams, given.tokens, given.interval_ms)
                    print(f"streams={streams} resident_mib={peak:.1f}", flush=True)
            return
        addresses = []
        for source in (given.before, given.after):
            path = f"{source}{os.pathsep}{os.path.dirname(os.path.abspath(__file__))}"
            addresses.append(stack.enter_context(child(*relay, python_path=path)))
            measure(addresses[-1], 8, 8, 8, COALESCE_MS)  # opens connections and loads code
        for streams in given.streams:
            compare(addresses[0], addresses[1], streams, given.pairs, given)


if __name__ == "__main__":
    main()
