"""Tests for orders and their confirmation."""

from __future__ import annotations

import attrs
from placement_support import FakeEngine

from briardyke.placement.orders import ORDER_TIMEOUT_MS, Order, OrderState, OrderTable, Outcome
from briardyke.placement.types import Step, StepKind


def _step(kind: StepKind = StepKind.LOAD, item: str = "a") -> Step:
    return Step(kind, "e1", "e1-1", item, 1)


class TestOrderTable:
    """Guards against orders that are lost, confirmed too early or executed too late."""

    def setup_method(self) -> None:
        """Create a table and an engine."""
        self.table = OrderTable(3)
        self.engine = FakeEngine("e1", 4, True)

    def _observe(self) -> list[tuple[Order, Outcome]]:
        return self.table.observe({"e1": self.engine.row()}, {"e1": "e1-1"})

    def test_tokens_rise_within_and_across_terms(self) -> None:
        """Guards against an engine that accepts an order of an earlier leader."""
        tokens = [self.table.create(_step(item=i), 0.0).fencing_token for i in "abc"]
        assert tokens == sorted(set(tokens))
        assert OrderTable(4).create(_step(), 0.0).fencing_token > tokens[-1]

    def test_unconfirmed_order_is_repeated_unchanged(self) -> None:
        """Guards against a lost order, and against one that is executed twice."""
        order = self.table.create(_step(), 0.0)
        token = order.fencing_token
        self.table.mark_sent(order, 0.0)
        assert self.table.due(ORDER_TIMEOUT_MS - 1) == []
        assert self.table.due(ORDER_TIMEOUT_MS) == [order]
        assert (order.state, order.fencing_token) == (OrderState.IN_DOUBT, token)

    def test_load_is_confirmed_only_when_loaded_under_its_token(self) -> None:
        """Guards against confirmation by an announcement from before the order."""
        order = self.table.create(_step(), 0.0)
        self.table.mark_sent(order, 0.0)
        self.engine.execute(attrs.evolve(order, fencing_token=1))
        self.engine.finish_loads()
        assert self._observe() == []
        self.engine.execute(order)
        assert self._observe() == [(order, Outcome.LOADED)]
        assert len(self.table) == 0

    def test_absence_confirms_an_unload_only_together_with_its_token(self) -> None:
        """Guards against freeing memory that a delayed load uses again."""
        order = self.table.create(_step(StepKind.UNLOAD), 0.0)
        self.table.mark_sent(order, 0.0)
        assert self._observe() == []
        self.engine.execute(order)
        assert self._observe() == [(order, Outcome.UNLOADED)]
        assert order.state is OrderState.UNLOADED
        assert self.table.due(99_999.0) == []

    def test_superseded_order_is_dropped(self) -> None:
        """Guards against repeating an order that the engine always refuses."""
        order = self.table.create(_step(), 0.0)
        later = self.table.create(_step(item="b"), 0.0)
        self.engine.execute(later)
        assert (order, Outcome.FENCED) in self._observe()

    def test_new_incarnation_drops_orders(self) -> None:
        """Guards against repeating orders to a process that has ended."""
        order = self.table.create(_step(), 0.0)
        outcomes = self.table.observe({}, {"e1": "e1-2"})
        assert outcomes == [(order, Outcome.INCARNATION_GONE)]

    def test_older_announcement_is_ignored(self) -> None:
        """Guards against confirmation by announcements that arrive out of order."""
        old = self.engine.row()
        self._observe()
        order = self.table.create(_step(StepKind.UNLOAD), 0.0)
        stale = attrs.evolve(old, highest_fencing_token=order.fencing_token)
        assert self.table.observe({"e1": stale}, {"e1": "e1-1"}) == []
