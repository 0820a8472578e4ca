"""Break a cluster at seeded random moments under load, and judge the run."""

from __future__ import annotations

import contextlib
import json
import random
import threading
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs
from cluster import API_KEY_SHA256, GIGABYTE, WAIT_S
from recovery_load import Load
from recovery_oracle import (
    AFTERMATH_S,
    Watch,
    Window,
    check_audit,
    check_keys,
    check_memory,
    check_requests,
    longest_gap_s,
)

if TYPE_CHECKING:
    from cluster import Cluster

_MODEL_BYTES = 13 * GIGABYTE
_KINDS = {"entry": "entry", "control": "control", "engine": "sorting", "service": "sales"}
_OPERATORS = 3
# Planned stops at the end have no other fault beside them, so that they must lose nothing.
_CALM_STOPS = ("entry", "control", "engine", "service")


@attrs.frozen
class Fault:
    """Describe one fault of the plan.

    :param number: position in the plan.
    :param kind: what happens.
    :param target: process that it happens to; empty for operators.
    :param gap_s: pause before it.
    :param lasts_s: time until the process is started, resumed or connected again.
    :param seed: seed of its further choices.
    """

    number: int
    kind: str
    target: str
    gap_s: float
    lasts_s: float
    seed: int


def make_plan(cluster: Cluster, seed: int, count: int) -> list[Fault]:
    """Return the faults of a run; every kind occurs when there are enough of them."""
    source = random.Random(seed)
    choices = [
        *(("kill", group) for group in _KINDS),
        *(("freeze", group) for group in _KINDS),
        *(("cut", group) for group in ("entry", "control")),
        ("wipe", "control"),
        *(("stop", group) for group in _KINDS),
        *[("operators", "")] * 3,
        *[("orders", "engine")] * 3,
    ]
    drawn: list[tuple[str, str]] = []
    while len(drawn) < count:
        drawn += source.sample(choices, len(choices))
    plan = []
    for number, (kind, group) in enumerate(drawn[:count]):
        target = source.choice(cluster.names(_KINDS[group])) if group else ""
        longest = 8.0 if kind in ("freeze", "cut") else 3.0
        lasts_s = source.uniform(1.0 if kind in ("freeze", "cut") else 0.2, longest)
        gap_s = source.choice((0.1, 1.0, 4.0)) * source.uniform(0.5, 1.5)
        plan.append(Fault(number, kind, target, gap_s, lasts_s, source.getrandbits(32)))
    return plan


