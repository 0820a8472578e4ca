"""Test the rules that a node follows."""

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
    SnapshotReply,
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
FIVE_VOTERS = Membership(tuple(Member(f"{name}#0", ADDRESS, True) for name in "abcde"))


def _node(
    recovered: Recovered, initial_membership: Membership = FIVE_VOTERS, own_id: str = "a#0"
) -> Node:
    return Node("g", own_id, ADDRESS, recovered, initial_membership, random.Random(1), 0.0)


def _message_from(cls: type, sender: str, term: int, **fields):
    return cls(
        group_id="g",
        sender_id=f"{sender}#0",
        sender_address=ADDRESS,
        recipient_id="a#0",
        term=term,
        **fields,
    )


def _append(sender: str, term: int, previous: int, previous_term: int, entries: list) -> object:
    return _message_from(
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
        node.step(_message_from(PreVoteReply, name, term, granted=True), 5000.0)
    for name in "bc":
        node.step(_message_from(VoteReply, name, term, granted=True), 5000.0)
    assert node.state.role is Role.LEADER


class TestCommit:
    """Guards against committing entries that a later leader can replace."""

    def test_entry_of_an_earlier_term_is_not_committed_by_counting(self) -> None:
        """Guards against the case in figure 8 of the Raft paper: an old entry can still be replaced
        although a majority holds it, so it is committed only by an entry of the current term."""
        old = Entry(1, 2, EntryKind.COMMAND, b"old")
        node = _node(Recovered(HardState(2), None, (old,)))
        _elect(node)
        node.synced(2, 3)
        reply = {"success": True, "rejected_index": 0, "round_number": 1}
        for name in "bc":
            effects = node.step(_message_from(AppendReply, name, 3, match_index=1, **reply), 5001.0)
            assert effects.committed == []
        for name in "bc":
            effects = node.step(_message_from(AppendReply, name, 3, match_index=2, **reply), 5002.0)
        assert [entry.index for entry in effects.committed] == [1, 2]

    @pytest.mark.parametrize("is_snapshot", [False, True])
    def test_follower_knows_of_commits_that_it_does_not_hold(self, is_snapshot: bool) -> None:
        """Guards against a follower that takes contact with its leader for knowledge of its log."""
        node = _node(Recovered(HardState(2, ""), None, ()))
        if is_snapshot:
            fields = {"index_term": 2, "members": b"", "offset_bytes": 0, "data": b"x"}
            fields |= {"index": 9, "done": False, "round_number": 1}
            message = _message_from(SnapshotChunk, "b", 2, **fields)
        else:
            message = attrs.evolve(_append("b", 2, 8, 2, []), commit_index=9)
        node.step(message, 10.0)
        assert (node.state.known_commit_index, node.state.commit_index) == (9, 0)

    def test_leader_counts_itself_only_after_its_own_sync(self) -> None:
        """Guards against acknowledging an entry that only one follower of three voters has on disk,
        so that crashes of two machines can lose it."""
        three = Membership(FIVE_VOTERS.members[:3])
        node = _node(Recovered(), three)
        _elect(node)
        reply = {"success": True, "match_index": 1, "rejected_index": 0, "round_number": 1}
        assert node.step(_message_from(AppendReply, "b", 1, **reply), 5001.0).committed == []
        assert len(node.synced(1, 1).committed) == 1

    def test_sync_report_for_a_replaced_entry_is_ignored(self) -> None:
        """Guards against counting the sync of a replaced entry for its replacement."""
        node = _node(Recovered(HardState(1), None, ()))
        node.step(_append("b", 1, 0, 0, [Entry(1, 1, EntryKind.COMMAND, b"x")]), 1.0)
        node.step(_append("c", 2, 0, 0, [Entry(1, 2, EntryKind.COMMAND, b"y")]), 2.0)
        node.synced(1, 1)
        assert node.state.synced_index == 0


class TestElection:
    """Guards against two leaders and against unnecessary elections."""

    def test_vote_is_persisted_with_the_reply_and_given_once(self) -> None:
        """Guards against two leaders in one term if a member restarts between two vote requests."""
        node = _node(Recovered())
        fields = {"last_index": 0, "last_term": 0}
        effects = node.step(_message_from(VoteRequest, "b", 1, **fields), 2000.0)
        assert effects.messages[0].message.granted
        assert effects.hard_state == HardState(1, "b#0")
        restarted = _node(Recovered(effects.hard_state))
        effects = restarted.step(_message_from(VoteRequest, "c", 1, **fields), 2000.0)
        assert not effects.messages[0].message.granted

    def test_member_with_shorter_log_gets_no_vote(self) -> None:
        """Guards against a leader that lacks committed entries."""
        node = _node(Recovered(HardState(1), None, (Entry(1, 1, EntryKind.COMMAND, b"x"),)))
        for cls in (PreVoteRequest, VoteRequest):
            request = _message_from(cls, "b", 5, last_index=9, last_term=0)
            assert not node.step(request, 5000.0).messages[0].message.granted

    def test_vote_is_refused_right_after_a_restart(self) -> None:
        """Guards against a second leader while orders still rely on the first one: after a restart,
        a member must still honour the heartbeat that it acknowledged."""
        node = _node(Recovered(HardState(1)))
        effects = node.step(_message_from(VoteRequest, "b", 2, last_index=0, last_term=0), 900.0)
        assert effects.messages == []
        assert node.state.term == 1

    def test_member_that_returns_from_a_partition_does_not_replace_the_leader(self) -> None:
        """Guards against a partitioned member that raises its term, which would make the leader
        step down when the member returns (pre-vote)."""
        cluster = Cluster(3)
        leader = cluster.settle()
        term = leader.node.state.term
        other = next(host for host in cluster.running if host is not leader)
        cluster.partitions = [{other.name}]
        cluster.advance(20_000)
        cluster.partitions = []
        assert cluster.settle() is leader
        assert leader.node.state.term == term

    def test_leader_without_majority_steps_down(self) -> None:
        """Guards against a partitioned leader that continues to act as leader (check-quorum)."""
        cluster = Cluster(3)
        leader = cluster.settle()
        cluster.partitions = [{leader.name}]
        cluster.advance(800)
        assert leader.node.confirmed_age_ms(cluster.now) >= 800
        cluster.advance(400)
        assert leader.node.state.role is not Role.LEADER
        assert leader.node.confirmed_age_ms(cluster.now) is None

    def test_suspended_leader_resumes_without_confirmation(self) -> None:
        """Guards against orders of a leader that was suspended while another one was elected."""
        cluster = Cluster(3)
        leader = cluster.settle()
        cluster.suspend(leader, 8000)
        cluster.advance(7900)
        assert cluster.leader() is not leader
        assert leader.node.confirmed_age_ms(cluster.now) > 7000
        cluster.advance(1000)
        assert leader.node.state.role is Role.FOLLOWER

    def test_confirmation_counts_from_the_send_time_of_a_round(self) -> None:
        """Guards against counting from the arrival of slow replies, which would extend a lease
        beyond the leadership that it depends on."""
        cluster = Cluster(3)
        cluster.delay_ms = (100.0, 100.0)
        leader = cluster.settle()
        for _ in range(40):
            cluster.advance(37)
            assert 200 <= leader.node.confirmed_age_ms(cluster.now) <= 400

    def test_transfer_moves_leadership_without_an_election_timeout(self) -> None:
        """Guards against a planned stop that leaves the group without a leader, and against an old
        leader that still counts as confirmed after the transfer."""
        cluster = Cluster(3)
        leader = cluster.settle()
        cluster.transfer(leader)
        assert leader.node.confirmed_age_ms(cluster.now) is None
        cluster.advance(100)
        assert cluster.leader() not in (None, leader)

    @pytest.mark.parametrize("crashes", [True, False], ids=["crash", "transfer"])
    def test_former_leader_is_silent_only_when_it_does_not_answer(self, crashes: bool) -> None:
        """Guards against two leaders whose orders alternate while both of them run, and against
        seconds without orders after a leader has crashed."""
        cluster = Cluster(3)
        former = cluster.settle()
        cluster.advance(500)
        if crashes:
            cluster.crash(former)
        else:
            cluster.transfer(former)
            cluster.advance(50)
        leader = cluster.settle()
        assert leader is not former
        cluster.advance(400)
        assert leader.node.state.is_former_leader_silent is crashes

    def test_old_transfer_request_is_ignored(self) -> None:
        """Guards against a delayed transfer request, which would start an election while a later
        leader is in contact."""
        node = _node(Recovered(HardState(3)))
        assert node.step(_message_from(TimeoutNow, "b", 2), 1.0).messages == []
        assert node.state.term == 3


class TestRepliesToEarlierLeadership:
    """Guards against a reply to a delayed message of an earlier term, which the same member led,
    that counts as an acknowledgement in the present one."""

    def test_round_of_an_earlier_term_is_not_acknowledged(self) -> None:
        node = _node(Recovered(HardState(5), None, ()))
        reply = node.step(_append("b", 4, 0, 0, []), 1.0).messages[0].message
        assert (reply.term, reply.success, reply.round_number) == (5, False, 0)

    @pytest.mark.parametrize("cls", [AppendReply, SnapshotReply])
    def test_round_that_was_not_sent_yet_confirms_nothing(self, cls: type) -> None:
        """Guards against the end of a leader that looks up when that round was sent."""
        node = _node(Recovered(HardState(2), None, ()))
        _elect(node)
        fields = {"success": False, "match_index": 0, "rejected_index": 0}
        if cls is SnapshotReply:
            fields = {"index": 0, "received_bytes": 0}
        for name in "bcd":
            node.step(_message_from(cls, name, 3, round_number=20, **fields), 5001.0)
        assert node.state.confirmed_round == 0


class TestReplication:
    """Guards against logs that differ below the commit index."""

    def test_conflicting_suffix_is_replaced(self) -> None:
        """Guards against keeping entries of a replaced leader."""
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
    def test_message_to_a_previous_id_or_another_group_is_ignored(self, field: str) -> None:
        """Guards against voting under the identity of a lost disk, and against mixing groups that
        share a connection."""
        node = _node(Recovered())
        request = _message_from(VoteRequest, "b", 2, last_index=9, last_term=1)
        assert node.step(attrs.evolve(request, **{field: "other"}), 5000.0).messages == []
        assert node.state.term == 0

    def test_member_that_lacks_compacted_entries_receives_a_snapshot_in_chunks(self) -> None:
        """Guards against a member that cannot catch up once the log was compacted, also when chunks
        are lost, duplicated and reordered."""
        cluster = Cluster(3, seed=3)
        leader = cluster.settle()
        slow = next(host for host in cluster.running if host is not leader)
        cluster.crash(slow)
        for number in range(60):
            cluster.propose(leader, b"command-%d" % number)
            cluster.advance(20)
        cluster.compact(leader)
        assert leader.node.state.log.base_index > 50
        offsets_bytes: list[int] = []

        def record_offset(sender: str, receiver: str, message: object) -> bool:
            if isinstance(message, SnapshotChunk):
                offsets_bytes.append(message.offset_bytes)
            return False

        cluster.is_dropped = record_offset
        cluster.loss = cluster.duplication = 0.1
        cluster.delay_ms = (1.0, 30.0)
        cluster.start(slow)
        cluster.advance(15_000)
        assert len(set(offsets_bytes)) > 5
        cluster.heal()
        cluster.settle()
        assert slow.applied == cluster.leader().applied
        assert [b"command-%d" % i for i in range(60)] == slow.applied[1:61]

    def test_append_request_is_encoded_and_decoded(self) -> None:
        """Guards against a field that the codec cannot encode."""
        sent = _append("b", 1, 0, 0, [Entry(1, 1, EntryKind.COMMAND, b"\x00\xff")])
        name, fields = msgpack.unpackb(codec.encode(sent))
        assert name == "AppendRequest"
        assert codec.structure(fields, AppendRequest) == sent


class TestMembers:
    """Guards against membership changes that split or block a group."""

    def test_no_change_before_the_leader_commits_an_entry_of_its_term(self) -> None:
        """Guards against two disjoint majorities through changes of successive leaders."""
        cluster = Cluster(3, 1)
        leader = cluster.settle()
        cluster.is_dropped = lambda sender, receiver, message: isinstance(message, AppendReply)
        cluster.crash(leader)
        for _ in range(100):
            cluster.advance(50)
            if cluster.leader() is not None:
                break
        change = MemberChange("add", "x#0", Address("127.0.0.1", 4))
        effects = cluster.change(cluster.leader(), change)
        assert effects.refused.kind is ErrorKind.MEMBER_CHANGE_REFUSED
        assert "not committed yet" in effects.refused.message

    def test_second_change_is_refused_until_the_first_is_committed(self) -> None:
        """Guards against two uncommitted changes, whose majorities need not overlap."""
        cluster = Cluster(3)
        leader = cluster.settle()
        address = Address("127.0.0.1", 1)
        assert cluster.change(leader, MemberChange("add", "x#0", address)).proposed
        refused = cluster.change(leader, MemberChange("add", "y#0", address)).refused
        assert refused.kind is ErrorKind.MEMBER_CHANGE_REFUSED

    @pytest.mark.parametrize("member", ["own", "unlisted", "blocks"])
    def test_change_that_would_block_the_group_is_refused(self, member: str) -> None:
        """Guards against removing the leader, and against a group without a majority of voters that
        reply, which could neither commit the removal nor undo it."""
        cluster = Cluster(3)
        leader = cluster.settle()
        others = [host for host in cluster.running if host is not leader]
        cluster.crash(others[0])
        cluster.advance(1500)
        ids = {"own": leader.member_id, "unlisted": "q#1", "blocks": others[1].member_id}
        effects = cluster.change(leader, MemberChange("remove", ids[member]))
        assert effects.refused.kind is ErrorKind.MEMBER_CHANGE_REFUSED

    def test_learner_of_another_instance_is_not_promoted(self) -> None:
        """Guards against learners that become voters without a request and slow every commit."""
        cluster = Cluster(3, 2)
        cluster.settle()
        cluster.advance(20_000)
        leader = cluster.settle()
        learners = [m for m in leader.node.state.membership.members if not m.voter]
        assert [m.member_id for m in learners] == ["d#0", "e#0"]
        cluster.partitions = [{"d", "e"}]
        cluster.advance(10_000)
        assert cluster.hosts["d"].node.state.term == leader.node.state.term
        effects = cluster.change(leader, MemberChange("promote", "d#0"))
        assert effects.refused is None

    def test_member_with_lost_disk_is_replaced(self) -> None:
        """Guards against a member that votes under the identity of its lost disk, and against a
        repair that leaves fewer voters."""
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
        """Guards against counting a replacement that has not stored the lost entries yet."""
        for seed in range(6):
            cluster = Cluster(3, seed=seed, sync_ms=20)
            for number in range(9):
                leader = cluster.settle()
                for part in range(5):
                    cluster.propose(leader, b"%d-%d" % (number, part))
                host = cluster.hosts["abc"[number % 3]]
                cluster.advance(30)
                if cluster.can_lose_disk(host):
                    cluster.lose_disk(host)
                for _ in range(300):
                    cluster.advance(100)
                    if cluster.leader() is not None and cluster.can_lose_disk(host):
                        break
                else:
                    raise AssertionError("the lost member was not replaced in time")
            cluster.check_durable()
            assert len(cluster.acknowledged) >= 45

    def test_replaced_member_cannot_rejoin(self) -> None:
        """Guards against an old disk that is reattached and rejoins next to its replacement."""
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
        """Guards against removing a working voter when another process has the same instance id."""
        cluster = Cluster(3, 1)
        cluster.settle()
        duplicate = cluster.hosts["d"]
        cluster.lose_disk(duplicate)
        working = next(h for h in cluster.running if h not in (cluster.leader(), duplicate))
        duplicate.member_id = f"{working.name}#duplicate"
        cluster.disks[duplicate.member_id] = duplicate.disk
        cluster.start(duplicate)
        cluster.advance(10_000)
        membership = cluster.settle().node.state.membership
        assert membership.is_voter(working.member_id)
        assert not membership.is_voter(duplicate.member_id)

    def test_removed_ids_are_bounded(self) -> None:
        """Guards against membership entries that grow without bound."""
        membership = Membership((Member("a#0", ADDRESS, True),))
        for number in range(MAX_REMOVED_IDS + 5):
            name = f"b#{number}"
            membership = membership.with_change(MemberChange("add", name, ADDRESS)).unwrap()
            membership = membership.with_change(MemberChange("remove", name)).unwrap()
        assert len(membership.removed) == MAX_REMOVED_IDS
        assert Membership.decode(membership.encode()) == membership
