"""Test the driver with disks, proposers, restarts and several members, on a simulated clock."""

from __future__ import annotations

import errno
import threading
from typing import TYPE_CHECKING, Any

import pytest
import trio

from briardyke.consensus.identity import initialise
from briardyke.consensus.members import MemberChange
from briardyke.consensus.state import Role
from briardyke.consensus.storage import DiskFullError
from briardyke.errors import ErrorKind

from .driver_group import ADDRESSES, DriverGroup, run_inline

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path


async def test_proposals_are_applied_everywhere(autojump_clock: Any, tmp_path: Path) -> None:
    """Guards against results for the wrong proposer and against members that diverge."""
    async with trio.open_nursery() as nursery:
        group = DriverGroup(tmp_path, nursery)
        leader = await group.started()
        results: dict[bytes, Any] = {}

        async def propose(command: bytes) -> None:
            results[command] = await group.logs[leader].propose(command, 1000)

        async with trio.open_nursery() as proposers:
            for number in range(50):
                proposers.start_soon(propose, b"%d" % number)
        applied = group.machines[leader].commands
        for command, result in results.items():
            assert result.unwrap().result == b"%d" % (applied.index(command) + 1)
        for name in "abc":
            await group.logs[name].wait_applied(results[b"1"].unwrap().index)
            await trio.sleep(0.5)
            assert group.machines[name].commands == applied
            assert group.logs[name].status().ready
        other = next(name for name in "abc" if name != leader)
        refused = (await group.logs[other].propose(b"x", 100)).unwrap_err()
        assert (refused.kind, refused.field) == (ErrorKind.NOT_LEADER, str(ADDRESSES[leader]))
        nursery.cancel_scope.cancel()


async def test_nothing_is_sent_before_the_sync(autojump_clock: Any, tmp_path: Path) -> None:
    """Guards against acknowledging entries that a power failure can remove: while the syncs of the
    followers hang, only the leader holds the entry and must not acknowledge it; while the sync of
    the leader hangs, it must not send the entry."""
    async with trio.open_nursery() as nursery:
        group = DriverGroup(tmp_path, nursery)
        leader = await group.started()
        syncs_released = trio.Event()

        async def wait_for_release(function: Callable[..., Any], *arguments: Any) -> Any:
            await syncs_released.wait()
            return await run_inline(function, *arguments)

        for name, log in group.logs.items():
            if name != leader:
                log._run_blocking = wait_for_release
        outcome = await group.logs[leader].propose(b"x", 300)
        assert outcome.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
        assert all(machine.commands == [] for machine in group.machines.values())
        syncs_released.set()
        await trio.sleep(3)
        assert group.machines[await group.leader()].commands in ([b"x"], [])
        sent: list[Any] = []
        leader = await group.leader()
        syncs_released = trio.Event()
        group.logs[leader]._send = lambda address, message: sent.append(message)
        group.logs[leader]._run_blocking = wait_for_release
        assert (await group.logs[leader].propose(b"y", 100)).is_err()
        assert not any(entry.data == b"y" for m in sent for entry in getattr(m, "entries", ()))
        nursery.cancel_scope.cancel()


async def test_outcome_is_unknown_after_lost_leadership(
    autojump_clock: Any, tmp_path: Path
) -> None:
    """Guards against reporting a command as not run that the next leader may still commit."""
    async with trio.open_nursery() as nursery:
        group = DriverGroup(tmp_path, nursery)
        leader = await group.started()
        group.isolated = {leader}
        outcome = await group.logs[leader].propose(b"x", 5000)
        assert outcome.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
        later = await group.logs[leader].propose(b"y", 5000)
        assert later.unwrap_err().kind is ErrorKind.NO_MAJORITY
        nursery.cancel_scope.cancel()


async def test_restart_reads_the_disk_and_waits_until_ready(
    autojump_clock: Any, tmp_path: Path
) -> None:
    """Guards against serving outdated state after a restart, and against applying entries again
    that the snapshot includes."""
    async with trio.open_nursery() as nursery:
        group = DriverGroup(tmp_path, nursery)
        group.snapshot_entries = 20
        leader = await group.started()
        for number in range(70):
            assert (await group.logs[leader].propose(b"%d" % number, 1000)).is_ok()
        for name in "abc":
            group.stop(name)
        logs = [await group.start(name) for name in "abc"]
        assert not any(log.status().ready for log in logs)
        assert all(log.status().applied_index >= 60 for log in logs)
        leader = await group.leader()
        await trio.sleep(1)
        assert all(log.status().ready for log in logs)
        for machine in group.machines.values():
            assert machine.commands == [b"%d" % number for number in range(70)]
        nursery.cancel_scope.cancel()


