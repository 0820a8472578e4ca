"""Tests for entry instances, coordinators and the real dispatcher together, without a network."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import attrs
import pytest
import trio
from coordinator_fakes import ENGINE, PLACED, QUEUED, REJECTED, FakeControl, configuration, request
from result import Err, Ok, Result

from briardyke.addresses import Address
from briardyke.clock import now_ms
from briardyke.dispatch.coordinator import DispatchCoordinator
from briardyke.errors import ErrorKind, Failure
from briardyke.fleet.control import ENTRY_SILENT_AFTER_MS
from briardyke.gateway.coordinators import SKIP_MS, Coordinators
from briardyke.gateway.counters import Counters
from briardyke.gateway.dialect import LoadReport
from briardyke.gateway.dispatch_client import CALL_TIMEOUT_MS, DispatchClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from briardyke.dispatch.messages import DispatchReport, DispatchRequest

CONTROLS = [Address(f"10.0.0.{n}", 7380) for n in range(1, 4)]
ORDER = Coordinators().order("pool", CONTROLS, 0.0)
ENGINES, SLOTS = 4, 4
LATENCY_S = 0.002
SPEC = attrs.evolve(ENGINE, cache_tokens=1_000_000, event_tokens=4)


@attrs.define
class Control:
    """Control instance with a coordinator."""

    control: FakeControl
    coordinator: DispatchCoordinator
    scope: trio.CancelScope


class Fleet:
    """Entry instances and control instances; messages take two milliseconds.

    :ivar cut: pairs of an entry instance and a control instance that do not reach each other.
    :ivar running: requests on each engine.
    :ivar most: largest number of them.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.cut: set[tuple[str, Address]] = set()
        self.controls: dict[Address, Control] = {}
        self.clients: dict[str, DispatchClient] = {}
        self.running: dict[str, int] = {}
        self.most: dict[str, int] = {}
        self.outcomes: dict[str, int] = {}
        self.coordinators: set[Address] = set()
        for address in CONTROLS:
            self.start_control(address)

    def start_control(self, address: Address) -> None:
        """Start a control instance, or start it anew without its state."""
        if address in self.controls:
            self.controls[address].scope.cancel()
        control = FakeControl()
        for number in range(ENGINES):
            control.add_engine(f"e-{number}", SLOTS)
        faked: Any = control
        coordinator = DispatchCoordinator(faked, lambda: configuration(SPEC))
        scope = trio.CancelScope()
        self.controls[address] = Control(control, coordinator, scope)

        async def run() -> None:
            with scope:
                await coordinator.run()

        self.nursery.start_soon(run)

    def add_entry(self, name: str) -> DispatchClient:
        client = DispatchClient(name, _Peers(self, name), lambda: CONTROLS, Counters())
        self.clients[name] = client
        self.nursery.start_soon(client.run)
        return client

    async def serve(self, name: str, *, max_wait_ms: float = 1500.0, is_kept: bool = False) -> str:
        """Run one stream as an entry instance does; return how it ended.

        :param is_kept: whether its end is never reported, as by an instance that is lost.
        """
        client = self.clients[name]
        started_ms, request_id = now_ms(), client.new_request_id()
        while True:
            left_ms = max_wait_ms - (now_ms() - started_ms)
            if left_ms <= 0:
                return self._count("overdue")
            asked = request(
                request_id,
                instance_id=name,
                prompt_tokens=646,
                upstream_ids=[f"e-{number}" for number in range(ENGINES)],
                prefix_ids=["system", request_id],
                max_wait_ms=left_ms,
            )
            answer = await client.ask(asked, left_ms)
            if answer is None:
                return self._count("local")
            coordinator, reply = answer
            if reply.outcome == QUEUED:
                continue
            if reply.outcome == REJECTED:
                return self._count("rejected")
            self.coordinators.add(coordinator)
            dispatch = client.placed(coordinator, asked, reply)
            if not is_kept:
                await self._run(client, reply.upstream_id, dispatch)
            return self._count(PLACED)

    async def _run(self, client: DispatchClient, upstream_id: str, dispatch: Any) -> None:
        running = self.running[upstream_id] = self.running.get(upstream_id, 0) + 1
        self.most[upstream_id] = max(self.most.get(upstream_id, 0), running)
        await trio.sleep(0.08)
        client.report_load("pool", upstream_id, LoadReport(running, 0, SLOTS, 1.0))
        dispatch.record_first_event()
        await trio.sleep(0.3)
        self.running[upstream_id] -= 1
        dispatch.end()

    def _count(self, outcome: str) -> str:
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        return outcome

    async def load(self, per_s: float, duration_s: float, seed: int = 1) -> None:
        """Send streams of random entry instances and wait for their ends."""
        rng = random.Random(seed)
        end_s = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                nursery.start_soon(self.serve, rng.choice(sorted(self.clients)))
                await trio.sleep(rng.expovariate(per_s))


@attrs.define
class _Peers:
    fleet: Fleet
    entry: str

    def client(self, address: Address) -> Any:
        return _Peer(self.fleet, self.entry, address)


