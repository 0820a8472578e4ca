"""Tests for adapters that several requests need at the same time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio

from briardyke.fleet.messages import AdapterReply, AdapterRequest
from briardyke.fleet.records import READY, LoadedModel, Upstream
from briardyke.models.engine_state import EngineReport, EngineState
from briardyke.models.orders import EngineOrder, OrderOutcome
from briardyke.models.runner import ModelPlacementRunner
from briardyke.routes.configuration import EngineSpec, ModelSpec, ServiceSpec, ServingConfiguration

if TYPE_CHECKING:
    from collections.abc import Callable

ROW = Upstream("e", 1, 1, "s", "10.0.0.1:80", "dc", READY, 8, [LoadedModel("m")])
SPEC = EngineSpec(8, 100.0, 2, 1.0, 1000, {"m": ModelSpec("m", 40.0, 1, 1, 1, 9, 1.0)})
CONFIGURATION = ServingConfiguration(1, (), {"s": ServiceSpec("s", 10, SPEC)})


class Control:
    """Lead in term 3."""

    def leading_term(self) -> int:
        return 3


class Engines:
    """Answer orders as a test configures and check that adapter slots are never exceeded."""

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
class World:
    """Hold a runner that leads and its engine."""

    runner: ModelPlacementRunner
    engines: Engines
    state: EngineState

    async def ask(self, adapter: str, replies: list[AdapterReply]) -> None:
        replies.append(await self.runner.place_adapter(AdapterRequest("m", adapter, ["e"])))


@pytest.fixture
async def world(autojump_clock: trio.testing.MockClock) -> World:
    engines = Engines()
    runner = ModelPlacementRunner(Control(), engines, lambda: CONFIGURATION, "i", 0.0, 5.0)  # type: ignore
    assert runner._may_order()
    state = runner._engine_states["e"] = EngineState(ROW, 0, {"m"})
    return World(runner, engines, state)


class TestPlaceAdapter:
    """Covers requests for adapters that arrive together."""

    async def test_many_requests_for_one_adapter_order_it_once(self, world: World) -> None:
        replies: list[AdapterReply] = []
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(world.ask, "a1", replies)
        assert {reply.upstream_id for reply in replies} == {"e"}
        assert len(world.engines.orders) == 1

    async def test_failed_load_is_tried_again_by_those_that_waited(self, world: World) -> None:
        world.engines.outcomes = [OrderOutcome.REFUSED]
        replies: list[AdapterReply] = []
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(world.ask, "a1", replies)
        assert len(replies) == 6
        assert world.state.ready == {}

    async def test_two_requests_that_both_make_room_load_once(self, world: World) -> None:
        world.state.adapters = {("m", "a8"): -9e9, ("m", "a9"): -9e9}
        replies: list[AdapterReply] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.ask, "a1", replies)
            nursery.start_soon(world.ask, "a1", replies)
        assert [reply.upstream_id for reply in replies] == ["e", "e"]
        assert [order.adapter for order in world.engines.orders if order.is_load] == ["a1"]

    async def test_places_are_kept_while_many_adapters_are_wanted(self, world: World) -> None:
        replies: list[AdapterReply] = []
        async with trio.open_nursery() as nursery:
            for step in range(40):
                nursery.start_soon(world.ask, f"a{step % 7}", replies)
                await trio.sleep(0.4)
        assert sum(bool(reply.upstream_id) for reply in replies) >= 20
        sequences = [order.expected_sequence for order in world.engines.orders]
        assert sequences == sorted(set(sequences))

    async def test_adapter_that_a_request_did_not_find_is_ordered_again(self, world: World) -> None:
        world.state.adapters = {("m", "a1"): 0.0, ("m", "a2"): 0.0}
        reply = await world.runner.place_adapter(AdapterRequest("m", "a1", ["e"], ["e"]))
        assert reply.upstream_id == "e"
        assert [(o.is_load, o.adapter) for o in world.engines.orders] == [(True, "a1")]
        assert len(world.state.adapters) == 2
