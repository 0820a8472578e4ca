"""Test that a group survives any series of losses that it can bear one at a time."""

from __future__ import annotations

import random

import pytest

from .cluster import Cluster, Host

CATCH_UP_MS = 4000.0
VOTERS = 5


class SuccessiveLosses:
    """A group of five in which every instance becomes a voter, and the losses that befall it."""

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.cluster = Cluster(3, VOTERS - 3, seed, promotes_learners=True)
        self.cluster.advance(6000)
        assert len(self.cluster.settle().node.state.membership.voters) == VOTERS
        self.commands = 0

    def acknowledge(self) -> None:
        """Have a command acknowledged by the present leader."""
        self.commands += 1
        for _ in range(150):
            leader = self.cluster.leader()
            if leader is not None and self.cluster.propose(leader, b"c%d" % self.commands):
                break
            self.cluster.advance(100)
        self.cluster.advance(50)

    def check_served(self) -> None:
        """Check that commands are accepted, and that no acknowledged one is lost."""
        leader = self.cluster.settle()
        missing = [e for e in self.cluster.acknowledged if e.data not in leader.applied]
        assert not missing, f"acknowledged commands were lost: {missing}"

    def any_member(self, is_leader: bool) -> Host:
        """Return the leader or another running instance."""
        leader = self.cluster.settle()
        others = [host for host in self.cluster.running if host is not leader]
        return leader if is_leader else self.random.choice(others)

    def replace(self, host: Host, pause_ms: float) -> None:
        """Lose an instance for good and start one with an empty disk at another address."""
        self.cluster.crash(host)
        self.cluster.disks[host.member_id] = None
        self.cluster.advance(pause_ms)
        self.cluster.add_host(f"s{len(self.cluster.hosts)}")

    def cut_off(self, host: Host, duration_ms: float) -> None:
        """Cut an instance off from all others for a while."""
        self.cluster.partitions = [{host.name}]
        self.cluster.advance(duration_ms)
        self.cluster.partitions = []

    def restart(self, host: Host, pause_ms: float) -> None:
        """Stop an instance for a while; its disk stays."""
        self.cluster.crash(host)
        self.cluster.advance(pause_ms)
        self.cluster.start(host)

    def lose_any(self) -> None:
        """Lose one instance in one of the ways above, then let the group catch up."""
        host = self.any_member(is_leader=self.random.random() < 0.6)
        pause_ms = self.random.choice([50.0, 500.0, 2000.0, 7000.0])
        action = self.random.choice(["replace", "replace", "wipe", "restart", "cut", "transfer"])
        self.acknowledge()
        if action == "replace":
            self.replace(host, pause_ms)
        elif action == "wipe":
            self.cluster.lose_disk(host)
        elif action == "restart":
            self.restart(host, pause_ms)
        elif action == "cut":
            self.cut_off(host, pause_ms)
        else:
            self.cluster.transfer(self.cluster.settle())
        self.cluster.advance(CATCH_UP_MS)


class TestSuccessiveLosses:
    """Guards against a group that has no majority though its instances run and reach each other."""

    def test_leader_replaced_three_times_then_a_disk_lost(self) -> None:
        """Guards against replaced voters that count towards the majority after their departure."""
        losses = SuccessiveLosses()
        for _ in range(3):
            losses.replace(losses.any_member(is_leader=True), 2000.0)
            losses.cluster.advance(7000)
        losses.acknowledge()
        losses.cluster.lose_disk(losses.any_member(is_leader=True))
        losses.check_served()

    @pytest.mark.parametrize("seed", range(40))
    def test_any_series_of_caught_up_losses(self, seed: int) -> None:
        """Guards against a loss, the one after many others, that takes the majority away."""
        losses = SuccessiveLosses(seed)
        for _ in range(10):
            losses.lose_any()
        losses.check_served()
        losses.cluster.advance(25_000)
        membership = losses.cluster.settle().node.state.membership
        running = {host.member_id for host in losses.cluster.running}
        assert {member.member_id for member in membership.voters} == running

    @pytest.mark.parametrize("is_leader", [False, True])
    def test_member_cut_off_while_another_one_joins_returns(self, is_leader: bool) -> None:
        """Guards against a removed member that is never admitted again once it is reachable."""
        losses = SuccessiveLosses()
        host = losses.any_member(is_leader)
        losses.cluster.partitions = [{host.name}]
        losses.cluster.add_host("added")
        losses.cluster.advance(8000)
        membership = losses.cluster.leader().node.state.membership
        assert len(membership.voters) == VOTERS
        assert not membership.is_voter(host.member_id)
        losses.cluster.partitions = []
        losses.cluster.advance(6000)
        membership = losses.cluster.settle().node.state.membership
        assert membership.is_voter(host.member_id)
        assert len(membership.voters) == VOTERS + 1

    def test_member_cut_off_for_a_moment_keeps_its_vote(self) -> None:
        """Guards against a removal after a short silence while an instance is added."""
        losses = SuccessiveLosses()
        host = losses.any_member(is_leader=False)
        losses.cluster.partitions = [{host.name}]
        losses.cluster.add_host("added")
        losses.cluster.advance(2500)
        assert losses.cluster.leader().node.state.membership.is_voter(host.member_id)
        losses.cluster.partitions = []
        losses.cluster.advance(3000)
        assert len(losses.cluster.settle().node.state.membership.voters) == VOTERS + 1
