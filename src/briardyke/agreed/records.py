"""Define the replicated records of upstreams and their accelerator memory."""

from __future__ import annotations

import attrs


@attrs.frozen
class UpstreamRegistration:
    """Record an upstream that has announced itself.

    :param upstream_id: id that the upstream announced.
    :param incarnation: id of its current process.
    :param kind: ``engine`` or ``service``.
    :param capacity_bytes: accelerator memory for models and adapters.
    :param checks_fencing: whether it refuses orders with an old fencing token.
    """

    upstream_id: str
    incarnation: str
    kind: str
    capacity_bytes: int
    checks_fencing: bool


@attrs.frozen
class Reservation:
    """Record memory that is reserved for one item on one upstream incarnation.

    :param upstream_id: upstream that has the memory.
    :param incarnation: incarnation that the order was meant for.
    :param item: model or adapter name.
    :param size_bytes: reserved memory.
    :param order_id: id of the latest load order for the item.
    :param fencing_token: fencing token of that order.
    """

    upstream_id: str
    incarnation: str
    item: str
    size_bytes: int
    order_id: str
    fencing_token: int
