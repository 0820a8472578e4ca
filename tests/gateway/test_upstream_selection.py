"""Tests for the selection of an upstream under different loads."""

from __future__ import annotations

import random
from collections import Counter

import pytest
import trio

from briardyke.addresses import parse_address
from briardyke.clock import now_ms
from briardyke.fleet.records import READY, LoadedModel, Upstream
from briardyke.gateway.dialect import LoadReport, RequestMetadata
from briardyke.gateway.upstream_selection import choose_upstream
from briardyke.gateway.upstreams import ENGINE_RUNNING_WEIGHT, UpstreamState
from briardyke.http.h11_client import ConnectionPool

PLAIN = RequestMetadata("r-1", 1000.0)


def state(name: str, data_centre: str = "dc-1", slots: int = 8) -> UpstreamState:
    address = f"10.0.0.{int(name)}:80"
    row = Upstream(name, 1, 1, "s", address, data_centre, READY, slots, [LoadedModel("m")])
    return UpstreamState(row, ConnectionPool(parse_address(address)))


def spread(states: list[UpstreamState], count: int, request: RequestMetadata = PLAIN) -> Counter:
    """Return the requests of a burst by upstream; none of them ends during the burst."""
    source, taken = random.Random(3), Counter[str]()
    for _ in range(count):
        chosen = choose_upstream(states, request, "dc-1", source)
        assert chosen is not None
        chosen.in_flight += 1
        taken[chosen.row.upstream_id] += 1
    return taken


