"""Compute the held memory of each engine from reservations, announcements and pending orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.placement.types import StepKind

if TYPE_CHECKING:
    from briardyke.placement.types import PlacementView


@attrs.define
class EngineMemory:
    """Describe the memory of a live engine in its current incarnation.

    :param upstream_id: id of the engine.
    :param incarnation: its current incarnation.
    :param capacity_bytes: memory for models and adapters.
    :param checks_fencing: whether an unload can free memory.
    :param ready: whether it accepts new work.
    :param sizes: size in bytes of every item that holds memory, by name.
    :param loaded: items announced as loaded.
    :param loading: items announced as loading.
    :param held_bytes: sum of the sizes.
    """

    upstream_id: str
    incarnation: str
    capacity_bytes: int
    checks_fencing: bool
    ready: bool
    sizes: dict[str, int]
    loaded: set[str]
    loading: set[str]
    held_bytes: int = 0

    @property
    def free_bytes(self) -> int:
        """Return the memory that a new reservation may take."""
        return self.capacity_bytes - self.held_bytes


def live_engines(view: PlacementView) -> dict[str, EngineMemory]:
    """Return the engines that are live and registered under the announced incarnation.

    An item holds memory when it is reserved, announced or part of a pending load. Announcements
    alone would miss an order that is still in transit. An engine that ignores fencing tokens keeps
    all its reservations until it restarts, because the ledger ends none of them earlier.

    :param view: inputs of placement.
    :return: engines by upstream id, in the order of their ids.
    """
    engines: dict[str, EngineMemory] = {}
    for upstream_id in sorted(view.upstreams):
        row = view.upstreams[upstream_id]
        registration = view.registrations.get(upstream_id)
        if (
            registration is None
            or row.kind != "engine"
            or registration.incarnation != row.incarnation
        ):
            continue
        capacity = registration.capacity_bytes
        if 0 < row.capacity_bytes < capacity:
            capacity = row.capacity_bytes
        engines[upstream_id] = EngineMemory(
            upstream_id,
            row.incarnation,
            capacity,
            registration.checks_fencing and row.checks_fencing,
            row.lifecycle == "ready",
            {item.name: item.size_bytes for item in row.loaded},
            {item.name for item in row.loaded if item.state == "loaded"},
            {item.name for item in row.loaded if item.state != "loaded"},
        )
    for (upstream_id, item), reservation in view.reservations.items():
        engine = engines.get(upstream_id)
        if engine is not None and reservation.incarnation == engine.incarnation:
            engine.sizes[item] = max(engine.sizes.get(item, 0), reservation.size_bytes)
    for (upstream_id, item), order in view.pending.items():
        engine = engines.get(upstream_id)
        if engine is not None and order.kind is StepKind.LOAD:
            engine.sizes[item] = max(engine.sizes.get(item, 0), order.size_bytes)
    for engine in engines.values():
        engine.held_bytes = sum(engine.sizes.values())
    return engines
