"""Provide views, fake engines, a reference ledger and a simulated leader for placement tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from briardyke.agreed.configuration import Adapter, Configuration, Model, PlacementSettings
from briardyke.agreed.records import Reservation, UpstreamRegistration
from briardyke.errors import ErrorKind, Failure
from briardyke.placement.coordinator import Coordinator, reservation_of
from briardyke.placement.orders import Order, OrderState
from briardyke.placement.plan import plan
from briardyke.placement.types import PlacementView, StepKind
from briardyke.wire.messages import LoadedItem, ModelDemand, UpstreamRow

if TYPE_CHECKING:
    from collections.abc import Sequence

FAST_STORE = PlacementSettings(store_loads_per_second=1000.0, store_concurrent_loads=100)


def configuration(
    models: dict[str, int],
    adapters: dict[str, tuple[str, int]] | None = None,
    placement: PlacementSettings = FAST_STORE,
    **overrides: Model,
) -> Configuration:
    """Return a configuration with models of the given sizes, allowed on all engines by default."""
    all_models = {name: Model(size, ("*",)) for name, size in models.items()} | overrides
    all_adapters = {name: Adapter(model, size) for name, (model, size) in (adapters or {}).items()}
    return Configuration(models=all_models, adapters=all_adapters, placement=placement)


def demand(**tokens_per_second: float) -> dict[str, ModelDemand]:
    """Return the demand for items, given in tokens per second."""
    return {name: ModelDemand(rate / 460.0, rate) for name, rate in tokens_per_second.items()}


@attrs.define
class ViewBuilder:
    """Build a view whose announcements and reservations agree unless a test changes one of them."""

    config: Configuration
    rows: dict[str, UpstreamRow] = attrs.field(factory=dict)
    reservations: dict[tuple[str, str], Reservation] = attrs.field(factory=dict)
    demand: dict[str, ModelDemand] = attrs.field(factory=dict)
    term: int = 1

    def add_engine(
        self,
        upstream_id: str,
        capacity: int,
        loaded: Sequence[str] = (),
        *,
        checks_fencing: bool = True,
        lifecycle: str = "ready",
        sizes: dict[str, int] | None = None,
    ) -> None:
        """Add an engine that has items loaded under reservations."""
        items = []
        for name in loaded:
            size = (sizes or {}).get(name) or self._size(name)
            items.append(LoadedItem(name, size, "order-0-0", "loaded"))
            self.add_reservation(upstream_id, name, size)
        row = FakeEngine(upstream_id, capacity, checks_fencing).row()
        self.rows[upstream_id] = attrs.evolve(row, lifecycle=lifecycle, loaded=items)

    def add_reservation(self, upstream_id: str, item: str, size: int) -> None:
        """Add a reservation for the engine's first incarnation."""
        self.reservations[upstream_id, item] = Reservation(
            upstream_id, f"{upstream_id}-1", item, size, "order-0-0", 0
        )

    def view(self, **changes: object) -> PlacementView:
        """Return the view."""
        registrations = {i: registration(row) for i, row in self.rows.items()}
        view = PlacementView(
            1,
            self.config,
            registrations,
            dict(self.reservations),
            dict(self.rows),
            self.demand,
            self.term,
        )
        return attrs.evolve(view, **changes)

    def _size(self, name: str) -> int:
        found = self.config.models.get(name) or self.config.adapters[name]
        return found.size_bytes


def registration(row: UpstreamRow) -> UpstreamRegistration:
    """Return the registration that matches an announcement."""
    return UpstreamRegistration(
        row.upstream_id, row.incarnation, row.kind, row.capacity_bytes, row.checks_fencing
    )


def steps_of(view: PlacementView, now_ms: float = 0.0) -> list[tuple[str, str, str]]:
    """Return the planned steps as (kind, upstream id, item)."""
    return [(s.kind.value, s.upstream_id, s.item) for s in plan(view, now_ms)]


@attrs.define
class FakeEngine:
    """Track the actual memory of one engine, which does not refuse loads for lack of memory."""

    upstream_id: str
    capacity_bytes: int
    checks_fencing: bool
    incarnation_number: int = 1
    items: dict[str, LoadedItem] = attrs.field(factory=dict)
    highest_fencing_token: int = 0
    ended_order_ids: list[str] = attrs.field(factory=list)
    sequence: int = 0

    @property
    def incarnation(self) -> str:
        """Return the current incarnation."""
        return f"{self.upstream_id}-{self.incarnation_number}"

    @property
    def used_bytes(self) -> int:
        """Return the memory in use."""
        return sum(item.size_bytes for item in self.items.values())

    def restart(self) -> None:
        """Restart without items under a new incarnation."""
        self.incarnation_number += 1
        self.items, self.ended_order_ids, self.highest_fencing_token = {}, [], 0

    def execute(self, order: Order) -> str:
        """Execute an order as an engine does; return ``accepted`` or ``fenced``."""
        step = order.step
        if step.incarnation != self.incarnation:
            return "fenced"
        if self.checks_fencing and order.fencing_token < self.highest_fencing_token:
            return "fenced"
        self.highest_fencing_token = max(self.highest_fencing_token, order.fencing_token)
        if step.kind is StepKind.LOAD:
            if step.item not in self.items:
                self.items[step.item] = LoadedItem(
                    step.item, step.size_bytes, order.order_id, "loading"
                )
        else:
            self.items.pop(step.item, None)
            self.ended_order_ids = [*self.ended_order_ids, order.order_id][-4:]
        return "accepted"

    def finish_loads(self) -> None:
        """Complete all loads."""
        self.items = {n: attrs.evolve(i, state="loaded") for n, i in self.items.items()}

    def row(self) -> UpstreamRow:
        """Return the next announcement."""
        self.sequence += 1
        return UpstreamRow(
            self.upstream_id,
            self.incarnation,
            "engine",
            "127.0.0.1:1",
            "dc",
            loaded=list(self.items.values()),
            capacity_bytes=self.capacity_bytes,
            checks_fencing=self.checks_fencing,
            highest_fencing_token=self.highest_fencing_token,
            ended_order_ids=list(self.ended_order_ids),
            sequence=self.sequence,
        )


