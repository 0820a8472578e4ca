"""Measure the relay's processor time and added time to first token.

Run ``PYTHONPATH=src:bench python bench/relay.py [--repetitions N --tokens N --interval-ms N]``.
One process relays with the real HTTP modules
(hypercorn in, httpcore out); upstreams and callers are other processes that read and write raw
HTTP, so that the processor time of the relaying process is the relay's alone. Both coalescing
times are measured in one run, alternating, with the order swapped in each repetition.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import time
from collections import Counter
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

import trio
from relay_peers import call_many, serve_upstream
from result import Ok

from briardyke.addresses import Address, parse_address
from briardyke.entry.relay import Relay, RelayStream
from briardyke.entry.relay_jobs import ModelJob, RelayPolicy
from briardyke.http.app import (
    AnyResponse,
    HttpApp,
    Request,
    StreamResponse,
    error_response,
    json_response,
    serve_http,
)
from briardyke.http.client import HttpClient
from briardyke.http.sse import STREAM_HEADERS
from briardyke.policy.types import RouteRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

COALESCE_MS = (0.0, 20.0)
CONCURRENCY = (1, 8, 64, 256)
UPSTREAM_PROCESSES = 3
CALLER_PROCESSES = 3
SHORT_REQUESTS = 512  # requests of one token, which show the cost of a request alone
PHASE_TIMEOUT_S = 120


class BenchTable:
    """Choose upstreams in turn."""

    def __init__(self, addresses: list[Address]) -> None:
        """Name the upstreams."""
        self._addresses = addresses
        self._next = 0

    def choose(self, request: RouteRequest, now_ms: float) -> Any:
        """Return the next upstream."""
        self._next = (self._next + 1) % len(self._addresses)
        return Ok(str(self._next))

    def begin(self, *_: Any) -> None:
        """Ignore the start of an attempt."""

    def first_token(self, *_: Any) -> None:
        """Ignore the first token."""

    def finish(self, *_: Any) -> None:
        """Ignore the end of an attempt."""

    def address(self, upstream_id: str) -> Address:
        """Return an upstream's address."""
        return self._addresses[int(upstream_id)]


class BenchBudget:
    """Allow no retries."""

    def record_request(self, now_ms: float) -> None:
        """Ignore a request."""

    def try_spend(self, now_ms: float) -> bool:
        """Refuse."""
        return False


def resident_mib() -> float:
    """Return this process's resident memory in MiB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


async def serve_relay(upstreams: list[Address]) -> None:
    """Relay with one instance for each coalescing time; report usage at ``/usage``."""
    counts: Counter[str] = Counter()
    client = HttpClient()
    relays = {}
    app = HttpApp()

    async def complete(request: Request) -> AnyResponse:
        counts["requests"] += 1
        body = request.json_object().unwrap()
        deadline_ms = trio.current_time() * 1000 + 60_000
        request_id = request.headers["x-request-id"]
        job = ModelJob(request_id, request.path, body, RouteRequest("m1"), deadline_ms)
        stream = relays[float(request.headers["x-coalesce-ms"])].stream(job)
        started = await stream.start()
        if started.is_err():
            return error_response(started.unwrap_err())
        return StreamResponse(_counted(stream, counts), 200, STREAM_HEADERS)

    async def usage(request: Request) -> AnyResponse:
        used = {"processor_s": time.process_time(), "resident_mib": resident_mib()}
        return json_response({**used, **counts})

    app.route("POST", "/v1/chat/completions", complete)
    app.route("GET", "/usage", usage)
    async with trio.open_nursery() as nursery:
        for coalesce_ms in COALESCE_MS:
            policy = RelayPolicy(
                coalesce_ms=coalesce_ms, first_token_timeout_ms=60_000, idle_timeout_ms=60_000
            )
            table, budget = BenchTable(upstreams), BenchBudget()
            relays[coalesce_ms] = Relay(table, client, budget, None, policy)  # type: ignore
            await nursery.start(relays[coalesce_ms].run)
        bound = await nursery.start(serve_http, app, Address("127.0.0.1", 0), trio.Event(), 0.1)
        print(json.dumps({"address": bound}), flush=True)


async def _counted(stream: RelayStream, counts: Counter[str]) -> AsyncIterator[bytes]:
    try:
        async for chunk in stream:
            counts["chunks"] += 1
            yield chunk
    finally:
        await stream.aclose()


@contextmanager
def child(*arguments: str, python_path: str = "") -> Iterator[str]:
    """Run this file in another role and yield the address that it prints.

    :param python_path: replaces the module search path, to run another version.
    """
    command = [sys.executable, __file__, *arguments]
    env = {**os.environ, "PYTHONPATH": python_path} if python_path else None
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True, env=env) as process:
        assert process.stdout is not None
        try:
            yield json.loads(process.stdout.readline())["address"]
        finally:
            process.kill()


def run_callers(
    targets: list[str],
    streams: int,
    each: int,
    tokens: int,
    coalesce: float,
    spread_ms: float = 10.0,
) -> Any:
    """Run the callers in several processes and return their times to first token."""
    count = min(CALLER_PROCESSES, streams)
    shares = [streams // count + (number < streams % count) for number in range(count)]
    processes = [
        subprocess.Popen(
            [
                *(sys.executable, __file__, "--role", "caller", "--targets", ",".join(targets)),
                *("--streams", str(share), "--each", str(each), "--tokens", str(tokens)),
                *("--coalesce-ms", str(coalesce), "--spread-ms", str(spread_ms)),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        for share in shares
    ]
    results = []
    for process in processes:
        output, _ = process.communicate(timeout=PHASE_TIMEOUT_S)
        results.append(json.loads(output))
    firsts = [value for result in results for value in result["first_token_ms"]]
    assert sum(r["tokens"] for r in results) == streams * each * tokens, "a response is not whole"
    return firsts


async def read_usage(address: str) -> dict[str, float]:
    """Return the relay's usage so far."""
    client = HttpClient()
    answered = await client.call("GET", parse_address(address), "/usage", timeout_ms=10_000)
    await client.aclose()
    return answered.unwrap().json()


