"""Replays of load, against the choice by load reports that are 0.4 s old."""

from __future__ import annotations

import random

from dispatch_replay import (
    DispatchedReplay,
    ReportedReplay,
    late_fraction,
    live_streams,
    pool,
    use_clock,
)

_END_MS = 10_000.0
_DRAIN_MS = 16_000.0


def replay(monkeypatch, is_dispatched, streams, **engine_options):
    engines = pool(**engine_options)
    holders = {"m": [engine.name for engine in engines]}
    run = DispatchedReplay(engines, holders) if is_dispatched else ReportedReplay(engines, holders)
    use_clock(monkeypatch, run)
    run.run(streams, _DRAIN_MS)
    return run


def both(monkeypatch, *arguments, with_spells=False, **options):
    """Return the streams of the choice by reports and of the dispatcher."""
    results = []
    for is_dispatched in (False, True):
        streams = live_streams(*arguments, **options)
        replay(monkeypatch, is_dispatched, streams, with_spells=with_spells)
        results.append(streams)
    return results


class TestSteadyLoad:
    def test_engines_of_different_speed_serve_140_prompts_per_s_without_late_streams(
        self, monkeypatch
    ):
        """Guards against prompts that meet on one engine because its load is known too late."""
        by_reports, dispatched = both(monkeypatch, 140, _END_MS)
        assert late_fraction(by_reports) > 0.02
        assert late_fraction(dispatched) < 0.005

    def test_twice_the_prompts_leave_hardly_a_late_stream(self, monkeypatch):
        """Guards against engines that idle, or read too much at once, close to the capacity."""
        by_reports, dispatched = both(monkeypatch, 280, _END_MS)
        assert late_fraction(by_reports) > 0.12
        assert late_fraction(dispatched) < 0.02

    def test_first_second_of_a_coordinator_is_served(self, monkeypatch):
        """Guards against estimates that are far off until the speeds have been learned."""
        _, dispatched = both(monkeypatch, 200, 3000.0)
        assert late_fraction(dispatched, 0.0) < 0.03


class TestSlowSpells:
    def test_spells_of_slowness_make_far_fewer_streams_late(self, monkeypatch):
        """Guards against prompts for engines that are known, or likely, to be slow."""
        by_reports, dispatched = both(monkeypatch, 140, _END_MS, with_spells=True)
        assert late_fraction(by_reports) > 0.08
        assert late_fraction(dispatched) < 0.03

    def test_spells_under_more_load(self, monkeypatch):
        """Guards against the loss of the advantage when more engines have to be used."""
        by_reports, dispatched = both(monkeypatch, 200, _END_MS, with_spells=True)
        assert late_fraction(dispatched) < 0.25 * late_fraction(by_reports)


class TestLongPrompts:
    def test_long_and_short_prompts_meet_their_objectives(self, monkeypatch):
        """Guards against long prompts that pause short streams, or wait for them."""
        by_reports, dispatched = both(monkeypatch, 140, _END_MS, long_fraction=0.1)
        for is_long in (True, False):
            kinds = [
                [s for s in streams if (s.prompt == 4700) == is_long]
                for streams in (by_reports, dispatched)
            ]
            assert late_fraction(kinds[0]) > 0.04
            assert late_fraction(kinds[1]) < 0.02


class TestCachedPrefixes:
    def test_conversations_return_to_their_engines(self, monkeypatch):
        """Guards against reading prompts again that an engine has cached."""
        streams = live_streams(200, _END_MS)
        source = random.Random(4)
        for stream in streams:
            shared = stream.prompt - 450
            conversation = (f"conversation-{source.randrange(60)}", shared)
            stream.parts = (("system", 300), conversation, (f"unique-{stream.name}", 150))
        run = replay(monkeypatch, True, streams)
        read = sum(engine.read_tokens for engine in run.engines.values())
        assert read < 0.3 * sum(stream.prompt for stream in streams)
        assert late_fraction(streams) < 0.005
