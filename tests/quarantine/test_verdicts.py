"""Tests of the decisions about parts of prompts."""

from __future__ import annotations

import attrs

from briardyke.quarantine.attribution import Attribution, Crash
from briardyke.quarantine.records import PartState, PartVerdict
from briardyke.quarantine.verdicts import (
    KNOWN_PART_TRIAL_MS,
    MAX_TRIAL_MS,
    NEW_PART_TRIAL_MS,
    TRIAL_BACKOFF,
    Decision,
    TimedVerdict,
    decide_verdicts,
    grant_trial,
)

QUARANTINED = PartVerdict("deadly", 1, 1, PartState.QUARANTINED, 0, -1.0)
CRASHES = [Crash(at_ms, {"deadly": 1}) for at_ms in (1000.0, 1500.0, 2000.0)]

# One engine crashed for another reason while a request with the first part waited on it.
MIXED_CRASHES = [
    Crash(1000.0, {"first": 0}),
    Crash(3000.0, {"first": 0, "deadly": 1}),
    Crash(3400.0, {"first": 0, "deadly": 1}),
]


class TestDecisions:
    """Covers the change of verdicts."""

    def test_new_part_waits_longer_for_its_trial_than_one_with_responses(self) -> None:
        new = decide_verdicts(Attribution(CRASHES, {}, 2500.0), {})
        known = decide_verdicts(Attribution(CRASHES, {"deadly": 500.0}, 2500.0), {})
        assert new == [Decision("deadly", PartState.QUARANTINED, 0, NEW_PART_TRIAL_MS)]
        assert known == [Decision("deadly", PartState.QUARANTINED, 0, KNOWN_PART_TRIAL_MS)]

    def test_verdict_in_force_is_not_repeated(self) -> None:
        held = {"deadly": TimedVerdict(QUARANTINED, 2100.0)}
        assert decide_verdicts(Attribution(CRASHES, {}, 2500.0), held) == []

    def test_suspicion_ends_with_a_response(self) -> None:
        before = Attribution(CRASHES[:2], {}, 1700.0)
        assert decide_verdicts(before, {}) == [Decision("deadly", PartState.SUSPECTED)]
        verdict = attrs.evolve(QUARANTINED, state=PartState.SUSPECTED)
        after = Attribution(CRASHES[:2], {"deadly": 1800.0}, 1800.0)
        held = {"deadly": TimedVerdict(verdict, 1600.0)}
        assert decide_verdicts(after, held) == [Decision("deadly", PartState.CLEARED)]

    def test_response_after_the_verdict_ends_a_quarantine(self) -> None:
        held = {"deadly": TimedVerdict(QUARANTINED, 2100.0)}
        cleared = decide_verdicts(Attribution(CRASHES, {"deadly": 2400.0}, 2400.0), held)
        assert cleared == [Decision("deadly", PartState.CLEARED)]

    def test_quarantine_outlasts_the_memory_of_its_crashes(self) -> None:
        held = {"deadly": TimedVerdict(QUARANTINED, 2100.0)}
        assert decide_verdicts(Attribution([], {"deadly": 500.0}, 9000.0), held) == []


class TestRefutedVerdicts:
    """Covers verdicts whose evidence is refuted later."""

    def test_quarantine_ends_when_an_earlier_response_becomes_known(self) -> None:
        """Guards against a sound part that stays quarantined although its crashes do not count."""
        before = Attribution(MIXED_CRASHES, {}, 3100.0)
        assert Decision("first", PartState.QUARANTINED, 0, 30_000.0) in decide_verdicts(before, {})
        row = PartVerdict("first", 1, 1, PartState.QUARANTINED, 0, 30_000.0)
        # Another entry instance reports a response between the first two crashes.
        after = Attribution(MIXED_CRASHES, {"first": 2500.0}, 3100.0)
        assert after.counts(frozenset())["first"] == 2
        decisions = decide_verdicts(after, {"first": TimedVerdict(row, 3450.0)})
        assert PartState.QUARANTINED not in [d.state for d in decisions]
        assert "first" in [d.part for d in decisions]


class TestTrials:
    """Covers the requests that test a quarantined part."""

    def test_no_trial_before_its_time_or_of_a_suspected_part(self) -> None:
        assert grant_trial(attrs.evolve(QUARANTINED, next_trial_ms=1.0)) is None
        assert grant_trial(attrs.evolve(QUARANTINED, state=PartState.SUSPECTED)) is None

    def test_time_between_trials_grows_to_a_limit(self) -> None:
        first = grant_trial(QUARANTINED)
        assert first == Decision(
            "deadly", PartState.QUARANTINED, 1, NEW_PART_TRIAL_MS * TRIAL_BACKOFF
        )
        late = grant_trial(attrs.evolve(QUARANTINED, trials=9))
        assert late is not None and late.next_trial_ms == MAX_TRIAL_MS