@attrs.define
class _Peer:
    fleet: Fleet
    entry: str
    address: Address

    def _is_cut(self) -> bool:
        return (self.entry, self.address) in self.fleet.cut

    async def call(self, message: DispatchRequest, timeout_ms: float) -> Result[Any, Failure]:
        with trio.move_on_after(timeout_ms / 1000.0):
            await trio.sleep(LATENCY_S)
            if self._is_cut():
                await trio.sleep_forever()
            reply = await self.fleet.controls[self.address].coordinator.answer(message)
            await trio.sleep(LATENCY_S)
            if reply is None:
                return Err(Failure(ErrorKind.PROTOCOL_VIOLATION, "no reply"))
            return Ok(reply)
        return Err(Failure(ErrorKind.PEER_TIMEOUT, "silent"))

    def send(self, message: DispatchReport) -> None:
        if not self._is_cut():
            self.fleet.controls[self.address].coordinator.record(message)


@pytest.fixture
async def fleet(autojump_clock: trio.testing.MockClock) -> AsyncIterator[Fleet]:
    async with trio.open_nursery() as nursery:
        started = Fleet(nursery)
        for number in range(8):
            started.add_entry(f"i-{number}")
        yield started
        nursery.cancel_scope.cancel()


class TestCalm:
    """Covers a fleet without failures."""

    async def test_streams_below_the_capacity_are_all_placed_by_one_coordinator(
        self, fleet: Fleet, autojump_clock: trio.testing.MockClock
    ) -> None:
        await fleet.load(per_s=20.0, duration_s=3.0)
        assert set(fleet.outcomes) == {PLACED}
        assert fleet.coordinators == {ORDER[0]}
        assert max(fleet.most.values()) <= SLOTS

    async def test_burst_ends_in_places_and_rejections_and_leaves_no_request_behind(
        self, fleet: Fleet, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against requests that wait until their time is over, and against lost slots."""
        await fleet.load(per_s=150.0, duration_s=2.0)
        assert set(fleet.outcomes) <= {PLACED, "rejected"}
        assert max(fleet.most.values()) <= SLOTS
        await trio.sleep(0.2)
        fleet.outcomes.clear()
        await fleet.load(per_s=20.0, duration_s=1.0)
        assert set(fleet.outcomes) == {PLACED}


class TestFailures:
    """Covers failures while streams are under way."""

    async def test_restarted_coordinator_goes_on(
        self, fleet: Fleet, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against queued requests that a restart loses."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: fleet.load(per_s=60.0, duration_s=2.0))
            await trio.sleep(1.0)
            fleet.start_control(ORDER[0])
        assert set(fleet.outcomes) <= {PLACED, "rejected"}
        assert fleet.coordinators == {ORDER[0]}
        fleet.outcomes.clear()
        await fleet.load(per_s=20.0, duration_s=1.0)
        assert set(fleet.outcomes) == {PLACED}

    async def test_two_coordinators_for_a_moment_become_one(
        self, fleet: Fleet, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against a lasting split after half of the instances missed the coordinator."""
        half = sorted(fleet.clients)[:4]
        fleet.cut = {(name, ORDER[0]) for name in half}
        await fleet.load(per_s=20.0, duration_s=2.0)
        assert fleet.coordinators == {ORDER[0], ORDER[1]}
        assert set(fleet.outcomes) <= {PLACED, "rejected"}
        fleet.cut = set()
        await trio.sleep(SKIP_MS / 1000.0)
        await fleet.load(per_s=20.0, duration_s=2.0)
        fleet.coordinators.clear()
        await fleet.load(per_s=20.0, duration_s=1.0)
        assert fleet.coordinators == {ORDER[0]}
        assert set(fleet.outcomes) <= {PLACED, "rejected"}

    async def test_silent_coordinator_leaves_queued_requests_to_the_next(
        self, fleet: Fleet, autojump_clock: trio.testing.MockClock
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: fleet.load(per_s=60.0, duration_s=2.0))
            await trio.sleep(1.0)
            fleet.cut = {(name, ORDER[0]) for name in fleet.clients}
        assert set(fleet.outcomes) <= {PLACED, "rejected"}
        assert ORDER[1] in fleet.coordinators

    async def test_without_any_coordinator_streams_are_left_to_the_local_choice(
        self, fleet: Fleet, autojump_clock: trio.testing.MockClock
    ) -> None:
        fleet.cut = {(name, address) for name in fleet.clients for address in CONTROLS}
        started_ms = now_ms()
        assert await fleet.serve("i-0") == "local"
        assert now_ms() - started_ms <= 2 * CALL_TIMEOUT_MS + 10.0
        started_ms = now_ms()
        assert await fleet.serve("i-0") == "local"
        assert now_ms() - started_ms <= CALL_TIMEOUT_MS + 10.0

    async def test_slots_of_a_lost_entry_instance_are_freed_when_its_row_is_silent(
        self, fleet: Fleet, autojump_clock: trio.testing.MockClock
    ) -> None:
        control = fleet.controls[ORDER[0]].control
        control.report("i-0", {})
        for _ in range(ENGINES * SLOTS):
            await fleet.serve("i-0", is_kept=True)
        assert await fleet.serve("i-1", max_wait_ms=400.0) == "rejected"
        await trio.sleep(ENTRY_SILENT_AFTER_MS / 1000.0 + 0.1)
        control.tables.entries.mark_silent(ENTRY_SILENT_AFTER_MS, 0.0)
        await trio.sleep(0.3)
        assert await fleet.serve("i-1", max_wait_ms=400.0) == PLACED
