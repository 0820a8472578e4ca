"""Check agreed state with real processes that are killed, frozen, cut off or lose their disk."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

import pytest

if TYPE_CHECKING:
    from collections.abc import Callable

    from cluster import Cluster

pytestmark = pytest.mark.process

IN_FORCE_BOUND_S = 9.0
VERSION_LEASE_S = 6.0


def _target(number: int) -> dict[str, Any]:
    return {"targets": {"first_token_ms": 600 + number}}


def _others(cluster: Cluster, name: str) -> list[str]:
    return [other for other in cluster.names("control") if other != name]


class TestKilledLeader:
    """Guards against acknowledged versions that vanish with the leader that accepted them."""

    def test_version_survives_and_a_resend_gets_its_first_answer(
        self, start_cluster: Callable[..., Cluster]
    ) -> None:
        cluster = start_cluster(entries=2, engines=1)
        cluster.configure()
        leader = cluster.wait_for_leader()
        first = cluster.patch(1, _target(1), request_id="p1", name=leader)
        assert first.json()["version"] == 2
        cluster.kill(leader)
        other = _others(cluster, leader)[0]
        again = cluster.patch(1, _target(1), request_id="p1", name=other)
        assert (again.status, again.json()["version"]) == (200, 2)
        assert cluster.patch(1, _target(2), request_id="p2", name=other).status == 412
        assert cluster.patch(2, _target(3), request_id="p3", name=other).json()["version"] == 3
        cluster.launch(leader)
        cluster.until(lambda: cluster.status(leader).get("version") == 3, "return of the leader")
        again = cluster.patch(1, _target(1), request_id="p1", name=leader)
        assert (again.status, again.json()["version"]) == (200, 2)
        cluster.until(lambda: cluster.entry_versions() == {3}, "version 3 in force")

    def test_requests_go_on_during_the_election(
        self, start_cluster: Callable[..., Cluster]
    ) -> None:
        cluster = start_cluster(entries=1, engines=1)
        cluster.configure()
        assert cluster.chat("entry-1").status == 200
        leader = cluster.wait_for_leader()
        cluster.kill(leader)
        while not cluster.status_of_leader():
            answer = cluster.chat("entry-1")
            assert answer.status == 200, answer.body
        cluster.patch(1, _target(1), request_id="p1", name=_others(cluster, leader)[0])
        cluster.until(lambda: cluster.entry_versions() == {2}, "version 2 in force")


class TestFrozenLeader:
    """Guards against a leader that wakes after its lease and acts on what it knew."""

    def test_woken_leader_accepts_nothing_and_serves_no_older_version(
        self, start_cluster: Callable[..., Cluster]
    ) -> None:
        cluster = start_cluster(entries=2, engines=1)
        cluster.configure()
        leader = cluster.wait_for_leader()
        cluster.freeze(leader)
        new_leader = cluster.wait_for_leader(other_than=leader)
        accepted = cluster.patch(1, _target(1), request_id="p1", name=new_leader)
        assert accepted.json()["version"] == 2
        taken_s = cluster.until(lambda: cluster.entry_versions() == {2}, "version 2 in force")
        assert taken_s < IN_FORCE_BOUND_S
        time.sleep(VERSION_LEASE_S)  # longer than every lease
        cluster.thaw(leader)
        stale = cluster.patch(1, _target(2), request_id="p2", name=leader)
        assert stale.status == 412, stale.body
        for _ in range(20):
            assert cluster.entry_versions() == {2}
            time.sleep(0.05)


class TestLostDisk:
    """Guards against a voter that votes again after it forgot what it promised."""

    def test_emptied_voter_returns_under_a_new_id_and_counts_again(
        self, start_cluster: Callable[..., Cluster]
    ) -> None:
        cluster = start_cluster(entries=1, engines=1)
        cluster.configure()
        leader = cluster.wait_for_leader()
        lost, kept = _others(cluster, leader)
        cluster.kill(lost)
        cluster.wipe(lost)
        for number in range(1, 6):
            answer = cluster.patch(number, _target(number), request_id=f"p{number}", name=leader)
            assert answer.json()["version"] == number + 1
        (old_id,) = _voter_ids(cluster, leader, lost)
        cluster.launch(lost)
        cluster.until(lambda: _voter_ids(cluster, leader, lost) not in ([], [old_id]), "promotion")
        after = [member["member_id"] for member in _members(cluster, leader)]
        assert old_id not in after
        assert len(after) == 3
        # A second instance fails right after the repair; the repaired one now has to count.
        cluster.kill(kept)
        answer = cluster.patch(6, _target(6), request_id="p6", name=leader)
        assert answer.json()["version"] == 7
        assert cluster.call(lost, "GET", "/v1/configuration/3").status == 200


class TestSilentPartition:
    """Guards against a cut-off part that accepts changes or goes on under an old version."""

    def test_cut_off_leader_accepts_nothing_and_returns_quietly(
        self, start_cluster: Callable[..., Cluster]
    ) -> None:
        cluster = start_cluster(entries=2, engines=1)
        cluster.configure()
        leader = cluster.wait_for_leader()
        cluster.cuts.add(leader)
        lost = cluster.patch(1, _target(1), request_id="p1", name=leader)
        assert lost.status in (503, 504), lost.body
        new_leader = cluster.wait_for_leader(other_than=leader)
        assert cluster.patch(1, _target(2), request_id="p2", name=new_leader).status == 200
        taken_s = cluster.until(lambda: cluster.entry_versions() == {2}, "version 2 in force")
        assert taken_s < IN_FORCE_BOUND_S
        term = cluster.status(new_leader)["term"]
        cluster.cuts.clear()
        cluster.until(lambda: cluster.status(leader).get("version") == 2, "return")
        assert cluster.status_of_leader()["term"] == term
        # The patch whose answer was lost was not applied; its resend now conflicts.
        assert cluster.patch(1, _target(1), request_id="p1", name=leader).status == 412

    def test_cut_off_entry_leaves_the_addresses_and_stops_admitting(
        self, start_cluster: Callable[..., Cluster]
    ) -> None:
        cluster = start_cluster(entries=2, engines=1)
        cluster.configure()
        cluster.until(lambda: _listed(cluster, "entry-1") == ["entry-1", "entry-2"], "both listed")
        cluster.cuts.add("entry-2")
        cut_at = time.monotonic()
        assert cluster.patch(1, _target(1), request_id="p1").status == 200
        cluster.until(lambda: _listed(cluster, "entry-1") == ["entry-1"], "entry-2 unlisted")
        unlisted_s = time.monotonic() - cut_at
        assert "entry-2" not in _listed(cluster, "entry-2")
        cluster.until(lambda: cluster.chat("entry-2").status == 503, "refusal")
        assert time.monotonic() - cut_at < IN_FORCE_BOUND_S
        error = cluster.chat("entry-2").json()["error"]
        assert (error["kind"], error["ran"]) == ("version_unconfirmed", "no")
        assert unlisted_s < VERSION_LEASE_S
        assert cluster.chat("entry-1").status == 200
        cluster.cuts.clear()
        cluster.until(lambda: cluster.chat("entry-2").status == 200, "return of entry-2")
        assert cluster.entry_versions() == {2}


class TestLostMajority:
    """Guards against accepting changes without a majority, and against stopping too early."""

    def test_requests_go_on_for_the_lease_and_nothing_is_accepted(
        self, start_cluster: Callable[..., Cluster]
    ) -> None:
        cluster = start_cluster(entries=1, engines=1)
        cluster.configure()
        assert cluster.chat("entry-1").status == 200
        leader = cluster.wait_for_leader()
        dead = _others(cluster, leader)
        for name in dead:
            cluster.kill(name)
        answer = cluster.chat("entry-1")
        assert answer.status == 200, answer.body
        refused = cluster.patch(1, _target(1), request_id="p1", name=leader)
        assert refused.status in (503, 504)
        cluster.until(lambda: cluster.chat("entry-1").status == 503, "end of the lease")
        assert cluster.chat("entry-1").json()["error"]["kind"] == "version_unconfirmed"
        cluster.launch(dead[0])
        cluster.until(lambda: cluster.chat("entry-1").status == 200, "return of the majority")


class TestRestartAfterManyChanges:
    """Guards against a restart that is ready before it holds the current version."""

    def test_all_processes_rejoin_the_current_version(
        self, start_cluster: Callable[..., Cluster]
    ) -> None:
        cluster = start_cluster(entries=2, engines=1)
        version = cluster.configure()
        leader = cluster.wait_for_leader()
        for number in range(300):
            answer = cluster.patch(version, _target(number), request_id=f"p{number}", name=leader)
            version = answer.json()["version"]
        for name in [*cluster.names("control"), *cluster.names("entry")]:
            cluster.kill(name)
        for name in [*cluster.names("control"), *cluster.names("entry")]:
            cluster.launch(name)
        seen: set[int] = set()

        def ready() -> bool:
            for name in cluster.names("entry"):
                if cluster.call(name, "GET", "/ready").status == 200:
                    seen.add(cluster.call(name, "GET", "/health").json()["version"])
            return len(seen) > 0 and cluster.entry_versions() == {version}

        cluster.until(ready, "return to the current version")
        assert seen == {version}
        leader = cluster.wait_for_leader()
        records = cluster.call(leader, "GET", "/v1/audit?limit=1000").json()["records"]
        assert len(records) == version


def _members(cluster: Cluster, name: str) -> list[dict[str, Any]]:
    return cluster.call(name, "GET", "/v1/members").json()["members"]


def _voter_ids(cluster: Cluster, name: str, instance_id: str) -> list[str]:
    return [
        m["member_id"]
        for m in _members(cluster, name)
        if m["member_id"].startswith(instance_id + "#") and m["role"] == "voter"
    ]


def _listed(cluster: Cluster, name: str) -> list[str]:
    answer = json.loads(cluster.call(name, "GET", "/v1/addresses").body)
    return [row["instance_id"] for row in answer["addresses"]]
