"""Test Raft's guarantees under random faults; :mod:`.cluster` checks them."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from briardyke.consensus.members import MemberChange
from briardyke.consensus.state import Role

from .cluster import Cluster, Host

names = st.sampled_from("abcde")


class Group(RuleBasedStateMachine):
    """Guards against lost or changed committed entries and against two leaders, under any faults.

    ``a``, ``b`` and ``c`` are the initial voters; ``d`` and ``e`` join as learners.
    """

    promotes_learners = False

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster(3, 2)
        self.commands = 0

    @initialize(seed=st.integers(0, 2**32), sync_ms=st.sampled_from([0.0, 30.0]))
    def build(self, seed: int, sync_ms: float) -> None:
        self.cluster = Cluster(3, 2, seed, sync_ms, self.promotes_learners)
        self.cluster.advance(4000)

    def _running(self, name: str) -> Host | None:
        host = self.cluster.hosts[name]
        return host if host.node is not None else None

    @rule(duration_ms=st.sampled_from([20, 200, 1200, 4000]))
    def advance(self, duration_ms: int) -> None:
        self.cluster.advance(duration_ms)

    @rule(count=st.integers(1, 8), pause_ms=st.sampled_from([0, 5, 60]))
    def propose(self, count: int, pause_ms: int) -> None:
        """Propose to every member in the leader role, including leaders that have been replaced."""
        for _ in range(count):
            for host in self.cluster.running:
                if host.node.state.role is Role.LEADER:
                    self.commands += 1
                    self.cluster.propose(host, b"c%d" % self.commands)
            self.cluster.advance(pause_ms)

    @rule(name=names)
    def crash(self, name: str) -> None:
        self.cluster.crash(self.cluster.hosts[name])

    @rule(name=names)
    def restart(self, name: str) -> None:
        host = self.cluster.hosts[name]
        self.cluster.crash(host)
        self.cluster.start(host)

    @rule(name=names)
    def lose_disk(self, name: str) -> None:
        host = self.cluster.hosts[name]
        if self.cluster.can_lose_disk(host):
            self.cluster.lose_disk(host)

    @rule(name=names, duration_ms=st.sampled_from([300, 1500, 6000]))
    def freeze(self, name: str, duration_ms: int) -> None:
        self.cluster.suspend(self.cluster.hosts[name], duration_ms)

    @rule(group=st.sets(names, min_size=1, max_size=3))
    def partition(self, group: set[str]) -> None:
        self.cluster.partitions = [group]

    @rule()
    def end_partition(self) -> None:
        self.cluster.partitions = []

    @rule(
        loss=st.sampled_from([0.0, 0.05, 0.3]),
        duplication=st.sampled_from([0.0, 0.3]),
        longest_ms=st.sampled_from([1.0, 40.0, 400.0]),
    )
    def degrade_network(self, loss: float, duplication: float, longest_ms: float) -> None:
        self.cluster.loss, self.cluster.duplication = loss, duplication
        self.cluster.delay_ms = (1.0, longest_ms)

    @precondition(lambda self: self.cluster.leader() is not None)
    @rule(name=names, action=st.sampled_from(["promote", "remove"]))
    def change_member(self, name: str, action) -> None:
        """Promote or remove; a removed instance returns with new storage as a learner."""
        host = self.cluster.hosts[name]
        effects = self.cluster.change(self.cluster.leader(), MemberChange(action, host.member_id))
        self.cluster.advance(300)
        leader = self.cluster.leader()
        if action == "remove" and effects.proposed and leader is not None:
            membership = leader.node.state.membership
            if membership.get(host.member_id) is None and self.cluster.can_lose_disk(host):
                self.cluster.lose_disk(host)

    @precondition(lambda self: self.cluster.leader() is not None)
    @rule()
    def transfer(self) -> None:
        self.cluster.transfer(self.cluster.leader())

    @rule(name=names)
    def compact(self, name: str) -> None:
        host = self._running(name)
        if host is not None:
            self.cluster.compact(host)

    def teardown(self) -> None:
        """Check that the group recovers and that no acknowledged command is lost."""
        self.cluster.heal()
        self.cluster.check_durable()


class AutomaticGroup(Group):
    """Guards against the same where members are added, replaced and admitted again by themselves.

    Instances that join later may take the place of voters that are only cut off.
    """

    promotes_learners = True

    @precondition(lambda self: len(self.cluster.hosts) < 8)
    @rule()
    def add(self) -> None:
        self.cluster.add_host(f"s{len(self.cluster.hosts)}")


_SETTINGS = settings(
    derandomize=True,
    max_examples=250,
    stateful_step_count=40,
    deadline=None,
    phases=[Phase.explicit, Phase.generate],  # shrinking would take minutes
    database=None,
    suppress_health_check=list(HealthCheck),
)
Group.TestCase.settings = _SETTINGS
AutomaticGroup.TestCase.settings = settings(_SETTINGS, max_examples=100)
TestGroup = Group.TestCase
TestAutomaticGroup = AutomaticGroup.TestCase
