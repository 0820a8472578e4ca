"""Provide views, engines, a reference ledger and an unreliable network for placement tests."""

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
    """Return a configuration with models by size, allowed everywhere unless overridden."""
    made = {name: Model(size, ("*",)) for name, size in models.items()} | overrides
    beside = {name: Adapter(model, size) for name, (model, size) in (adapters or {}).items()}
    return Configuration(models=made, adapters=beside, placement=placement)


def demand(**tokens_per_second: float) -> dict[str, ModelDemand]:
    """Return demand by item."""
    return {name: ModelDemand(rate / 460.0, rate) for name, rate in tokens_per_second.items()}


@attrs.define
class World:
    """Build a view by hand: rows and reservations agree unless a test makes them differ."""

    config: Configuration
    rows: dict[str, UpstreamRow] = attrs.field(factory=dict)
    reservations: dict[tuple[str, str], Reservation] = attrs.field(factory=dict)
    demand: dict[str, ModelDemand] = attrs.field(factory=dict)
    term: int = 1

    def engine(
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
            self.reserve(upstream_id, name, size)
        row = FakeEngine(upstream_id, capacity, checks_fencing).row()
        self.rows[upstream_id] = attrs.evolve(row, lifecycle=lifecycle, loaded=items)

    def reserve(self, upstream_id: str, item: str, size: int) -> None:
        """Add a reservation for the engine's first incarnation."""
        self.reservations[upstream_id, item] = Reservation(
            upstream_id, f"{upstream_id}-1", item, size, "order-0-0", 0
        )

    def view(self, **changes: object) -> PlacementView:
        """Return the view."""
        known = {i: registration(row) for i, row in self.rows.items()}
        view = PlacementView(
            1, self.config, known, dict(self.reservations), dict(self.rows), self.demand, self.term
        )
        return attrs.evolve(view, **changes)

    def _size(self, name: str) -> int:
        found = self.config.models.get(name) or self.config.adapters[name]
        return found.size_bytes


def registration(row: UpstreamRow) -> UpstreamRegistration:
    """Return the registration that belongs to a row."""
    return UpstreamRegistration(
        row.upstream_id, row.incarnation, row.kind, row.capacity_bytes, row.checks_fencing
    )


def steps_of(view: PlacementView, now_ms: float = 0.0) -> list[tuple[str, str, str]]:
    """Return the plan as (kind, upstream, item)."""
    return [(s.kind.value, s.upstream_id, s.item) for s in plan(view, now_ms)]


@attrs.define
class FakeEngine:
    """Count the true memory of one engine, which refuses nothing for lack of memory."""

    upstream_id: str
    capacity: int
    checks_fencing: bool
    incarnation_number: int = 1
    items: dict[str, LoadedItem] = attrs.field(factory=dict)
    highest: int = 0
    ended: list[str] = attrs.field(factory=list)
    sequence: int = 0

    @property
    def incarnation(self) -> str:
        """Return the identity of the current process."""
        return f"{self.upstream_id}-{self.incarnation_number}"

    @property
    def used(self) -> int:
        """Return the memory in use."""
        return sum(item.size_bytes for item in self.items.values())

    def restart(self) -> None:
        """Come back empty under a new incarnation."""
        self.incarnation_number += 1
        self.items, self.ended, self.highest = {}, [], 0

    def take(self, order: Order) -> str:
        """Run an order as an engine does; return ``taken`` or ``fenced``."""
        step = order.step
        if step.incarnation != self.incarnation:
            return "fenced"
        if self.checks_fencing and order.fencing_token < self.highest:
            return "fenced"
        self.highest = max(self.highest, order.fencing_token)
        if step.kind is StepKind.LOAD:
            if step.item not in self.items:
                self.items[step.item] = LoadedItem(
                    step.item, step.size_bytes, order.order_id, "loading"
                )
        else:
            self.items.pop(step.item, None)
            self.ended = [*self.ended, order.order_id][-4:]
        return "taken"

    def finish_loads(self) -> None:
        """Complete every load."""
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
            capacity_bytes=self.capacity,
            checks_fencing=self.checks_fencing,
            highest_fencing_token=self.highest,
            ended_order_ids=list(self.ended),
            sequence=self.sequence,
        )


@attrs.define
class ReferenceLedger:
    """Keep reservations by the rules of the design's section on accelerator memory."""

    registrations: dict[str, UpstreamRegistration] = attrs.field(factory=dict)
    reservations: dict[tuple[str, str], Reservation] = attrs.field(factory=dict)

    def register(self, row: UpstreamRow) -> None:
        """Take a new incarnation and forget the reservations of the earlier one."""
        known = self.registrations.get(row.upstream_id)
        if known is not None and known.incarnation != row.incarnation:
            self.reservations = {
                key: r for key, r in self.reservations.items() if key[0] != row.upstream_id
            }
        self.registrations[row.upstream_id] = registration(row)

    def reserve(self, wanted: Reservation) -> Result[None, Failure]:
        """Commit a reservation that fits; an item that is reserved already needs no new memory."""
        known = self.registrations[wanted.upstream_id]
        if known.incarnation != wanted.incarnation:
            return Err(Failure(ErrorKind.FENCED, "incarnation is gone"))
        others = sum(
            r.size_bytes
            for (upstream_id, item), r in self.reservations.items()
            if upstream_id == wanted.upstream_id and item != wanted.item
        )
        if others + wanted.size_bytes > known.capacity_bytes:
            return Err(Failure(ErrorKind.MEMORY_EXHAUSTED, "does not fit"))
        self.reservations[wanted.upstream_id, wanted.item] = wanted
        return Ok(None)

    def view(
        self, config: Configuration, rows: dict[str, UpstreamRow], term: int = 1, **rates: float
    ) -> PlacementView:
        """Return the view of a leader; demand is given as tokens per second by item."""
        known, held = dict(self.registrations), dict(self.reservations)
        return PlacementView(1, config, known, held, dict(rows), demand(**rates), term)

    def end(
        self, upstream_id: str, incarnation: str, item: str, fencing_token: int
    ) -> Result[None, Failure]:
        """End a reservation, unless the engine could still run the load."""
        known = self.registrations[upstream_id]
        if known.incarnation != incarnation:
            return Ok(None)
        if not known.checks_fencing:
            return Err(Failure(ErrorKind.FENCED, "memory stays held until a restart"))
        held = self.reservations.get((upstream_id, item))
        if held is not None and fencing_token <= held.fencing_token:
            return Err(Failure(ErrorKind.FENCED, "the load could still run after the unload"))
        self.reservations.pop((upstream_id, item), None)
        return Ok(None)


@attrs.define
class Leader:
    """Drive a coordinator against the ledger; sent orders go to ``outbox``."""

    ledger: ReferenceLedger
    term: int
    coordinator: Coordinator = attrs.field(factory=Coordinator)
    outbox: list[Order] = attrs.field(factory=list)

    def tick(self, view: PlacementView, now_ms: float) -> None:
        """Do what the runner does in one tick, with immediate commits."""
        asked, _ = self.coordinator.observe(view, now_ms)
        due = self.coordinator.due(view, now_ms)
        for order in [*due, *self.coordinator.accept(view, plan(asked, now_ms), now_ms)]:
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
            self.outbox.append(order)

    def answer(self, order: Order, text: str, now_ms: float) -> None:
        """Feed an engine's answer back."""
        if text == "taken":
            order.accepted = True
        else:
            self.coordinator.drop(order, ErrorKind.FENCED, now_ms)
