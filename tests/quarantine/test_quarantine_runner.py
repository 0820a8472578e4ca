"""Tests of verdicts by a leader and of what remains when leaders and entry instances change."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import pytest
import trio

from briardyke.addresses import Address
from briardyke.fleet.messages import RowsUpdate, TrialRequest
from briardyke.fleet.records import EntryInstance
from briardyke.fleet.rows import RowExchange
from briardyke.quarantine.records import CrashReport, PartState, PartVerdict, WaitingPart
from briardyke.quarantine.runner import QuarantineRunner
from briardyke.quarantine.store import VerdictStore
from briardyke.quarantine.verdicts import NEW_PART_TRIAL_MS
from briardyke.wire.codec import decode, encode

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

ENTRY = EntryInstance("entry-1", 1, 1, "10.0.1.1:80", "dc", True)


@attrs.define
class FakeControl:
    """Control instance whose leadership is set by the test."""

    rows: RowExchange
    term: int | None = None

    @property
    def tables(self) -> Any:
        return self.rows.tables

    def leading_term(self) -> int | None:
        return self.term


@attrs.define
class FakeGroup:
    """Control instances that receive each other's broadcasts, unless these are lost."""

    controls: dict[Address, FakeControl] = attrs.field(factory=dict)
    is_losing: bool = False

    def add(self) -> FakeControl:
        own = Address("10.0.2.1", 7000 + len(self.controls))
        peers: Any = self
        control = FakeControl(RowExchange(peers, own, lambda: list(self.controls.keys() - {own})))
        self.controls[own] = control
        return control

    def broadcast(self, addresses: Iterable[Address], update: RowsUpdate) -> None:
        for address in [] if self.is_losing else addresses:
            self.controls[address].rows.apply_update(decode(encode(update)).unwrap())


def report(number: int, entry: str = "entry-1") -> EntryInstance:
    """Return the report of an entry instance that has seen a crash of one more engine."""
    parts = [WaitingPart("first", 0, 50.0), WaitingPart("deadly", 1)]
    crash = CrashReport(entry, f"e{number}", 7, 10.0, parts, -5.0)
    return attrs.evolve(ENTRY, instance_id=entry, sequence=number, crashes=[crash])


def state_of(control: FakeControl, part: str = "deadly") -> PartState | None:
    row = control.tables.verdicts.get(part)
    return row.state if row else None


@pytest.fixture
def group(autojump_clock: trio.testing.MockClock) -> FakeGroup:
    return FakeGroup()


class NoStore:
    """Replace the file, whose thread the paused clock does not wait for."""

    def load(self) -> list[PartVerdict]:
        return []

    async def save(self, rows: Iterable[PartVerdict]) -> None:
        await trio.lowlevel.checkpoint()


def no_store() -> Any:
    return NoStore()


async def start(control: FakeControl, nursery: trio.Nursery, store: Any = None) -> QuarantineRunner:
    leader: Any = control
    runner = QuarantineRunner(leader, store or no_store())
    nursery.start_soon(runner.run)
    await trio.sleep(0.3)
    return runner


class TestVerdicts:
    """Covers the count over several entry and control instances."""

    async def test_crashes_seen_by_different_entry_instances_are_counted_together(
        self,
        autojump_clock: trio.testing.MockClock,
        group: FakeGroup,
        nursery: trio.Nursery,
        tmp_path: Path,
    ) -> None:
        leader, follower = group.add(), group.add()
        leader.term = 3
        await start(leader, nursery)
        for number in range(1, 4):
            (leader if number == 2 else follower).rows.record_report(
                report(number, f"entry-{number}")
            )
            await trio.sleep(0.2)
        assert state_of(leader) is state_of(follower) is PartState.QUARANTINED
        assert state_of(follower, "first") is not PartState.QUARANTINED

    async def test_new_leader_continues_the_count(
        self,
        autojump_clock: trio.testing.MockClock,
        group: FakeGroup,
        nursery: trio.Nursery,
        tmp_path: Path,
    ) -> None:
        former, successor = group.add(), group.add()
        former.term = 3
        await start(former, nursery)
        await start(successor, nursery)
        for number in (1, 2):
            former.rows.record_report(report(number))
            await trio.sleep(0.2)
        former.term, successor.term = None, 4
        successor.rows.record_report(report(3))
        await trio.sleep(0.1)
        assert state_of(successor) is PartState.QUARANTINED

    async def test_lost_broadcasts_are_repeated(
        self,
        autojump_clock: trio.testing.MockClock,
        group: FakeGroup,
        nursery: trio.Nursery,
        tmp_path: Path,
    ) -> None:
        leader, follower = group.add(), group.add()
        leader.term = 3
        await start(leader, nursery)
        group.is_losing = True
        for number in (1, 2, 3):
            follower.rows.record_report(report(number))
            await trio.sleep(0.1)
        group.is_losing = False
        for _ in range(12):
            follower.rows.broadcast_batch()
        await trio.sleep(0.1)
        assert state_of(leader) is PartState.QUARANTINED

    async def test_response_to_a_suspected_part_clears_it(
        self,
        autojump_clock: trio.testing.MockClock,
        group: FakeGroup,
        nursery: trio.Nursery,
        tmp_path: Path,
    ) -> None:
        leader, follower = group.add(), group.add()
        leader.term = 3
        await start(leader, nursery)
        for number in (1, 2):
            leader.rows.record_report(report(number))
            await trio.sleep(0.2)
        assert state_of(follower) is PartState.SUSPECTED
        follower.rows.record_report(attrs.evolve(ENTRY, sequence=9, sound_ages_ms={"deadly": 0.0}))
        follower.rows.broadcast_batch()
        await trio.sleep(0.3)
        assert state_of(follower) is PartState.CLEARED


