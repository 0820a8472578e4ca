"""Tests of verdicts whose evidence is refuted later."""

from __future__ import annotations

from briardyke.quarantine.attribution import Attribution, Crash
from briardyke.quarantine.records import PartState, PartVerdict
from briardyke.quarantine.verdicts import Decision, TimedVerdict, decide_verdicts

# One engine crashed for another reason while a request with the first part waited on it.
CRASHES = [
    Crash(1000.0, {"first": 0}),
    Crash(3000.0, {"first": 0, "deadly": 1}),
    Crash(3400.0, {"first": 0, "deadly": 1}),
]


def test_quarantine_ends_when_an_earlier_response_becomes_known() -> None:
    """Guards against a sound part that stays quarantined although its crashes do not count."""
    before = Attribution(CRASHES, {}, 3100.0)
    assert Decision("first", PartState.QUARANTINED, 0, 30_000.0) in decide_verdicts(before, {})
    row = PartVerdict("first", 1, 1, PartState.QUARANTINED, 0, 30_000.0)
    # Another entry instance reports a response between the first two crashes.
    after = Attribution(CRASHES, {"first": 2500.0}, 3100.0)
    assert after.counts(frozenset())["first"] == 2
    decisions = decide_verdicts(after, {"first": TimedVerdict(row, 3450.0)})
    assert PartState.QUARANTINED not in [d.state for d in decisions]
    assert "first" in [d.part for d in decisions]
