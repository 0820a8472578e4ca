"""Tests for the coordinator of a service on a control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import pytest
import trio
from coordinator_fakes import (
    ENGINE,
    PLACED,
    QUEUED,
    REJECTED,
    FakeControl,
    FakeDispatcher,
    configuration,
    ended,
    load,
    request,
)

from briardyke.clock import now_ms
from briardyke.dispatch.coordinator import HOLD_MS, UNUSED_TTL_MS, DispatchCoordinator
from briardyke.dispatch.messages import DispatchReport
from briardyke.fleet.activity import REPORT_TTL_MS
from briardyke.fleet.control import ENTRY_SILENT_AFTER_MS

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@attrs.define
class Site:
    """Coordinator with one engine of one slot."""

    control: FakeControl = attrs.field(factory=FakeControl)
    dispatchers: list[FakeDispatcher] = attrs.field(factory=list)
    configuration: Any = attrs.field(factory=configuration)
    coordinator: DispatchCoordinator = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        control: Any = self.control
        create: Any = self._create
        self.control.add_engine("e-1", slots=1)
        self.coordinator = DispatchCoordinator(control, lambda: self.configuration, create)

    def _create(self) -> FakeDispatcher:
        self.dispatchers.append(FakeDispatcher())
        return self.dispatchers[-1]

    async def outcome(self, **changes: Any) -> str:
        reply = await self.coordinator.answer(request(**changes))
        assert reply is not None
        return reply.outcome


@pytest.fixture
async def site(autojump_clock: trio.testing.MockClock) -> AsyncIterator[Site]:
    async with trio.open_nursery() as nursery:
        started = Site()
        nursery.start_soon(started.coordinator.run)
        yield started
        nursery.cancel_scope.cancel()


class TestReplies:
    """Covers replies to requests while engines are free, taken or unknown."""

    async def test_free_engine_is_placed_at_once(
        self, autojump_clock: trio.testing.MockClock, site: Site
    ) -> None:
        started_ms = now_ms()
        reply = await site.coordinator.answer(request())
        assert reply is not None and (reply.outcome, reply.upstream_id) == (PLACED, "e-1")
        assert now_ms() == started_ms

    async def test_queued_request_is_held_and_answered_when_its_engine_gets_free(
        self, autojump_clock: trio.testing.MockClock, site: Site
    ) -> None:
        await site.outcome()
        outcomes = []

        async def ask() -> None:
            outcomes.append((await site.outcome(request_id="q-2"), now_ms()))

        started_ms = now_ms()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.04)
            site.coordinator.record(DispatchReport("i-1", "pool", [ended("q-1")]))
        assert outcomes[0][0] == PLACED
        assert outcomes[0][1] - started_ms < 50.0

    async def test_hold_ends_with_queued_and_the_place_is_kept(
        self, autojump_clock: trio.testing.MockClock, site: Site
    ) -> None:
        await site.outcome()
        started_ms = now_ms()
        assert await site.outcome(request_id="q-2") == QUEUED
        assert now_ms() - started_ms == pytest.approx(HOLD_MS, abs=1.0)
        site.coordinator.record(DispatchReport("i-1", "pool", [ended("q-1")]))
        assert await site.outcome(request_id="q-2") == PLACED

    async def test_cancelled_request_leaves_the_queue(
        self, autojump_clock: trio.testing.MockClock, site: Site
    ) -> None:
        """Guards against a place that a caller who has left keeps from another one."""
        await site.outcome()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: site.outcome(request_id="q-2"))
            await trio.sleep(0.02)
            site.coordinator.record(DispatchReport("i-1", "pool", [], ["q-2"]))
        assert not site.dispatchers[0].waiting
        site.coordinator.record(DispatchReport("i-1", "pool", [ended("q-1")]))
        assert await site.outcome(request_id="q-3") == PLACED

    @pytest.mark.parametrize("lacks", ["engine", "service", "rows", "configuration"])
    async def test_unknown_engines_are_left_to_the_next_coordinator(
        self, autojump_clock: trio.testing.MockClock, site: Site, lacks: str
    ) -> None:
        """Guards against rejections by an instance that has just started."""
        asked = request()
        if lacks == "engine":
            asked = request(upstream_ids=["e-9"])
        elif lacks == "service":
            site.configuration = configuration(None)
        elif lacks == "configuration":
            site.configuration = None
        else:
            site.control.is_complete = False
        assert await site.coordinator.answer(asked) is None

    async def test_request_that_returns_after_a_rejection_is_recognised(
        self, autojump_clock: trio.testing.MockClock, site: Site
    ) -> None:
        """Guards against callers that start anew at each of many entry instances."""
        await site.outcome()
        site.dispatchers[0].rejects = True
        assert await site.outcome(request_id="q-2") == REJECTED
        site.dispatchers[0].rejects = False
        await site.outcome(request_id="q-3", instance_id="i-2")
        assert site.dispatchers[0].seen[-1].has_returned
        await site.outcome(request_id="q-4", prefix_ids=["system", "user-2"])
        assert not site.dispatchers[0].seen[-1].has_returned


class TestTables:
    """Covers what a dispatcher is told of the fleet."""

    async def test_engines_are_given_once_for_each_change(
        self, autojump_clock: trio.testing.MockClock, site: Site
    ) -> None:
        """Guards against tables that are read for each of 500 requests a second."""
        for number in range(20):
            await site.outcome(request_id=f"q-{number}", upstream_ids=["e-1"])
        assert site.dispatchers[0].updates == 1
        site.control.add_engine("e-2")
        assert await site.outcome(request_id="q-20", upstream_ids=["e-2"]) == PLACED
        assert site.dispatchers[0].updates == 2

    @pytest.mark.parametrize(("stated", "given"), [(54_845, 54_845), (0, 10**9)])
    async def test_cache_that_is_not_stated_sets_no_limit(
        self, autojump_clock: trio.testing.MockClock, site: Site, stated: int, given: int
    ) -> None:
        """Guards against the rejection of every stream where ``kv_capacity`` is absent."""
        site.configuration = configuration(attrs.evolve(ENGINE, cache_tokens=stated))
        await site.outcome()
        assert site.dispatchers[0].cache_tokens == given

    async def test_new_engine_serves_held_requests(
        self, autojump_clock: trio.testing.MockClock, site: Site
    ) -> None:
        await site.outcome()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._assert_placed, site)
            await trio.sleep(0.02)
            site.control.add_engine("e-2")
            await site.outcome(request_id="q-3", upstream_ids=["e-2"])

    async def _assert_placed(self, site: Site) -> None:
        assert await site.outcome(request_id="q-2", upstream_ids=["e-1", "e-2"]) == PLACED

    async def test_restarted_coordinator_starts_from_the_summed_counts(
        self, autojump_clock: trio.testing.MockClock, site: Site
    ) -> None:
        site.control.report("i-1", {"e-1": [3, 1], "app-1": [5, 5]})
        await site.outcome()
        assert site.dispatchers[0].in_flight == {"e-1": [3, 1]}

    async def test_counts_without_the_reports_of_some_entry_instances_are_not_used(
        self, site: Site, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against engines that look free to an instance cut off from the others."""
        site.control.report("i-1", {"e-1": [3, 1]})
        await site.outcome()
        site.control.report("i-2", {"e-1": [1, 1]})
        await trio.sleep(0.3)
        assert site.dispatchers[0].in_flight == {"e-1": [4, 2]}
        await trio.sleep(REPORT_TTL_MS / 1000.0 - 0.4)
        site.control.report("i-1", {"e-1": [2, 0]})
        await trio.sleep(0.7)
        # The second report has run out, but its instance is not known to be gone.
        assert site.dispatchers[0].in_flight == {"e-1": [3, 1]}

    async def test_requests_of_a_silent_entry_instance_are_forgotten(
        self, autojump_clock: trio.testing.MockClock, site: Site
    ) -> None:
        """Guards against engines that count as taken by an instance that is gone."""
        site.control.report("i-1", {})
        site.control.report("i-2", {})
        site.control.add_engine("e-2")
        await site.outcome()
        await site.outcome(request_id="q-2", instance_id="i-2", upstream_ids=["e-2"])
        await trio.sleep(ENTRY_SILENT_AFTER_MS / 1000.0)
        site.control.tables.entries.confirm("i-2", 1)
        await trio.sleep(0.01)
        site.control.tables.entries.mark_silent(ENTRY_SILENT_AFTER_MS, 0.0)
        await trio.sleep(0.3)
        assert site.dispatchers[0].placed == {"q-2": "e-2"}

    async def test_service_whose_engines_state_no_slowness_any_more_is_dropped(
        self, autojump_clock: trio.testing.MockClock, site: Site
    ) -> None:
        await site.outcome()
        await trio.sleep(UNUSED_TTL_MS / 2000.0)
        site.coordinator.record(DispatchReport("i-1", "pool", [load()]))
        await trio.sleep(UNUSED_TTL_MS / 2000.0 + 1.0)
        await site.outcome(request_id="q-2")
        assert len(site.dispatchers) == 1
        await trio.sleep(UNUSED_TTL_MS / 1000.0 + 1.0)
        await site.outcome(request_id="q-3")
        assert len(site.dispatchers) == 2


