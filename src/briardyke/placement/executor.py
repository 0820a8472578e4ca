"""Execute placement decisions while this process is the leader."""

from __future__ import annotations

import json
from collections import defaultdict
from typing import TYPE_CHECKING

import trio
from result import Err, Ok

from briardyke.addresses import parse_address
from briardyke.clock import now_ms, sleep_ms
from briardyke.errors import ErrorKind
from briardyke.logs import log_event, log_warning
from briardyke.metrics import counter
from briardyke.placement.coordinator import Coordinator, reservation_of
from briardyke.placement.orders import Order, OrderState, Outcome
from briardyke.placement.plan import plan
from briardyke.placement.types import StepKind
from briardyke.strict_json import parse_json

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from briardyke.http.client import HttpClient
    from briardyke.placement.types import MemoryLedger, PlacementView

# Announcements arrive once a second. A few decisions per second keep the delay after each short.
TICK_MS = 250.0
# An engine answers before it executes an order, so a healthy one answers within one round trip.
ORDER_CALL_TIMEOUT_MS = 2000.0
# Limits the open connections and uncommitted ledger entries.
MAX_CONCURRENT_ENGINES = 64
# Above this number, a decision runs on a thread of its own. On the main thread it could delay the
# heartbeats of the consensus log.
LARGE_POOL_ENGINES = 500
# A decision for 10,000 engines takes a quarter of a second (docs/placement.md), so at this interval
# it uses an eighth of a core.
LARGE_POOL_TICK_MS = 2000.0
_ORDERS_TARGET = "/v1/orders"


