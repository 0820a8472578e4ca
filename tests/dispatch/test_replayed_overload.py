"""Replays of load beyond the capacity, of one account's surge, of a crash and of batch streams."""

from __future__ import annotations

from dispatch_replay import DispatchedReplay, late_fraction, live_streams, pool

from briardyke.dispatch.dispatcher import Dispatcher


def replay(streams, until_ms=20_000.0):
    engines = pool()
    run = DispatchedReplay(engines, {"m": [engine.name for engine in engines]})
    run.run(sorted(streams, key=lambda stream: stream.at_ms), until_ms)
    return run


class TestBurst:
    def test_burst_of_twice_the_capacity_is_queued_rejected_and_over_at_once(self):
        """Guards against streams that all wait and are all late, also after the burst."""
        streams = live_streams(140, 10_000.0)
        streams += live_streams(700, 6_000.0, seed=9, start_ms=3_000.0, prefix="burst-")
        run = replay(streams)
        during = [s for s in streams if 3_000.0 <= s.at_ms < 6_000.0]
        served = [s for s in during if not s.is_rejected]
        on_time = [s for s in served if not s.is_late()]
        assert len(on_time) / 3.0 > 350  # per second; the engines read about 440 at most
        assert late_fraction(served) < 0.15
        assert late_fraction([s for s in streams if s.at_ms > 6_500.0]) < 0.02
        # Held for a fraction of their time, then placed or rejected.
        assert max(s.sent_ms - s.at_ms for s in served) < 700.0
        times = sorted(run.retry_after_ms.values())
        assert times[0] >= 30.0 and times[-1] > 3 * times[len(times) // 10]
        assert all(engine.most_tokens <= engine.cache_tokens for engine in run.engines.values())


class TestSurgeOfOneAccount:
    def test_other_accounts_are_served_as_before(self):
        """Guards against an account at six times its usual load that displaces the others."""
        streams, hot = [], []
        for account in range(16):
            of_account = live_streams(17.5, 14_000.0, seed=20 + account, prefix=f"{account}-")
            if account == 0:
                surge = live_streams(87.5, 12_000.0, seed=77, start_ms=2_000.0, prefix="surge-")
                hot = of_account = of_account + surge
            for stream in of_account:
                stream.account = f"account-{account}"
            streams += of_account
        replay(streams)
        others = [stream for stream in streams if stream.account != "account-0"]
        assert late_fraction(others) < 0.03
        assert not any(stream.is_rejected for stream in others)
        served = sum(not stream.is_rejected for stream in hot)
        assert served > 0.6 * len(hot)  # what the others leave is used


class TestCrash:
    def test_a_quarter_of_the_engines_vanishes(self):
        """Guards against requests for engines that are gone but still listed for 2.5 s."""
        streams = live_streams(200, 10_000.0)
        engines = pool()
        names = [engine.name for engine in engines]
        run = DispatchedReplay(engines, {"m": names})
        lost: set[str] = set()

        def crash() -> None:
            for name in names[::4]:
                engine = run.engines.pop(name)
                lost.update(s.name for s in (*engine.waiting, *engine.reading, *engine.running))

        def notice() -> None:
            run.holders["m"] = [name for name in names if name in run.engines]
            run.update()

        run.events.at(5_000.0, crash)
        run.events.at(7_500.0, notice)
        run.run(streams, 16_000.0)
        after = [s for s in streams if s.at_ms > 5_000.0 and s.name not in lost]
        assert lost and late_fraction(after) < 0.02


class TestBatchStreams:
    def test_batch_streams_at_four_times_their_usual_do_not_delay_live_ones(self):
        """Guards against batch prompts before live ones, and against batch streams that starve."""
        streams = live_streams(200, 10_000.0)
        batch = live_streams(30, 10_000.0, seed=5, prefix="batch-")
        batch += live_streams(90, 6_000.0, seed=6, start_ms=3_000.0, prefix="burst-")
        for stream in batch:
            stream.prompt, stream.objective_ms = 1460, 12_000.0
            stream.priority, stream.gap_ms = 3, 1e9
        replay(streams + batch, 30_000.0)
        assert late_fraction(streams) < 0.01
        assert max(stream.first_ms - stream.at_ms for stream in batch) < 10_000.0

    def test_batch_streams_are_served_while_live_ones_exceed_the_capacity(self):
        """Guards against batch streams that starve as long as live ones wait."""
        streams = live_streams(450, 9_000.0)
        batch = live_streams(20, 9_000.0, seed=5, prefix="batch-")
        for stream in batch:
            stream.objective_ms, stream.priority, stream.gap_ms = 12_000.0, 3, 1e9
        replay(streams + batch, 30_000.0)
        assert not any(stream.is_rejected for stream in batch)
        assert max(stream.first_ms - stream.at_ms for stream in batch) < 10_000.0


class TestNextCoordinator:
    def test_coordinator_without_any_state_goes_on(self):
        """Guards against a new coordinator that believes all engines idle and equally fast."""
        streams = live_streams(200, 9_000.0)
        engines = pool()
        run = DispatchedReplay(engines, {"m": [engine.name for engine in engines]})

        def start() -> None:
            run.dispatcher = Dispatcher()
            run.update()
            requests = {
                name: (len(e.waiting) + len(e.reading) + len(e.running), 0)
                for name, e in run.engines.items()
            }
            run.dispatcher.update_in_flight(requests, 0.0, run.events.now_ms)

        run.events.at(5_000.0, start)
        run.run(streams, 15_000.0)
        assert late_fraction([s for s in streams if s.at_ms > 4_000.0]) < 0.02