class TestLog:
    """Covers what an operator sees of the decisions."""

    async def test_decisions_are_logged_every_ten_seconds_while_there_are_any(
        self,
        site: Site,
        autojump_clock: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        lines: list[dict[str, Any]] = []
        monkeypatch.setattr(
            "briardyke.dispatch.coordinator.log_event",
            lambda event, **fields: lines.append({"event": event} | fields),
        )
        for number in range(3):
            await site.outcome(request_id=f"q-{number}")
        await trio.sleep(25.0)
        decisions = [line for line in lines if line["event"] == "dispatch_decisions"]
        assert [(line["service"], line["submitted"]) for line in decisions] == [("pool", 5)]


class TestCost:
    """Covers the number of decisions in a burst."""

    async def test_queue_is_decided_on_at_most_once_in_five_milliseconds(
        self, autojump_clock: trio.testing.MockClock, site: Site
    ) -> None:
        """Guards against a decision after each of a thousand observations a second."""
        await site.outcome()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: site.outcome(request_id="q-2"))
            await trio.lowlevel.checkpoint()
            before = site.dispatchers[0].advances
            for _ in range(100):
                site.coordinator.record(DispatchReport("i-1", "pool", [load()]))
                await trio.sleep(0.001)
        assert site.dispatchers[0].advances - before <= 35

    async def test_passes_that_take_long_leave_time_for_messages(
        self, site: Site, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against replies that are late because every observation causes a long pass."""
        await site.outcome()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: site.outcome(request_id="q-2"))
            await trio.sleep(0.01)
            site.dispatchers[0].pass_s = 0.004
            site.coordinator.record(DispatchReport("i-1", "pool", [load()]))
            await trio.sleep(0.01)
            assert site.dispatchers[0].postponed_ms >= now_ms() - 10.0 + 4 * 4.0

    async def test_unknown_service_in_a_report_is_ignored(
        self, autojump_clock: trio.testing.MockClock, site: Site
    ) -> None:
        site.coordinator.record(DispatchReport("i-1", "other", [load()], ["q-1"]))
        assert not site.dispatchers
