"""Tests for the requests of an entry instance to the coordinator of a service."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs
import pytest
import trio
from coordinator_support import CONTROLS, PLACED, FakeCoordinators

from briardyke.clock import now_ms
from briardyke.dispatch.messages import DispatchReply, DispatchRequest
from briardyke.gateway.coordinators import SKIP_MS, Coordinators
from briardyke.gateway.counters import Counters
from briardyke.gateway.dialect import LoadReport
from briardyke.gateway.dispatch_client import CALL_TIMEOUT_MS, DispatchClient
from briardyke.gateway.dispatch_observations import INTERVAL_SPACING_MS, REPORT_INTERVAL_MS

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from briardyke.addresses import Address

REQUEST = DispatchRequest(
    *("i-1", "q-1", "pool", "m", "", ["u0"], [], "dc", 1460, 100),
    *(["system", "user-1"], [1000, 460], "", None, 1, 500.0, 300.0, 1800.0),
)
LOAD = LoadReport(3, 1, 8, 2.5)
ORDER = Coordinators().order("pool", CONTROLS, 0.0)


@attrs.define
class Site:
    """Entry instance with nine control instances."""

    nursery: trio.Nursery
    fake: FakeCoordinators = attrs.field(factory=FakeCoordinators)
    client: DispatchClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.client = DispatchClient("i-1", self.fake, lambda: CONTROLS, Counters())

    async def ask(
        self, request_id: str = "q-1", max_wait_ms: float = 1800.0
    ) -> tuple[Address, DispatchReply] | None:
        return await self.client.ask(attrs.evolve(REQUEST, request_id=request_id), max_wait_ms)


@pytest.fixture
async def site(autojump_clock: trio.testing.MockClock) -> AsyncIterator[Site]:
    async with trio.open_nursery() as nursery:
        started = Site(nursery)
        nursery.start_soon(started.client.run)
        yield started
        nursery.cancel_scope.cancel()


class TestOrder:
    """Covers the choice of the coordinator."""

    def test_all_instances_agree_and_services_spread(self) -> None:
        shuffled = [*CONTROLS[4:], *CONTROLS[:4]]
        assert Coordinators().order("pool", shuffled, 0.0) == ORDER
        first = Counter(Coordinators().order(f"s{n}", CONTROLS, 0.0)[0] for n in range(200))
        assert len(first) == len(CONTROLS)

    async def test_silent_coordinator_costs_its_time_once_in_a_second(
        self, site: Site, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against a quarter of a second in each request while a coordinator is frozen."""
        site.fake.silent = {ORDER[0]}
        started_ms = now_ms()
        found = await site.ask()
        assert found is not None and found[0] == ORDER[1]
        assert now_ms() - started_ms == pytest.approx(CALL_TIMEOUT_MS, abs=10.0)
        site.fake.requests.clear()
        while now_ms() - started_ms < SKIP_MS:
            await site.ask()
            await trio.sleep(0.05)
        assert {address for address, _ in site.fake.requests} == {ORDER[1]}

    async def test_only_one_request_tries_a_silent_coordinator_again(
        self, site: Site, autojump_clock: trio.testing.MockClock
    ) -> None:
        site.fake.silent = {ORDER[0]}
        await site.ask()
        await trio.sleep(SKIP_MS / 1000.0)
        site.fake.requests.clear()
        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(site.ask)
        assert [a for a, _ in site.fake.requests].count(ORDER[0]) == 1
        site.fake.silent = set()
        await trio.sleep(SKIP_MS / 1000.0)
        await site.ask()
        found = await site.ask()
        assert found is not None and found[0] == ORDER[0]

    async def test_two_lost_coordinators_are_passed_over_at_once(
        self, site: Site, autojump_clock: trio.testing.MockClock
    ) -> None:
        site.fake.lost = {ORDER[0], ORDER[1]}
        started_ms = now_ms()
        found = await site.ask()
        assert found is not None and found[0] == ORDER[2]
        assert now_ms() - started_ms < 10.0

    async def test_starting_coordinator_is_passed_over_and_asked_again(
        self, site: Site, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against a skip that divides the requests between two coordinators."""
        site.fake.reply = None
        assert await site.ask() is None
        site.fake.reply = DispatchReply(PLACED, "u0")
        found = await site.ask()
        assert found is not None and found[0] == ORDER[0]

    async def test_no_coordinator_ends_within_the_wait_of_the_request(
        self, site: Site, autojump_clock: trio.testing.MockClock
    ) -> None:
        site.fake.silent = set(CONTROLS)
        started_ms = now_ms()
        assert await site.ask(max_wait_ms=200.0) is None
        assert now_ms() - started_ms == pytest.approx(300.0, abs=10.0)


class TestObservations:
    """Covers what is reported, when, and to whom."""

    async def placed(self, site: Site) -> object:
        found = await site.ask()
        assert found is not None
        return site.client.placed(found[0], REQUEST, found[1])

    async def test_end_is_reported_once_within_a_tenth_of_a_second(
        self, site: Site, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against slots that stay taken at the coordinator."""
        dispatch: object = await self.placed(site)
        await trio.sleep(0.3)
        dispatch.record_first_event()  # type: ignore[attr-defined]
        dispatch.end()  # type: ignore[attr-defined]
        dispatch.end()  # type: ignore[attr-defined]
        await trio.sleep((REPORT_INTERVAL_MS + 5.0) / 1000.0)
        kinds = [(o.kind, o.request_id, round(o.took_ms, -1)) for o in site.fake.seen]
        assert kinds == [("first_event", "q-1", 300.0), ("ended", "q-1", 0.0)]
        assert {address for address, _ in site.fake.reports} == {ORDER[0]}
        assert site.fake.seen[0].age_ms == pytest.approx(REPORT_INTERVAL_MS, abs=5.0)

    async def test_observations_travel_with_the_next_request(
        self, site: Site, autojump_clock: trio.testing.MockClock
    ) -> None:
        (await self.placed(site)).end(has_failed=True)  # type: ignore[attr-defined]
        await site.ask("q-2")
        assert [o.kind for o in site.fake.requests[-1][1].observations] == ["ended"]
        await trio.sleep(1.0)
        assert not site.fake.reports

    async def test_end_goes_to_the_coordinator_that_placed_the_request(
        self, site: Site, autojump_clock: trio.testing.MockClock
    ) -> None:
        site.fake.lost = {ORDER[0]}
        dispatch: object = await self.placed(site)
        site.fake.lost = set()
        await trio.sleep(SKIP_MS / 1000.0)
        dispatch.end(has_failed=True)  # type: ignore[attr-defined]
        site.client.report_load("pool", "u0", LOAD)
        await trio.sleep(0.2)
        receivers = {o.kind: a for a, r in site.fake.reports for o in r.observations}
        assert receivers == {"ended": ORDER[1], "load": ORDER[0]}

    async def test_only_the_newest_load_of_an_engine_is_sent(
        self, site: Site, autojump_clock: trio.testing.MockClock
    ) -> None:
        for running in range(5):
            site.client.report_load("pool", "u0", attrs.evolve(LOAD, running=running))
        site.client.report_load("pool", "u1", LOAD)
        site.client.report_load("pool", "u2", attrs.evolve(LOAD, slowness=None))
        await trio.sleep(0.2)
        seen = [(o.upstream_id, o.running, o.slowness) for o in site.fake.seen]
        assert seen == [("u0", 4, 2.5), ("u1", 3, 2.5), ("u2", 3, 0.0)]

    async def test_event_intervals_are_few(
        self, site: Site, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against thousands of messages a second from streams with events every 40 ms."""
        requests = [attrs.evolve(REQUEST, request_id=f"q-{n}") for n in range(12)]
        dispatches = [
            site.client.placed(ORDER[0], request, DispatchReply(PLACED, f"u{n % 6}"))
            for n, request in enumerate(requests)
        ]
        for _ in range(100):
            for dispatch in dispatches:
                dispatch.record_interval(40.0)
            await trio.sleep(0.04)
        await trio.sleep(1.0)
        rounds = 4000.0 / INTERVAL_SPACING_MS
        assert len(site.fake.seen) <= 6 * (rounds + 1)
        assert len(site.fake.reports) <= rounds + 1


class TestLeavingCallers:
    """Covers requests that end before their reply."""

    async def test_request_without_a_reply_is_cancelled_where_it_was_sent(
        self, site: Site, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against a place that is kept for a caller who has left."""
        with trio.move_on_after(0.001):
            await site.ask()
        await trio.sleep(0.2)
        assert site.fake.cancelled == ["q-1"]
        assert site.fake.reports[0][0] == ORDER[0]

    async def test_short_wait_does_not_make_a_coordinator_silent(
        self, site: Site, autojump_clock: trio.testing.MockClock
    ) -> None:
        site.fake.delay_s = 0.12
        assert await site.ask(max_wait_ms=10.0) is None
        assert len(site.fake.requests) == 0
        site.fake.delay_s = 0.002
        found = await site.ask()
        assert found is not None and found[0] == ORDER[0]

    def test_ids_differ_between_attempts_and_processes(self) -> None:
        """Guards against a retry that is taken for a repeated request of the first attempt."""
        clients = [
            DispatchClient(name, FakeCoordinators(), list, Counters()) for name in ("i-1", "i-2")
        ]
        ids = [client.new_request_id() for client in clients for _ in range(3)]
        assert len(set(ids)) == 6
