"""Tests of collecting crash reports."""

from __future__ import annotations

import attrs
import pytest
import trio

from briardyke.clock import now_ms
from briardyke.quarantine.evidence import CRASH_MEMORY_MS, CrashEvidence
from briardyke.quarantine.records import CrashReport, WaitingPart

REPORT = CrashReport("entry-1", "e", 5, 200.0, [WaitingPart("deadly", 1)], 30.0)


@pytest.fixture
def evidence(autojump_clock: trio.testing.MockClock) -> CrashEvidence:
    return CrashEvidence()


class TestReports:
    """Covers reports of several entry instances."""

    async def test_reports_of_one_crash_are_joined(
        self, autojump_clock: trio.testing.MockClock, evidence: CrashEvidence
    ) -> None:
        other = attrs.evolve(
            REPORT, instance_id="entry-2", age_ms=190.0, parts=[WaitingPart("other", 0)]
        )
        assert evidence.merge(REPORT)
        assert evidence.merge(other)
        (crash,) = evidence.attribution().crashes
        assert crash.at_ms == now_ms() - 200.0
        assert crash.depths == {"deadly": 1, "other": 0}

    async def test_repeated_report_is_not_new_but_brings_responses(
        self, autojump_clock: trio.testing.MockClock, evidence: CrashEvidence
    ) -> None:
        evidence.merge(REPORT)
        await trio.sleep(1)
        repeated = attrs.evolve(
            REPORT, age_ms=1200.0, parts=[WaitingPart("deadly", 1, sound_age_ms=-700.0)]
        )
        assert not evidence.merge(repeated)
        assert evidence.sound_ms("deadly") == pytest.approx(now_ms() - 500.0)
        assert evidence.attribution().counts(frozenset()) == {}

    async def test_report_keeps_the_time_of_its_crash_when_it_is_passed_on(
        self, autojump_clock: trio.testing.MockClock, evidence: CrashEvidence
    ) -> None:
        evidence.merge(REPORT)
        await trio.sleep(2)
        (passed_on,) = evidence.reports()
        second = CrashEvidence()
        second.merge(passed_on)
        assert second.attribution().crashes == evidence.attribution().crashes

    async def test_crashes_and_responses_are_forgotten(
        self, autojump_clock: trio.testing.MockClock, evidence: CrashEvidence
    ) -> None:
        evidence.merge(REPORT)
        evidence.merge_sound_ages({"deadly": 0.0, "unknown": 0.0})
        await trio.sleep(CRASH_MEMORY_MS / 1000.0)
        assert list(evidence.attribution().crashes) == []
        assert evidence.sound_ages_ms() == {}
