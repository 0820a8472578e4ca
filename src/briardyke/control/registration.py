"""Register announced upstreams, and the items they started with, in the agreed state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.agreed.commands import RegisterUpstream, ReserveMemory, decode_outcome
from briardyke.logs import log_event, log_warning
from briardyke.wire.codec import encode

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardyke.agreed.projection import Projection
    from briardyke.control.proposer import GroupProposer
    from briardyke.wire.messages import LoadedItem, UpstreamRow

_TIMEOUT_MS = 2000


class UpstreamRegistrar:
    """Register new incarnations and reserve memory for items that were loaded without an order.

    An engine may start with items in its memory. They take memory like any other item, so they
    are reserved before placement may use the remaining memory.
    """

    def __init__(self, projection: Projection, proposer: GroupProposer) -> None:
        """Use the agreed state and the control group's proposer."""
        self._projection = projection
        self._proposer = proposer

    async def propose_missing(self, rows: Iterable[UpstreamRow]) -> None:
        """Propose missing registrations and reservations for the given live upstreams."""
        for row in rows:
            registration = self._projection.upstreams.get(row.upstream_id)
            if registration is None or registration.incarnation != row.incarnation:
                await self._register(row)
            else:
                for item in row.loaded:
                    if (row.upstream_id, item.name) not in self._projection.reservations:
                        await self._reserve_loaded(row, item)

    async def _register(self, row: UpstreamRow) -> None:
        command = RegisterUpstream(
            row.upstream_id, row.incarnation, row.kind, row.capacity_bytes, row.checks_fencing
        )
        applied = await self._proposer.propose_as_leader(encode(command), _TIMEOUT_MS)
        outcome = applied.and_then(decode_outcome)
        if outcome.is_ok():
            log_event("upstream_registered", upstream=row.upstream_id, incarnation=row.incarnation)
        else:
            failure = outcome.unwrap_err()
            log_warning(
                "upstream_not_registered", upstream=row.upstream_id, kind=failure.kind.value
            )

    async def _reserve_loaded(self, row: UpstreamRow, item: LoadedItem) -> None:
        command = ReserveMemory(
            upstream_id=row.upstream_id,
            incarnation=row.incarnation,
            item=item.name,
            size_bytes=item.size_bytes,
            order_id=item.order_id or "adopted",
            fencing_token=row.highest_fencing_token,
        )
        applied = await self._proposer.propose_as_leader(encode(command), _TIMEOUT_MS)
        outcome = applied.and_then(decode_outcome)
        if outcome.is_err():
            log_warning(
                "loaded_item_not_reserved",
                upstream=row.upstream_id,
                item=item.name,
                kind=outcome.unwrap_err().kind.value,
            )