class TestRestart:
    """Guards against a count that starts anew after all instances lost power."""

    async def test_quarantine_is_in_force_after_all_instances_lost_power(
        self,
        autojump_clock: trio.testing.MockClock,
        group: FakeGroup,
        nursery: trio.Nursery,
        tmp_path: Path,
    ) -> None:
        autojump_clock.autojump_threshold = 0.05  # lets the thread that writes the file end
        leader = group.add()
        leader.term = 3
        await start(leader, nursery, VerdictStore(tmp_path))
        for number in (1, 2, 3):
            leader.rows.record_report(report(number))
            await trio.sleep(0.2)
        await trio.sleep(0.5)
        restarted = FakeGroup().add()
        await start(restarted, nursery, VerdictStore(tmp_path))
        assert state_of(restarted) is PartState.QUARANTINED


class TestTrials:
    """Covers requests that test a quarantined part."""

    async def test_one_entry_instance_may_test_a_part_at_a_time(
        self,
        autojump_clock: trio.testing.MockClock,
        group: FakeGroup,
        nursery: trio.Nursery,
        tmp_path: Path,
    ) -> None:
        leader = group.add()
        leader.term = 3
        runner = await start(leader, nursery)
        for number in (1, 2, 3):
            leader.rows.record_report(report(number))
            await trio.sleep(0.2)
        assert not (await runner.answer_trial(TrialRequest("deadly"))).is_granted
        await trio.sleep(NEW_PART_TRIAL_MS / 1000.0)
        assert (await runner.answer_trial(TrialRequest("deadly"))).is_granted
        assert not (await runner.answer_trial(TrialRequest("deadly"))).is_granted
        leader.rows.record_report(attrs.evolve(ENTRY, sequence=9, sound_ages_ms={"deadly": -200.0}))
        await trio.sleep(0.3)
        assert state_of(leader) is PartState.CLEARED

    async def test_instance_that_does_not_lead_grants_nothing(
        self, autojump_clock: trio.testing.MockClock, group: FakeGroup
    ) -> None:
        follower: Any = group.add()
        reply = await QuarantineRunner(follower, no_store()).answer_trial(TrialRequest("deadly"))
        assert not reply.is_granted

    async def test_first_event_soon_after_the_grant_clears_the_part(
        self, autojump_clock: trio.testing.MockClock, group: FakeGroup, nursery: trio.Nursery
    ) -> None:
        """Guards against a successful trial that is taken for a response before the trial."""
        leader = group.add()
        leader.term = 3
        runner = await start(leader, nursery)
        for number in (1, 2, 3):
            leader.rows.record_report(report(number))
            await trio.sleep(0.2)
        await trio.sleep(NEW_PART_TRIAL_MS / 1000.0)
        assert (await runner.answer_trial(TrialRequest("deadly"))).is_granted
        await trio.sleep(0.06)
        leader.rows.record_report(attrs.evolve(ENTRY, sequence=9, sound_ages_ms={"deadly": 0.0}))
        await trio.sleep(0.6)
        assert state_of(leader) is PartState.CLEARED

    async def test_leader_of_a_lower_term_than_a_verdict_grants_one_trial(
        self, autojump_clock: trio.testing.MockClock, group: FakeGroup, nursery: trio.Nursery
    ) -> None:
        """Guards against unlimited trials of a part whose verdict outlasted the count of terms."""
        leader = group.add()
        leader.term = 1
        runner = await start(leader, nursery)
        leader.rows.publish_verdict(PartVerdict("deadly", 5, 1, PartState.QUARANTINED, 0, 0.0))
        granted = [(await runner.answer_trial(TrialRequest("deadly"))).is_granted for _ in range(5)]
        assert granted == [True, False, False, False, False]
