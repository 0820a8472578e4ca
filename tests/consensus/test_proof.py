"""Tests of the proof that a member's state includes everything acknowledged up to some time.

:meth:`Cluster.proof_age_ms` checks the claim after every event, also in the simulations.
"""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from briardyke.consensus.messages import AppendReply, AppendRequest
from briardyke.consensus.proof import StateProof
from briardyke.consensus.state import Role

from .cluster import Cluster, Host

# Three heartbeat intervals, which take up to 200 ms on a tick of 50 ms: the reading returns with
# the next heartbeat, less the age of its round, and counts until the one after it.
CALM_AGE_MS = 605.0
# Longest election timeout, a second one after a split vote, and the first entry of the term.
ELECTION_MS = 4000.0


def settled(voters: int = 3, seed: int = 1) -> tuple[Cluster, Host, list[Host]]:
    """Return a group in calm, its leader and its followers."""
    cluster = Cluster(voters, seed=seed)
    leader = cluster.settle()
    cluster.advance(1000)
    return cluster, leader, [h for h in cluster.hosts.values() if h is not leader]


def age_ms(cluster: Cluster, host: Host) -> float:
    """Return the age of a proof, infinite without one."""
    found = cluster.proof_age_ms(host)
    return float("inf") if found is None else found


class TestStateProof:
    """Covers which statements of a leader count."""

    def test_statement_counts_once_its_entries_are_applied(self) -> None:
        """Guards against a proof of a state that lacks what the leader has committed."""
        proof = StateProof()
        proof.add(5, 100.0)
        assert [proof.advance(index) for index in (4, 5)] == [None, 100.0]

    def test_later_statement_does_not_hide_one_that_is_already_borne_out(self) -> None:
        """Guards against a member that never catches up with a stream of commits."""
        proof = StateProof()
        for index in range(1, 9):
            proof.add(index, index * 10.0)
        assert [proof.advance(index) for index in (3, 3, 8)] == [30.0, 30.0, 80.0]

    def test_proof_never_goes_back(self) -> None:
        """Guards against a delayed message that takes a newer proof away."""
        proof = StateProof()
        proof.add(2, 100.0)
        proof.advance(2)
        proof.add(1, 50.0)
        assert proof.advance(2) == 100.0

    def test_waiting_statements_are_bounded(self) -> None:
        """Guards against memory that grows while the disk stands still."""
        proof = StateProof()
        for index in range(10_000):
            proof.add(index, float(index))
        assert len(proof._pending) <= 64
        assert proof.advance(0) == 0.0


class TestCalm:
    """Covers a group without faults."""

    @pytest.mark.parametrize("seed", range(5))
    def test_every_member_has_a_fresh_proof_whatever_its_clock(self, seed: int) -> None:
        """Guards against clocks that are compared, and against proofs that only the leader has."""
        cluster, _, _ = settled(5, seed)
        for number, host in enumerate(cluster.hosts.values()):
            host.clock_offset_ms += number * 3_600_000.0  # a step of the clock, before any reading
            cluster.crash(host)
            cluster.start(host)
        cluster.settle()
        cluster.advance(1000)
        for _ in range(100):
            cluster.advance(37)
            assert max(age_ms(cluster, host) for host in cluster.running) < CALM_AGE_MS


class TestLeaderLoss:
    """Covers the time between two leaders."""

    @pytest.mark.parametrize("seed", range(5))
    def test_proofs_age_until_the_next_leader_has_committed(self, seed: int) -> None:
        """Guards against proofs from a leader that may not know what its predecessor confirmed."""
        cluster, leader, followers = settled(seed=seed)
        before = [age_ms(cluster, host) for host in followers]
        cluster.crash(leader)
        cluster.advance(900)
        for host, age in zip(followers, before, strict=True):
            assert age_ms(cluster, host) >= age + 900 - CALM_AGE_MS
        cluster.advance(ELECTION_MS)
        assert max(age_ms(cluster, host) for host in followers) < CALM_AGE_MS

    def test_leader_without_a_committed_entry_proves_nothing(self) -> None:
        """Guards against a leader that has a majority and an old commit index."""
        cluster, leader, followers = settled()
        cluster.crash(leader)
        deliver, send = cluster._deliver, cluster._send
        sent: list[AppendRequest] = []

        def deliver_unmatched(sender: Host, receiver: Host, message: Any) -> None:
            # The leader hears its followers in each round, and never that they hold its entries.
            if isinstance(message, AppendReply):
                fields = {"success": False, "match_index": 0, "rejected_index": 0}
                message = attrs.evolve(message, **fields)
            deliver(sender, receiver, message)

        def record(host: Host, address: Any, message: Any) -> None:
            if isinstance(message, AppendRequest):
                sent.append(message)
            send(host, address, message)

        cluster._deliver = deliver_unmatched  # type: ignore[method-assign]
        cluster._send = record  # type: ignore[method-assign]
        started = cluster.now
        cluster.advance(10_000)
        new_leader = cluster.leader()
        assert sent
        assert new_leader is not None
        assert new_leader.node.state.confirmed_round > 10  # type: ignore[union-attr]
        assert all(message.proven_as_of_ms is None for message in sent)
        assert all(age_ms(cluster, host) >= cluster.now - started for host in followers)


