"""Track orders from creation to the announcement that confirms them."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from briardyke.placement.types import PendingOrder, Step, StepKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from briardyke.wire.messages import UpstreamRow

# An unconfirmed order is in doubt after this time, the silence after which an upstream counts as
# dead: three announcements should have arrived by then.
ORDER_TIMEOUT_MS = 3000.0
_TOKEN_COUNTER_BITS = 32


class OrderState(Enum):
    """List the states of an order."""

    NEW = "new"
    SENT = "sent"
    IN_DOUBT = "in_doubt"
    UNLOADED = "unloaded"


class Outcome(Enum):
    """List the outcomes of an order that announcements and registrations show."""

    LOADED = "loaded"
    UNLOADED = "unloaded"
    FENCED = "fenced"
    INCARNATION_GONE = "incarnation_gone"


@attrs.define
class Order:
    """Hold an order to an engine and its progress.

    :param order_id: id, the same when the order is repeated.
    :param fencing_token: term and counter, the same when the order is repeated.
    :param step: change that it orders.
    :param created_ms: time of creation.
    :param state: current state.
    :param sent_ms: time at which it was last sent.
    :param reserved: whether the reservation of a load has been committed.
    :param accepted: whether the engine has answered that it accepts the order.
    """

    order_id: str
    fencing_token: int
    step: Step
    created_ms: float
    state: OrderState = OrderState.NEW
    sent_ms: float = 0.0
    reserved: bool = False
    accepted: bool = False

    @property
    def key(self) -> tuple[str, str]:
        """Return the upstream id and the item."""
        return self.step.upstream_id, self.step.item


class OrderTable:
    """Hold the orders of one term, at most one per engine and item.

    Each order has a higher token than all earlier ones, so an engine that has accepted a later
    order refuses every earlier one. There is only one table per term, since a second one would
    create the same tokens again.
    """

    def __init__(self, term: int) -> None:
        """Start without orders.

        :param term: term of the leader, the upper half of all tokens.
        """
        self.term = term
        self._counter = 0
        self._orders: dict[tuple[str, str], Order] = {}
        self._sequences: dict[tuple[str, str], int] = {}

    def __len__(self) -> int:
        """Return the number of orders."""
        return len(self._orders)

    def orders(self) -> list[Order]:
        """Return all orders by rising token."""
        return sorted(self._orders.values(), key=lambda order: order.fencing_token)

    def find(self, upstream_id: str, item: str) -> Order | None:
        """Return the order for an engine and item."""
        return self._orders.get((upstream_id, item))

    def contains(self, order: Order) -> bool:
        """Return whether the order is still in the table."""
        return self._orders.get(order.key) is order

    def create(self, step: Step, now_ms: float) -> Order:
        """Create an order, which replaces an earlier one for the same engine and item.

        :param step: what to change.
        :param now_ms: current time in milliseconds.
        :return: the order, with a token above all earlier ones.
        """
        self._counter += 1
        token = (self.term << _TOKEN_COUNTER_BITS) + self._counter
        order = Order(f"order-{self.term}-{self._counter}", token, step, now_ms)
        self._orders[order.key] = order
        return order

    def mark_sent(self, order: Order, now_ms: float) -> None:
        """Record that the order is being sent."""
        order.sent_ms = now_ms
        if order.state is OrderState.NEW:
            order.state = OrderState.SENT

    def remove(self, order: Order) -> None:
        """Remove an order that is refused, superseded or complete."""
        if self.contains(order):
            del self._orders[order.key]

    def pending(self) -> dict[tuple[str, str], PendingOrder]:
        """Return the orders in the form that planning needs."""
        return {
            key: PendingOrder(order.step.kind, order.step.size_bytes, order.created_ms)
            for key, order in self._orders.items()
        }

    def due(self, now_ms: float) -> list[Order]:
        """Return the orders to send now, and mark overdue ones as in doubt.

        An order in doubt is repeated with its own id and token after each timeout.

        :param now_ms: current time in milliseconds.
        :return: orders by rising token.
        """
        due = []
        for order in self.orders():
            if order.state is OrderState.NEW:
                due.append(order)
            elif (
                order.state is not OrderState.UNLOADED
                and now_ms - order.sent_ms >= ORDER_TIMEOUT_MS
            ):
                order.state = OrderState.IN_DOUBT
                due.append(order)
        return due

    def observe(
        self, rows: Mapping[str, UpstreamRow], incarnations: Mapping[str, str]
    ) -> list[tuple[Order, Outcome]]:
        """Compare the orders with the latest announcements.

        Confirmed loads, fenced orders and orders for a past incarnation leave the table. A
        confirmed unload stays in state ``unloaded`` until :meth:`remove`, after its reservation
        has ended.

        :param rows: announcements by upstream id.
        :param incarnations: registered incarnation by upstream id.
        :return: orders whose outcome became known.
        """
        outcomes = []
        for order in self.orders():
            outcome = self._outcome(order, rows.get(order.step.upstream_id), incarnations)
            if outcome is None:
                continue
            if outcome is Outcome.UNLOADED:
                order.state = OrderState.UNLOADED
            else:
                self.remove(order)
            outcomes.append((order, outcome))
        self._record_sequences(rows.values())
        return outcomes

    def _outcome(
        self, order: Order, row: UpstreamRow | None, incarnations: Mapping[str, str]
    ) -> Outcome | None:
        step = order.step
        registered = incarnations.get(step.upstream_id)
        if registered is not None and registered != step.incarnation:
            return Outcome.INCARNATION_GONE
        if row is None or row.incarnation != step.incarnation or order.state is OrderState.UNLOADED:
            return None
        if row.sequence < self._sequences.get((step.upstream_id, row.incarnation), 0):
            return None
        states = {item.name: item.state for item in row.loaded}
        token_seen = row.highest_fencing_token >= order.fencing_token
        if step.kind is StepKind.LOAD:
            if states.get(step.item) == "loaded" and (token_seen or not row.checks_fencing):
                return Outcome.LOADED
            is_superseded = row.highest_fencing_token > order.fencing_token
            return Outcome.FENCED if is_superseded and step.item not in states else None
        # The absence of the item confirms the unload only together with the token. Otherwise a
        # delayed load with a lower token could use the memory again.
        if order.order_id in row.ended_order_ids or (token_seen and step.item not in states):
            return Outcome.UNLOADED
        is_superseded = row.highest_fencing_token > order.fencing_token and not order.accepted
        return Outcome.FENCED if is_superseded else None

    def _record_sequences(self, rows: Iterable[UpstreamRow]) -> None:
        earlier = self._sequences
        self._sequences = {
            key: max(row.sequence, earlier.get(key, 0))
            for row in rows
            for key in [(row.upstream_id, row.incarnation)]
        }
