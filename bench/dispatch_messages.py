"""Measure the messages of the dispatch and their processor time on both sides.

Run ``PYTHONPATH=src python bench/dispatch_messages.py [--slots N] [PER_S ...]``. A coordinator with
the real dispatcher runs in a process of its own and serves the clients of 88 entry instances over
loopback connections; engines are stood in for by timers. Engines and load are those of the site
srisawat: 45 engines of 16 slots, ten models, prompts of 1,460 and 646 tokens. With fewer slots,
requests queue up: 45 engines of four serve about 180 streams a second.
"""

from __future__ import annotations

import argparse
import random
import subprocess
import sys
import time
from collections import Counter
from typing import Any

import attrs
import trio

from briardyke.addresses import Address
from briardyke.clock import now_ms
from briardyke.dispatch.coordinator import DispatchCoordinator
from briardyke.dispatch.messages import DispatchReport, DispatchRequest, Outcome
from briardyke.fleet.activity import ActivityAggregator
from briardyke.fleet.records import READY, LoadedModel, Upstream
from briardyke.fleet.tables import SoftTables
from briardyke.gateway.counters import Counters
from briardyke.gateway.dialect import LoadReport
from briardyke.gateway.dispatch_client import Dispatch, DispatchClient
from briardyke.routes.configuration import EngineSpec, ServiceSpec, ServingConfiguration
from briardyke.wire.connection import PROTOCOL_VERSION, Hello, serve_peers
from briardyke.wire.pool import PeerPool

ENTRIES, ENGINES, SLOTS, MODELS, MODELS_PER_ENGINE = 88, 45, 16, 10, 3
EVENT_MS, EVENTS, TOKENS_PER_MS = 40.4, 20, 20.4
WARM_UP_S, DURATION_S = 3.0, 10.0
HELLO = Hello(PROTOCOL_VERSION, "bench", "bench")
RATES = (50.0, 100.0, 200.0, 400.0)


def engine_rows(slots: int) -> list[Upstream]:
    """Return the engines, each with some of the models."""
    rng = random.Random(5)
    return [
        Upstream(
            *(f"engine-{n:03d}", 1, 1, "pool", f"127.0.0.1:{20000 + n}", "dc", READY, slots),
            [LoadedModel(f"m{m}") for m in rng.sample(range(MODELS), MODELS_PER_ENGINE)],
        )
        for n in range(ENGINES)
    ]


class BenchControl:
    """Control instance without a log."""

    def __init__(self, slots: int) -> None:
        self.tables = SoftTables()
        self.activity = ActivityAggregator("bench")
        self.rows = self
        self.is_complete = True
        for row in engine_rows(slots):
            self.tables.upstreams.merge(row)

    def live_upstreams(self) -> list[Upstream]:
        return self.tables.upstreams.rows()


async def serve(slots: int) -> None:
    """Serve as coordinator; write figures for each line read, until the end of the input."""
    counts: Counter[str] = Counter()
    spec = EngineSpec(slots, 100.0, 8, 1.0, 54_845, {}, 4)
    configuration = ServingConfiguration(1, (), {"pool": ServiceSpec("pool", 100, spec)})
    control: Any = BenchControl(slots)
    coordinator = DispatchCoordinator(control, lambda: configuration)

    async def handle(peer_id: str, message: Any) -> Any:
        counts[type(message).__name__] += 1
        counts["observations"] += len(message.observations)
        if isinstance(message, DispatchRequest):
            reply = await coordinator.answer(message)
            counts[reply.outcome if reply else "declined"] += 1
            return reply
        coordinator.record(message)
        return None

    async with trio.open_nursery() as nursery:
        port = await nursery.start(serve_peers, Address("127.0.0.1", 0), HELLO, handle)
        nursery.start_soon(coordinator.run)
        print(port, flush=True)
        stdin = trio.wrap_file(sys.stdin)
        while await stdin.readline():
            figures = [f"{key}={value}" for key, value in sorted(counts.items())]
            print(time.process_time(), *figures, flush=True)
        nursery.cancel_scope.cancel()


