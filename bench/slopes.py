"""Measure how messages, processor time and memory of each role grow with size.

Run ``python bench/slopes.py FILE`` to write the fits as JSON; ``bench/capacity.py`` reads them.
Sizes are small enough for one machine; every slope has at least four of them.
"""

from __future__ import annotations

import json
import random
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING, Any

import attrs
import trio
from fits import Fit, fit

from briardyke.agreed.commands import PatchConfiguration, RegisterUpstream
from briardyke.agreed.configuration import Limit
from briardyke.agreed.machine import ControlMachine
from briardyke.claims.machine import ApplyClaimEnd, ApplyClaimRequest, ClaimMachine
from briardyke.clock import now_ms
from briardyke.placement.plan import plan
from briardyke.placement.types import PlacementView
from briardyke.policy.routing import RoutingTable
from briardyke.policy.shares import ShareAllocator
from briardyke.policy.types import RouteRequest, RoutingPolicy
from briardyke.sync.digest import UpstreamDigest
from briardyke.sync.documents import DocumentHistory
from briardyke.sync.notifier import Notifier
from briardyke.sync.responder import Responder
from briardyke.sync.view import SyncedView
from briardyke.wire.codec import decode, encode
from briardyke.wire.messages import (
    ClaimEnd,
    ClaimRequest,
    InstanceStatus,
    LimitShare,
    LoadedItem,
    ModelDemand,
    ShareDemand,
    SyncRequest,
    UpstreamRow,
)

if TYPE_CHECKING:
    from collections.abc import Callable

SEED = 7
GIGABYTE = 10**9
_REPEATS = 5


