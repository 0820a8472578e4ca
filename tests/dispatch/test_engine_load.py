"""Tests of the estimates for one engine."""

from __future__ import annotations

import pytest

from briardyke.dispatch.engine_load import EngineLoad
from briardyke.dispatch.messages import Observation, ObservationKind
from briardyke.dispatch.pace import PaceTable
from briardyke.dispatch.read_schedule import Dispatch
from briardyke.dispatch.slowness import Slowness


def engine(**options) -> EngineLoad:
    return EngineLoad("a", PaceTable(), 4, 20_000, 4, **options)


def known_engine(speed: float = 1.0) -> EngineLoad:
    """Return an engine whose speed is known well."""
    load = engine()
    load.speed.value, load.speed.variance = speed, 0.0
    load._paces.model("m").variance = 0.0
    return load


def dispatch(request_id: str, tokens: int = 1460, **options) -> Dispatch:
    return Dispatch(request_id, "m", tokens + 80, tokens, 300.0, 0, 10_000.0, **options)


def report(age_ms: float = 0.0, running: int = 0, waiting: int = 0, slowness: float = 1.0):
    return Observation(
        ObservationKind.LOAD.value,
        "a",
        age_ms,
        running=running,
        waiting=waiting,
        slots=4,
        slowness=slowness,
    )


class TestEstimates:
    def test_prompts_are_read_one_after_the_other(self):
        """Guards against an estimate that leaves out the prompts sent before."""
        load = known_engine()
        alone_ms = load.expected_first_ms("m", 1460, 0.0)
        assert 95.0 < alone_ms < 125.0  # one step after the prompt, until more are observed
        load.place(dispatch("1"), (), 0.0)
        assert load.expected_first_ms("m", 1460, 0.0) == pytest.approx(alone_ms + 94.0, abs=10.0)
        assert 80.0 < load.backlog_ms(0.0) < 110.0
        assert load.backlog_ms(200.0) == 0.0

    def test_pause_holds_the_prompts_of_one_event_interval(self):
        """Guards against several prompts in one interval, and against counting distant ones."""
        load = known_engine()
        alone_ms = load.expected_pause_ms("m", 1460, 0.0)
        load.place(dispatch("1"), (), 0.0)
        assert load.expected_pause_ms("m", 1460, 10.0) > alone_ms + 70.0
        load.begin("1", 130.0, 130.0, 190.0)
        assert load.expected_pause_ms("m", 1460, 300.0) < alone_ms + 10.0

    def test_overdue_engine_is_expected_to_take_longer(self):
        """Guards against more prompts for an engine that has stalled."""
        load = known_engine()
        load.place(dispatch("1"), (), 0.0)
        usual_ms = load.expected_first_ms("m", 646, 250.0)
        assert load.expected_first_ms("m", 646, 1000.0) > usual_ms + 500.0
        load.begin("1", 990.0, 990.0, 1000.0)
        assert load.expected_first_ms("m", 646, 1000.0) < usual_ms + 10.0

    def test_uncertain_speed_raises_the_estimate(self):
        """Guards against a long prompt for a new engine that may be slow."""
        assert engine().expected_first_ms("m", 4700, 0.0) > 1.2 * known_engine().expected_first_ms(
            "m", 4700, 0.0
        )


class TestSlowness:
    def test_report_is_believed_at_once_and_fades_over_a_spell(self):
        """Guards against prompts for a slow machine, and against avoiding it for good."""
        load = known_engine()
        usual_ms = load.expected_first_ms("m", 1460, 0.0)
        load.report(report(100.0, slowness=2.5), 1000.0)
        assert load.expected_first_ms("m", 1460, 1000.0) > 2.0 * usual_ms
        assert load.expected_first_ms("m", 1460, 1600.0) == pytest.approx(usual_ms)

    def test_known_begin_tells_the_end(self):
        """Guards against an engine that is avoided after its spell."""
        slowness = Slowness()
        slowness.report(1.0, 0.0)
        slowness.report(2.5, 50.0)
        assert slowness.at(590.0) == 2.5
        assert slowness.at(660.0) == 1.0

    def test_older_report_is_ignored(self):
        """Guards against reports that overtake each other."""
        slowness = Slowness()
        slowness.report(2.5, 100.0)
        slowness.report(1.0, 50.0)
        assert slowness.at(120.0) > 2.4