@attrs.define
class ReferenceLedger:
    """Apply the rules for reservations of accelerator memory that the design describes."""

    registrations: dict[str, UpstreamRegistration] = attrs.field(factory=dict)
    reservations: dict[tuple[str, str], Reservation] = attrs.field(factory=dict)

    def register(self, row: UpstreamRow) -> None:
        """Register an incarnation and drop the reservations of an earlier one."""
        registered = self.registrations.get(row.upstream_id)
        if registered is not None and registered.incarnation != row.incarnation:
            self.reservations = {
                key: r for key, r in self.reservations.items() if key[0] != row.upstream_id
            }
        self.registrations[row.upstream_id] = registration(row)

    def reserve(self, reservation: Reservation) -> Result[None, Failure]:
        """Commit a reservation that fits; one for the same item is replaced."""
        registered = self.registrations[reservation.upstream_id]
        if registered.incarnation != reservation.incarnation:
            return Err(Failure(ErrorKind.FENCED, "the incarnation is not registered"))
        others = sum(
            r.size_bytes
            for (upstream_id, item), r in self.reservations.items()
            if upstream_id == reservation.upstream_id and item != reservation.item
        )
        if others + reservation.size_bytes > registered.capacity_bytes:
            return Err(Failure(ErrorKind.MEMORY_EXHAUSTED, "the reservation does not fit"))
        self.reservations[reservation.upstream_id, reservation.item] = reservation
        return Ok(None)

    def view(
        self, config: Configuration, rows: dict[str, UpstreamRow], term: int = 1, **rates: float
    ) -> PlacementView:
        """Return the view of a leader; demand is given as tokens per second by item."""
        registrations, reservations = dict(self.registrations), dict(self.reservations)
        return PlacementView(
            1, config, registrations, reservations, dict(rows), demand(**rates), term
        )

    def end(
        self, upstream_id: str, incarnation: str, item: str, fencing_token: int
    ) -> Result[None, Failure]:
        """End a reservation unless the engine could still execute its load."""
        registered = self.registrations[upstream_id]
        if registered.incarnation != incarnation:
            return Ok(None)
        if not registered.checks_fencing:
            return Err(Failure(ErrorKind.FENCED, "the memory stays reserved until a restart"))
        reservation = self.reservations.get((upstream_id, item))
        if reservation is not None and fencing_token <= reservation.fencing_token:
            return Err(
                Failure(ErrorKind.FENCED, "the load could still be executed after the unload")
            )
        self.reservations.pop((upstream_id, item), None)
        return Ok(None)


@attrs.define
class Leader:
    """Run a coordinator against the ledger and collect its orders in :attr:`sent_orders`."""

    ledger: ReferenceLedger
    term: int
    coordinator: Coordinator = attrs.field(factory=Coordinator)
    sent_orders: list[Order] = attrs.field(factory=list)

    def tick(self, view: PlacementView, now_ms: float) -> None:
        """Do what the runner does in one tick, but commit immediately."""
        planning_view, _ = self.coordinator.observe(view, now_ms)
        due = self.coordinator.due(view, now_ms)
        for order in [*due, *self.coordinator.accept(view, plan(planning_view, now_ms), now_ms)]:
            step = order.step
            if not self.coordinator.is_current(order, view):
                continue
            if order.state is OrderState.UNLOADED:
                ended = self.ledger.end(
                    step.upstream_id, step.incarnation, step.item, order.fencing_token
                )
                if ended.is_ok():
                    self.coordinator.finish(order)
                continue
            if step.kind is StepKind.LOAD and not order.reserved:
                committed = self.ledger.reserve(reservation_of(order))
                if isinstance(committed, Err):
                    self.coordinator.drop(order, committed.err_value.kind, now_ms)
                    continue
                order.reserved = True
            if self.coordinator.would_remove_last_replica(order, view):
                self.coordinator.finish(order)
                continue
            self.coordinator.mark_sent(order, now_ms)
            self.sent_orders.append(order)

    def answer(self, order: Order, outcome: str, now_ms: float) -> None:
        """Apply an engine's answer to an order."""
        if outcome == "accepted":
            order.accepted = True
        else:
            self.coordinator.drop(order, ErrorKind.FENCED, now_ms)
