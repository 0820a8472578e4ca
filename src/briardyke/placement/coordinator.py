"""Turn placement decisions into orders and track their progress, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.agreed.configuration import matches_any_pattern
from briardyke.agreed.records import Reservation
from briardyke.errors import ErrorKind
from briardyke.placement.orders import Order, OrderState, OrderTable, Outcome
from briardyke.placement.store_rate import StoreRate
from briardyke.placement.types import PlacementView, StepKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardyke.placement.types import Step

# After an engine has refused an item, the item is not ordered there again for this long.
REFUSAL_PAUSE_MS = 5_000.0
# Refusals that concern the engine and the item. Other errors, such as a lost majority, do not.
_ITEM_REFUSAL_KINDS = (
    ErrorKind.MEMORY_EXHAUSTED,
    ErrorKind.UPSTREAM_REFUSED,
    ErrorKind.FIELD_INVALID,
)


class Coordinator:
    """Manage the orders of the current term, the loads in transit and recent refusals."""

    def __init__(self) -> None:
        """Start in term 0; the first view sets the term."""
        self._table = OrderTable(0)
        self._rate = StoreRate(0.0)
        self._blocked: dict[tuple[str, str], float] = {}

    @property
    def term(self) -> int:
        """Return the term that the orders belong to."""
        return self._table.term

    def observe(
        self, view: PlacementView, now_ms: float
    ) -> tuple[PlacementView, list[tuple[Order, Outcome]]]:
        """Update the orders from the announcements.

        In a new term, the orders of the earlier one are dropped. The reservations show what such
        orders may still do.

        :param view: inputs of placement.
        :param now_ms: current time in milliseconds.
        :return: the view for :func:`briardyke.placement.plan.plan`, and the orders whose outcome
            became known.
        """
        if self._table.term != view.term:
            self._table = OrderTable(view.term)
            self._rate = StoreRate(now_ms)
            for (upstream_id, item), reservation in view.reservations.items():
                if upstream_id in view.upstreams and not is_loaded(view, upstream_id, item):
                    key = (upstream_id, reservation.incarnation, item)
                    self._rate.add_in_transit(key, item in view.configuration.adapters, now_ms)
        incarnations = {i: r.incarnation for i, r in view.registrations.items()}
        outcomes = self._table.observe(view.upstreams, incarnations)
        for order, _ in outcomes:
            if order.step.kind is StepKind.LOAD:
                self._rate.finish(_transit_key(order.step))
        self._update_transits(view, incarnations, now_ms)
        self._blocked = {key: until for key, until in self._blocked.items() if until > now_ms}
        pending, blocked = self._table.pending(), frozenset(self._blocked)
        return attrs.evolve(view, pending=pending, blocked=blocked), outcomes

    def accept(self, view: PlacementView, steps: Sequence[Step], now_ms: float) -> list[Order]:
        """Create orders for the steps that the limits of the weight store allow now.

        :param view: inputs of placement.
        :param steps: decided steps, most urgent first.
        :param now_ms: current time in milliseconds.
        :return: the new orders.
        """
        created = []
        for step in steps:
            earlier = self._table.find(step.upstream_id, step.item)
            if earlier is not None and earlier.state is OrderState.UNLOADED:
                continue  # The end of the old reservation must be committed before a new load.
            if step.kind is StepKind.LOAD:
                if not self._may_start(view, step, now_ms):
                    continue
                is_adapter = step.item in view.configuration.adapters
                self._rate.start(_transit_key(step), is_adapter, now_ms)
            created.append(self._table.create(step, now_ms))
        return created

    def due(self, view: PlacementView, now_ms: float) -> list[Order]:
        """Return the earlier orders to reserve, send, repeat or end now, by rising token.

        It must be called before :meth:`accept`, so that repeated orders have precedence over new
        loads under the limits of the weight store.

        :param view: inputs of placement.
        :param now_ms: current time in milliseconds.
        """
        due = [order for order in self._table.due(now_ms) if self._may_send(view, order, now_ms)]
        due += [o for o in self._table.orders() if o.state is OrderState.UNLOADED]
        return sorted(due, key=lambda order: order.fencing_token)

    def is_current(self, order: Order, view: PlacementView) -> bool:
        """Return whether the order may still be executed.

        The term is compared because leadership may have been lost and regained in the meantime.
        """
        return self._table.contains(order) and view.term == self._table.term

    def would_remove_last_replica(self, order: Order, view: PlacementView) -> bool:
        """Return whether an unload would remove the last serving replica of a model now.

        Other replicas may have failed since the decision, or since the order was last sent.
        """
        step = order.step
        model = view.configuration.models.get(step.item)
        if step.kind is StepKind.LOAD or model is None:
            return False
        if not is_loaded(view, step.upstream_id, step.item):
            return False
        if not matches_any_pattern(model.instances, step.upstream_id):
            return False
        return not any(
            other != step.upstream_id
            and row.lifecycle == "ready"
            and matches_any_pattern(model.instances, other)
            and is_loaded(view, other, step.item)
            for other, row in view.upstreams.items()
        )

    def mark_sent(self, order: Order, now_ms: float) -> None:
        """Record that the order is being sent."""
        self._table.mark_sent(order, now_ms)

    def drop(self, order: Order, kind: ErrorKind, now_ms: float) -> None:
        """Drop an order that was refused; the next plan starts from the reservations.

        :param order: the order.
        :param kind: kind of the refusal.
        :param now_ms: current time in milliseconds.
        """
        self._table.remove(order)
        if kind in _ITEM_REFUSAL_KINDS:
            self._blocked[order.key] = now_ms + REFUSAL_PAUSE_MS
        if order.step.kind is StepKind.LOAD and not order.reserved:
            self._rate.finish(_transit_key(order.step))

    def finish(self, order: Order) -> None:
        """Remove an unload whose reservation has ended."""
        self._table.remove(order)

    def _update_transits(
        self, view: PlacementView, incarnations: dict[str, str], now_ms: float
    ) -> None:
        for key in self._rate.in_transit():
            upstream_id, incarnation, item = key
            is_gone = incarnations.get(upstream_id) != incarnation
            if is_gone or is_loaded(view, upstream_id, item):
                self._rate.finish(key)
        for row in view.upstreams.values():
            for held in row.loaded:
                if held.state != "loaded":
                    key = (row.upstream_id, row.incarnation, held.name)
                    self._rate.add_in_transit(key, held.name in view.configuration.adapters, now_ms)

    def _may_start(self, view: PlacementView, step: Step, now_ms: float) -> bool:
        is_adapter = step.item in view.configuration.adapters
        limits = view.configuration.placement
        return self._rate.may_start(_transit_key(step), is_adapter, limits, now_ms)

    def _may_send(self, view: PlacementView, order: Order, now_ms: float) -> bool:
        row = view.upstreams.get(order.step.upstream_id)
        if row is None or order.step.kind is StepKind.UNLOAD:
            return row is not None
        if row.lifecycle != "ready":
            return False
        # A new order was counted when it was created. A repeated order that the engine has already
        # accepted starts no other load.
        if order.state is not OrderState.NEW and not order.accepted:
            if not self._may_start(view, order.step, now_ms):
                return False
            is_adapter = order.step.item in view.configuration.adapters
            self._rate.repeat(_transit_key(order.step), is_adapter, now_ms)
        return True


def reservation_of(order: Order) -> Reservation:
    """Return the reservation that must be committed before a load order is sent."""
    step = order.step
    return Reservation(
        step.upstream_id,
        step.incarnation,
        step.item,
        step.size_bytes,
        order.order_id,
        order.fencing_token,
    )


def is_loaded(view: PlacementView, upstream_id: str, item: str) -> bool:
    """Return whether a live upstream announces the item as loaded."""
    row = view.upstreams.get(upstream_id)
    if row is None:
        return False
    return any(held.name == item and held.state == "loaded" for held in row.loaded)


def _transit_key(step: Step) -> tuple[str, str, str]:
    return step.upstream_id, step.incarnation, step.item
