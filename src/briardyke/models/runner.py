"""Order loads and unloads while this instance leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.clock import now_ms
from briardyke.fleet.messages import AdapterReply, AdapterRequest
from briardyke.fleet.records import READY, ModelChanges
from briardyke.logs import log_event, log_limited, log_warning
from briardyke.models.adapters import AdapterLoader
from briardyke.models.decide import decide
from briardyke.models.engine_state import REPORT_LAG_MS, UNKNOWN_MODEL, EngineState
from briardyke.models.lasting import LastingDemand
from briardyke.models.orders import Order, OrderOutcome
from briardyke.models.store import StoreWindow
from briardyke.models.types import Change, ChangeKind, EngineView, ModelsView

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.fleet.control import ControlInstance
    from briardyke.models.orders import EngineClient
    from briardyke.routes.configuration import EngineSpec, ServingConfiguration

TICK_MS = 400.0
# News cuts a tick short, but not below this, ...
LEAST_TICK_MS = 100.0
# ... nor below this many times what the last decision took. A decision over 59 engines takes a
# tenth of a second on a third of a core, and a leader that does little else loses its office.
_REST_FACTOR = 4.0
# Entry instances learn of a model that leaves through their control instance within this time.
WITHHOLD_MS = 200.0
# When traffic starts, the first requests say little about which models are in demand: the half-life
# of the rates that entry instances keep.
SETTLING_MS = 2000.0
# A model leaves when it is announced as leaving and its last requests have ended.
_UNLOAD_MS = 700.0
# An order that was accepted but shows no effect for this long is looked up in a report.
_PENDING_CHECK_MS = 9000.0
_UNKNOWN_CHECK_MS = 1500.0


class ModelPlacementRunner:
    """Carry out placement for all services that run models."""

    def __init__(
        self,
        control: ControlInstance,
        engines: EngineClient,
        configuration: Callable[[], ServingConfiguration | None],
        holder: str,
        order_lease_ms: float,
        store_window_s: float,
    ) -> None:
        """Prepare; :meth:`run` starts it.

        :param control: this control instance.
        :param engines: reaches the engines.
        :param configuration: returns the configuration in force.
        :param holder: name of this instance, the same for all its orders.
        :param order_lease_ms: time for which an earlier leader may still order.
        :param store_window_s: window in which loads from the store are counted.
        """
        self._control = control
        self._engines = engines
        self._configuration = configuration
        self._holder = holder
        self._order_lease_ms = order_lease_ms
        self._store_window_s = store_window_s
        self._store = StoreWindow(store_window_s)
        self._ledgers: dict[str, EngineState] = {}
        self._term = 0
        self._term_since_ms = 0.0
        self._fenced_term = 0
        self._change_sequence = 0
        self._lasting = LastingDemand()
        self._missing_since_ms: dict[str, float] = {}
        self._unreachable: set[str] = set()
        self._decision_ms = 0.0
        self._demand_since_ms = float("-inf")
        self._adapters = AdapterLoader(self._order)

    async def run(self) -> None:
        """Decide and order until cancelled."""
        self._term = 0  # after a defect nothing is known of the orders that were under way
        async with trio.open_nursery() as nursery:
            while True:
                rest_ms = max(LEAST_TICK_MS, _REST_FACTOR * self._decision_ms)
                await trio.sleep(rest_ms / 1000.0)
                await self._control.rows.placement_inputs_changed.wait(max(0.0, TICK_MS - rest_ms))
                if not self._may_order():
                    continue
                configuration = self._configuration()
                if configuration is not None:
                    started_ms = now_ms()
                    await self._tick(configuration, nursery)
                    self._decision_ms = now_ms() - started_ms

    def _may_order(self) -> bool:
        term = self._control.leading_term()
        if term is None or term == self._fenced_term:
            return False
        if term != self._term:
            self._term, self._term_since_ms = term, now_ms()
            self._ledgers.clear()
            self._store = StoreWindow(self._store_window_s)
            self._lasting = LastingDemand()
            log_event("placement_leads", term=term)
        return now_ms() - self._term_since_ms >= self._order_lease_ms

    async def _tick(self, configuration: ServingConfiguration, nursery: trio.Nursery) -> None:
        self._follow_rows(configuration)
        self._follow_unreachable()
        for ledger in self._ledgers.values():
            if self._needs_report(ledger) and not ledger.lock.locked():
                nursery.start_soon(self._refresh, ledger)
        demand = self._control.demand()
        if not self._lasting.is_started:
            self._lasting.assume({m for ledger in self._ledgers.values() for m in ledger.models})
        self._lasting.add(demand)
        self._follow_missing(demand)
        if not demand:
            self._demand_since_ms = now_ms()
        for name, service in configuration.services.items():
            if service.engine is None:
                continue
            view = ModelsView(
                service.engine,
                [self._view(i, g) for i, g in self._ledgers.items() if g.row.service == name],
                demand,
                self._store.free(service.engine.store_loads_per_s),
                self._lasting.rates,
                {m: (now_ms() - since) / 1000.0 for m, since in self._missing_since_ms.items()},
                is_settled=now_ms() - self._demand_since_ms >= SETTLING_MS,
            )
            for change in decide(view):
                self._start(change, service.engine, nursery)

    def _follow_unreachable(self) -> None:
        unreachable = self._control.unreachable_upstreams()
        for upstream_id in unreachable ^ self._unreachable:
            log_event(
                "engine_reachability_changed",
                upstream=upstream_id,
                reachable=upstream_id not in unreachable,
            )
        self._unreachable = unreachable

    def _follow_missing(self, demand: dict[str, float]) -> None:
        held = {m for g in self._ledgers.values() for m in g.models - g.leaving}
        missing = [model for model in demand if model not in held]
        since_ms = self._missing_since_ms
        self._missing_since_ms = {m: since_ms.get(m, now_ms()) for m in missing}

    def _follow_rows(self, configuration: ServingConfiguration) -> None:
        rows = {
            row.upstream_id: row
            for row in self._control.live_upstreams()
            if (spec := configuration.services.get(row.service)) and spec.engine
        }
        for upstream_id in [i for i in self._ledgers if i not in rows]:
            del self._ledgers[upstream_id]
        for upstream_id, row in rows.items():
            ledger = self._ledgers.get(upstream_id)
            if ledger is None or ledger.row.incarnation != row.incarnation:
                self._ledgers[upstream_id] = EngineState(row)
            else:
                ledger.adopt_row(row)

    def _needs_report(self, ledger: EngineState) -> bool:
        if ledger.sequence is None:
            return now_ms() - ledger.doubt_since_ms >= REPORT_LAG_MS
        if ledger.review_ms and now_ms() >= ledger.review_ms:
            return True
        if ledger.pending is None:
            return False
        is_unknown = ledger.pending[0] == UNKNOWN_MODEL
        check_ms = _UNKNOWN_CHECK_MS if is_unknown else _PENDING_CHECK_MS
        return now_ms() - ledger.pending_since_ms >= check_ms

    async def _refresh(self, ledger: EngineState) -> None:
        async with ledger.lock:
            report = await self._engines.fetch_report(ledger.row)
            if report is None:
                ledger.doubt_since_ms = now_ms()
                return
            log_limited(
                "engine_report_read",
                is_routine=True,
                upstream=ledger.row.upstream_id,
                expected=ledger.sequence,
                sequence=report.sequence,
                busy=report.is_busy,
            )
            ledger.adopt_report(report)
            ledger.review_ms = now_ms() + REPORT_LAG_MS if ledger.leaving_adapters else 0.0
            ledger.pending_since_ms = now_ms()
            if ledger.pending is None:
                ledger.leaving.clear()
                self._publish(ledger)

    def _view(self, upstream_id: str, ledger: EngineState) -> EngineView:
        held = dict.fromkeys(ledger.models, 0)
        for model, _ in ledger.busy_adapters():
            held[model] = held.get(model, 0) + 1
        return EngineView(
            upstream_id,
            ledger.row.service,
            held,
            frozenset(ledger.row.at_hand),
            is_free=ledger.sequence is not None
            and ledger.pending is None
            and not ledger.lock.locked(),
            is_staying=ledger.row.lifecycle == READY and upstream_id not in self._unreachable,
            leaving=frozenset(ledger.leaving),
            arriving=next(iter(ledger.arriving_ms()), ""),
            recent=ledger.recent_models(),
            free_in_ms=ledger.free_in_ms(),
            is_loading=ledger.pending is not None and ledger.pending_from_store,
        )

    # Models

    def _start(self, change: Change, spec: EngineSpec, nursery: trio.Nursery) -> None:
        ledger = self._ledgers[change.upstream_id]
        if ledger.pending is not None:
            return
        is_load = change.kind is ChangeKind.LOAD
        model = spec.models.get(change.model)
        ledger.pending = (change.model, is_load)
        ledger.pending_since_ms = now_ms()
        ledger.pending_until_ms = now_ms() + _UNLOAD_MS
        ledger.pending_from_store = change.is_from_store
        if is_load:
            load_s = (model.load_s if change.is_from_store else model.disk_load_s) if model else 0.0
            ledger.pending_until_ms = now_ms() + load_s * 1000.0
            ledger.models.add(change.model)
            ledger.loaded_ms[change.model] = ledger.pending_until_ms
            if change.is_from_store:
                self._store.record()
        else:
            ledger.leaving.add(change.model)
        self._publish(ledger)
        nursery.start_soon(self._carry_out, ledger, change)

    async def _carry_out(self, ledger: EngineState, change: Change) -> None:
        is_load = change.kind is ChangeKind.LOAD
        if not is_load:
            await trio.sleep(WITHHOLD_MS / 1000.0)
        outcome = await self._order(ledger, is_load, change.model, "")
        log_event(
            "model_ordered",
            upstream=change.upstream_id,
            change=change.kind.value,
            model=change.model,
            from_store=change.is_from_store,
            outcome=outcome.value,
            term=self._term,
        )
        if outcome is OrderOutcome.ACCEPTED:
            return
        ledger.pending = None
        if not is_load:
            ledger.leaving.discard(change.model)
        self._publish(ledger)
        if outcome is OrderOutcome.HELD_ALREADY and not is_load:
            ledger.models.discard(change.model)

    def _leads(self, term: int) -> bool:
        return term == self._term and self._control.leading_term() == term

    async def _order(
        self, ledger: EngineState, is_load: bool, model: str, adapter: str
    ) -> OrderOutcome:
        async with ledger.lock:
            term = self._term
            if ledger.sequence is None or not self._leads(term):
                return OrderOutcome.REFUSED
            order = Order(is_load, model, adapter, ledger.sequence, self._holder, term)
            outcome = await self._engines.send_order(ledger.row, order, lambda: self._leads(term))
            if outcome is not OrderOutcome.ACCEPTED:
                log_limited(
                    "order_not_accepted",
                    is_routine=outcome is OrderOutcome.HELD_ALREADY,
                    upstream=ledger.row.upstream_id,
                    is_load=is_load,
                    model=model,
                    adapter=adapter,
                    expected=order.expected_sequence,
                    outcome=outcome.value,
                    pending=ledger.pending,
                )
            if outcome is OrderOutcome.ACCEPTED or (
                outcome is OrderOutcome.HELD_ALREADY and adapter
            ):
                ledger.sequence += 1 if self._counts(outcome, order) else 0
            elif outcome is OrderOutcome.FENCED:
                log_warning("orders_fenced", term=term, upstream=ledger.row.upstream_id)
                self._fenced_term = term
            elif outcome is OrderOutcome.CONFLICT and adapter and ledger.pending is not None:
                pass  # an engine that changes a model takes no order for an adapter
            elif outcome is not OrderOutcome.HELD_ALREADY:
                ledger.sequence = None
                ledger.doubt_since_ms = now_ms()
            return outcome

    @staticmethod
    def _counts(outcome: OrderOutcome, order: Order) -> bool:
        """Return whether the engine's sequence has moved on.

        An adapter that leaves at once is answered like something that already holds.
        """
        return outcome is OrderOutcome.ACCEPTED or not order.is_load

    def _publish(self, ledger: EngineState) -> None:
        self._change_sequence += 1
        row = ModelChanges(
            ledger.row.upstream_id,
            self._term,
            self._change_sequence,
            sorted(ledger.leaving),
            ledger.arriving_ms(),
        )
        self._control.rows.publish_model_changes(row)

    # Adapters

    async def place_adapter(self, request: AdapterRequest) -> AdapterReply:
        """Have one of the named engines hold an adapter, one that holds it already if possible."""
        configuration = self._configuration()
        if configuration is None or not self._may_order():
            return AdapterReply("", "this instance does not order")
        key = (request.model, request.adapter)
        known = [(i, self._ledgers[i]) for i in request.upstream_ids if i in self._ledgers]
        for upstream_id, ledger in known:
            if upstream_id in request.lacking_ids and key not in ledger.ready:
                ledger.doubted_adapters.add(key)
        usable = [(i, g) for i, g in known if request.model in g.models - g.leaving]
        holding = [row for row in usable if row[1].has_adapter(key)]
        reason = "no engine is known"
        for upstream_id, ledger in [*holding, *usable]:
            spec = configuration.services[ledger.row.service].engine
            failure = await self._adapters.ensure(ledger, spec, key) if spec else "no engine"
            if not failure:
                return AdapterReply(upstream_id)
            reason = failure
        return AdapterReply("", reason)