def processor_us(action: Callable[[], Any], count: int = 1) -> float:
    """Return the processor time of one action in microseconds, the median of several runs."""
    times = []
    for _ in range(_REPEATS):
        started = time.process_time_ns()
        for _ in range(count):
            action()
        times.append((time.process_time_ns() - started) / count / 1000.0)
    return sorted(times)[len(times) // 2]


def memory_bytes(build: Callable[[], Any]) -> int:
    """Return the memory that the result of a function holds."""
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def row(number: int, models: int = 3, sequence: int = 1) -> UpstreamRow:
    """Return a realistic upstream row; its address is on the loopback range, since it is probed."""
    loaded = [
        LoadedItem(
            f"model-{(number * models + i) % 950}", 10 * GIGABYTE, f"ord-{number:x}", "loaded"
        )
        for i in range(models)
    ]
    return UpstreamRow(
        f"sorting-{number:05d}",
        f"inc-{number:024x}",
        "engine",
        f"127.1.{number // 250}.{number % 250 + 1}:9",
        f"dc-{number % 25:02d}",
        loaded=loaded,
        in_flight=number % 30,
        queued=number % 7,
        tokens_per_second=2300.0 + number,
        capacity_bytes=80 * GIGABYTE,
        committed_bytes=60 * GIGABYTE,
        sequence=sequence,
    )


def status(number: int, callers: int = 4) -> InstanceStatus:
    """Return the status of an entry instance with shares of some callers."""
    return InstanceStatus(
        f"entry-{number:04d}",
        f"dc-{number % 25:02d}",
        f"127.2.{number // 250}.{number % 250 + 1}:9",
        1.0,
        "ready",
        share_demand=[
            ShareDemand("per-caller", f"caller-{(number + i) % 200}", 3.0, 2.0, 900.0)
            for i in range(callers)
        ],
        held_shares=[
            LimitShare("per-caller", f"caller-{(number + i) % 200}", 7, 4.0, 3, 1200.0)
            for i in range(callers)
        ],
    )


class _Evidence:
    """Stand for the leader in front of a responder."""

    def __init__(self) -> None:
        self.allocator = ShareAllocator(6000.0, -10_000.0)
        self.limits = {"per-caller": Limit("*", "*", "*", 200.0, 100, 60_000.0)}

    def confirmed_age_ms(self) -> float | None:
        return 50.0

    def instances(self) -> tuple[str, list[InstanceStatus]]:
        return "leader:1", []

    def shares(self, statuses: list[InstanceStatus]) -> dict[str, list[LimitShare]]:
        return {}

    def leader_hint(self) -> str:
        return ""


def _request(view: SyncedView, **changes: Any) -> SyncRequest:
    fields: dict[str, Any] = {
        "sender_id": "entry-0001",
        "request_number": 1,
        "held_version": view.documents.version,
        "digest_id": view.responder_id,
        "held_digest": view.held_digest,
        "held_instances": view.held_instances,
        "data_centres": [],
        "with_load": True,
        "wait_ms": 0.0,
        "echo_ms": 0.0,
        "statuses": [status(1)],
        "announcements": [],
        "whole_announcements": False,
        "departed": [],
        "fresh_age_ms": 0.0,
        "stale_ages_ms": {},
        "demand": {f"model-{i}": ModelDemand(1.0, 300.0) for i in range(20)},
    }
    return SyncRequest(**{**fields, **changes})


async def sync_slopes() -> list[Fit]:
    """Measure one sync of an entry process against the upstreams that it hears about."""
    quiet, changed, costs, memory = [], [], [], []
    for count in (10, 50, 200, 800):
        digest, documents, view = UpstreamDigest(), DocumentHistory(), SyncedView(-1e9)
        documents.append(1, {"models": {}})
        responder = Responder(digest, documents, Notifier(), _Evidence())
        for number in range(count):
            digest.observe(row(number), now_ms())
        view.apply(await responder.respond(_request(view)), now_ms(), now_ms())
        quiet.append((count, len(encode(await responder.respond(_request(view))))))
        for number in range(count):
            digest.observe(row(number, sequence=2), now_ms())
        data = encode(await responder.respond(_request(view)))
        changed.append((count, len(data)))

        def handle(data: bytes = data, view: SyncedView = view) -> None:
            view.apply(decode(data).unwrap(), now_ms(), now_ms())

        costs.append((count, processor_us(handle)))
        memory.append((count, memory_bytes(lambda n=count: [row(i) for i in range(n)])))
    return [
        fit("sync reply without changes", "bytes", "upstream listed", quiet),
        fit("sync reply with every row changed", "bytes", "upstream changed", changed),
        fit("entry: apply a reply with every row changed", "us", "upstream changed", costs),
        fit("upstream row in memory", "bytes", "upstream", memory),
    ]


async def status_slopes() -> list[Fit]:
    """Measure what the reports of entry instances cost a relay and the leader."""
    sizes, decoding, allocating = [], [], []
    for count in (10, 40, 160, 640):
        statuses = [status(i) for i in range(count)]
        data = encode(_request(SyncedView(-1e9), statuses=statuses))
        sizes.append((count, len(data)))
        decoding.append((count, processor_us(lambda data=data: decode(data))))
        evidence = _Evidence()
        for one in statuses:
            evidence.allocator.report(one.instance_id, one.held_shares, one.share_demand, 0.0)

        def allocate(evidence: _Evidence = evidence) -> None:
            evidence.allocator.allocate(evidence.limits, 100.0, 7)

        allocating.append((count, processor_us(allocate)))
    return [
        fit("sync request", "bytes", "instance status", sizes),
        fit("responder: decode a request", "us", "instance status", decoding),
        fit("leader: allocate shares once", "us", "instance (4 active callers)", allocating),
    ]


async def version_slopes() -> list[Fit]:
    """Measure accepted changes: processor time, bytes in the log, snapshot and restore."""
    applying, snapshots, restoring, entry = [], [], [], []
    for models in (50, 200, 500, 950):
        machine = ControlMachine()
        for number in range(100):
            command = RegisterUpstream(f"sorting-{number}", "i", "engine", 10**15, True)
            machine.apply(number + 1, encode(command))
        tables: dict[str, Any] = {
            "models": {
                f"model-{i}": {"size_bytes": 10 * GIGABYTE, "instances": ["sorting-*"]}
                for i in range(models)
            }
        }
        commands = [PatchConfiguration("p0", "bench", 0, tables, 1)]
        commands += [
            PatchConfiguration(f"p{i}", "bench", i, {"models": {"model-1": {"priority": i}}}, i)
            for i in range(1, 101)
        ]
        machine.apply(101, encode(commands[0]))
        encoded = [encode(command) for command in commands[1:]]
        started = time.process_time_ns()
        for index, data in enumerate(encoded):
            machine.apply(102 + index, data)
        applying.append((models, (time.process_time_ns() - started) / len(encoded) / 1000.0))
        entry.append((models, len(encoded[0])))
        snapshot = machine.snapshot()
        snapshots.append((models, len(snapshot)))
        restoring.append((models, processor_us(lambda s=snapshot: ControlMachine().restore(s))))
    return [
        fit("control member: apply one change", "us", "model in the configuration", applying),
        fit("control member: snapshot", "bytes", "model in the configuration", snapshots),
        fit("control member: restore a snapshot", "us", "model in the configuration", restoring),
        fit("log entry of one change", "bytes", "model in the configuration", entry),
    ]


async def claim_slopes() -> list[Fit]:
    """Measure claims: processor time, memory and snapshot of a shard."""
    applying, snapshots, memory = [], [], []
    for count in (2_000, 5_000, 10_000, 20_000):
        commands = []
        for number in range(count):
            caller, key = f"caller-{number % 200}", number * 7919
            request = ClaimRequest(key, caller, f"{number:064x}", f"att-{number:024x}")
            end = ClaimEnd(key, caller, request.attempt_id, "completed", b"x" * 200)
            commands.append(encode(ApplyClaimRequest(request, number)))
            commands.append(encode(ApplyClaimEnd(end, number)))

        def run(commands: list[bytes] = commands) -> ClaimMachine:
            machine = ClaimMachine()
            for index, command in enumerate(commands):
                machine.apply(index + 1, command)
            return machine

        started = time.process_time_ns()
        machine = run()
        applying.append((count, (time.process_time_ns() - started) / 1000.0))
        snapshots.append((count, len(machine.snapshot())))
        memory.append((count, memory_bytes(run)))
    return [
        fit("claim member: claim and end", "us", "claim", applying),
        fit("claim member: snapshot", "bytes", "claim with a 200-byte response", snapshots),
        fit("claim member: memory", "bytes", "claim with a 200-byte response", memory),
    ]


async def decision_slopes() -> list[Fit]:
    """Measure a routing decision and a placement decision against the number of upstreams."""
    routing, placing, table_memory = [], [], []
    for count in (10, 100, 1_000, 10_000):
        table = RoutingTable(RoutingPolicy.ADAPTIVE, "dc-01", random.Random(SEED))
        for number in range(count):
            table.observe(row(number), 0.0)
        request = RouteRequest(model="model-1", prompt_tokens=200)
        routing.append((count, processor_us(lambda t=table, r=request: t.choose(r, 1.0), 200)))
    for count in (50, 200, 1_000, 4_000):
        view = _placement_view(count)
        plan(view, 0.0)
        placing.append((count, processor_us(lambda v=view: plan(v, 1000.0))))

        def build(count: int = count) -> RoutingTable:
            table = RoutingTable(RoutingPolicy.ADAPTIVE, "dc-01", random.Random(SEED))
            for number in range(count):
                table.observe(row(number), 0.0)
            return table

        table_memory.append((count, memory_bytes(build)))
    return [
        fit("entry: one routing decision", "us", "upstream", routing),
        fit("entry: routing table", "bytes", "upstream", table_memory),
        fit("leader: one placement decision", "us", "engine", placing),
    ]


def _placement_view(engines: int) -> PlacementView:
    from briardyke.agreed.configuration import Configuration, Model
    from briardyke.agreed.records import Reservation, UpstreamRegistration

    rows = {r.upstream_id: r for r in (row(i) for i in range(engines))}
    models = {f"model-{i}": Model(10 * GIGABYTE, ("sorting-*",)) for i in range(min(950, engines))}
    generator = random.Random(SEED)
    return PlacementView(
        version=1,
        configuration=Configuration(models=models),
        registrations={
            i: UpstreamRegistration(i, r.incarnation, "engine", r.capacity_bytes, True)
            for i, r in rows.items()
        },
        reservations={
            (i, item.name): Reservation(i, r.incarnation, item.name, item.size_bytes, "o", 1)
            for i, r in rows.items()
            for item in r.loaded
        },
        upstreams=rows,
        demand={name: ModelDemand(generator.expovariate(0.02), 3000.0) for name in models},
        term=1,
    )


def main(path: str) -> None:
    """Run every measurement and write the fits."""
    fits: list[Fit] = []
    for measure in (sync_slopes, status_slopes, version_slopes, claim_slopes, decision_slopes):
        started = time.monotonic()
        fits += trio.run(measure)
        print(f"{measure.__name__}: {time.monotonic() - started:.1f} s", file=sys.stderr)
    for one in fits:
        print(
            f"{one.name}: {one.slope:.4g} {one.unit} per {one.per}"
            f" + {one.intercept:.4g} (largest residual {one.residual:.0%})"
        )
    with open(path, "w", encoding="utf-8") as file:
        json.dump([attrs.asdict(one) for one in fits], file, indent=1)


if __name__ == "__main__":
    main(sys.argv[1])
