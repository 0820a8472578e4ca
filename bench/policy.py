"""Measure routing, admission and retries on seeded simulations and print Markdown tables.

Run ``PYTHONPATH=src:bench python bench/policy.py [part ...]`` with the parts
``workloads``, ``goodput`` and ``cost``; all of them by default.
"""

from __future__ import annotations

import multiprocessing
import random
import statistics
import sys
import time

from policy_world import BURST_MS, USERS, WORKLOADS, RequestRecord, Simulation, Workload

from briardyke.policy.routing import RoutingTable
from briardyke.policy.types import AttemptOutcome, RouteRequest, RoutingPolicy
from briardyke.wire.messages import LoadedItem, UpstreamRow

SEEDS = (1, 2, 3, 4, 5, 6, 7)
PROCESSES = 6
OVERLOADS = (1.0, 2.0, 5.0, 10.0)
BIN_MS = 500.0


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile by nearest rank, 0 for no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def recovery_ms(records: list[RequestRecord]) -> float:
    """Return the time after the burst until two consecutive bins regain the attainment before it.

    The bins may fall short of it by 5 percentage points.
    """
    before = [r.good for r in records if r.arrived_ms < BURST_MS[0]]
    required = sum(before) / max(1, len(before)) - 0.05
    consecutive = 0
    for step in range(14):
        start = BURST_MS[1] + step * BIN_MS
        inside = [r.good for r in records if start <= r.arrived_ms < start + BIN_MS]
        consecutive = consecutive + 1 if inside and sum(inside) / len(inside) >= required else 0
        if consecutive == 2:
            return (step - 1) * BIN_MS
    return float("inf")


def measure(job: tuple[Workload, str, RoutingPolicy, int]) -> dict[str, float]:
    """Run one workload with one seed and return its measures."""
    workload, user, policy, seed = job
    simulation = Simulation(workload, user, policy, seed)
    records = simulation.run()
    first = [r.first_ms for r in records if r.first_ms is not None]
    others = [r.good for r in records if r.caller != 0]
    good = sum(r.good for r in records)
    return {
        "attained": good / len(records),
        "per_accelerator": good / len(records) / len(simulation.engines),
        "others": sum(others) / len(others),
        "p50": percentile(first, 0.50),
        "p95": percentile(first, 0.95),
        "p99": percentile(first, 0.99),
        "refused": sum(r.refused for r in records) / len(records),
        "retried": float(simulation.retried),
        "goodput": 1000.0 * good / (workload.until_ms - 2000.0),
        "recovery": recovery_ms(records),
    }


def medians(
    pool: multiprocessing.pool.Pool, workload: Workload, user: str, policy: RoutingPolicy
) -> dict[str, float]:
    """Return the median of each measure over the seeds."""
    results = pool.map(measure, [(workload, user, policy, seed) for seed in SEEDS])
    return {key: statistics.median(r[key] for r in results) for key in results[0]}


def print_workloads(pool: multiprocessing.pool.Pool) -> None:
    """Print a table per user with a row per workload and policy."""
    for user in USERS:
        print(f"\n### {user}\n")
        print(
            "| workload | policy | attainment | per accelerator | other callers | p50 | p95 | p99"
            " | refused | retried | recovery ms |\n|---|---|---|---|---|---|---|---|---|---|---|"
        )
        for name, workload in WORKLOADS.items():
            for policy in RoutingPolicy:
                m = medians(pool, workload, user, policy)
                print(
                    f"| {name} | {policy.value} | {m['attained']:.1%} |"
                    f" {m['per_accelerator']:.4f} | {m['others']:.1%} | {m['p50']:.0f} |"
                    f" {m['p95']:.0f} | {m['p99']:.0f} | {m['refused']:.1%} |"
                    f" {m['retried']:.0f} | {m['recovery']:.0f} |",
                    flush=True,
                )


def print_goodput(pool: multiprocessing.pool.Pool) -> None:
    """Print goodput in requests per second at multiples of the capacity."""
    print("\n| user | policy | " + " | ".join(f"{x:g}x" for x in OVERLOADS) + " |")
    print("|---|---|" + "---|" * len(OVERLOADS))
    for user in USERS:
        for policy in RoutingPolicy:
            values = [
                medians(pool, Workload(load=x, until_ms=10_000.0), user, policy)["goodput"]
                for x in OVERLOADS
            ]
            print(f"| {user} | {policy.value} | " + " | ".join(f"{v:.1f}" for v in values) + " |")


def print_cost() -> None:
    """Print the processor time of a decision in microseconds by number of upstreams."""
    print("\n| policy | " + " | ".join(f"{n} upstreams" for n in (10, 100, 1000, 10000)) + " |")
    print("|---|---|---|---|---|")
    for policy in RoutingPolicy:
        cells = []
        for count in (10, 100, 1000, 10_000):
            table = RoutingTable(policy, "d0", random.Random(1))
            for index in range(count):
                loaded = [LoadedItem("m", 1, "", "loaded")]
                row = UpstreamRow(
                    f"u{index}", "1", "engine", "127.0.0.1:1", f"d{index % 4}", loaded=loaded
                )
                table.observe(row, 0.0)
            rounds = 2000 if count <= 1000 else 300
            began = time.process_time_ns()
            for number in range(rounds):
                now = number * 0.5
                hashes = tuple(range(number % 50 * 8, number % 50 * 8 + 8))
                request = RouteRequest("m", prefix_hashes=hashes, prompt_tokens=500)
                chosen = table.choose(request, now).unwrap()
                table.begin(str(number), chosen, request, now)
                if number >= 50:
                    table.first_token(str(number - 40), now)
                    table.finish(str(number - 50), AttemptOutcome.COMPLETED, 50, now)
            cells.append(f"{(time.process_time_ns() - began) / rounds / 1000.0:.0f}")
        print(f"| {policy.value} | " + " | ".join(cells) + " |")


def main(parts: list[str]) -> None:
    """Print the selected parts."""
    with multiprocessing.Pool(PROCESSES) as pool:
        if not parts or "workloads" in parts:
            print_workloads(pool)
        if not parts or "goodput" in parts:
            print_goodput(pool)
    if not parts or "cost" in parts:
        print_cost()


if __name__ == "__main__":
    main(sys.argv[1:])
