"""Define the inputs and results of placement decisions, and the interface of the ledger."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

import attrs

from briardyke.agreed.configuration import Configuration
from briardyke.agreed.records import Reservation, UpstreamRegistration
from briardyke.wire.messages import ModelDemand, UpstreamRow

if TYPE_CHECKING:
    from result import Result

    from briardyke.errors import Failure


class StepKind(Enum):
    """List the kinds of placement steps."""

    LOAD = "load"
    UNLOAD = "unload"


@attrs.frozen
class Step:
    """Describe one change to an upstream's memory.

    :param kind: load or unload.
    :param upstream_id: upstream that the step changes.
    :param incarnation: incarnation that the step was decided for.
    :param item: model or adapter name.
    :param size_bytes: memory of the item.
    """

    kind: StepKind
    upstream_id: str
    incarnation: str
    item: str
    size_bytes: int


@attrs.frozen
class PendingOrder:
    """Describe an order that the engine has not confirmed yet.

    :param kind: load or unload.
    :param size_bytes: memory of the item, held even before its reservation is visible.
    :param since_ms: time at which the order was created, by :func:`briardyke.clock.now_ms`.
    """

    kind: StepKind
    size_bytes: int
    since_ms: float


# The largest supported deployment generates 23 million tokens per second on 10,000 engines.
ENGINE_TOKENS_PER_SECOND = 2300.0


@attrs.frozen
class PlacementView:
    """Hold the inputs of a placement decision.

    :param version: number of the configuration.
    :param configuration: configuration in force.
    :param registrations: agreed registrations by upstream id.
    :param reservations: agreed reservations by upstream id and item.
    :param upstreams: latest announcements by id, of live upstreams only.
    :param demand: demand over all entry instances, by model or adapter name.
    :param term: term of the leader, the upper half of new fencing tokens.
    :param pending: unconfirmed orders of this leader by upstream id and item; set by the
        coordinator.
    :param blocked: upstream ids and items that were refused recently; set by the coordinator.
    :param engine_tokens_per_second: throughput of one engine within the latency targets.
    """

    version: int
    configuration: Configuration
    registrations: dict[str, UpstreamRegistration]
    reservations: dict[tuple[str, str], Reservation]
    upstreams: dict[str, UpstreamRow]
    demand: dict[str, ModelDemand]
    term: int
    pending: dict[tuple[str, str], PendingOrder] = attrs.field(factory=dict)
    blocked: frozenset[tuple[str, str]] = frozenset()
    engine_tokens_per_second: float = ENGINE_TOKENS_PER_SECOND


class MemoryLedger(Protocol):
    """Commit reservations to the agreed state."""

    async def reserve(self, reservation: Reservation) -> Result[None, Failure]:
        """Commit a reservation; ``memory_exhausted`` means that it does not fit."""

    async def end(
        self, upstream_id: str, incarnation: str, item: str, fencing_token: int
    ) -> Result[None, Failure]:
        """Commit the end of a reservation after the engine confirmed the unload."""
