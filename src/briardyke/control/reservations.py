"""Commit placement's memory reservations to the control group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from briardyke.agreed.commands import EndReservation, ReserveMemory, decode_outcome
from briardyke.wire.codec import encode

if TYPE_CHECKING:
    from briardyke.agreed.records import Reservation
    from briardyke.control.proposer import GroupProposer
    from briardyke.errors import Failure

_TIMEOUT_MS = 2000


class ReservationProposer:
    """Commit reservations; they are refused unless this process leads the control group."""

    def __init__(self, proposer: GroupProposer) -> None:
        """Use the control group's proposer."""
        self._proposer = proposer

    async def reserve(self, reservation: Reservation) -> Result[None, Failure]:
        """Commit a reservation; ``memory_exhausted`` means that it does not fit."""
        command = ReserveMemory(**attrs.asdict(reservation))
        return await self._commit(encode(command))

    async def end(
        self, upstream_id: str, incarnation: str, item: str, fencing_token: int
    ) -> Result[None, Failure]:
        """Commit the end of a reservation after the engine confirmed the unload."""
        command = EndReservation(upstream_id, incarnation, item, fencing_token)
        return await self._commit(encode(command))

    async def _commit(self, command: bytes) -> Result[None, Failure]:
        applied = await self._proposer.propose_as_leader(command, _TIMEOUT_MS)
        outcome = applied.and_then(decode_outcome)
        return Err(outcome.unwrap_err()) if outcome.is_err() else Ok(None)
