"""Watch every process during a run, and judge what callers and operators were told."""

from __future__ import annotations

import threading
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from cluster import Cluster
    from recovery_load import Ended, Load

IN_FORCE_BOUND_S = 9.0
VERSION_LEASE_MS = 6000
# A caller may act on an address response, and an entry process on an engine's announcement, for
# some seconds after the fault behind it has ended; a claim may be waited for 5 s.
AFTERMATH_S = 12.0


@attrs.define
class Window:
    """Describe when a fault was in force; it ends once the process is ready again."""

    kind: str
    target: str
    started_s: float
    ended_s: float = float("inf")


class Watch:
    """Poll versions and counters of all processes from one thread for each process."""

    def __init__(self, cluster: Cluster) -> None:
        """Start to poll."""
        self._cluster = cluster
        self._stop = threading.Event()
        self.violations: list[str] = []
        self.accepted: dict[str, tuple[int, float]] = {}
        self.counters: dict[tuple[str, int], dict[str, Any]] = {}
        self._highest: dict[tuple[str, int], int] = {}
        self._threads = [
            threading.Thread(target=self._poll, args=(name,)) for name in cluster.processes
        ]
        for thread in self._threads:
            thread.start()

    def finish(self) -> None:
        """Stop polling."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def take_counters(self, name: str) -> None:
        """Keep the counters of an upstream; those of one process only ever grow."""
        child = self._cluster.processes[name].child
        if child is None:
            return
        taken = self._cluster.call(name, "GET", "/counters", timeout_s=2.0).json()
        if child is self._cluster.processes[name].child:
            self.counters[(name, child.pid)] = taken

    def accept(self, request_id: str, version: int) -> None:
        """Note the first answer that an accepted patch got."""
        known = self.accepted.setdefault(request_id, (version, time.monotonic()))
        if known[0] != version:
            self.violations.append(f"{request_id} was accepted as {known[0]} and as {version}")

    def _poll(self, name: str) -> None:
        upstream = name.startswith(("sorting", "sales"))
        while not self._stop.wait(0.2):
            try:
                self.take_counters(name) if upstream else self._check_version(name)
            except (OSError, ValueError, KeyError):
                continue

    def _check_version(self, name: str) -> None:
        child = self._cluster.processes[name].child
        entry = name.startswith("entry")
        asked = time.monotonic()
        due = [v for v, at in list(self.accepted.values()) if at < asked - IN_FORCE_BOUND_S]
        path = "/health" if entry else "/v1/status"
        seen = self._cluster.call(name, "GET", path, timeout_s=12.0).json()
        if child is None or child is not self._cluster.processes[name].child:
            return
        version = seen["version"]
        if version < self._highest.get((name, child.pid), 0):
            self.violations.append(f"{name} went back to version {version}")
        self._highest[(name, child.pid)] = max(version, self._highest.get((name, child.pid), 0))
        age_ms = seen["confirmed_age_ms"]
        admits = entry and seen["lifecycle"] == "ready" and age_ms is not None
        if admits and age_ms < VERSION_LEASE_MS and version < max(due, default=0):
            self.violations.append(f"{name} admits under {version} when {max(due)} is due")


def check_keys(load: Load, watch: Watch) -> list[str]:
    """Return keys that ran more than once, and refusals of calls that ran."""
    services = [c for (name, _), c in watch.counters.items() if name.startswith("sales")]
    by_key: Counter[str] = Counter()
    by_request: Counter[str] = Counter()
    for counters in services:
        by_key.update(counters["runs_by_key"])
        by_request.update(counters["runs_by_request"])
    engines: Counter[str] = Counter()
    for (name, _), counters in watch.counters.items():
        if name.startswith("sorting"):
            engines.update(counters["runs"])
    problems = []
    for key, record in load.keys.items():
        # A killed service takes its last counts with it; an answer then stands for the run.
        answered = {answer["request_id"] for answer in record.answers}
        runs = sum(max(by_request[r], r in answered) for r in record.request_ids)
        if max(runs, by_key[key]) > 1:
            problems.append(f"doubled: key {key} ran {max(runs, by_key[key])} times")
    for request_id in sorted(load.told_not_run):
        if by_request[request_id] or engines[request_id]:
            problems.append(f"told not run, but ran: {request_id}")
    return problems


def check_memory(watch: Watch) -> list[str]:
    """Return the engines that were overcommitted."""
    return [
        f"{name} overcommitted {c['overcommitted']} times, peak {c['peak_bytes']}"
        for (name, _), c in watch.counters.items()
        if name.startswith("sorting")
        and (c["overcommitted"] or c["peak_bytes"] > c["capacity_bytes"])
    ]


def check_audit(cluster: Cluster, watch: Watch) -> list[str]:
    """Return accepted patches that no audit trail has exactly once, for each control process."""
    problems = []
    for name in cluster.names("control"):
        records = cluster.call(name, "GET", "/v1/audit?limit=1000").json()["records"]
        accepted = [r for r in records if r["to_version"] is not None]
        for request_id, (version, _) in watch.accepted.items():
            found = [r["to_version"] for r in accepted if r["request_id"] == request_id]
            if found != [version]:
                problems.append(f"{name}: audit has {found} for {request_id}, version {version}")
        versions = sorted(r["to_version"] for r in accepted)
        if versions != list(range(1, len(versions) + 1)):
            problems.append(f"{name}: versions in the audit trail are {versions}")
    return problems


def check_requests(load: Load, windows: list[Window]) -> list[str]:
    """Return answers that are wrong or cut, and requests that nothing but a planned stop hit."""
    problems = []
    for ended in load.ended:
        if ended.result in ("wrong", "truncated", "lost"):
            problems.append(f"{ended.result}: {ended.request_id} {ended.detail}")
        elif ended.result in ("refused", "failed") and not _hit(ended, windows):
            text = f"{ended.result} without a fault: {ended.request_id} {ended.detail}"
            problems.append(f"{text} at {ended.started_s - load.started_s:.1f} s")
    for broken in load.breaks:
        hits = [w for w in windows if w.kind != "stop" and _overlaps(broken, w)]
        own = [w for w in hits if w.target == broken.entry]
        # While control is unreachable, address responses cannot learn of a stop elsewhere.
        spread = [w for w in hits if w.target.startswith(("control", "entry"))]
        if broken.listed and not own and not spread:
            at = broken.started_s - load.started_s
            problems.append(
                f"broken without a fault: {broken.request_id} at {broken.entry} {broken.detail}"
                f" at {at:.1f} s"
            )
    return problems


def _hit(ended: Ended, windows: list[Window]) -> bool:
    return any(w.kind != "stop" and _overlaps(ended, w) for w in windows)


def _overlaps(span: Any, window: Window) -> bool:
    return window.started_s <= span.ended_s and span.started_s <= window.ended_s + AFTERMATH_S


def longest_gap_s(load: Load, kind: str = "") -> float:
    """Return the longest time without a complete answer."""
    times = sorted(
        e.ended_s
        for e in load.ended
        if e.result in ("complete", "resumed") and e.kind.startswith(kind)
    )
    points = [load.started_s, *times, load.ended_s]
    return round(max(b - a for a, b in zip(points, points[1:], strict=False)), 3)