class TestBurst:
    """Covers many requests at the same time."""

    async def test_equal_upstreams_share_it(self) -> None:
        assert set(spread([state("1"), state("2"), state("3")], 30).values()) == {10}

    async def test_slow_upstream_gets_a_smaller_share(self) -> None:
        fast, slow = state("1"), state("2")
        fast.service_time_ms, slow.service_time_ms = 20.0, 60.0
        taken = spread([fast, slow], 40)
        assert taken["1"] == pytest.approx(30, abs=2)

    async def test_load_of_other_instances_counts_while_it_is_fresh(self) -> None:
        busy, idle = state("1"), state("2")
        busy.update_from_report(LoadReport(6, 2, 8))
        assert spread([busy, idle], 4) == {"2": 4}

    async def test_silent_upstream_does_not_look_idle_after_a_while(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        silent, alive = state("1"), state("2")
        for upstream in (silent, alive):
            upstream.begin_request()
            upstream.update_from_report(LoadReport(6, 2, 8))
        for _ in range(15):
            await trio.sleep(0.1)
            alive.record_sign()
        assert silent.load() == 8.0
        assert alive.load() == pytest.approx(1.0 + 7.0 / 2)
        assert spread([silent, alive], 3) == {"2": 3}

    async def test_failing_upstream_gets_few_requests(self) -> None:
        healthy, failing = state("1"), state("2")
        for step in range(4):
            failing.health.record_failure(now_ms() + step * 100.0)
        assert spread([healthy, failing], 8)["1"] >= 7

    async def test_upstream_in_own_data_centre_is_preferred_while_idle(self) -> None:
        assert spread([state("1", "dc-2"), state("2", "dc-1")], 1) == {"2": 1}


class TestEngines:
    """Covers engines, where waiting prompts delay a new request and running requests hardly do."""

    async def test_engine_with_waiting_prompts_loses_to_one_with_more_running_requests(
        self,
    ) -> None:
        queueing, running = state("1", slots=64), state("2", slots=64)
        for row in (queueing, running):
            row.running_weight = ENGINE_RUNNING_WEIGHT
        queueing.update_from_report(LoadReport(4, 6, 64))
        running.update_from_report(LoadReport(20, 0, 64))
        assert spread([queueing, running], 2) == {"2": 2}


class TestSharedPrompts:
    """Covers requests that share a prompt prefix."""

    SESSION = RequestMetadata("r-1", 1000.0, "m", prefix_ids=("a", "b", "c"))

    async def test_session_stays_on_one_upstream_that_is_hardly_busier(self) -> None:
        assert len(spread([state("1"), state("2"), state("3")], 3, self.SESSION)) == 1

    async def test_hot_session_spreads(self) -> None:
        taken = spread([state("1"), state("2"), state("3")], 60, self.SESSION)
        assert min(taken.values()) > 15

    async def test_slow_preferred_upstream_is_avoided(self) -> None:
        states = [state("1"), state("2"), state("3")]
        preferred = next(iter(spread(states, 1, self.SESSION)))
        for row in states:
            row.in_flight, row.service_time_ms = 0, 20.0
        states[int(preferred) - 1].service_time_ms = 200.0
        assert preferred not in spread(states, 3, self.SESSION)


class TestNoCandidates:
    """Covers a service without upstreams."""

    async def test_nothing_is_chosen(self) -> None:
        assert choose_upstream([], PLAIN, "dc-1", random.Random(1)) is None


class TestManyInstances:
    """Covers dozens of entry instances that select by the same reports."""

    @staticmethod
    def burst(instances: int, requests: int, unreported: float) -> int:
        """Return the requests of the busiest of ten engines when all instances use one report."""
        arrived = Counter[str]()
        for number in range(instances):
            states = [state(str(n + 1), slots=16) for n in range(10)]
            for position, candidate in enumerate(states):
                candidate.other_requests = float(position % 3)
                candidate.reported_ms = now_ms()
            source = random.Random(number)
            for _ in range(requests):
                chosen = choose_upstream(states, PLAIN, "dc-1", source, unreported)
                assert chosen is not None
                chosen.in_flight += 1
                chosen.pending += 1
                arrived[chosen.row.upstream_id] += 1
        return max(arrived.values())

    async def test_they_do_not_all_choose_the_least_loaded(self) -> None:
        mean = 20 * 2 / 10
        assert self.burst(20, 2, unreported=38.0) <= 2 * mean
        assert self.burst(20, 2, unreported=0.0) > 2 * mean

    async def test_busier_upstream_gets_less(self) -> None:
        busy, idle = state("1", slots=16), state("2", slots=16)
        busy.other_requests, busy.reported_ms = 6.0, now_ms()
        source = random.Random(5)
        taken = Counter(
            choose_upstream([busy, idle], PLAIN, "dc-1", source, 10.0).row.upstream_id  # type: ignore[union-attr]
            for _ in range(400)
        )
        assert taken["2"] / 400 == pytest.approx(0.8, abs=0.06)

    async def test_report_of_the_upstream_overrides_the_aggregated_load(self) -> None:
        known = state("1")
        known.update_other_load(6, 2)
        assert known.load() == pytest.approx(6.0, abs=1.5)
        known.update_from_report(LoadReport(1, 0, 8))
        known.update_other_load(9, 9)
        assert known.load() <= 1.0

    async def test_load_too_large_for_the_float_precision_is_no_error(self) -> None:
        states = [state("1", slots=1), state("2", slots=1)]
        for candidate in states:
            candidate.other_requests, candidate.reported_ms = 1e18, now_ms()
        assert choose_upstream(states, PLAIN, "dc-1", random.Random(1)) in states


class TestStatedSlowness:
    """Covers upstreams that state how long their work takes now, in spells of 600 ms."""

    async def test_load_counts_by_the_speed(self, autojump_clock: trio.testing.MockClock) -> None:
        """Guards against plain requests that are late on an upstream with a slow spell."""
        usual, slow = state("1"), state("2")
        usual.update_from_report(LoadReport(0, 0, 8, 1.0))
        slow.update_from_report(LoadReport(0, 0, 8, 2.5))
        taken = spread([usual, slow], 35)
        assert taken["1"] == pytest.approx(25, abs=2)

    async def test_statement_is_believed_at_once_and_fades(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against upstreams that are avoided long after a spell has ended."""
        upstream = state("1")
        assert upstream.current_slowness() == 1.0
        upstream.update_from_report(LoadReport(0, 0, 8, 1.0))
        upstream.update_from_report(LoadReport(0, 0, 8, 2.5))
        assert upstream.current_slowness() == pytest.approx(2.5, abs=0.01)
        await trio.sleep(0.6)
        assert upstream.current_slowness() == pytest.approx(1.55, abs=0.01)
        await trio.sleep(3.0)
        assert upstream.current_slowness() == pytest.approx(1.0, abs=0.01)

    async def test_report_without_it_ends_it(self) -> None:
        upstream = state("1")
        upstream.update_from_report(LoadReport(0, 0, 8, 2.5))
        upstream.update_from_report(LoadReport(0, 0, 8))
        assert (upstream.slowness, upstream.current_slowness()) == (None, 1.0)

    async def test_slow_upstream_is_not_preferred_for_a_cached_prompt(self) -> None:
        request = RequestMetadata("r-1", 1000.0, prefix_ids=("a", "b", "c"))
        states = [state("1"), state("2")]
        (preferred,) = spread(states, 1, request)
        for upstream in states:
            upstream.in_flight = 0
            is_preferred = upstream.row.upstream_id == preferred
            upstream.update_from_report(LoadReport(0, 0, 8, 2.5 if is_preferred else 1.0))
        assert preferred not in spread(states, 1, request)
