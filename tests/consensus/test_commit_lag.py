"""Tests for the time for which committed entries wait to be applied."""

from __future__ import annotations

import pytest

from briardyke.consensus.commit_lag import CommitLag


class TestCommitLag:
    """Covers the age of the oldest entry that is known to be committed and not applied."""

    @pytest.mark.parametrize(("applied", "age_ms"), [(0, 90.0), (4, 90.0), (5, 60.0), (9, 0.0)])
    def test_age_is_that_of_the_oldest_known_entry(self, applied: int, age_ms: float) -> None:
        lag = CommitLag()
        for index, now_ms in ((5, 10.0), (5, 30.0), (8, 40.0), (7, 50.0)):
            lag.record_known(index, now_ms)
        lag.record_applied(applied)
        assert lag.age_ms(100.0) == age_ms

    def test_entries_applied_before_they_are_heard_of_cause_no_lag(self) -> None:
        lag = CommitLag()
        lag.record_applied(9)
        lag.record_known(9, 10.0)
        assert lag.age_ms(100.0) == 0.0
