"""Tests for the choice of an upstream, each with the load that it answers."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from briardyke.addresses import parse_address
from briardyke.clock import now_ms
from briardyke.fleet.records import READY, LoadedModel, Upstream
from briardyke.gateway.choice import choose_upstream
from briardyke.gateway.dialect import LoadReport, RequestMetadata
from briardyke.gateway.tables import ENGINE_RUNNING_WEIGHT, UpstreamState
from briardyke.http.h11_client import ConnectionPool

PLAIN = RequestMetadata("r-1", 1000.0)


def state(name: str, data_centre: str = "dc-1", slots: int = 8) -> UpstreamState:
    address = f"10.0.0.{int(name)}:80"
    row = Upstream(name, 1, 1, "s", address, data_centre, READY, slots, [LoadedModel("m")])
    return UpstreamState(row, ConnectionPool(parse_address(address)))


def spread(states: list[UpstreamState], count: int, request: RequestMetadata = PLAIN) -> Counter:
    """Return the requests of a burst by upstream; none of them ends meanwhile."""
    source, taken = random.Random(3), Counter[str]()
    for _ in range(count):
        chosen = choose_upstream(states, request, "dc-1", source)
        assert chosen is not None
        chosen.in_flight += 1
        taken[chosen.row.upstream_id] += 1
    return taken


class TestBurst:
    """Covers many requests at the same moment."""

    async def test_equal_upstreams_share_it(self) -> None:
        assert set(spread([state("1"), state("2"), state("3")], 30).values()) == {10}

    async def test_slow_upstream_gets_its_part(self) -> None:
        fast, slow = state("1"), state("2")
        fast.pace_ms, slow.pace_ms = 20.0, 60.0
        taken = spread([fast, slow], 40)
        assert taken["1"] == pytest.approx(30, abs=2)

    async def test_load_of_other_instances_counts_while_it_is_fresh(self) -> None:
        busy, idle = state("1"), state("2")
        busy.take_report(LoadReport(6, 2, 8))
        assert spread([busy, idle], 4) == {"2": 4}

    async def test_failing_upstream_gets_little(self) -> None:
        sound, failing = state("1"), state("2")
        for step in range(4):
            failing.gate.record_failure(now_ms() + step * 100.0)
        assert spread([sound, failing], 8)["1"] >= 7

    async def test_near_upstream_is_preferred_while_idle(self) -> None:
        assert spread([state("1", "dc-2"), state("2", "dc-1")], 1) == {"2": 1}


class TestEngines:
    """Covers engines, where waiting prompts delay a new one and running requests hardly do."""

    async def test_engine_with_unread_prompts_is_left_for_one_that_runs_more(self) -> None:
        reading, running = state("1", slots=64), state("2", slots=64)
        for row in (reading, running):
            row.running_weight = ENGINE_RUNNING_WEIGHT
        reading.take_report(LoadReport(4, 6, 64))
        running.take_report(LoadReport(20, 0, 64))
        assert spread([reading, running], 2) == {"2": 2}


class TestSharedPrompts:
    """Covers requests that share the beginning of their prompts."""

    SESSION = RequestMetadata("r-1", 1000.0, "m", prefix_ids=("a", "b", "c"))

    async def test_session_stays_together_while_its_home_is_hardly_busier(self) -> None:
        assert len(spread([state("1"), state("2"), state("3")], 3, self.SESSION)) == 1

    async def test_hot_session_spreads(self) -> None:
        taken = spread([state("1"), state("2"), state("3")], 60, self.SESSION)
        assert min(taken.values()) > 15

    async def test_slow_home_is_left(self) -> None:
        states = [state("1"), state("2"), state("3")]
        home = next(iter(spread(states, 1, self.SESSION)))
        for row in states:
            row.in_flight, row.pace_ms = 0, 20.0
        states[int(home) - 1].pace_ms = 200.0
        assert home not in spread(states, 3, self.SESSION)


class TestNoCandidates:
    """Covers a service without upstreams."""

    async def test_nothing_is_chosen(self) -> None:
        assert choose_upstream([], PLAIN, "dc-1", random.Random(1)) is None


class TestManyInstances:
    """Covers dozens of entry instances that choose from the same reports."""

    @staticmethod
    def burst(instances: int, requests: int, unseen: float) -> int:
        """Return the load of the busiest of ten engines when all choose by one report."""
        arrived = Counter[str]()
        for number in range(instances):
            states = [state(str(n + 1), slots=16) for n in range(10)]
            for position, candidate in enumerate(states):
                candidate.others = float(position % 3)
                candidate.reported_ms = now_ms()
            source = random.Random(number)
            for _ in range(requests):
                chosen = choose_upstream(states, PLAIN, "dc-1", source, unseen)
                assert chosen is not None
                chosen.in_flight += 1
                chosen.pending += 1
                arrived[chosen.row.upstream_id] += 1
        return max(arrived.values())

    async def test_they_do_not_all_choose_the_least_busy(self) -> None:
        mean = 20 * 2 / 10
        assert self.burst(20, 2, unseen=38.0) <= 2 * mean
        assert self.burst(20, 2, unseen=0.0) > 2 * mean

    async def test_busier_upstream_gets_less(self) -> None:
        busy, idle = state("1", slots=16), state("2", slots=16)
        busy.others, busy.reported_ms = 6.0, now_ms()
        source = random.Random(5)
        taken = Counter(
            choose_upstream([busy, idle], PLAIN, "dc-1", source, 10.0).row.upstream_id  # type: ignore[union-attr]
            for _ in range(400)
        )
        assert taken["2"] / 400 == pytest.approx(0.8, abs=0.06)

    async def test_sum_of_the_fleet_counts_until_the_upstream_itself_says_more(self) -> None:
        known = state("1")
        known.take_others(6, 2)
        assert known.load() == pytest.approx(6.0, abs=1.5)
        known.take_report(LoadReport(1, 0, 8))
        known.take_others(9, 9)
        assert known.load() <= 1.0

    async def test_load_beyond_the_precision_of_the_amount_is_no_error(self) -> None:
        states = [state("1", slots=1), state("2", slots=1)]
        for candidate in states:
            candidate.others, candidate.reported_ms = 1e18, now_ms()
        assert choose_upstream(states, PLAIN, "dc-1", random.Random(1)) in states