class PlacementRunner:
    """Plan, reserve memory and send orders once per tick while this process is the leader."""

    def __init__(
        self,
        ledger: MemoryLedger,
        view: Callable[[], PlacementView],
        leads: Callable[[], bool],
        client: HttpClient,
    ) -> None:
        """Create a runner; :meth:`run` starts it.

        :param ledger: commits reservations to the agreed state.
        :param view: returns the current inputs of placement, which are not modified afterwards.
        :param leads: returns whether this process holds the leader lease now.
        :param client: sends the orders.
        """
        self._ledger = ledger
        self._view = view
        self._leads = leads
        self._client = client
        self._coordinator = Coordinator()
        self._busy_engines: set[str] = set()
        self._limiter = trio.CapacityLimiter(MAX_CONCURRENT_ENGINES)
        self._move_counter = counter("placement_moves", "Confirmed loads and unloads.")
        self._refusal_counter = counter("placement_refusals", "Orders that an engine refused.")

    async def run(self) -> None:
        """Run until cancelled; only the leader plans, reserves and sends."""
        async with trio.open_nursery() as nursery:
            while True:
                is_large = self._leads() and await self._tick(nursery)
                await sleep_ms(LARGE_POOL_TICK_MS if is_large else TICK_MS)

    async def _tick(self, nursery: trio.Nursery) -> bool:
        """Decide once and start tasks for the orders; return whether there are many engines."""
        view, now = self._view(), now_ms()
        planning_view, outcomes = self._coordinator.observe(view, now)
        for order, outcome in outcomes:
            self._log_outcome(order, outcome)
        is_large = len(view.upstreams) > LARGE_POOL_ENGINES
        if is_large:
            steps = await trio.to_thread.run_sync(plan, planning_view, now)
        else:
            steps = plan(planning_view, now)
        due = self._coordinator.due(view, now)
        created = self._coordinator.accept(view, steps, now)
        for order in created:
            log_event(
                "placement_order",
                **_log_fields(order),
                kind=order.step.kind.value,
                size_bytes=order.step.size_bytes,
            )
        orders_by_engine: dict[str, list[Order]] = defaultdict(list)
        for order in [*due, *created]:
            orders_by_engine[order.step.upstream_id].append(order)
        for upstream_id, orders in orders_by_engine.items():
            if upstream_id not in self._busy_engines:
                self._busy_engines.add(upstream_id)
                nursery.start_soon(self._process_orders, upstream_id, orders)
        return is_large

    async def _process_orders(self, upstream_id: str, orders: Sequence[Order]) -> None:
        """Execute one engine's orders by rising token, so that none is fenced by a later one."""
        try:
            async with self._limiter:
                for order in orders:
                    if self._may_execute(order):
                        await self._execute(order)
        finally:
            self._busy_engines.discard(upstream_id)

    def _may_execute(self, order: Order) -> bool:
        return self._leads() and self._coordinator.is_current(order, self._view())

    async def _execute(self, order: Order) -> None:
        if order.state is OrderState.UNLOADED:
            await self._end_reservation(order)
            return
        if order.step.kind is StepKind.LOAD and not order.reserved:
            match await self._ledger.reserve(reservation_of(order)):
                case Ok():
                    order.reserved = True
                case Err(failure):
                    self._refuse(order, failure.kind, failure.message)
                    return
        # Another leader may have been elected while the reservation was committed.
        if not self._may_execute(order):
            return
        if self._coordinator.would_remove_last_replica(order, self._view()):
            self._coordinator.finish(order)
            return
        await self._send(order)

    async def _end_reservation(self, order: Order) -> None:
        step = order.step
        held = self._view().reservations.get(order.key)
        if held is None or held.incarnation != step.incarnation:
            # The engine had the item from its start, or an earlier attempt ended the reservation.
            self._coordinator.finish(order)
            return
        match await self._ledger.end(
            step.upstream_id, step.incarnation, step.item, order.fencing_token
        ):
            case Ok():
                self._coordinator.finish(order)
            case Err(failure):
                self._log_failure(order, failure.kind.value, failure.message)

    async def _send(self, order: Order) -> None:
        row = self._view().upstreams.get(order.step.upstream_id)
        if row is None or row.incarnation != order.step.incarnation:
            return
        try:
            address = parse_address(row.address)
        except ValueError as error:
            self._refuse(order, ErrorKind.FIELD_INVALID, str(error))
            return
        self._coordinator.mark_sent(order, now_ms())
        answer = await self._client.call(
            "POST",
            address,
            _ORDERS_TARGET,
            body=_order_body(order),
            headers={"content-type": "application/json"},
            timeout_ms=ORDER_CALL_TIMEOUT_MS,
        )
        match answer:
            case Ok(response) if response.status == 200:
                order.accepted = True
            case Ok(response) if response.status == 409:
                self._refuse(order, _refusal_kind(response.body), "the engine refused the order")
            case Ok(response):
                self._log_failure(order, "unexpected_status", str(response.status))
            case Err(failure):
                self._log_failure(order, failure.kind.value, failure.message)

    def _refuse(self, order: Order, kind: ErrorKind, message: str) -> None:
        self._coordinator.drop(order, kind, now_ms())
        self._refusal_counter.add(1, {"kind": kind.value})
        self._log_failure(order, kind.value, message)

    def _log_outcome(self, order: Order, outcome: Outcome) -> None:
        kind = order.step.kind.value
        log_event("placement_confirmation", **_log_fields(order), kind=kind, outcome=outcome.value)
        if outcome in (Outcome.LOADED, Outcome.UNLOADED):
            self._move_counter.add(1, {"kind": kind})

    @staticmethod
    def _log_failure(order: Order, kind: str, message: str) -> None:
        log_warning("placement_refusal", **_log_fields(order), error=kind, message=message)


def _log_fields(order: Order) -> dict[str, str]:
    step = order.step
    return {"order": order.order_id, "upstream": step.upstream_id, "item": step.item}


def _order_body(order: Order) -> bytes:
    step = order.step
    fields = {
        "order_id": order.order_id,
        "fencing_token": order.fencing_token,
        "incarnation": step.incarnation,
        "kind": step.kind.value,
        "item": step.item,
        "size_bytes": step.size_bytes,
    }
    return json.dumps(fields).encode()


def _refusal_kind(body: bytes) -> ErrorKind:
    try:
        return ErrorKind(parse_json(body)["error"]["kind"])
    except (ValueError, KeyError, TypeError):
        return ErrorKind.UPSTREAM_REFUSED
