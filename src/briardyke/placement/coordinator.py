"""Turn placement decisions into orders and follow the orders, without I/O."""

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

# An engine that refuses an item for lack of memory is asked again after this time.
REFUSAL_PAUSE_MS = 5_000.0
# Other errors, such as a lost majority, say nothing about the engine and its item.
_ITEM_REFUSALS = (
    ErrorKind.MEMORY_EXHAUSTED,
    ErrorKind.UPSTREAM_REFUSED,
    ErrorKind.FIELD_INVALID,
)


class Coordinator:
    """Keep the orders of the current term, the loads in transit and recent refusals."""

    def __init__(self) -> None:
        """Start without a term; the first view brings one."""
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
        """Bring the orders up to date with the announcements.

        In a new term, the orders of the earlier one are dropped: what they may still do is known
        from the reservations.

        :param view: what placement sees.
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
                    self._rate.hold(key, item in view.configuration.adapters, now_ms)
        incarnations = {i: r.incarnation for i, r in view.registrations.items()}
        outcomes = self._table.observe(view.upstreams, incarnations)
        for order, _ in outcomes:
            if order.step.kind is StepKind.LOAD:
                self._rate.finish(_transit(order.step))
        self._follow_transits(view, incarnations, now_ms)
        self._blocked = {key: until for key, until in self._blocked.items() if until > now_ms}
        pending, blocked = self._table.pending(), frozenset(self._blocked)
        return attrs.evolve(view, pending=pending, blocked=blocked), outcomes

    def accept(self, view: PlacementView, steps: Sequence[Step], now_ms: float) -> list[Order]:
        """Create orders for the steps that the store admits now.

        :param view: what placement sees.
        :param steps: decided steps, most urgent first.
        :param now_ms: current time in milliseconds.
        :return: the new orders.
        """
        created = []
        for step in steps:
            earlier = self._table.find(step.upstream_id, step.item)
            if earlier is not None and earlier.state is OrderState.UNLOADED:
                continue  # A load must not be reserved before the old reservation's end commits.
            if step.kind is StepKind.LOAD:
                if not self._may_start(view, step, now_ms):
                    continue
                is_adapter = step.item in view.configuration.adapters
                self._rate.start(_transit(step), is_adapter, now_ms)
            created.append(self._table.create(step, now_ms))
        return created

    def due(self, view: PlacementView, now_ms: float) -> list[Order]:
        """Return the earlier orders to reserve, send, repeat or end now, by rising token.

        It is called before :meth:`accept`, so that new loads do not use up the starts that
        repeated orders need.

        :param view: what placement sees.
        :param now_ms: current time in milliseconds.
        """
        work = [order for order in self._table.due(now_ms) if self._may_send(view, order, now_ms)]
        work += [o for o in self._table.orders() if o.state is OrderState.UNLOADED]
        return sorted(work, key=lambda order: order.fencing_token)

    def is_current(self, order: Order, view: PlacementView) -> bool:
        """Return whether the order may still be acted on.

        The term is compared because leadership may have been lost and regained in between.
        """
        return self._table.holds(order) and view.term == self._table.term

    def would_remove_last_replica(self, order: Order, view: PlacementView) -> bool:
        """Return whether an unload would now remove a model's last serving replica.

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
        """Drop an order that is refused; planning decides again from the reservations.

        :param order: the order.
        :param kind: why it is dropped.
        :param now_ms: current time in milliseconds.
        """
        self._table.remove(order)
        if kind in _ITEM_REFUSALS:
            self._blocked[order.key] = now_ms + REFUSAL_PAUSE_MS
        if order.step.kind is StepKind.LOAD and not order.reserved:
            self._rate.finish(_transit(order.step))

    def finish(self, order: Order) -> None:
        """Remove an unload whose reservation has ended."""
        self._table.remove(order)

    def _follow_transits(
        self, view: PlacementView, incarnations: dict[str, str], now_ms: float
    ) -> None:
        for key in self._rate.in_transit():
            upstream_id, incarnation, item = key
            gone = incarnations.get(upstream_id) != incarnation
            if gone or is_loaded(view, upstream_id, item):
                self._rate.finish(key)
        for row in view.upstreams.values():
            for held in row.loaded:
                if held.state != "loaded":
                    key = (row.upstream_id, row.incarnation, held.name)
                    self._rate.hold(key, held.name in view.configuration.adapters, now_ms)

    def _may_start(self, view: PlacementView, step: Step, now_ms: float) -> bool:
        is_adapter = step.item in view.configuration.adapters
        limits = view.configuration.placement
        return self._rate.may_start(_transit(step), is_adapter, limits, now_ms)

    def _may_send(self, view: PlacementView, order: Order, now_ms: float) -> bool:
        row = view.upstreams.get(order.step.upstream_id)
        if row is None or order.step.kind is StepKind.UNLOAD:
            return row is not None
        if row.lifecycle != "ready":
            return False
        # A new order was counted when it was created, and one that was taken starts nothing again.
        if order.state is not OrderState.NEW and not order.taken:
            if not self._may_start(view, order.step, now_ms):
                return False
            is_adapter = order.step.item in view.configuration.adapters
            self._rate.repeat(_transit(order.step), is_adapter, now_ms)
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


def _transit(step: Step) -> tuple[str, str, str]:
    return step.upstream_id, step.incarnation, step.item
