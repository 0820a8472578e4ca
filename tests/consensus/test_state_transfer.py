"""Test that bringing back a member costs what the state costs, however long its history is."""

from __future__ import annotations

import os
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import pytest
import trio

from briardyke.consensus.driver import SNAPSHOT_BYTES
from briardyke.consensus.state import NodeSettings

from .driver_group import DriverGroup, LastCommand

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

SETTINGS = NodeSettings(promotes_learners=True)
# What a small control instance takes from its link while it handles it with a third of a core.
LINK_BYTES_PER_S = 4 * 1024 * 1024
LARGE_BYTES, MEDIUM_BYTES, SMALL_BYTES = 256 * 1024, 64 * 1024, 10 * 1024
# A member has this long to come back, and the next loss is one second later.
CATCH_UP_S, MARGIN_S = 4.0, 1.0
DOWN_S = 1.0


class Changes:
    """A group of three whose state is one document, and the changes of that document."""

    def __init__(self, group: DriverGroup, document_bytes: int) -> None:
        self.group = group
        self.document_bytes = document_bytes
        self.acknowledged: list[bytes] = []
        self._number = 0

    async def make(self, count: int) -> None:
        """Make changes one after the other until this many more are acknowledged."""
        due = len(self.acknowledged) + count
        while len(self.acknowledged) < due:
            await self._make_one()

    async def go_on(self, interval_s: float) -> None:
        """Make changes at an interval until cancelled."""
        while True:
            await self._make_one()
            await trio.sleep(interval_s)

    async def _make_one(self) -> None:
        self._number += 1
        document = b"%08d" % self._number * (self.document_bytes // 8)
        for log in list(self.group.logs.values()):
            if (await log.propose(document, 1000)).is_ok():
                self.acknowledged.append(document)
                return
        await trio.sleep(0.05)

    async def read_back(self) -> bytes:
        """Return the document that a leader has after a confirmed read."""
        with trio.fail_after(15.0):
            while True:
                for name, log in list(self.group.logs.items()):
                    if await log.confirm_read(900):
                        return self.group.machines[name].commands[-1]
                await trio.sleep(0.1)

    async def lose_disk(self, name: str) -> None:
        """Stop a member and start it again with an empty disk."""
        self.group.stop(name)
        await trio.sleep(DOWN_S)
        self.group.sent_bytes[name] = 0
        await self.group.start(name, directory=f"{name}-empty", settings=SETTINGS)

    async def follower(self) -> str:
        """Return a member that does not lead."""
        leader = await self.group.leader()
        return next(name for name in "abc" if name != leader)

    def is_voter(self, name: str) -> bool:
        """Return whether a member that leads counts this one as a voter."""
        own_id = self.group.logs[name].status().member_id
        return any(
            log.confirmed_age_ms() is not None
            and any(m.member_id == own_id and m.voter for m in log.status().members)
            for log in self.group.logs.values()
        )

    def held_bytes(self, name: str) -> int:
        """Return the size of the entries that a member holds in memory."""
        log = self.group.logs[name]._node.state.log
        return sum(len(e.data) for e in log.between(log.base_index + 1, log.last_index))


@asynccontextmanager
async def changes_of(
    directory: Path, document_bytes: int, snapshot_entries: int = 1
) -> AsyncIterator[Changes]:
    """Run a group that writes a snapshot after each change, or after so many."""
    async with trio.open_nursery() as nursery:
        group = DriverGroup(directory, nursery, LastCommand, LINK_BYTES_PER_S)
        group.snapshot_entries = snapshot_entries
        group.initialise()
        for name in "abc":
            await group.start(name, settings=SETTINGS)
        await group.leader()
        yield Changes(group, document_bytes)
        nursery.cancel_scope.cancel()


@pytest.fixture(autouse=True)
def _unsynced(monkeypatch: pytest.MonkeyPatch) -> None:
    """Leave out the sync of files, which takes real time and is not the subject here."""
    monkeypatch.setattr(os, "fsync", lambda descriptor: None)


class TestLostDisks:
    """Guards against a member that is sent every change since the beginning: it is not back in
    time, and the next tolerated loss of a disk ends the quorum."""

    @pytest.mark.parametrize("document_bytes", [SMALL_BYTES, LARGE_BYTES])
    async def test_bytes_do_not_grow_with_the_history(
        self, autojump_clock: Any, tmp_path: Path, document_bytes: int
    ) -> None:
        async with changes_of(tmp_path, document_bytes) as changes:
            await changes.make(200)
            name = await changes.follower()
            await changes.lose_disk(name)
            await trio.sleep(CATCH_UP_S)
            assert changes.is_voter(name)
            # Twice the state, and a third of it for heartbeats and member changes.
            bound_bytes = SETTINGS.kept_bytes + 2.3 * document_bytes
            assert changes.group.sent_bytes[name] < bound_bytes

    @pytest.mark.parametrize("has_changes", [False, True])
    @pytest.mark.parametrize("first", ["leader", "follower"])
    async def test_two_in_turn_lose_nothing(
        self, autojump_clock: Any, tmp_path: Path, first: str, has_changes: bool
    ) -> None:
        async with changes_of(tmp_path, MEDIUM_BYTES) as changes, trio.open_nursery() as nursery:
            await changes.make(700)
            leader = await changes.group.leader()
            others = [name for name in "abc" if name != leader]
            if has_changes:
                nursery.start_soon(changes.go_on, 0.1)
            for name in [leader, others[0]] if first == "leader" else others:
                await changes.lose_disk(name)
                await trio.sleep(CATCH_UP_S + MARGIN_S)
            nursery.cancel_scope.cancel()
            newest = changes.acknowledged[-1]
            assert await changes.read_back() >= newest


class TestMemory:
    """Guards against control processes that grow with each change of the configuration."""

    @pytest.mark.parametrize("document_bytes", [SMALL_BYTES, LARGE_BYTES])
    async def test_entries_held_do_not_grow_with_the_history(
        self, autojump_clock: Any, tmp_path: Path, document_bytes: int
    ) -> None:
        async with changes_of(tmp_path, document_bytes) as changes:
            for _ in range(4):
                await changes.make(50)
                await trio.sleep(1.0)
                for name in "abc":
                    held_bytes = changes.held_bytes(name)
                    assert held_bytes <= SETTINGS.kept_bytes + document_bytes

    async def test_groups_with_rare_snapshots_write_one_for_large_entries(
        self, autojump_clock: Any, tmp_path: Path
    ) -> None:
        """Guards against ten thousand large entries in memory between two snapshots."""
        async with changes_of(tmp_path, LARGE_BYTES, snapshot_entries=10_000) as changes:
            await changes.make(100)
            await trio.sleep(1.0)
            for name in "abc":
                bound_bytes = SNAPSHOT_BYTES + SETTINGS.kept_bytes + LARGE_BYTES
                assert changes.held_bytes(name) <= bound_bytes


class TestInterruptedTransfers:
    """Guards against transfers that start anew without need, or that never end."""

    @staticmethod
    async def _back(changes: Changes, name: str) -> None:
        """Wait until a member is back, within the time that it may take."""
        for _ in range(50):
            await trio.sleep(0.1)
            if changes.is_voter(name):
                return
        raise AssertionError("the member is not back in time")

    @staticmethod
    async def _lose_follower(changes: Changes, link_bytes_per_s: float = LINK_BYTES_PER_S) -> str:
        """Let a follower lose its disk after some changes, and reach it over this link."""
        await changes.make(20)
        name = await changes.follower()
        changes.group.link_bytes_per_s = link_bytes_per_s
        await changes.lose_disk(name)
        return name

    async def test_link_that_takes_seconds_for_a_chunk(
        self, autojump_clock: Any, tmp_path: Path
    ) -> None:
        """Guards against chunks that are sent again with each heartbeat while they are on their
        way, which no slow link ever gets through."""
        async with changes_of(tmp_path, LARGE_BYTES) as changes:
            name = await self._lose_follower(changes, LARGE_BYTES / 1.5)
            await self._back(changes, name)
            assert changes.group.sent_bytes[name] < SETTINGS.kept_bytes + 2.3 * LARGE_BYTES

    async def test_chunk_that_was_lost_is_sent_again(
        self, autojump_clock: Any, tmp_path: Path
    ) -> None:
        async with changes_of(tmp_path, LARGE_BYTES) as changes:
            name = await self._lose_follower(changes)
            for _ in range(3):
                await trio.sleep(0.4)
                changes.group.isolated.add(name)
                await trio.sleep(0.2)
                changes.group.isolated.clear()
            await self._back(changes, name)

    async def test_member_that_restarts_halfway(self, autojump_clock: Any, tmp_path: Path) -> None:
        async with changes_of(tmp_path, LARGE_BYTES) as changes:
            name = await self._lose_follower(changes, LARGE_BYTES)
            await trio.sleep(1.5)
            changes.group.stop(name)
            await changes.group.start(name, directory=f"{name}-empty", settings=SETTINGS)
            await self._back(changes, name)

    async def test_leader_that_changes_halfway(self, autojump_clock: Any, tmp_path: Path) -> None:
        async with changes_of(tmp_path, LARGE_BYTES) as changes:
            name = await self._lose_follower(changes, LARGE_BYTES)
            await trio.sleep(1.5)
            leader = await changes.group.leader()
            assert await changes.group.logs[leader].transfer_leadership(1000)
            await self._back(changes, name)

    @pytest.mark.parametrize("document_bytes", [SMALL_BYTES, LARGE_BYTES])
    async def test_state_that_is_replaced_ten_times_a_second(
        self, autojump_clock: Any, tmp_path: Path, document_bytes: int
    ) -> None:
        async with changes_of(tmp_path, document_bytes) as changes, trio.open_nursery() as nursery:
            nursery.start_soon(changes.go_on, 0.1)
            name = await self._lose_follower(changes)
            await self._back(changes, name)
            nursery.cancel_scope.cancel()
            await trio.sleep(1.0)
            assert changes.group.machines[name].commands == changes.acknowledged[-1:]


class TestSilentMembers:
    """Guards against a queue that fills with history for a member that answers nothing."""

    @pytest.mark.parametrize("document_bytes", [SMALL_BYTES, LARGE_BYTES])
    async def test_bytes_sent_to_one_that_answers_nothing(
        self, autojump_clock: Any, tmp_path: Path, document_bytes: int
    ) -> None:
        async with changes_of(tmp_path, document_bytes) as changes:
            await changes.make(1)
            name = await changes.follower()
            changes.group.isolated.add(name)
            changes.group.sent_bytes.clear()
            await changes.make(200)
            heartbeats_bytes = 200 * 1024
            limit_bytes = SETTINGS.max_in_flight_bytes + 2 * document_bytes + heartbeats_bytes
            assert changes.group.sent_bytes[name] < limit_bytes

    async def test_one_that_was_away_for_seconds_is_sent_the_newest_state(
        self, autojump_clock: Any, tmp_path: Path
    ) -> None:
        async with changes_of(tmp_path, LARGE_BYTES) as changes:
            await changes.make(1)
            name = await changes.follower()
            changes.group.isolated.add(name)
            await changes.make(50)
            changes.group.sent_bytes.clear()
            changes.group.isolated.clear()
            await trio.sleep(2.0)
            assert changes.group.machines[name].commands == changes.acknowledged[-1:]
            assert changes.group.sent_bytes[name] < 1.5 * LARGE_BYTES