class TestPartition:
    """Covers members that are cut off from the majority."""

    def test_proofs_of_a_minority_with_the_old_leader_age(self) -> None:
        """Guards against a leader that proves what a majority no longer confirms."""
        cluster, leader, followers = settled(5)
        cut_ms = cluster.now
        cluster.partitions = [{leader.name, followers[0].name}]
        for number in range(60):
            cluster.advance(100)
            for host in cluster.running:
                if host.node is not None and host.node.state.role is Role.LEADER:
                    cluster.propose(host, b"%d" % number)
            for host in (leader, followers[0]):
                assert age_ms(cluster, host) >= cluster.now - cut_ms
        assert max(age_ms(cluster, host) for host in followers[1:]) < CALM_AGE_MS
        cluster.partitions = []
        cluster.advance(3000)
        assert max(age_ms(cluster, host) for host in cluster.running) < CALM_AGE_MS

    @pytest.mark.parametrize("delay_ms", [200.0, 700.0, 3000.0])
    @pytest.mark.parametrize("direction", [AppendRequest, AppendReply])
    def test_delay_of_heartbeats_counts(self, delay_ms: float, direction: type) -> None:
        """Guards against a delayed heartbeat that looks fresh on arrival."""
        cluster, leader, followers = settled()
        late = followers[0]
        deliver = cluster._deliver

        def deliver_late(sender: Host, receiver: Host, message: Any) -> None:
            if isinstance(message, direction) and late in (sender, receiver):
                cluster._schedule(
                    cluster.now + delay_ms, lambda: deliver(sender, receiver, message)
                )
            else:
                deliver(sender, receiver, message)

        cluster._deliver = deliver_late  # type: ignore[method-assign]
        # The member would ask for votes in vain and disturb nothing, but not follow either.
        late.node.state.settings = attrs.evolve(  # type: ignore[union-attr]
            late.node.state.settings, election_min_ms=60_000.0, election_max_ms=60_000.0
        )
        cluster.advance(2 * delay_ms + 2000)
        for number in range(20):
            cluster.propose(leader, b"%d" % number)
            cluster.advance(130)
            assert delay_ms <= age_ms(cluster, late) < delay_ms + 2 * CALM_AGE_MS


class TestFreeze:
    """Covers members that stand still."""

    @pytest.mark.parametrize("frozen_ms", [1500.0, 8000.0])
    def test_follower_wakes_with_an_old_proof(self, frozen_ms: float) -> None:
        """Guards against heartbeats that waited in a connection and renew the proof on waking."""
        cluster, leader, followers = settled()
        began_ms = cluster.now
        cluster.suspend(followers[0], frozen_ms)
        cluster.advance(frozen_ms / 2)
        cluster.propose(leader, b"x")
        cluster.advance(frozen_ms / 2)
        assert age_ms(cluster, followers[0]) >= cluster.now - began_ms
        cluster.advance(1)  # all messages that waited
        assert age_ms(cluster, followers[0]) >= cluster.now - began_ms - 1
        cluster.advance(3000)
        assert age_ms(cluster, followers[0]) < CALM_AGE_MS

    @pytest.mark.parametrize("is_clock_stopped", [False, True])
    def test_leader_wakes_without_a_fresh_proof(self, is_clock_stopped: bool) -> None:
        """Guards against a leader that was replaced while its machine was suspended."""
        cluster, leader, followers = settled()
        began_ms, frozen_ms = cluster.now, 6000.0
        cluster.suspend(leader, frozen_ms)
        leader.stopped_ms = frozen_ms if is_clock_stopped else 0.0
        cluster.advance(frozen_ms)
        cluster.propose(cluster.leader() or leader, b"x")
        assert age_ms(cluster, leader) >= cluster.now - began_ms
        cluster.advance(1)
        assert age_ms(cluster, leader) >= cluster.now - began_ms - 1
        assert max(age_ms(cluster, host) for host in followers) < CALM_AGE_MS
        cluster.advance(3000)
        assert age_ms(cluster, leader) < CALM_AGE_MS

    @pytest.mark.parametrize("name", ["leader", "follower"])
    def test_suspended_machine_counts_the_time(self, name: str) -> None:
        """Guards against proofs on a clock that stands still while the machine is suspended."""
        cluster, leader, followers = settled()
        host = leader if name == "leader" else followers[0]
        began_ms = cluster.now
        cluster.suspend(host, 900.0)  # too short for another leader
        host.stopped_ms = 900.0
        cluster.advance(900.0)
        assert age_ms(cluster, host) >= cluster.now - began_ms


class TestRestart:
    """Covers processes and machines that start anew."""

    def test_nothing_is_proven_from_the_disk(self) -> None:
        """Guards against a member that serves its stored state as current."""
        cluster, _, _ = settled()
        for host in cluster.hosts.values():
            cluster.compact(host)
            cluster.crash(host)
        for host in cluster.hosts.values():
            cluster.start(host)
        cluster.advance(100)
        assert all(cluster.proof_age_ms(host) is None for host in cluster.running)

    def test_reading_from_before_a_restart_of_the_machine_does_not_count(self) -> None:
        """Guards against a reading of an older start that lies ahead of the new clock."""
        cluster, leader, followers = settled()
        host = followers[0]
        cluster.crash(host)
        cluster.start(host)
        host.clock_offset_ms = -cluster.now  # the clock of the machine begins at 0
        assert leader.node is not None
        row = leader.node.state.progress[host.member_id]
        assert row.reading_ms != 0.0
        cluster.advance(151)  # the next heartbeat still carries the old reading
        assert cluster.proof_age_ms(host) is None
        cluster.advance(400)
        assert age_ms(cluster, host) < CALM_AGE_MS
