"""Define what placement sees and what it decides."""

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
    """Describe one change of an upstream's memory.

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
class PlacementView:
    """Hold everything that placement decides from.

    :param version: number of the configuration.
    :param configuration: configuration in force.
    :param registrations: agreed registrations by upstream id.
    :param reservations: agreed reservations by upstream id and item.
    :param upstreams: live upstreams by id; one that is silent is absent.
    :param demand: demand over all entry instances, by model or adapter name.
    :param term: leader's term, the first half of new fencing tokens.
    """

    version: int
    configuration: Configuration
    registrations: dict[str, UpstreamRegistration]
    reservations: dict[tuple[str, str], Reservation]
    upstreams: dict[str, UpstreamRow]
    demand: dict[str, ModelDemand]
    term: int


class MemoryLedger(Protocol):
    """Commit reservations to the agreed state."""

    async def reserve(self, reservation: Reservation) -> Result[None, Failure]:
        """Commit a reservation; ``memory_exhausted`` means that it does not fit."""

    async def end(self, upstream_id: str, incarnation: str, item: str) -> Result[None, Failure]:
        """Commit the end of a reservation after the engine confirmed the unload."""
