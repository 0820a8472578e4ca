"""Measure elections, the spread of versions, and a restart of all control and entry processes."""

from __future__ import annotations

import random
import re
import statistics
import time
from datetime import datetime
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from cluster import Cluster

_LOG_LINE = re.compile(r"time=(\S+) level=\w+ event=(\w+) version=(\d+)")
_ELECTION_LIMIT_S = 40.0


def target_patch(number: int) -> dict[str, Any]:
    """Return a patch that only changes a latency target."""
    return {"targets": {"first_token_ms": 600 + number}}


def summarise(values: list[float]) -> dict[str, float]:
    """Return count, median, 95th percentile and worst of some times."""
    ordered = sorted(values)
    p95 = ordered[max(0, -(-len(ordered) * 95 // 100) - 1)]
    return {
        "count": len(ordered),
        "median": round(statistics.median(ordered), 3),
        "p95": round(p95, 3),
        "worst": round(ordered[-1], 3),
    }


def measure_elections(cluster: Cluster, repetitions: int, fault: str) -> dict[str, Any]:
    """Take the leader away and time its successor.

    :param repetitions: number of elections.
    :param fault: ``kill`` (SIGKILL) or ``freeze`` (SIGSTOP).
    """
    leaders: list[float] = []
    patches: list[float] = []
    for number in range(repetitions):
        leader = cluster.wait_for_leader()
        version = cluster.status_of_leader()["version"]
        others = [name for name in cluster.names("control") if name != leader]
        getattr(cluster, fault)(leader)
        started = time.monotonic()
        successor = _successor(cluster, others)
        leaders.append(time.monotonic() - started)
        request_id = f"{fault}-{number}"
        while True:
            try:
                answer = cluster.patch(
                    version, target_patch(version), request_id=request_id, name=successor
                )
                if answer.status == 200:
                    break
            except OSError:
                pass
            if time.monotonic() - started > _ELECTION_LIMIT_S:
                raise AssertionError(f"no patch accepted after {fault} of {leader}")
            time.sleep(0.02)
        patches.append(time.monotonic() - started)
        if fault == "kill":
            cluster.launch(leader)
        else:
            cluster.thaw(leader)
        cluster.until(lambda: _caught_up(cluster, leader, version + 1), "return")  # noqa: B023
    return {"leader_s": summarise(leaders), "accepted_patch_s": summarise(patches)}


def _successor(cluster: Cluster, others: list[str]) -> str:
    started = time.monotonic()
    while time.monotonic() - started < _ELECTION_LIMIT_S:
        for name in others:
            status = cluster.status(name)
            age_ms = status.get("confirmed_age_ms")
            if status.get("role") == "leader" and age_ms is not None and age_ms < 1000:
                return name
        time.sleep(0.01)
    raise AssertionError("no leader was elected")


def _caught_up(cluster: Cluster, name: str, version: int) -> bool:
    status = cluster.status(name)
    return bool(status.get("ready")) and status["role"] != "leader" and status["version"] >= version


def measure_versions(cluster: Cluster, patches: int, seed: int) -> dict[str, Any]:
    """Time each version from its acceptance to the last entry process, by the processes' logs.

    :param patches: number of patches, sent one after another at random intervals.
    :param seed: seed of the intervals.
    """
    source = random.Random(seed)
    leader = cluster.wait_for_leader()
    first = version = cluster.status_of_leader()["version"]
    for number in range(patches):
        answer = cluster.patch(
            version, target_patch(number), request_id=f"spread-{number}", name=leader
        )
        version = answer.json()["version"]
        time.sleep(source.uniform(0.02, 0.35))
    cluster.until(lambda: cluster.entry_versions() == {version}, "last version in force")
    accepted = _times(cluster, leader, "patch_accepted")
    in_force = [_times(cluster, name, "version_in_force") for name in cluster.names("entry")]
    delays = [
        max(min(at for v, at in times.items() if v >= number) for times in in_force)
        - accepted[number]
        for number in range(first + 1, version + 1)
    ]
    return {"last_entry_s": summarise(delays)}


def _times(cluster: Cluster, name: str, event: str) -> dict[int, float]:
    found: dict[int, float] = {}
    for line in (cluster.folder / f"{name}.log").read_text().splitlines():
        match = _LOG_LINE.match(line)
        if match and match[2] == event:
            at = datetime.fromisoformat(match[1].replace("Z", "+00:00")).timestamp()
            found.setdefault(int(match[3]), at)
    return found


def measure_restart(cluster: Cluster, changes: int) -> dict[str, Any]:
    """Kill and start all control and entry processes after many changes.

    :param changes: number of accepted changes before the restart.
    """
    leader = cluster.wait_for_leader()
    version = cluster.status_of_leader()["version"]
    for number in range(changes):
        answer = cluster.patch(
            version, target_patch(number), request_id=f"restart-{number}", name=leader
        )
        version = answer.json()["version"]
    names = [*cluster.names("control"), *cluster.names("entry")]
    for name in names:
        cluster.kill(name)
    started = time.monotonic()
    for name in names:
        cluster.launch(name)
    older: list[str] = []

    def ready() -> bool:
        count = 0
        for name in cluster.names("entry"):
            try:
                if cluster.call(name, "GET", "/ready", timeout_s=2.0).status != 200:
                    continue
                seen = cluster.call(name, "GET", "/health", timeout_s=2.0).json()["version"]
            except OSError:
                continue
            if seen != version:
                older.append(f"{name}: ready with {seen}")
            count += seen == version
        controls = [cluster.status(name) for name in cluster.names("control")]
        whole = all(s.get("ready") and s.get("version") == version for s in controls)
        return count == len(cluster.names("entry")) and whole

    cluster.until(ready, "return of all processes")
    taken = time.monotonic() - started
    return {"changes": changes, "all_ready_s": round(taken, 3), "ready_with_older": older}