class FaultRun:
    """Carry out a plan; faults of different processes overlap."""

    def __init__(self, cluster: Cluster, watch: Watch, models: list[str]) -> None:
        """Name the collaborators."""
        self._cluster = cluster
        self._watch = watch
        self._models = models
        self._locks = {name: threading.Lock() for name in cluster.processes}
        self._threads: list[threading.Thread] = []
        self.windows: list[Window] = []

    def run(self, plan: list[Fault]) -> None:
        """Start each fault after its pause and wait for the last."""
        for fault in plan:
            time.sleep(fault.gap_s)
            if fault.kind == "wipe":
                self.settle()  # the other voters must be healthy
            thread = threading.Thread(target=self._carry_out, args=(fault,))
            self._threads.append(thread)
            thread.start()
            if fault.kind == "wipe":
                thread.join()
        self.settle()

    def settle(self) -> None:
        """Wait for the faults in force."""
        for thread in self._threads:
            thread.join()

    def _carry_out(self, fault: Fault) -> None:
        try:
            if fault.kind == "operators":
                self._race(fault)
            elif fault.kind == "orders":
                self._disturb_orders(fault)
            else:
                with self._locks[fault.target]:
                    self._break(fault)
        except Exception as error:
            self._watch.violations.append(f"fault {fault.number} {fault}: {error!r}")

    def _break(self, fault: Fault) -> None:
        cluster, name = self._cluster, fault.target
        if name.startswith(("sorting", "sales")) and fault.kind in ("kill", "stop"):
            self._watch.take_counters(name)
        window = Window(fault.kind, name, time.monotonic())
        self.windows.append(window)
        if fault.kind == "freeze":
            cluster.freeze(name)
            time.sleep(fault.lasts_s)
            cluster.thaw(name)
        elif fault.kind == "cut":
            cluster.cuts.add(name)
            time.sleep(fault.lasts_s)
            cluster.cuts.discard(name)
        elif fault.kind == "stop":
            if code := cluster.stop(name):
                self._watch.violations.append(f"planned stop of {name} exited with {code}")
            cluster.launch(name)
        else:
            cluster.kill(name)
            time.sleep(fault.lasts_s)
            if fault.kind == "wipe":
                cluster.wipe(name)
            cluster.launch(name)
        cluster.until(lambda: self._back(name, promoted=fault.kind == "wipe"), f"return of {name}")
        window.ended_s = time.monotonic()

    def _back(self, name: str, *, promoted: bool) -> bool:
        cluster = self._cluster
        if name.startswith("entry"):
            return cluster.call(name, "GET", "/ready", timeout_s=2.0).status == 200
        if name.startswith("control"):
            if cluster.call(name, "GET", "/ready", timeout_s=2.0).status != 200:
                return False
            members = cluster.call(name, "GET", "/v1/members", timeout_s=2.0).json()["members"]
            voters = [m for m in members if m["role"] in ("voter", "leader")]
            own = [m for m in voters if m["member_id"].startswith(f"{name}#")]
            return not promoted or (len(voters) == len(cluster.names("control")) and bool(own))
        return cluster.call(name, "GET", "/health", timeout_s=2.0).status == 200

    def _race(self, fault: Fault) -> None:
        """Have operators patch the same version at once, and resend until each has an answer."""
        source = random.Random(fault.seed)
        base = max((v for v, _ in self._watch.accepted.values()), default=1)
        patches = [self.model_patch(source) for _ in range(_OPERATORS)]
        threads = [
            threading.Thread(
                target=self._operate, args=(base, patch, f"race-{fault.number}-{n}", fault.seed + n)
            )
            for n, patch in enumerate(patches)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def model_patch(self, source: random.Random) -> dict[str, Any]:
        """Return a patch that makes the leader send orders."""
        model = source.choice(self._models)
        return {
            "models": {model: {"minimum_replicas": source.randint(1, 3)}},
            "targets": {"first_token_ms": source.randint(600, 100000)},
        }

    def _operate(self, base: int, patch: dict[str, Any], request_id: str, seed: int) -> None:
        source = random.Random(seed)
        first: tuple[int, Any] | None = None
        started = time.monotonic()
        resends = 2
        while resends > 0 and time.monotonic() - started < WAIT_S:
            name = source.choice(self._cluster.names("control"))
            try:
                answer = self._cluster.patch(base, patch, request_id=request_id, name=name)
                body = answer.json()
            except (OSError, ValueError):
                time.sleep(0.2)
                continue
            if answer.status not in (200, 412, 422):
                time.sleep(0.2)
                continue
            got = (answer.status, body.get("version", body.get("error", {}).get("kind")))
            if answer.status == 200:
                self._watch.accept(request_id, body["version"])
            if first not in (None, got):
                self._watch.violations.append(f"resend of {request_id}: {got} after {first}")
            first = first or got
            resends -= 1

    def _disturb_orders(self, fault: Fault) -> None:
        source = random.Random(fault.seed)
        switches: dict[str, float] = {
            kind: source.randint(0, 2)
            for kind in ("lost_orders", "late_orders", "duplicated_orders")
        }
        switches["late_order_ms"] = source.uniform(300.0, 4000.0)
        window = Window(fault.kind, fault.target, time.monotonic())
        with contextlib.suppress(OSError):  # if the engine is down, the patch still causes orders
            self._cluster.call(fault.target, "POST", "/v1/faults", switches, timeout_s=5.0)
        self.windows.append(window)
        self._race(fault)
        window.ended_s = time.monotonic()


def run_faults(
    cluster: Cluster, seed: int, count: int, *, unfenced: int, callers: int = 3
) -> dict[str, Any]:
    """Start a cluster, carry out ``count`` faults under load, and return the report.

    :param cluster: described, but not started.
    :param seed: seed of the plan and the load.
    :param count: number of faults, planned stops at the end included.
    :param unfenced: engines that ignore fencing tokens.
    :param callers: callers of each kind of request.
    """
    engines = cluster.names("sorting")
    for name in engines:
        # An engine that refused to overcommit would hide a wrong order.
        cluster.processes[name].flags += ["--checks-memory", "false"]
    for name in engines[len(engines) - unfenced :]:
        cluster.processes[name].flags += ["--checks-fencing", "false"]
    for name in cluster.names("entry"):
        # The margin of the design page; the harness's own is shorter than an election.
        cluster.processes[name].flags += ["--drain-margin-ms", "2000"]
    plan = make_plan(cluster, seed, count - len(_CALM_STOPS))
    models = [f"m{n}" for n in range(1, 1 + max(2, len(engines) * 8 // 9))]
    watch: Watch | None = None
    load: Load | None = None
    try:
        cluster.start()
        document = {
            "models": {m: {"size_bytes": _MODEL_BYTES, "instances": ["sorting-*"]} for m in models},
            "adapters": {"a1": {"model": "m1", "size_bytes": GIGABYTE}},
            "callers": {"tester": {"api_key_sha256": API_KEY_SHA256, "weight": 1.0}},
        }
        cluster.configure(**document)
        watch = Watch(cluster)
        watch.accept("configure", 1)
        load = Load(cluster, seed, [*models, "a1"], callers)
        run = FaultRun(cluster, watch, models)
        run.run(plan)
        faults_end_s = time.monotonic()
        calm(cluster, watch)
        time.sleep(AFTERMATH_S)  # until nothing that a fault left behind can be in force
        calm_s = time.monotonic()
        source = random.Random(seed)
        stops = [
            Fault(len(plan) + n, "stop", source.choice(cluster.names(_KINDS[group])), 0.5, 0.0, 0)
            for n, group in enumerate(_CALM_STOPS)
        ]
        for stop in stops:
            run.run([stop])
        load.finish()
        newest = calm(cluster, watch)
        for name in [*cluster.names("sorting"), *cluster.names("sales")]:
            watch.take_counters(name)
        watch.finish()
        violations = [
            *watch.violations,
            *check_keys(load, watch),
            *check_memory(watch),
            *check_audit(cluster, watch),
            *check_requests(load, run.windows),
            *_check_calm(load, calm_s),
        ]
        _write_trace(cluster, load, run.windows)
        return _report(load, watch, plan + stops, violations, faults_end_s, newest)
    finally:
        if load is not None:
            load.finish()
        if watch is not None:
            watch.finish()
        cluster.close()


def _write_trace(cluster: Cluster, load: Load, windows: list[Window]) -> None:
    """Write faults, broken connections and incomplete requests beside the logs."""
    incomplete = [e for e in load.ended if e.result != "complete"]
    rows: list[Any] = [*windows, *load.breaks, *incomplete]
    with (cluster.folder / "trace.jsonl").open("w") as file:
        for row in sorted(rows, key=lambda r: r.started_s):
            fields = attrs.asdict(row)
            for name in ("started_s", "ended_s"):
                fields[name] = round(fields[name] - load.started_s, 2)
            file.write(json.dumps(fields) + "\n")


def calm(cluster: Cluster, watch: Watch) -> int:
    """Wait until all processes agree on the newest accepted version, and return it."""
    newest = max(version for version, _ in watch.accepted.values())

    def agreed() -> bool:
        controls = {cluster.status(name).get("version") for name in cluster.names("control")}
        return cluster.all_ready() and cluster.entry_versions() == controls and len(controls) == 1

    cluster.until(agreed, "agreement on one version")
    (agreed_version,) = cluster.entry_versions()
    if agreed_version < newest:
        watch.violations.append(f"all agree on {agreed_version}, but {newest} was accepted")
    return agreed_version


def _check_calm(load: Load, calm_s: float) -> list[str]:
    return [
        f"planned stop: {e.request_id} {e.result} {e.detail}"
        for e in load.ended
        if e.started_s > calm_s and e.result not in ("complete",)
    ] + [
        f"planned stop: {b.request_id} broke at {b.entry} {b.detail}"
        for b in load.breaks
        if b.started_s > calm_s
    ]


def _report(
    load: Load,
    watch: Watch,
    faults: list[Fault],
    violations: list[str],
    faults_end_s: float,
    newest: int,
) -> dict[str, Any]:
    results: dict[str, dict[str, int]] = {}
    for kind in ("stream", "whole", "stock", "purchase"):
        results[kind] = dict(Counter(e.result for e in load.ended if e.kind == kind))
    totals = Counter(e.result for e in load.ended)
    return {
        "faults": dict(Counter(f.kind for f in faults)),
        "fault_phase_s": round(faults_end_s - load.started_s, 1),
        "requests": results,
        "told": dict(
            Counter(f"{e.kind} {e.result} {e.detail}" for e in load.ended if e.detail).most_common(
                20
            )
        ),
        "total": len(load.ended),
        "broken_connections": len(load.breaks),
        "lost": totals["lost"],
        "doubled": sum(v.startswith("doubled") for v in violations),
        "truncated": totals["truncated"],
        "wrong": totals["wrong"],
        "longest_gap_s": {k: longest_gap_s(load, k) for k in ("", *results)},
        "accepted_patches": len(watch.accepted),
        "newest_version": newest,
        "violations": violations,
    }