def measure(
    relay: str, streams: int, each: int, tokens: int, coalesce: float, spread_ms: float = 10.0
) -> dict[str, float]:
    """Run one phase and return its figures."""
    before = trio.run(read_usage, relay)
    started = time.monotonic()
    firsts = run_callers([relay], streams, each, tokens, coalesce, spread_ms)
    elapsed_s = time.monotonic() - started
    after = trio.run(read_usage, relay)
    requests = streams * each
    used_us = (after["processor_s"] - before["processor_s"]) * 1e6
    return {
        "us_per_request": used_us / requests,
        "chunks_per_request": (after["chunks"] - before.get("chunks", 0)) / requests,
        "busy": used_us / 1e6 / elapsed_s,
        "first_ms": statistics.median(firsts),
    }


def run_bench(repetitions: int, interval_ms: float, tokens: int) -> None:
    """Print one line for each concurrency and coalescing time: medians over repetitions."""
    with (
        child("--role", "upstream", "--interval-ms", str(interval_ms)) as first,
        child("--role", "upstream", "--interval-ms", str(interval_ms)) as second,
        child("--role", "upstream", "--interval-ms", str(interval_ms)) as third,
    ):
        upstreams = [first, second, third]
        with child("--role", "relay", "--targets", ",".join(upstreams)) as relay:
            measure(relay, 8, 8, 8, 0.0)  # opens connections and loads code
            for streams in CONCURRENCY:
                run_concurrency(relay, upstreams, streams, repetitions, tokens, interval_ms)


def run_concurrency(
    relay: str,
    upstreams: list[str],
    streams: int,
    repetitions: int,
    tokens: int,
    interval_ms: float,
) -> None:
    """Measure one concurrency with all coalescing times in alternation.

    Streams start spread over the length of one response, so that the load is steady.
    """
    spread_ms = tokens * interval_ms
    short, long = max(1, SHORT_REQUESTS // streams), 4 if streams < 8 else 1
    figures: dict[float, list[dict[str, float]]] = {value: [] for value in COALESCE_MS}
    direct_short = statistics.median(run_callers(upstreams, streams, short, 1, 0.0))
    direct_long = statistics.median(run_callers(upstreams, streams, long, tokens, 0.0, spread_ms))
    for repetition in range(repetitions):
        order = COALESCE_MS if repetition % 2 == 0 else COALESCE_MS[::-1]
        for coalesce in order:
            one = measure(relay, streams, short, 1, coalesce)
            many = measure(relay, streams, long, tokens, coalesce, spread_ms)
            rest_us = many["us_per_request"] - one["us_per_request"]
            rest_chunks = many["chunks_per_request"] - one["chunks_per_request"]
            figures[coalesce].append(
                {
                    "us_per_request": one["us_per_request"],
                    "us_per_token": rest_us / (tokens - 1),
                    "us_per_chunk": rest_us / max(1.0, rest_chunks),
                    "tokens_per_chunk": (tokens - 1) / max(1.0, rest_chunks),
                    "busy_while_streaming": many["busy"],
                    "added_first_token_ms_short": one["first_ms"] - direct_short,
                    "added_first_token_ms_streaming": many["first_ms"] - direct_long,
                }
            )
    for coalesce, rows in figures.items():
        parts = [f"streams={streams} coalesce_ms={coalesce:g}"]
        for name in rows[0]:
            values = [row[name] for row in rows]
            spread = f"[{min(values):.2f}..{max(values):.2f}]"
            parts.append(f"{name}={statistics.median(values):.2f}{spread}")
        print(" ".join(parts), flush=True)


def main() -> None:
    """Run the role that the command line names."""
    parser = argparse.ArgumentParser(description="Measure the relay.")
    parser.add_argument("--role", default="bench")
    parser.add_argument("--targets", default="")
    parser.add_argument("--streams", type=int, default=1)
    parser.add_argument("--each", type=int, default=1)
    parser.add_argument("--tokens", type=int, default=128)
    parser.add_argument("--coalesce-ms", type=float, default=0.0)
    parser.add_argument("--spread-ms", type=float, default=10.0)
    parser.add_argument("--repetitions", type=int, default=3)
    parser.add_argument("--interval-ms", type=float, default=10.0)
    given = parser.parse_args()
    targets = [parse_address(text) for text in given.targets.split(",") if text]
    if given.role == "upstream":
        trio.run(serve_upstream, given.interval_ms)
    elif given.role == "relay":
        trio.run(serve_relay, targets)
    elif given.role == "caller":
        counts = (given.streams, given.each, given.tokens)
        times = (given.coalesce_ms, given.spread_ms)
        print(json.dumps(trio.run(call_many, targets, *counts, *times)))
    else:
        run_bench(given.repetitions, given.interval_ms, given.tokens)


if __name__ == "__main__":
    main()