async def test_instance_with_lost_disk_is_replaced(autojump_clock: Any, tmp_path: Path) -> None:
    """Guards against a repair that needs an operator, and against promoting a learner of another
    instance without an explicit request."""
    async with trio.open_nursery() as nursery:
        group = DriverGroup(tmp_path, nursery)
        leader = await group.started()
        await group.start("d")
        lost = next(name for name in "abc" if name != leader)
        group.stop(lost)
        assert (await group.logs[leader].propose(b"x", 1000)).is_ok()
        returned = await group.start(lost, directory="new-disk")
        await trio.sleep(15)
        status = group.logs[leader].status()
        voters = {member.member_id for member in status.members if member.voter}
        assert returned.status().member_id in voters and len(voters) == 3
        assert group.machines[lost].commands == [b"x"]
        learner = group.logs["d"].status()
        assert learner.ready and learner.member_id not in voters
        change = MemberChange("promote", learner.member_id)
        assert (await group.logs[leader].change_member(change, 1000)).is_ok()
        assert sum(member.voter for member in group.logs[leader].status().members) == 4
        nursery.cancel_scope.cancel()


async def test_planned_stop_transfers_leadership(autojump_clock: Any, tmp_path: Path) -> None:
    """Guards against an election timeout without a leader at each planned stop."""
    async with trio.open_nursery() as nursery:
        group = DriverGroup(tmp_path, nursery)
        leader = await group.started()
        before = trio.current_time()
        assert await group.logs[leader].transfer_leadership(2000)
        next_leader = await group.leader()
        assert next_leader != leader
        assert trio.current_time() - before < 0.5
        assert group.logs[leader].status().role is Role.FOLLOWER
        nursery.cancel_scope.cancel()


async def test_sync_does_not_block_other_tasks(tmp_path: Path) -> None:
    """Guards against tasks that stall during a disk sync: the write runs in another thread, and the
    event loop continues while that thread waits."""
    async with trio.open_nursery() as nursery:
        group = DriverGroup(tmp_path, nursery)
        initialise(tmp_path / "a", "k", "a", {"a": ADDRESSES["a"]}).unwrap()
        log = await group.start("a", run_blocking=trio.to_thread.run_sync)
        await group.leader()
        event_loop_ran, entered = threading.Event(), trio.Event()
        threads: list[int] = []
        save = log._storage.save

        def slow_save(*arguments: Any) -> None:
            threads.append(threading.get_ident())
            trio.from_thread.run_sync(entered.set)
            assert event_loop_ran.wait(10)
            save(*arguments)

        log._storage.save = slow_save

        async def run_concurrently() -> None:
            await entered.wait()
            event_loop_ran.set()

        nursery.start_soon(run_concurrently)
        assert (await log.propose(b"x", 15_000)).is_ok()
        assert threads[0] != threading.get_ident()
        nursery.cancel_scope.cancel()


