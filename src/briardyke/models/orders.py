"""Define the orders that engines accept and the outcomes that they answer."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.fleet.records import Upstream
    from briardyke.models.engine_state import EngineReport


class OrderOutcome(Enum):
    """List the outcomes of an order.

    ``HELD_ALREADY`` means that the order needs no further work: what it loads is held already, or
    what it unloads is gone.
    """

    ACCEPTED = "accepted"
    HELD_ALREADY = "held_already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class EngineOrder:
    """Describe an order to load or unload a model or an adapter.

    :param is_load: whether the engine loads or unloads.
    :param model: name of the model.
    :param adapter: name of one of its adapters, or empty for the model itself.
    :param expected_sequence: number of orders that the engine has accepted before. The engine
        refuses any other number, so that an order that arrives late changes nothing.
    :param instance_id: name of the control instance that sends the order.
    :param fencing_token: term of the leader; the engine refuses a lower one than it has seen.
    """

    is_load: bool
    model: str
    adapter: str
    expected_sequence: int
    instance_id: str
    fencing_token: int


class EngineClient(Protocol):
    """Send orders to engines and read their reports."""

    async def send_order(
        self, row: Upstream, order: EngineOrder, may_send: Callable[[], bool]
    ) -> OrderOutcome:
        """Send an order; return ``UNKNOWN`` when the engine may still execute it.

        :param may_send: called right before the order is sent, since leadership can be lost while a
            connection is opened; the outcome is then ``REFUSED``.
        """

    async def fetch_report(self, row: Upstream) -> EngineReport | None:
        """Return an engine's report, or ``None`` when it does not answer."""
