"""Check the rules of the pure node one by one."""

from __future__ import annotations

import random

import attrs
import msgpack
import pytest

from briardyke.addresses import Address
from briardyke.consensus.log import Entry, EntryKind, HardState, Recovered
from briardyke.consensus.members import MAX_REMOVED_IDS, Member, MemberChange, Membership
from briardyke.consensus.messages import (
    AppendReply,
    AppendRequest,
    JoinRequest,
    PreVoteReply,
    PreVoteRequest,
    SnapshotChunk,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from briardyke.consensus.node import Node
from briardyke.consensus.state import Role
from briardyke.errors import ErrorKind
from briardyke.wire import codec

from .cluster import Cluster

ADDRESS = Address("127.0.0.1", 1)
FIVE = Membership(tuple(Member(f"{name}#0", ADDRESS, True) for name in "abcde"))


def _node(recovered: Recovered, founding: Membership = FIVE, own_id: str = "a#0") -> Node:
    return Node("g", own_id, ADDRESS, recovered, founding, random.Random(1), 0.0)


def _from(cls: type, sender: str, term: int, **fields):
    return cls(
        group_id="g",
        sender_id=f"{sender}#0",
        sender_address=ADDRESS,
        recipient_id="a#0",
        term=term,
        **fields,
    )


def _append(sender: str, term: int, previous: int, previous_term: int, entries: list) -> object:
    return _from(
        AppendRequest,
        sender,
        term,
        previous_index=previous,
        previous_term=previous_term,
        entries=entries,
        commit_index=0,
        commit_confirmed=False,
        round_number=1,
    )


def _elect(node: Node) -> None:
    """Make a node the leader of the next term with the votes of b and c."""
    node.tick(5000.0)
    term = node.state.term + 1
    for name in "bc":
        node.step(_from(PreVoteReply, name, term, granted=True), 5000.0)
    for name in "bc":
        node.step(_from(VoteReply, name, term, granted=True), 5000.0)
    assert node.state.role is Role.LEADER


class TestCommit:
    """Guards against commits that a later leader can undo."""

    def test_entry_of_an_earlier_term_is_not_committed_by_counting(self) -> None:
        """Guards against the overwrite in figure 8 of the Raft paper: an old entry on a majority
        can still be replaced, so only an entry of the current term commits it."""
        old = Entry(1, 2, EntryKind.COMMAND, b"old")
        node = _node(Recovered(HardState(2), None, (old,)))
        _elect(node)
        node.synced(2, 3)
        reply = {"success": True, "rejected_index": 0, "round_number": 1}
        for name in "bc":
            effects = node.step(_from(AppendReply, name, 3, match_index=1, **reply), 5001.0)
            assert effects.committed == []
        for name in "bc":
            effects = node.step(_from(AppendReply, name, 3, match_index=2, **reply), 5002.0)
        assert [entry.index for entry in effects.committed] == [1, 2]

    def test_leader_counts_itself_only_after_its_own_sync(self) -> None:
        """Guards against an acknowledged entry that a crash of two machines loses: of three
        voters, only one follower has it on disk."""
        three = Membership(FIVE.members[:3])
        node = _node(Recovered(), three)
        _elect(node)
        reply = {"success": True, "match_index": 1, "rejected_index": 0, "round_number": 1}
        assert node.step(_from(AppendReply, "b", 1, **reply), 5001.0).committed == []
        assert len(node.synced(1, 1).committed) == 1

    def test_sync_report_for_a_replaced_entry_is_ignored(self) -> None:
        """Guards against counting a replaced entry's sync for the entry that took its index."""
        node = _node(Recovered(HardState(1), None, ()))
        node.step(_append("b", 1, 0, 0, [Entry(1, 1, EntryKind.COMMAND, b"x")]), 1.0)
        node.step(_append("c", 2, 0, 0, [Entry(1, 2, EntryKind.COMMAND, b"y")]), 2.0)
        node.synced(1, 1)
        assert node.state.synced_index == 0


class TestElection:
    """Guards against two leaders and against needless elections."""

    def test_vote_is_persisted_with_the_reply_and_given_once(self) -> None:
        """Guards against two leaders in one term after a restart between two vote requests."""
        node = _node(Recovered())
        fields = {"last_index": 0, "last_term": 0}
        effects = node.step(_from(VoteRequest, "b", 1, **fields), 2000.0)
        assert effects.messages[0].message.granted
        assert effects.hard_state == HardState(1, "b#0")
        restarted = _node(Recovered(effects.hard_state))
        effects = restarted.step(_from(VoteRequest, "c", 1, **fields), 2000.0)
        assert not effects.messages[0].message.granted

    def test_member_with_shorter_log_gets_no_vote(self) -> None:
        """Guards against a leader that lacks committed entries."""
        node = _node(Recovered(HardState(1), None, (Entry(1, 1, EntryKind.COMMAND, b"x"),)))
        for cls in (PreVoteRequest, VoteRequest):
            request = _from(cls, "b", 5, last_index=9, last_term=0)
            assert not node.step(request, 5000.0).messages[0].message.granted

    def test_vote_is_refused_right_after_a_restart(self) -> None:
        """Guards against a second leader while orders still rely on the first one's evidence: a
        restart must not forget the heartbeat that this member acknowledged."""
        node = _node(Recovered(HardState(1)))
        effects = node.step(_from(VoteRequest, "b", 2, last_index=0, last_term=0), 900.0)
        assert effects.messages == []
        assert node.state.term == 1

    def test_returning_member_does_not_depose_the_leader(self) -> None:
        """Guards against a rising term of a partitioned member, which would end a working
        leader's term on the member's return (pre-vote)."""
        cluster = Cluster(3)
        leader = cluster.settle()
        term = leader.node.state.term
        other = next(host for host in cluster.running if host is not leader)
        cluster.groups = [{other.name}]
        cluster.advance(20_000)
        cluster.groups = []
        assert cluster.settle() is leader
        assert leader.node.state.term == term

    def test_leader_without_majority_steps_down(self) -> None:
        """Guards against a partitioned leader that goes on answering (check-quorum)."""
        cluster = Cluster(3)
        leader = cluster.settle()
        cluster.groups = [{leader.name}]
        cluster.advance(800)
        assert leader.node.confirmed_age_ms(cluster.now) >= 800
        cluster.advance(400)
        assert leader.node.state.role is not Role.LEADER
        assert leader.node.confirmed_age_ms(cluster.now) is None

    def test_frozen_leader_wakes_without_evidence(self) -> None:
        """Guards against orders of a leader that slept through the election of another one."""
        cluster = Cluster(3)
        leader = cluster.settle()
        cluster.freeze(leader, 8000)
        cluster.advance(7900)
        assert cluster.leader() is not leader
        assert leader.node.confirmed_age_ms(cluster.now) > 7000
        cluster.advance(1000)
        assert leader.node.state.role is Role.FOLLOWER

    def test_evidence_is_the_send_time_of_an_acknowledged_round(self) -> None:
        """Guards against evidence dated by the arrival of slow replies, which would keep a lease
        alive longer than the leadership it rests on."""
        cluster = Cluster(3)
        cluster.delay_ms = (100.0, 100.0)
        leader = cluster.settle()
        for _ in range(40):
            cluster.advance(37)
            assert 200 <= leader.node.confirmed_age_ms(cluster.now) <= 400

    def test_transfer_moves_leadership_without_an_election_timeout(self) -> None:
        """Guards against a planned stop that leaves the group without leader, and against
        evidence of the old leader after the hand-over."""
        cluster = Cluster(3)
        leader = cluster.settle()
        cluster.transfer(leader)
        assert leader.node.confirmed_age_ms(cluster.now) is None
        cluster.advance(100)
        assert cluster.leader() not in (None, leader)

    def test_old_hand_over_request_is_ignored(self) -> None:
        """Guards against a delayed hand-over request that bypasses the vote protection later."""
        node = _node(Recovered(HardState(3)))
        assert node.step(_from(TimeoutNow, "b", 2), 1.0).messages == []
        assert node.state.term == 3


class TestReplication:
    """Guards against logs that differ below the commit index."""

    def test_conflicting_suffix_is_replaced(self) -> None:
        """Guards against keeping entries of a deposed leader."""
        held = tuple(Entry(i, 1, EntryKind.COMMAND, b"old") for i in (1, 2, 3))
        node = _node(Recovered(HardState(1), None, held))
        effects = node.step(_append("b", 2, 1, 1, [Entry(2, 2, EntryKind.NO_OP)]), 1.0)
        assert effects.messages[0].message.match_index == 2
        assert (node.state.log.last_index, node.state.log.last_term) == (2, 2)
        assert node.state.synced_index == 1

    def test_delayed_append_does_not_shorten_the_log(self) -> None:
        """Guards against a reordered message that removes acknowledged entries."""
        entries = [Entry(i, 1, EntryKind.COMMAND, b"x") for i in (1, 2, 3)]
        node = _node(Recovered())
        node.step(_append("b", 1, 0, 0, entries), 1.0)
        node.step(_append("b", 1, 0, 0, entries[:1]), 2.0)
        assert node.state.log.last_index == 3

    @pytest.mark.parametrize("field", ["recipient_id", "group_id"])
    def test_message_to_a_former_id_or_another_group_is_ignored(self, field: str) -> None:
        """Guards against a vote for the identity of a lost disk, and against mixing groups that
        share a connection."""
        node = _node(Recovered())
        request = _from(VoteRequest, "b", 2, last_index=9, last_term=1)
        assert node.step(attrs.evolve(request, **{field: "other"}), 5000.0).messages == []
        assert node.state.term == 0

    def test_member_behind_the_log_receives_a_snapshot_in_parts(self) -> None:
        """Guards against a member that cannot return once the log was truncated; parts are lost,
        doubled and reordered on the way."""
        cluster = Cluster(3, seed=3)
        leader = cluster.settle()
        slow = next(host for host in cluster.running if host is not leader)
        cluster.crash(slow)
        for number in range(60):
            cluster.propose(leader, b"command-%d" % number)
            cluster.advance(20)
        cluster.compact(leader)
        assert leader.node.state.log.base_index > 50
        parts: list[int] = []

        def count(sender: str, receiver: str, message: object) -> bool:
            if isinstance(message, SnapshotChunk):
                parts.append(message.offset_bytes)
            return False

        cluster.blocked = count
        cluster.loss = cluster.duplication = 0.1
        cluster.delay_ms = (1.0, 30.0)
        cluster.start(slow)
        cluster.advance(15_000)
        assert len(set(parts)) > 5
        cluster.heal()
        cluster.settle()
        assert slow.applied == cluster.leader().applied
        assert [b"command-%d" % i for i in range(60)] == slow.applied[1:61]

    def test_messages_survive_the_wire(self) -> None:
        """Guards against a field that the codec cannot carry."""
        sent = _append("b", 1, 0, 0, [Entry(1, 1, EntryKind.COMMAND, b"\x00\xff")])
        name, fields = msgpack.unpackb(codec.encode(sent))
        assert name == "AppendRequest"
        assert codec.structure(fields, AppendRequest) == sent


class TestMembers:
    """Guards against membership changes that split or block a group."""

    def test_no_change_before_an_entry_of_the_own_term_is_committed(self) -> None:
        """Guards against two disjoint majorities from changes of successive leaders."""
        cluster = Cluster(3, 1)
        leader = cluster.settle()
        cluster.blocked = lambda sender, receiver, message: isinstance(message, AppendReply)
        cluster.crash(leader)
        for _ in range(100):
            cluster.advance(50)
            if cluster.leader() is not None:
                break
        change = MemberChange("add", "x#0", Address("127.0.0.1", 4))
        effects = cluster.change(cluster.leader(), change)
        assert effects.refused.kind is ErrorKind.MEMBER_CHANGE_REFUSED
        assert "not committed yet" in effects.refused.message

    def test_second_change_waits_for_the_first(self) -> None:
        """Guards against two changes at once, whose majorities need not overlap."""
        cluster = Cluster(3)
        leader = cluster.settle()
        address = Address("127.0.0.1", 1)
        assert cluster.change(leader, MemberChange("add", "x#0", address)).proposed
        refused = cluster.change(leader, MemberChange("add", "y#0", address)).refused
        assert refused.kind is ErrorKind.MEMBER_CHANGE_REFUSED

    @pytest.mark.parametrize("member", ["own", "unlisted", "blocks"])
    def test_change_that_would_block_the_group_is_refused(self, member: str) -> None:
        """Guards against removing the leader, and against a group whose remaining voters do not
        answer, which could neither commit the removal nor undo it."""
        cluster = Cluster(3)
        leader = cluster.settle()
        others = [host for host in cluster.running if host is not leader]
        cluster.crash(others[0])
        cluster.advance(1500)
        ids = {"own": leader.member_id, "unlisted": "q#1", "blocks": others[1].member_id}
        effects = cluster.change(leader, MemberChange("remove", ids[member]))
        assert effects.refused.kind is ErrorKind.MEMBER_CHANGE_REFUSED

    def test_learner_of_another_instance_stays_learner(self) -> None:
        """Guards against relays that start to vote by themselves and slow every commit."""
        cluster = Cluster(3, 2)
        cluster.settle()
        cluster.advance(20_000)
        leader = cluster.settle()
        learners = [m for m in leader.node.state.membership.members if not m.voter]
        assert [m.member_id for m in learners] == ["d#0", "e#0"]
        cluster.groups = [{"d", "e"}]
        cluster.advance(10_000)
        assert cluster.hosts["d"].node.state.term == leader.node.state.term
        effects = cluster.change(leader, MemberChange("promote", "d#0"))
        assert effects.refused is None

    def test_lost_disk_is_replaced_step_by_step(self) -> None:
        """Guards against a member that votes under the identity of its lost disk, and against a
        repair that ends with fewer voters."""
        cluster = Cluster(3)
        leader = cluster.settle()
        lost = next(host for host in cluster.running if host is not leader)
        old_id = lost.member_id
        cluster.lose_disk(lost)
        assert not lost.node.state.is_voter
        cluster.advance(8000)
        membership = cluster.settle().node.state.membership
        assert membership.is_voter(lost.member_id)
        assert membership.get(old_id) is None
        assert len(membership.voters) == 3

    def test_second_disk_lost_right_after_a_repair_loses_nothing(self) -> None:
        """Guards against acknowledging on a replacement that has not stored what it replaced."""
        for seed in range(6):
            cluster = Cluster(3, seed=seed, sync_ms=20)
            for number in range(9):
                leader = cluster.settle()
                for part in range(5):
                    cluster.propose(leader, b"%d-%d" % (number, part))
                host = cluster.hosts["abc"[number % 3]]
                cluster.advance(30)
                if cluster.may_lose_disk(host):
                    cluster.lose_disk(host)
                for _ in range(300):
                    cluster.advance(100)
                    if cluster.leader() is not None and cluster.may_lose_disk(host):
                        break
                else:
                    raise AssertionError("the repair did not end")
            cluster.check_durable()
            assert len(cluster.acknowledged) >= 45

    def test_replaced_member_stays_out(self) -> None:
        """Guards against an old disk that is put back and rejoins beside its replacement."""
        cluster = Cluster(3)
        leader = cluster.settle()
        lost = next(host for host in cluster.running if host is not leader)
        old_id = lost.member_id
        cluster.lose_disk(lost)
        cluster.advance(8000)
        fields = {"group_id": "g", "sender_address": lost.address, "recipient_id": "", "term": 0}
        leader = cluster.leader()
        effects = leader.node.step(JoinRequest(sender_id=old_id, **fields), cluster.now)
        assert type(effects.messages[0].message).__name__ == "JoinRefused"
        returned = _node(Recovered(), Membership(), own_id=old_id)
        returned.state.seeds = (Address("127.0.0.1", 9),)
        assert returned.tick(1.0).messages
        returned.step(effects.messages[0].message, 2.0)
        assert returned.tick(5000.0).messages == []
        refused = cluster.change(leader, MemberChange("add", old_id, lost.address)).refused
        assert refused.kind is ErrorKind.MEMBER_CHANGE_REFUSED

    def test_live_member_with_the_same_instance_id_is_not_replaced(self) -> None:
        """Guards against removing a working voter because of a mistaken instance id."""
        cluster = Cluster(3, 1)
        cluster.settle()
        twin = cluster.hosts["d"]
        cluster.lose_disk(twin)
        working = next(h for h in cluster.running if h not in (cluster.leader(), twin))
        twin.member_id = f"{working.name}#twin"
        cluster.disks[twin.member_id] = twin.disk
        cluster.start(twin)
        cluster.advance(10_000)
        membership = cluster.settle().node.state.membership
        assert membership.is_voter(working.member_id)
        assert not membership.is_voter(twin.member_id)

    def test_removed_ids_are_bounded(self) -> None:
        """Guards against membership entries that grow for ever."""
        membership = Membership((Member("a#0", ADDRESS, True),))
        for number in range(MAX_REMOVED_IDS + 5):
            name = f"b#{number}"
            membership = membership.changed(MemberChange("add", name, ADDRESS)).unwrap()
            membership = membership.changed(MemberChange("remove", name)).unwrap()
        assert len(membership.removed) == MAX_REMOVED_IDS
        assert Membership.decode(membership.encode()) == membership