class TestLearning:
    def test_speeds_of_engines_and_models_are_told_apart(self):
        """Guards against a model that is thought slow because a slow engine ran it."""
        paces = PaceTable()
        speeds, factors = {"a": 0.6, "b": 1.0, "c": 1.6}, {"large": 1.0, "small": 0.25}
        loads = {name: EngineLoad(name, paces, 4, 20_000, 4) for name in speeds}
        for turn in range(60):
            for name, load in loads.items():
                for model in factors:
                    if (name, model) != ("c", "small"):
                        pace = speeds[name] * factors[model]
                        load.observe_interval(model, 4 * 9.5 * pace, 1000.0 * turn)
        estimate = loads["c"].estimate("small", 1460, 1e6)
        assert estimate.read_ms == pytest.approx(1.6 * 0.25 * (1460 / 19.5 + 9.5), rel=0.15)

    def test_first_events_teach_the_speed_once(self):
        """Guards against overshooting when many were sent before the first was observed."""
        load = engine()
        for number in range(4):
            load.place(dispatch(str(number), 100), (), 500.0 * number)
        expected = [6.0 + 0.5 * (d.read_ms + d.steps_ms) for d in load.dispatches.values()]
        for number, took_ms in enumerate(expected):
            load.begin(str(number), took_ms, 500.0 * number + took_ms, 2000.0)
        assert load.ms_per_token("m") * 19.5 > 0.35

    def test_intervals_with_a_prompt_teach_nothing(self):
        """Guards against an engine that is thought slow because it reads prompts."""
        load = engine()
        load.place(dispatch("1"), (), 0.0)
        load.observe_interval("m", 150.0, 100.0)
        assert load.speed.value == 1.0


class TestCounts:
    def test_reports_of_unknown_requests_take_slots(self):
        """Guards against a coordinator that has just started and believes engines idle."""
        load = engine()
        load.report(report(running=4), 0.0)
        assert load.free_slots(10.0) == 1
        assert load.free_slots(5000.0) == 4

    def test_request_that_ended_after_the_report_is_not_unknown(self):
        """Guards against counting a request twice while its report is on the way."""
        load = engine()
        for number in range(3):
            load.place(dispatch(str(number), 100), (), 0.0)
        for number in range(3):
            load.end(str(number), 950.0)
        load.report(report(100.0, running=3), 1000.0)
        assert load.free_slots(1000.0) == 4

    def test_dispatches_that_nobody_counts_any_more_are_forgotten(self):
        """Guards against slots that stay taken after the end of an entry instance."""
        load = engine()
        load.place(dispatch("1"), (), 0.0)
        assert load.check_count(0, 500.0, 900.0) == []
        assert load.check_count(0, 1600.0, 2000.0) == []  # one report may be missing
        assert load.check_count(0, 3100.0, 3500.0) == ["1"]
        assert load.used_tokens == 0 and load.paused_streams == 0

    def test_dispatch_without_an_end_is_forgotten_at_its_limit(self):
        """Guards against dispatches whose end is never reported."""
        load = engine()
        load.place(dispatch("1"), (), 0.0)
        assert load.forget_expired(9_999.0) == []
        assert load.forget_expired(10_000.0) == ["1"]


class TestCachedParts:
    def test_parts_are_cached_in_order_and_least_recently_used_ones_are_evicted(self):
        """Guards against counting parts whose beginning was evicted, and against a full cache."""
        load = engine()
        load.place(dispatch("1", part_keys=(1, 2, 3)), (4000, 4000, 1000), 0.0)
        assert load.parts.cached_tokens((1, 2, 9)) == 8000
        assert load.parts.cached_tokens((9, 2)) == 0
        load.place(dispatch("2", part_keys=(1, 5)), (4000, 9000), 0.0)
        assert load.parts.cached_tokens((1, 2)) == 4000
        assert load.parts.cached_tokens((1, 5)) == 13_000


class TestFirstSteps:
    """Covers the time between the end of a prompt and its first event."""

    def learned(self, first_steps: float) -> EngineLoad:
        """Return an engine that has sent many first events of short prompts."""
        load = known_engine()
        for number in range(300):
            placed_ms = number * 1000.0
            short = dispatch(f"s{number}", 60)
            load.place(short, (), placed_ms)
            took_ms = 2.0 + 60 / 19.5 + 9.5 + first_steps * 9.5
            load.begin(short.request_id, took_ms, placed_ms + took_ms, placed_ms + took_ms)
            load.end(short.request_id, placed_ms + 500.0)
        return load

    def test_short_prompts_do_not_make_long_ones_look_short(self):
        """Guards against pauses behind long prompts on engines that send their first token alone.

        Estimates with four steps to each first event charged the difference to the tokens: a long
        prompt then took twice the expected time.
        """
        load = self.learned(0.25)
        pause_ms = load.expected_pause_ms("m", 4000, 400_000.0)
        assert pause_ms > 0.9 * (4000 / 19.5 + 4 * 9.5)

    def test_later_first_events_are_learned(self):
        early = self.learned(0.25).expected_first_ms("m", 60, 400_000.0)
        late = self.learned(8.0).expected_first_ms("m", 60, 400_000.0)
        assert late - early > 40.0
