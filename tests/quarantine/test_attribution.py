"""Tests of blaming parts of prompts for crashes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from briardyke.quarantine.attribution import (
    CLOCK_ERROR_MS,
    COPIES_BLAMED,
    QUARANTINE_CRASHES,
    SIMULTANEOUS_MS,
    SUSPICION_CRASHES,
    Attribution,
    Crash,
)

PROMPT = {"first": 0, "deadly": 1}


def crashes(*times_ms: float, depths: dict[str, int] | None = None) -> list[Crash]:
    return [Crash(at_ms, depths or PROMPT) for at_ms in times_ms]


class TestBlame:
    """Covers the choice of the part that is quarantined."""

    def test_part_without_responses_is_quarantined_and_its_first_part_is_not(self) -> None:
        known = Attribution(crashes(1000, 1500, 2000), {"first": 900.0}, 2500.0)
        assert known.parts_to_quarantine(frozenset()) == ["deadly"]

    def test_two_crashes_only_raise_a_suspicion(self) -> None:
        known = Attribution(crashes(1000, 1500), {}, 2500.0)
        assert known.parts_to_quarantine(frozenset()) == []
        assert known.suspected_parts(frozenset()) == {"first", "deadly"}

    def test_deeper_part_is_blamed_when_two_always_wait_together(self) -> None:
        known = Attribution(crashes(1000, 1500, 2000), {}, 2500.0)
        assert known.parts_to_quarantine(frozenset()) == ["deadly"]

    def test_common_part_is_blamed_when_the_deeper_ones_differ(self) -> None:
        different = [Crash(1000.0 * n, {"deadly": 0, f"deeper-{n}": 1}) for n in range(1, 4)]
        assert Attribution(different, {}, 5000.0).parts_to_quarantine(frozenset()) == ["deadly"]

    def test_second_crashing_part_is_found_beside_the_first(self) -> None:
        both = crashes(1000, 1500, 2000) + crashes(
            2500, 3000, 3500, depths={"first": 0, "other": 1}
        )
        known = Attribution(both, {"first": 3200.0}, 4000.0)
        assert sorted(known.parts_to_quarantine(frozenset())) == ["deadly", "other"]

    def test_crashes_of_a_quarantined_part_are_not_counted_for_others(self) -> None:
        known = Attribution(crashes(1000, 1500, 2000, 2500), {}, 3000.0)
        assert known.parts_to_quarantine({"deadly"}) == []
        assert known.suspected_parts({"deadly"}) == set()


class TestRequests:
    """Covers requests that come again, blamed by their fingerprints."""

    def test_request_is_blamed_before_the_parts_of_its_prompt(self) -> None:
        waiting = {"first": 0, "session": 1, "request:a": 2}
        known = Attribution(crashes(1000, 1500, 2000, depths=waiting), {}, 2500.0)
        assert known.parts_to_quarantine(frozenset()) == ["request:a"]

    def test_request_that_never_got_a_response_is_blamed_for_two_crashes(self) -> None:
        waiting = {"first": 0, "request:a": 1}
        known = Attribution(crashes(1000, 1500, depths=waiting), {"first": 900.0}, 2500.0)
        assert known.parts_to_quarantine(frozenset()) == ["request:a"]

    def test_request_that_got_a_response_before_is_blamed_for_three(self) -> None:
        waiting = {"request:a": 0}
        two = Attribution(crashes(1000, 1500, depths=waiting), {"request:a": 900.0}, 2500.0)
        three = Attribution(crashes(1000, 1500, 2000, depths=waiting), {"request:a": 900.0}, 2500.0)
        assert two.parts_to_quarantine(frozenset()) == []
        assert three.parts_to_quarantine(frozenset()) == ["request:a"]

    def test_copies_that_wait_in_one_crash_are_blamed_unless_one_got_a_response(self) -> None:
        crash = [Crash(1000.0, {"request:a": 0}, {"request:a": COPIES_BLAMED})]
        new = Attribution(crash, {}, 2500.0)
        known = Attribution(crash, {"request:a": 900.0}, 2500.0)
        assert new.parts_to_quarantine(frozenset()) == ["request:a"]
        assert known.parts_to_quarantine(frozenset()) == []

    def test_part_that_waits_in_another_crash_is_blamed_for_all_of_them(self) -> None:
        again = crashes(1000, 1500, 2000, depths={"deadly": 0, "request:a": 1})
        other = crashes(2500, depths={"deadly": 0, "request:b": 1})
        known = Attribution([*again, *other], {}, 3000.0)
        assert known.parts_to_quarantine({"request:a"}) == ["deadly"]
        assert known.refuted_parts({"request:a", "deadly"}) == ["request:a"]

    def test_sound_part_of_a_quarantined_request_is_not_blamed(self) -> None:
        again = crashes(1000, 1500, 2000, depths={"sound": 0, "request:a": 1})
        other = crashes(2500, depths={"sound": 0, "request:b": 1})
        known = Attribution([*again, *other], {"sound": 2700.0}, 3000.0)
        assert known.parts_to_quarantine({"request:a"}) == []

    def test_other_request_in_the_same_crashes_is_not_blamed(self) -> None:
        again = crashes(1000, 1500, 2000, depths={"request:a": 0, "request:b": 0})
        known = Attribution(again, {}, 3000.0)
        assert known.parts_to_quarantine(frozenset()) == ["request:a"]
        assert known.parts_to_quarantine({"request:a"}) == []


class TestSoundParts:
    """Covers engines that crash for other reasons."""

    def test_response_after_a_crash_clears_a_part(self) -> None:
        known = Attribution(crashes(1000, 1500, 2000), {"first": 1800.0, "deadly": 1800.0}, 2500.0)
        assert known.counts(frozenset()) == {"first": 1, "deadly": 1}

    def test_response_within_the_error_of_clocks_clears_nothing(self) -> None:
        just_after = 2000.0 + CLOCK_ERROR_MS / 2
        known = Attribution(crashes(2000), {"deadly": just_after}, just_after)
        assert known.counts(frozenset())["deadly"] == 1

    def test_engines_that_lose_power_together_count_as_one_crash(self) -> None:
        rack = crashes(*(1000.0 + n * SIMULTANEOUS_MS / 10 for n in range(8)))
        assert Attribution(rack, {}, 2500.0).counts(frozenset()) == {"first": 1, "deadly": 1}

    def test_no_part_is_blamed_while_nothing_gets_a_response(self) -> None:
        known = Attribution(crashes(1000, 1500, 2000), {}, 900.0)
        assert known.parts_to_quarantine(frozenset()) == []

    @given(
        st.lists(st.floats(0, 1e6), min_size=1, max_size=40),
        st.sets(st.integers(0, 6), min_size=1),
    )
    def test_part_with_a_response_after_all_but_one_crash_is_never_blamed(
        self, times_ms: list[float], others: set[int]
    ) -> None:
        depths = {"sound": 0} | {f"p{n}": n + 1 for n in others}
        last_ms = max(times_ms)
        known = Attribution(crashes(*times_ms, depths=depths), {"sound": last_ms - 0.1}, 2e6)
        assert "sound" not in known.parts_to_quarantine(frozenset())

    @given(st.lists(st.floats(0, 1e6), max_size=40), st.sets(st.sampled_from(["a", "b", "c"])))
    def test_quarantined_parts_explain_all_repeated_crashes(
        self, times_ms: list[float], names: set[str]
    ) -> None:
        depths = {name: n for n, name in enumerate(sorted(names))}
        known = Attribution(crashes(*times_ms, depths=depths or {"a": 0}), {}, 2e6)
        found = set(known.parts_to_quarantine(frozenset()))
        assert all(n < QUARANTINE_CRASHES for n in known.counts(found).values())
        assert not known.suspected_parts(found) or len(times_ms) >= SUSPICION_CRASHES
