"""Tests for placement with engines, networks and leaders that fail in any order."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from placement_support import FakeEngine, Leader, ReferenceLedger, configuration

from briardyke.agreed.configuration import Configuration, Model, PlacementSettings
from briardyke.placement.store_rate import TRANSIT_TIMEOUT_MS
from briardyke.placement.types import StepKind

if TYPE_CHECKING:
    from briardyke.placement.orders import Order
    from briardyke.placement.types import PlacementView
    from briardyke.wire.messages import UpstreamRow

_TICK_MS = 1000.0
_LIMITS = PlacementSettings(
    store_loads_per_second=0.5, store_concurrent_loads=3, adapters_in_transit=2
)
# e1 and e2 check fencing tokens, are allowed for every model and are large enough for all models of
# one configuration. e3 ignores fencing tokens and may be filled with old items forever.
_CAPACITY = {"e1": 6, "e2": 6, "e3": 5}
_SIZES = {"a": 2, "b": 3, "c": 2, "d": 1}
_ADAPTERS = {"x": ("a", 1), "y": ("b", 1)}
# Enough ticks for loads two seconds apart, a copied model, and the timeouts of orders and transits.
_RECOVERY_TICKS = 90

_engines = st.sampled_from(sorted(_CAPACITY))


def _configuration_with(names: frozenset[str]) -> Configuration:
    adapters = {name: adapter for name, adapter in _ADAPTERS.items() if adapter[0] in names}
    restricted = Model(2, ("e[12]",), minimum_replicas=2)
    models = {name: size for name, size in _SIZES.items() if name in names and name != "c"}
    overrides = {"c": restricted} if "c" in names else {}
    return configuration(models, adapters, _LIMITS, **overrides)


class PlacementMachine(RuleBasedStateMachine):
    """Run leaders and engines over a network that loses, delays, repeats and reorders orders.

    Guards against overcommitted memory at any step, loads beyond the store's limits, unloads of
    last replicas and models that stay unreachable after the faults have ended.
    """

    def __init__(self) -> None:
        """Create three engines and the first leader."""
        super().__init__()
        self.now_ms = 0.0
        self.engines = {
            name: FakeEngine(name, capacity, name != "e3") for name, capacity in _CAPACITY.items()
        }
        self.ledger = ReferenceLedger()
        self.rows: dict[str, UpstreamRow] = {}
        self.config = _configuration_with(frozenset("abcd"))
        self.demand: dict[str, float] = {}
        self.leader = Leader(self.ledger, 1)
        self.network: list[tuple[Leader, Order]] = []
        self.transits: dict[tuple[str, str, str], float] = {}
        self.model_start_times: list[float] = []
        self.sent_order_ids: set[str] = set()
        for name in self.engines:
            self._announce(name)

    @initialize(names=st.frozensets(st.sampled_from(sorted(_SIZES)), min_size=1))
    def choose_configuration(self, names: frozenset[str]) -> None:
        """Start with any configuration."""
        self.config = _configuration_with(names)

    @rule()
    def tick(self) -> None:
        """Let the leader decide and send its orders to the network."""
        self.now_ms += _TICK_MS
        self._run_leader(self.leader, self._view(self.leader))

    @rule()
    def pass_time(self) -> None:
        """Let orders and transits time out."""
        self.now_ms += 4 * _TICK_MS

    @rule(data=st.data(), is_repeated=st.booleans(), is_answered=st.booleans())
    @precondition(lambda self: bool(self.network))
    def deliver(self, data: st.DataObject, is_repeated: bool, is_answered: bool) -> None:
        """Deliver any order, also of a past leader, once or repeatedly, answered or not."""
        index = data.draw(st.integers(0, len(self.network) - 1))
        self._deliver(index, is_repeated, is_answered)

    @rule(data=st.data())
    @precondition(lambda self: bool(self.network))
    def lose(self, data: st.DataObject) -> None:
        """Lose an order."""
        del self.network[data.draw(st.integers(0, len(self.network) - 1))]

    @rule(name=_engines)
    def announce(self, name: str) -> None:
        """Complete the loads of an engine and announce it."""
        self.engines[name].finish_loads()
        self._announce(name)

    @rule(name=_engines)
    def announce_loading(self, name: str) -> None:
        """Announce an engine without completing its loads."""
        self._announce(name)

    @rule(name=_engines)
    def silence(self, name: str) -> None:
        """Remove an engine from the view, as a network partition does."""
        self.rows.pop(name, None)

    @rule(name=_engines)
    def restart(self, name: str) -> None:
        """Restart an engine without its items."""
        self.engines[name].restart()

    @rule()
    def change_leader(self) -> None:
        """Elect a new leader; orders of the old one stay on the network."""
        self.leader = Leader(self.ledger, self.leader.term + 1)

    @rule(names=st.frozensets(st.sampled_from(sorted(_SIZES)), min_size=1))
    def change_configuration(self, names: frozenset[str]) -> None:
        """Change the configuration."""
        self.config = _configuration_with(names)

    @rule(item=st.sampled_from([*_SIZES, *_ADAPTERS]), rate=st.sampled_from([0.0, 500.0, 5000.0]))
    def change_demand(self, item: str, rate: float) -> None:
        """Change the demand for an item."""
        self.demand[item] = rate

    @invariant()
    def memory_is_never_overcommitted(self) -> None:
        """Compare the actual memory use of the engines with their capacity."""
        for engine in self.engines.values():
            assert engine.used_bytes <= engine.capacity_bytes, (engine.upstream_id, engine.items)

    @invariant()
    def loads_are_reserved(self) -> None:
        """Require a reservation for every item that a registered incarnation holds."""
        for name, engine in self.engines.items():
            if self.ledger.registrations[name].incarnation == engine.incarnation:
                for item in engine.items:
                    assert (name, item) in self.ledger.reservations

    def teardown(self) -> None:
        """Stop the faults and require that every model becomes reachable."""
        while self.network:
            self._deliver(0, False, True)
        for _ in range(_RECOVERY_TICKS):
            for name in self.engines:
                self.announce(name)
            self.tick()
            while self.network:
                self._deliver(0, False, True)
            self.memory_is_never_overcommitted()
        models = set(self.config.models)
        reachable = {n for e in self.engines.values() for n in e.items}
        assert models <= reachable, (sorted(models - reachable), self.engines)

    def _deliver(self, index: int, is_repeated: bool, is_answered: bool) -> None:
        leader, order = self.network[index]
        if not is_repeated:
            del self.network[index]
        outcome = self.engines[order.step.upstream_id].execute(order)
        if is_answered and leader is self.leader:
            leader.answer(order, outcome, self.now_ms)
        self.memory_is_never_overcommitted()

    def _announce(self, name: str) -> None:
        self.rows[name] = self.engines[name].row()
        self.ledger.register(self.rows[name])

    def _view(self, leader: Leader) -> PlacementView:
        return self.ledger.view(self.config, self.rows, leader.term, **self.demand)

    def _run_leader(self, leader: Leader, view: PlacementView) -> None:
        leader.tick(view, self.now_ms)
        sent, leader.sent_orders = leader.sent_orders, []
        for order in sent:
            self._check_unload(view, order)
            self.network.append((leader, attrs.evolve(order)))
        self._check_store_limits(view, sent)

    def _check_store_limits(self, view: PlacementView, sent: list[Order]) -> None:
        """Check the starts and the loads in transit independently of the code under test."""
        self._expire(view)
        for order in sent:
            step = order.step
            key = (step.upstream_id, step.incarnation, step.item)
            if step.kind is not StepKind.LOAD:
                continue
            if order.order_id not in self.sent_order_ids or key not in self.transits:
                self.transits[key] = self.now_ms
            self.sent_order_ids.add(order.order_id)
            if step.item not in _ADAPTERS and not order.accepted:
                self.model_start_times.append(self.now_ms)
        models = [key for key in self.transits if key[2] not in _ADAPTERS]
        assert len(models) <= _LIMITS.store_concurrent_loads
        assert len(self.transits) - len(models) <= _LIMITS.adapters_in_transit
        for earlier, later in zip(self.model_start_times, self.model_start_times[1:], strict=False):
            assert later - earlier >= 1000.0 / _LIMITS.store_loads_per_second

    def _expire(self, view: PlacementView) -> None:
        for row in view.upstreams.values():
            for item in row.loaded:
                if item.state == "loading":
                    self.transits[row.upstream_id, row.incarnation, item.name] = self.now_ms
        for key, started in list(self.transits.items()):
            row = view.upstreams.get(key[0])
            loaded = row is not None and any(
                i.name == key[2] and i.state == "loaded" for i in row.loaded
            )
            is_gone = view.registrations[key[0]].incarnation != key[1]
            if loaded or is_gone or self.now_ms - started >= TRANSIT_TIMEOUT_MS:
                del self.transits[key]

    def _check_unload(self, view: PlacementView, order: Order) -> None:
        """Require another announced replica for each unload of a configured model."""
        step = order.step
        if step.kind is not StepKind.UNLOAD or step.item not in view.configuration.models:
            return
        holders = {
            name
            for name, row in view.upstreams.items()
            if any(i.name == step.item and i.state == "loaded" for i in row.loaded)
        }
        allowed = {"e1", "e2"} if step.item == "c" else set(_CAPACITY)
        if step.upstream_id in holders & allowed:
            assert (holders & allowed) - {step.upstream_id}, step


_SETTINGS = settings(
    max_examples=200,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestPlacementMachine = PlacementMachine.TestCase
TestPlacementMachine.settings = _SETTINGS


class _Simulation:
    """Run one leader and keep all its orders, so that a test can deliver them again."""

    def __init__(self, engines: list[FakeEngine], config: Configuration) -> None:
        self.engines = {engine.upstream_id: engine for engine in engines}
        self.config = config
        self.ledger = ReferenceLedger()
        self.leader = Leader(self.ledger, 1)
        self.now_ms = 10_000.0

    def view(self) -> PlacementView:
        rows = {name: engine.row() for name, engine in self.engines.items()}
        for row in rows.values():
            self.ledger.register(row)
        return self.ledger.view(self.config, rows)

    def run(self, ticks: int, *, deliver: bool = True) -> None:
        for _ in range(ticks):
            self.now_ms += 4000.0
            done = len(self.leader.sent_orders)
            self.leader.tick(self.view(), self.now_ms)
            for order in self.leader.sent_orders[done:] if deliver else ():
                engine = self.engines[order.step.upstream_id]
                self.leader.answer(order, engine.execute(order), self.now_ms)
                engine.finish_loads()


class TestLateOrders:
    """Guards against orders that are executed long after they were sent."""

    @pytest.mark.parametrize("checks_fencing", [True, False])
    def test_old_orders_delivered_again_never_overcommit(self, checks_fencing: bool) -> None:
        """Guards against reusing memory that an old load can use again."""
        engine = FakeEngine("e1", 4, checks_fencing)
        simulation = _Simulation([engine], configuration({"a": 3}))
        simulation.run(2)
        assert set(engine.items) == {"a"}
        simulation.config = configuration({"b": 3})
        simulation.run(6)
        for order in list(simulation.leader.sent_orders):
            engine.execute(order)
            assert engine.used_bytes <= engine.capacity_bytes
        assert set(engine.items) == ({"b"} if checks_fencing else {"a"})
        if not checks_fencing:
            engine.restart()
            simulation.run(3)
            assert set(engine.items) == {"b"}

    def test_unload_is_not_repeated_after_the_other_replica_failed(self) -> None:
        """Guards against a repeated unload of what has become the last replica."""
        engines = [FakeEngine("e1", 4, True), FakeEngine("e2", 4, True)]
        simulation = _Simulation(engines, configuration({}, a=Model(3, ("*",), minimum_replicas=2)))
        simulation.run(3)
        simulation.config = configuration({"a": 3}, b=Model(3, ("e1",), priority=1))
        simulation.run(1, deliver=False)
        unload = simulation.leader.sent_orders[-1].step
        assert (unload.kind, unload.upstream_id) == (StepKind.UNLOAD, "e1")
        engines[1].restart()
        sent = len(simulation.leader.sent_orders)
        simulation.run(8, deliver=False)
        assert all(o.step.kind is StepKind.LOAD for o in simulation.leader.sent_orders[sent:])
