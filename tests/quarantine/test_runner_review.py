"""Tests of trials whose outcome is not noticed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio
from test_quarantine_runner import ENTRY, FakeGroup, report, start, state_of

from briardyke.fleet.messages import TrialRequest
from briardyke.quarantine.records import PartState, PartVerdict
from briardyke.quarantine.verdicts import NEW_PART_TRIAL_MS

if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_first_event_soon_after_the_grant_clears_the_part(
    autojump_clock: MockClock, nursery: trio.Nursery
) -> None:
    """Guards against a successful trial that is taken for a response before the trial."""
    leader = FakeGroup().add()
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
    autojump_clock: MockClock, nursery: trio.Nursery
) -> None:
    """Guards against unlimited trials of a part whose verdict outlasted the count of terms."""
    leader = FakeGroup().add()
    leader.term = 1
    runner = await start(leader, nursery)
    leader.rows.publish_verdict(PartVerdict("deadly", 5, 1, PartState.QUARANTINED, 0, 0.0))
    granted = [(await runner.answer_trial(TrialRequest("deadly"))).is_granted for _ in range(5)]
    assert granted == [True, False, False, False, False]


async def test_late_report_of_an_old_response_does_not_end_a_quarantine(
    autojump_clock: MockClock, nursery: trio.Nursery
) -> None:
    """Guards against an age that is taken for one at the arrival of a delayed report."""
    leader = FakeGroup().add()
    leader.term = 3
    await start(leader, nursery)
    for number in (1, 2, 3):
        leader.rows.record_report(report(number))
        await trio.sleep(0.2)
    assert state_of(leader) is PartState.QUARANTINED
    # Response 1 s before the verdict, reported right after it, read 2 s later by a leader that
    # was suspended or whose link lost packets.
    late = attrs.evolve(ENTRY, sequence=9, sound_ages_ms={"deadly": 1000.0})
    await trio.sleep(2.0)
    leader.rows.record_report(late)
    await trio.sleep(0.6)
    assert state_of(leader) is PartState.QUARANTINED
