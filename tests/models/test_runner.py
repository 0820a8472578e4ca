"""Tests for adapter loads on behalf of several concurrent requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio

from briardyke.fleet.messages import AdapterReply, AdapterRequest
from briardyke.fleet.records import READY, LoadedModel, Upstream
from briardyke.models.engine_state import EngineReport, KnownEngineState
from briardyke.models.orders import EngineOrder, OrderOutcome
from briardyke.models.runner import FORMER_LEADER_REPLY_MS, ModelPlacementRunner
from briardyke.routes.configuration import EngineSpec, ModelSpec, ServiceSpec, ServingConfiguration

if TYPE_CHECKING:
    from collections.abc import Callable

ROW = Upstream("e", 1, 1, "s", "10.0.0.1:80", "dc", READY, 8, [LoadedModel("m")])
SPEC = EngineSpec(8, 100.0, 2, 1.0, 1000, {"m": ModelSpec("m", 40.0, 1, 1, 1, 9, 1.0)})
CONFIGURATION = ServingConfiguration(1, (), {"s": ServiceSpec("s", 10, SPEC)})


class FakeControl:
    """A control instance that leads in term 3."""

    def __init__(self) -> None:
        self.is_former_silent = False

    def leading_term(self) -> int:
        return 3

    def is_former_leader_silent(self) -> bool:
        return self.is_former_silent


class FakeEngines:
    """Answer orders with preset outcomes and check that adapter slots are never exceeded."""

    def __init__(self) -> None:
        self.orders: list[EngineOrder] = []
        self.outcomes: list[OrderOutcome] = []
        self.held: set[str] = set()

    async def send_order(
        self, row: Upstream, order: EngineOrder, may_send: Callable[[], bool]
    ) -> OrderOutcome:
        self.orders.append(order)
        await trio.sleep(0.005)
        outcome = self.outcomes.pop(0) if self.outcomes else OrderOutcome.ACCEPTED
        if outcome is OrderOutcome.ACCEPTED and order.is_load:
            self.held.add(order.adapter)
        if not order.is_load:
            self.held.discard(order.adapter)
            outcome = OrderOutcome.HELD_ALREADY
        assert len(self.held) <= SPEC.adapter_slots
        return outcome

    async def fetch_report(self, row: Upstream) -> EngineReport | None:
        return None


@attrs.define
class RunnerFixture:
    """Hold the runner of a leader and its only engine."""

    runner: ModelPlacementRunner
    engines: FakeEngines
    state: KnownEngineState

    async def request_adapter(self, adapter: str, replies: list[AdapterReply]) -> None:
        replies.append(await self.runner.place_adapter(AdapterRequest("m", adapter, ["e"])))


@pytest.fixture
async def leader(autojump_clock: trio.testing.MockClock) -> RunnerFixture:
    engines = FakeEngines()
    runner = ModelPlacementRunner(FakeControl(), engines, lambda: CONFIGURATION, "i", 0.0, 5.0)  # type: ignore
    assert runner._may_order()
    state = runner._engine_states["e"] = KnownEngineState(ROW, 0, {"m"})
    return RunnerFixture(runner, engines, state)


class TestPlaceAdapter:
    """Covers concurrent requests for adapters."""

    async def test_concurrent_requests_for_one_adapter_order_it_once(
        self, leader: RunnerFixture
    ) -> None:
        replies: list[AdapterReply] = []
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(leader.request_adapter, "a1", replies)
        assert {reply.upstream_id for reply in replies} == {"e"}
        assert len(leader.engines.orders) == 1

    async def test_engine_of_a_service_that_left_the_configuration_is_refused(
        self, leader: RunnerFixture
    ) -> None:
        """Guards against a leader that ends by itself when a configuration drops a service."""
        without_service = attrs.evolve(CONFIGURATION, version=2, services={})
        leader.runner._configuration = lambda: without_service
        reply = await leader.runner.place_adapter(AdapterRequest("m", "a1", ["e"]))
        assert reply == AdapterReply("", "the service has no engines")
        assert leader.engines.orders == []

    async def test_waiting_requests_retry_a_failed_load(self, leader: RunnerFixture) -> None:
        leader.engines.outcomes = [OrderOutcome.REFUSED]
        replies: list[AdapterReply] = []
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(leader.request_adapter, "a1", replies)
        assert len(replies) == 6
        assert leader.state.adapter_load_ended == {}

    async def test_two_requests_that_both_evict_an_adapter_load_once(
        self, leader: RunnerFixture
    ) -> None:
        leader.state.adapters = {("m", "a8"): -9e9, ("m", "a9"): -9e9}
        replies: list[AdapterReply] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader.request_adapter, "a1", replies)
            nursery.start_soon(leader.request_adapter, "a1", replies)
        assert [reply.upstream_id for reply in replies] == ["e", "e"]
        assert [order.adapter for order in leader.engines.orders if order.is_load] == ["a1"]

    async def test_adapter_slots_are_not_exceeded_while_many_adapters_are_requested(
        self, leader: RunnerFixture
    ) -> None:
        replies: list[AdapterReply] = []
        async with trio.open_nursery() as nursery:
            for step in range(40):
                nursery.start_soon(leader.request_adapter, f"a{step % 7}", replies)
                await trio.sleep(0.4)
        assert sum(bool(reply.upstream_id) for reply in replies) >= 20
        sequences = [order.expected_sequence for order in leader.engines.orders]
        assert sequences == sorted(set(sequences))

    async def test_adapter_that_a_request_did_not_find_is_loaded_again(
        self, leader: RunnerFixture
    ) -> None:
        leader.state.adapters = {("m", "a1"): 0.0, ("m", "a2"): 0.0}
        reply = await leader.runner.place_adapter(AdapterRequest("m", "a1", ["e"], ["e"]))
        assert reply.upstream_id == "e"
        assert [(o.is_load, o.adapter) for o in leader.engines.orders] == [(True, "a1")]
        assert len(leader.state.adapters) == 2


class TestNewLeader:
    """Covers the time between an election and the first order.

    After the crash of a leader, no order was sent for three seconds more, while callers of a
    rising model were refused.
    """

    LEASE_MS = 3000.0

    def runner(self, control: FakeControl, checks_fencing: bool) -> ModelPlacementRunner:
        return ModelPlacementRunner(
            control,  # type: ignore[arg-type]
            FakeEngines(),
            lambda: CONFIGURATION,
            "i",
            self.LEASE_MS,
            5.0,
            engines_check_fencing=checks_fencing,
        )

    @pytest.mark.parametrize(
        ("is_silent", "checks_fencing", "waits"),
        [(True, True, False), (False, True, True), (True, False, True)],
    )
    async def test_lease_of_a_former_leader_that_may_act_is_waited_for(
        self,
        autojump_clock: trio.testing.MockClock,
        is_silent: bool,
        checks_fencing: bool,
        waits: bool,
    ) -> None:
        control = FakeControl()
        control.is_former_silent = is_silent
        runner = self.runner(control, checks_fencing)
        assert not runner._may_order()
        await trio.sleep(FORMER_LEADER_REPLY_MS / 1000.0)
        assert runner._may_order() is not waits
        control.is_former_silent = False
        assert runner._may_order() is not waits
        await trio.sleep(self.LEASE_MS / 1000.0)
        assert runner._may_order()