@attrs.define
class Load:
    """Streams of all entry instances.

    :param clients: their clients.
    :param slots: slots of each engine.
    :param waits_ms: times that requests waited for a reply.
    """

    clients: list[DispatchClient]
    slots: int
    waits_ms: list[float] = attrs.field(factory=list)
    outcomes: Counter[str] = attrs.field(factory=Counter)
    rng: random.Random = attrs.field(factory=lambda: random.Random(7))
    rows: list[Upstream] = attrs.field(factory=lambda: engine_rows(SLOTS))

    async def run(self, per_s: float, duration_s: float) -> None:
        end_s = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                nursery.start_soon(self._stream, self.rng.choice(self.clients))
                await trio.sleep(self.rng.expovariate(per_s))
            nursery.cancel_scope.cancel()

    async def _stream(self, client: DispatchClient) -> None:
        model, request_id = f"m{self.rng.randrange(MODELS)}", client.new_request_id()
        tokens = self.rng.choice((1460, 1460, 1460, 646, 646))
        held = [r.upstream_id for r in self.rows if any(m.name == model for m in r.models)]
        started_ms = now_ms()
        while True:
            left_ms = 1500.0 - (now_ms() - started_ms)
            asked = DispatchRequest(
                *(client.instance_id, request_id, "pool", model, "", held, held[:1], "dc"),
                *(tokens, EVENTS * 4, ["system", "common", request_id], [300, 200, tokens - 500]),
                *("", None, 1, max(0.0, left_ms - 1000.0), 300.0, max(1.0, left_ms)),
            )
            asked_ms = now_ms()
            answer = await client.ask(asked, left_ms)
            if answer is None or left_ms <= 0:
                self.outcomes["none"] += 1
                return
            if answer[1].outcome != Outcome.QUEUED.value:
                break
        self.outcomes[answer[1].outcome] += 1
        self.waits_ms.append(now_ms() - asked_ms)
        if answer[1].outcome == Outcome.PLACED.value:
            await self._serve(client, client.placed(answer[0], asked, answer[1]), tokens)

    async def _serve(self, client: DispatchClient, dispatch: Dispatch, tokens: int) -> None:
        try:
            await trio.sleep((tokens / TOKENS_PER_MS + EVENT_MS) / 1000.0)
            client.report_load("pool", dispatch.upstream_id, LoadReport(1, 0, self.slots, 1.0))
            dispatch.record_first_event()
            for _ in range(EVENTS):
                await trio.sleep(EVENT_MS / 1000.0)
                dispatch.record_interval(EVENT_MS)
        finally:
            dispatch.end()


async def measure(per_s: float, slots: int) -> None:
    """Print the figures of one rate."""
    process = subprocess.Popen(  # noqa: ASYNC220
        [sys.executable, __file__, "--serve", "--slots", str(slots)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdin is not None and process.stdout is not None
    output, stdin = process.stdout, process.stdin

    def figures() -> dict[str, float]:
        stdin.write("\n")
        stdin.flush()
        first, *others = output.readline().split()
        return {"cpu_s": float(first)} | {k: float(v) for k, v in (o.split("=") for o in others)}

    try:
        address = Address("127.0.0.1", int(output.readline()))
        async with trio.open_nursery() as nursery:
            clients = []
            for number in range(ENTRIES):
                peers = PeerPool(nursery, attrs.evolve(HELLO, sender_id=f"entry-{number}"))
                client = DispatchClient(f"entry-{number}", peers, lambda: [address], Counters())
                nursery.start_soon(client.run)
                clients.append(client)
            load = Load(clients, slots)
            await load.run(per_s, WARM_UP_S)
            load.waits_ms.clear()
            load.outcomes.clear()
            before, own_s = figures(), time.process_time()
            await load.run(per_s, DURATION_S)
            after, own_s = figures(), time.process_time() - own_s
            nursery.cancel_scope.cancel()
    finally:
        stdin.close()
        process.wait(10)
    report({key: after[key] - before.get(key, 0.0) for key in after}, load, per_s, own_s)


def report(used: dict[str, float], load: Load, per_s: float, own_s: float) -> None:
    """Print one line."""
    requests = used.get(DispatchRequest.__name__, 0.0)
    reports = used.get(DispatchReport.__name__, 0.0)
    waits = sorted(load.waits_ms)
    streams = sum(load.outcomes.values())
    print(
        f"{per_s:.0f} streams/s: {requests / DURATION_S:.0f} requests/s, "
        f"{reports / DURATION_S:.0f} reports/s, "
        f"{used['observations'] / DURATION_S:.0f} observations/s; "
        f"coordinator {used['cpu_s'] / DURATION_S:.3f} cores, "
        f"{used['cpu_s'] * 1e6 / max(1.0, requests + reports):.0f} us a message, "
        f"{used['cpu_s'] * 1e6 / max(1, streams):.0f} us a stream; "
        f"all entry instances {own_s / DURATION_S:.3f} cores; "
        f"reply median {waits[len(waits) // 2]:.1f} ms, "
        f"99% {waits[int(len(waits) * 0.99)]:.1f} ms; {dict(load.outcomes)}"
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--serve", action="store_true")
    parser.add_argument("--slots", type=int, default=SLOTS)
    parser.add_argument("rates", type=float, nargs="*", default=RATES)
    arguments = parser.parse_args()
    if arguments.serve:
        trio.run(serve, arguments.slots)
    else:
        for rate in arguments.rates:
            trio.run(measure, rate, arguments.slots)
