"""Tests for the schedule of the requests to one upstream."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from briardyke.upstream_limits.schedule import PermitSchedule


class TestBound:
    """Covers the number of permits in any span of time."""

    @given(
        st.floats(0.3, 40.0),
        st.lists(st.floats(0.0, 900.0), min_size=1, max_size=200),
        st.floats(0.0, 300.0),
    )
    def test_no_window_has_more_slots_than_the_limit_and_one_second_of_it(
        self, limit_per_s: float, pauses_ms: list[float], max_wait_ms: float
    ) -> None:
        schedule = PermitSchedule.starting_at(0.0)
        at_ms, starts_ms = 0.0, []
        for pause_ms in pauses_ms:
            at_ms += pause_ms
            is_taken, wait_ms = schedule.take(limit_per_s, at_ms, max_wait_ms)
            if is_taken:
                assert wait_ms <= max_wait_ms
                starts_ms.append(at_ms + wait_ms)
        for start_ms in starts_ms:
            in_window = sum(start_ms <= s < start_ms + 4000.0 for s in starts_ms)
            assert in_window <= limit_per_s * 5.0 + 1.0 + 1e-6

    def test_steady_demand_receives_the_whole_limit(self) -> None:
        schedule = PermitSchedule.starting_at(0.0)
        taken = sum(schedule.take(2.0, at_ms, 0.0)[0] for at_ms in range(0, 10_000, 10))
        assert 18 <= taken <= 20

    def test_upstream_that_accepts_nothing_is_asked_now_and_then(self) -> None:
        schedule = PermitSchedule.starting_at(0.0)
        taken = sum(schedule.take(0.0, at_ms, 0.0)[0] for at_ms in range(0, 60_000, 100))
        assert 5 <= taken <= 6


class TestWait:
    """Covers requests that can wait for their permit."""

    def test_slot_is_taken_ahead_of_its_time(self) -> None:
        schedule = PermitSchedule(0.0)
        assert schedule.take(1.0, 0.0, 300.0) == (True, 0.0)
        assert schedule.take(1.0, 750.0, 300.0) == (True, 250.0)
        assert schedule.take(1.0, 760.0, 300.0) == (False, 1240.0)