class TestFullDisks:
    """Covers disks without room for a few seconds, one after the other."""

    @staticmethod
    def _fill(group: DriverGroup, name: str, full: set[str]) -> None:
        async def run(function: Callable[..., Any], *arguments: Any) -> Any:
            await trio.lowlevel.checkpoint()
            if name in full:
                raise DiskFullError(errno.ENOSPC, "No space left on device")
            return function(*arguments)

        group.logs[name]._run_blocking = run

    @pytest.mark.parametrize("first", ["leader", "follower"])
    async def test_changes_are_accepted_during_and_after_each_of_them(
        self, autojump_clock: Any, tmp_path: Path, first: str
    ) -> None:
        """Guards against members that end, or that refuse changes long after there is room."""
        async with trio.open_nursery() as nursery:
            group = DriverGroup(tmp_path, nursery)
            leader = await group.started()
            full: set[str] = set()
            for name in "abc":
                self._fill(group, name, full)
            others = [name for name in "abc" if name != leader]
            order = [leader, *others] if first == "leader" else [*others, leader]
            commands = []
            for number, name in enumerate(order):
                full.add(name)
                commands.append(b"%d" % number)
                assert await self._is_accepted(group, commands[-1])
                await trio.sleep(3.0)
                full.clear()
                await trio.sleep(2.0)
            commands.append(b"last")
            assert await self._is_accepted(group, b"last")
            await trio.sleep(1.0)
            for machine in group.machines.values():
                assert list(dict.fromkeys(machine.commands)) == commands
            nursery.cancel_scope.cancel()

    @staticmethod
    async def _is_accepted(group: DriverGroup, command: bytes) -> bool:
        """Offer a command to each member in turn, as an operator does, for five seconds."""
        for _ in range(50):
            for log in group.logs.values():
                if (await log.propose(command, 1000)).is_ok():
                    return True
            await trio.sleep(0.1)
        return False

    async def test_member_without_room_keeps_no_messages(
        self, autojump_clock: Any, tmp_path: Path
    ) -> None:
        """Guards against memory that grows for as long as the disk is full."""
        async with trio.open_nursery() as nursery:
            group = DriverGroup(tmp_path, nursery)
            leader = await group.started()
            name = next(name for name in "abc" if name != leader)
            full = {name}
            self._fill(group, name, full)
            assert await self._is_accepted(group, b"1")
            await trio.sleep(60.0)
            assert len(group.logs[name]._pending) < 10
            full.clear()
            await trio.sleep(2.0)
            assert group.machines[name].commands == [b"1"]
            nursery.cancel_scope.cancel()

    async def test_member_without_room_answers_proposers_at_once(
        self, autojump_clock: Any, tmp_path: Path
    ) -> None:
        async with trio.open_nursery() as nursery:
            group = DriverGroup(tmp_path, nursery)
            leader = await group.started()
            self._fill(group, leader, {leader})
            await group.logs[leader].propose(b"1", 200)
            started_s = trio.current_time()
            refused = (await group.logs[leader].propose(b"2", 2000)).unwrap_err()
            assert refused.kind is ErrorKind.NO_MAJORITY
            assert trio.current_time() - started_s < 0.1
            nursery.cancel_scope.cancel()

    async def test_disk_that_fails_otherwise_still_ends_the_member(
        self, autojump_clock: Any, tmp_path: Path
    ) -> None:
        async def fail(function: Callable[..., Any], *arguments: Any) -> Any:
            await trio.lowlevel.checkpoint()
            raise OSError(errno.EIO, "Input/output error")

        with pytest.raises(ExceptionGroup):
            async with trio.open_nursery() as nursery:
                group = DriverGroup(tmp_path, nursery)
                leader = await group.started()
                group.logs[leader]._run_blocking = fail
                await group.logs[leader].propose(b"1", 1000)
                await trio.sleep(5.0)
                nursery.cancel_scope.cancel()


class TestDefects:
    """Guards against a member that goes on with a state that was changed in part."""

    async def test_defect_met_by_a_message_ends_the_member(
        self, autojump_clock: Any, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def fail(message: Any, now_ms: float) -> None:
            raise KeyError("defect")

        with pytest.raises(ExceptionGroup):
            async with trio.open_nursery() as nursery:
                group = DriverGroup(tmp_path, nursery)
                leader = await group.started()
                group.isolated.add(leader)
                monkeypatch.setattr(group.logs[leader]._node, "step", fail)
                message: Any = object()
                with pytest.raises(KeyError):
                    await group.logs[leader].handle(message)
                await trio.sleep(5.0)
                nursery.cancel_scope.cancel()


class TestStalledDisks:
    """Covers disks that take no write for a while."""

    async def test_snapshot_received_while_committed_entries_wait(
        self, autojump_clock: Any, tmp_path: Path
    ) -> None:
        """Guards against the end of a process that asks for the membership at an entry which the
        received snapshot has replaced."""
        async with trio.open_nursery() as nursery:
            group = DriverGroup(tmp_path, nursery)
            group.snapshot_entries = 1
            leader = await group.started()
            stalled = next(name for name in "abc" if name != leader)
            has_disk = trio.Event()

            async def run_when_possible(function: Callable[..., Any], *arguments: Any) -> Any:
                await has_disk.wait()
                return function(*arguments)

            group.logs[stalled]._run_blocking = run_when_possible
            for number in range(5):
                assert (await group.logs[leader].propose(b"%d" % number, 1000)).is_ok()
            await trio.sleep(0.3)
            group.isolated.add(stalled)
            assert (await group.logs[leader].propose(b"5", 1000)).is_ok()
            await trio.sleep(0.1)
            await group.logs[stalled].handle(group.snapshot_of(leader, stalled))
            has_disk.set()
            await trio.sleep(0.1)
            assert group.machines[stalled].commands == [b"%d" % number for number in range(6)]
            nursery.cancel_scope.cancel()
