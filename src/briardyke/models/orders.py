"""Define the orders that engines take and how they answer."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.fleet.records import Upstream
    from briardyke.models.engine_state import EngineReport


class OrderOutcome(Enum):
    """List how an engine answers an order."""

    ACCEPTED = "accepted"
    HELD_ALREADY = "held_already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class EngineOrder:
    """Describe an order.

    :param is_load: whether something is loaded or unloaded.
    :param model: name of the model.
    :param adapter: name of one of its adapters, or empty for the model itself.
    :param expected_sequence: orders that the engine has accepted before; it refuses
        any other number, so that an order that arrives late changes nothing.
    :param instance_id: name of the instance that orders.
    :param fencing_token: token of its term; a lower one than the engine has seen is refused.
    """

    is_load: bool
    model: str
    adapter: str
    expected_sequence: int
    instance_id: str
    fencing_token: int


class EngineClient(Protocol):
    """Reach engines."""

    async def send_order(
        self, row: Upstream, order: EngineOrder, may_send: Callable[[], bool]
    ) -> OrderOutcome:
        """Send an order; ``UNKNOWN`` when it may be carried out now or later.

        :param may_send: asked right before the order leaves, since the permission to order can run
            out while a connection is opened; ``REFUSED`` when it has.
        """

    async def fetch_report(self, row: Upstream) -> EngineReport | None:
        """Return an engine's report, or ``None`` when it does not answer."""
