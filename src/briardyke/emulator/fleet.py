"""Emulate a control instance that leads, and the entry instances that report to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.clock import now_ms, sleep_ms
from briardyke.fleet.activity import ActivityAggregator
from briardyke.fleet.messages import AdapterReply
from briardyke.fleet.records import EntryInstance, ModelChanges, Upstream
from briardyke.gateway.forward import Forwarder
from briardyke.gateway.state import GatewayState, RetryBounds
from briardyke.sync.notifier import Notifier
from briardyke.upstream_limits.statements import KnownLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.emulator.engine import EmulatedEngine
    from briardyke.emulator.gateway import CallDialect, EmulatedAttempts
    from briardyke.fleet.messages import AdapterRequest
    from briardyke.models.engine_state import EngineReport
    from briardyke.models.orders import EngineOrder, OrderOutcome
    from briardyke.routes.matching import RouteTable

# Interval at which engines announce themselves unless an order ends.
_HEARTBEAT_MS = 1200.0
# Interval of an entry instance's reports, and the time until the others learn of one.
_REPORT_INTERVAL_MS = 300.0
_PROPAGATION_MS = 60.0
# Age of an engine's report when it is read.
_REPORT_LAG_MS = 200.0
# Time until a lost engine is no longer listed.
_LOSS_NOTICE_MS = 2500.0


class EmulatedControl:
    """The leader's view: rows that engines announced and what entry instances reported."""

    def __init__(self) -> None:
        """Start without rows."""
        self.activity = ActivityAggregator("control")
        self.limits = KnownLimits()
        self.placement_inputs_changed = Notifier()
        self.upstreams: dict[str, Upstream] = {}
        self.changes: dict[str, ModelChanges] = {}
        self.changed = Notifier()
        self.term: int | None = 1

    @property
    def rows(self) -> EmulatedControl:
        """Return the rows that placement reads and publishes to."""
        return self

    def publish_model_changes(self, row: ModelChanges) -> None:
        """Store the pending changes of an engine."""
        self.changes[row.upstream_id] = row.aged(-now_ms())
        self.changed.notify()

    def leading_term(self) -> int | None:
        """Return the term while there is a leader."""
        return self.term

    def is_former_leader_silent(self) -> bool:
        """Return that a lost leader does not answer."""
        return True

    def live_upstreams(self) -> list[Upstream]:
        """Return the engines that announce themselves."""
        return list(self.upstreams.values())

    def unreachable_upstreams(self) -> set[str]:
        """Return no engine: a lost one is no longer listed."""
        return set()

    def demand(self) -> dict[str, float]:
        """Return the sum of the reported demand."""
        return self.activity.demand()

    def event_intervals_ms(self) -> dict[str, float]:
        """Return the reported pace of engines."""
        return self.activity.event_intervals_ms()


class EmulatedOrders:
    """Send the leader's orders to emulated engines."""

    def __init__(self, engines: dict[str, EmulatedEngine], nursery: trio.Nursery) -> None:
        """Run orders in a nursery."""
        self._engines, self._nursery = engines, nursery
        self.loads = self.store_loads = 0

    async def send_order(
        self, row: Upstream, order: EngineOrder, may_send: Callable[[], bool]
    ) -> OrderOutcome:
        """Send one order."""
        await sleep_ms(3.0)
        engine = self._engines[row.upstream_id]
        if order.is_load:
            self.loads += 1
            self.store_loads += order.model not in engine.copies
        return await engine.execute(order, self._nursery)

    async def fetch_report(self, row: Upstream) -> EngineReport | None:
        """Read a report that lags."""
        report = self._engines[row.upstream_id].report()
        await sleep_ms(_REPORT_LAG_MS)
        return report


class EmulatedEntry:
    """One entry instance with the gateway's own decisions."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        routes: RouteTable,
        dialect: CallDialect,
        attempts: EmulatedAttempts,
        control: EmulatedControl,
    ) -> None:
        """Start with an empty view of the engines."""
        self.name = name
        self.state = GatewayState(
            dialect, data_centre, RetryBounds(0.2, 50.0, 10.0), self._no_adapter
        )
        self.state.routes = routes
        self.forwarder = Forwarder(self.state)
        self.forwarder.attempts.runner = attempts
        self._control = control
        self._sequence = 0

    async def run(self, entries: int, offset_ms: float) -> None:
        """Report to the control instance and learn from it."""
        self.state.update_listing(
            self.name, {str(n) for n in range(entries)} | {self.name}, entries
        )
        self.state.listed_count = entries
        await sleep_ms(offset_ms)
        while True:
            await self._control.changed.wait(_REPORT_INTERVAL_MS)
            self._report()
            await sleep_ms(_PROPAGATION_MS)
            self.state.upstreams.update(self._control.upstreams, self._control.changes)
            others = self._control.activity.in_flight_of_others(self.name)
            self.state.upstreams.update_other_load(others)
            self.state.changed.notify()

    def _report(self) -> None:
        self._sequence += 1
        state = self.state
        report = EntryInstance(
            self.name,
            1,
            self._sequence,
            "10.0.1.1:80",
            state.data_centre,
            True,
            state.demand.demand(),
            state.upstreams.unreachable(),
            100.0,
            sum(state.demand.rates().values()),
            state.upstreams.in_flight(),
            state.missing_models.names(),
            state.upstreams.event_intervals_ms(),
        )
        if self._control.activity.record_report(report):
            self._control.placement_inputs_changed.notify()

    @staticmethod
    async def _no_adapter(request: AdapterRequest) -> AdapterReply:
        return AdapterReply("", "adapters are not emulated")


async def announce(engine: EmulatedEngine, control: EmulatedControl, offset_ms: float) -> None:
    """Announce an engine at intervals and after each order, until it is lost."""
    await sleep_ms(offset_ms)
    while not engine.is_lost:
        control.upstreams = {**control.upstreams, engine.upstream_id: engine.row()}
        control.changed.notify()
        control.placement_inputs_changed.notify()
        engine.announced = trio.Event()
        with trio.move_on_after(_HEARTBEAT_MS / 1000.0):
            await engine.announced.wait()
    await sleep_ms(_LOSS_NOTICE_MS)
    control.upstreams = {i: r for i, r in control.upstreams.items() if i != engine.upstream_id}
    control.changed.notify()
