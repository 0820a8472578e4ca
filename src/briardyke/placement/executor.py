"""Carry out placement decisions while this process leads."""

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

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from briardyke.http.client import HttpClient
    from briardyke.placement.types import MemoryLedger, PlacementView

# Announcements arrive once a second; deciding a few times in between keeps the delay after each
# of them short.
TICK_MS = 250.0
# An engine answers before it executes an order, so a healthy one needs only one round trip.
ORDER_CALL_TIMEOUT_MS = 2000.0
# Bounds open connections and uncommitted ledger entries.
MAX_CONCURRENT_ENGINES = 64
# Above this size a decision could delay the heartbeats of the log, which run on the same thread.
THREAD_FROM_ENGINES = 500
# A decision for 10,000 engines takes a quarter of a second (docs/placement.md), which at this
# interval is an eighth of a core.
LARGE_TICK_MS = 2000.0
_ORDERS_TARGET = "/v1/orders"


class PlacementRunner:
    """Plan, reserve and order once per tick while this process leads."""

    def __init__(
        self,
        ledger: MemoryLedger,
        view: Callable[[], PlacementView],
        leads: Callable[[], bool],
        client: HttpClient,
    ) -> None:
        """Keep the parts; nothing runs before :meth:`run`.

        :param ledger: commits reservations to the agreed state.
        :param view: returns what placement sees now; a returned view is not changed afterwards.
        :param leads: tells whether this process holds the leader lease now.
        :param client: sends the orders.
        """
        self._ledger = ledger
        self._view = view
        self._leads = leads
        self._client = client
        self._coordinator = Coordinator()
        self._busy: set[str] = set()
        self._limiter = trio.CapacityLimiter(MAX_CONCURRENT_ENGINES)
        self._moves = counter("placement_moves", "Confirmed loads and unloads.")
        self._refusals = counter("placement_refusals", "Orders that an engine refused.")

    async def run(self) -> None:
        """Run until cancelled; without leadership, nothing is planned, reserved or sent."""
        async with trio.open_nursery() as nursery:
            while True:
                large = self._leads() and await self._tick(nursery)
                await sleep_ms(LARGE_TICK_MS if large else TICK_MS)

    async def _tick(self, nursery: trio.Nursery) -> bool:
        """Decide once and start the work; return whether the pool is large."""
        view, now = self._view(), now_ms()
        asked, outcomes = self._coordinator.observe(view, now)
        for order, outcome in outcomes:
            self._log_outcome(order, outcome)
        large = len(view.upstreams) > THREAD_FROM_ENGINES
        if large:
            steps = await trio.to_thread.run_sync(plan, asked, now)
        else:
            steps = plan(asked, now)
        due = self._coordinator.due(view, now)
        created = self._coordinator.accept(view, steps, now)
        for order in created:
            log_event(
                "placement_order",
                **_names(order),
                kind=order.step.kind.value,
                size_bytes=order.step.size_bytes,
            )
        work: dict[str, list[Order]] = defaultdict(list)
        for order in [*due, *created]:
            work[order.step.upstream_id].append(order)
        for upstream_id, orders in work.items():
            if upstream_id not in self._busy:
                self._busy.add(upstream_id)
                nursery.start_soon(self._serve, upstream_id, orders)
        return large

    async def _serve(self, upstream_id: str, orders: Sequence[Order]) -> None:
        """Work through one engine's orders by rising token, so that none overtakes another."""
        try:
            async with self._limiter:
                for order in orders:
                    if self._may_act(order):
                        await self._advance(order)
        finally:
            self._busy.discard(upstream_id)

    def _may_act(self, order: Order) -> bool:
        return self._leads() and self._coordinator.is_current(order, self._view())

    async def _advance(self, order: Order) -> None:
        if order.state is OrderState.UNLOADED:
            await self._end(order)
            return
        if order.step.kind is StepKind.LOAD and not order.reserved:
            match await self._ledger.reserve(reservation_of(order)):
                case Ok():
                    order.reserved = True
                case Err(failure):
                    self._refuse(order, failure.kind, failure.message)
                    return
        # Committing took time, in which another leader may have been elected.
        if not self._may_act(order):
            return
        if self._coordinator.would_remove_last_replica(order, self._view()):
            self._coordinator.finish(order)
            return
        await self._send(order)

    async def _end(self, order: Order) -> None:
        step = order.step
        held = self._view().reservations.get(order.key)
        if held is None or held.incarnation != step.incarnation:
            # The engine had the item from its start, or an earlier attempt to end it succeeded.
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
            body=_body(order),
            headers={"content-type": "application/json"},
            timeout_ms=ORDER_CALL_TIMEOUT_MS,
        )
        match answer:
            case Ok(response) if response.status == 200:
                order.taken = True
            case Ok(response) if response.status == 409:
                self._refuse(order, _refusal_kind(response.body), "engine refused the order")
            case Ok(response):
                self._log_failure(order, "unexpected_status", str(response.status))
            case Err(failure):
                self._log_failure(order, failure.kind.value, failure.message)

    def _refuse(self, order: Order, kind: ErrorKind, message: str) -> None:
        self._coordinator.drop(order, kind, now_ms())
        self._refusals.add(1, {"kind": kind.value})
        self._log_failure(order, kind.value, message)

    def _log_outcome(self, order: Order, outcome: Outcome) -> None:
        kind = order.step.kind.value
        log_event("placement_confirmation", **_names(order), kind=kind, outcome=outcome.value)
        if outcome in (Outcome.LOADED, Outcome.UNLOADED):
            self._moves.add(1, {"kind": kind})

    @staticmethod
    def _log_failure(order: Order, kind: str, message: str) -> None:
        log_warning("placement_refusal", **_names(order), error=kind, message=message)


def _names(order: Order) -> dict[str, str]:
    step = order.step
    return {"order": order.order_id, "upstream": step.upstream_id, "item": step.item}


def _body(order: Order) -> bytes:
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
        return ErrorKind(json.loads(body)["error"]["kind"])
    except (ValueError, KeyError, TypeError):
        return ErrorKind.UPSTREAM_REFUSED
