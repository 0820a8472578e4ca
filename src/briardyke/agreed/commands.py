"""Define the commands of the control group's state machine and their outcomes."""

from __future__ import annotations

from typing import Any

import attrs
from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure
from briardyke.wire.codec import decode, encode, message


@message
@attrs.frozen
class PatchConfiguration:
    """Change the configuration.

    :param request_id: id of the operator's request; a retry carries the same id.
    :param operator: operator that sends the patch.
    :param base_version: version that the patch was written against.
    :param patch: JSON Merge Patch.
    :param wall_unix_ms: wall time at the proposer, in milliseconds since the Unix epoch.
    """

    request_id: str
    operator: str
    base_version: int
    patch: dict[str, Any]
    wall_unix_ms: int


@message
@attrs.frozen
class RegisterUpstream:
    """Register an upstream that has announced itself; a new incarnation replaces the old one.

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


@message
@attrs.frozen
class ForgetUpstream:
    """Remove the registration of an upstream that is not expected to return.

    :param upstream_id: id of the upstream.
    :param incarnation: incarnation to remove; refused when another one is registered.
    """

    upstream_id: str
    incarnation: str


@message
@attrs.frozen
class ReserveMemory:
    """Reserve accelerator memory before a load order is sent.

    :param upstream_id: upstream that will load the item.
    :param incarnation: incarnation that the order is meant for.
    :param item: model or adapter name.
    :param size_bytes: memory of the item.
    :param order_id: id of the load order.
    :param fencing_token: fencing token of that order.
    """

    upstream_id: str
    incarnation: str
    item: str
    size_bytes: int
    order_id: str
    fencing_token: int


@message
@attrs.frozen
class EndReservation:
    """Record that an upstream confirmed the unload of an item.

    :param upstream_id: upstream that unloaded the item.
    :param incarnation: incarnation that confirmed the unload.
    :param item: model or adapter name.
    :param fencing_token: fencing token of the unload order.
    """

    upstream_id: str
    incarnation: str
    item: str
    fencing_token: int


@message
@attrs.frozen
class PatchAccepted:
    """Report an accepted patch.

    :param version: number of the new version.
    """

    version: int


@message
@attrs.frozen
class CommandAccepted:
    """Report that a registration, its removal or a reservation is in the replicated state."""


@message
@attrs.frozen
class ReservationEnded:
    """Report the end of a reservation.

    :param freed: whether its memory was freed; it stays reserved on an engine that ignores
        fencing tokens.
    """

    freed: bool


@message
@attrs.frozen
class CommandRefused:
    """Report that a command changed nothing.

    :param kind: value of an :class:`~briardyke.errors.ErrorKind`.
    :param message: one sentence that explains the refusal.
    :param field: offending field, empty when none applies.
    :param reasons: all reasons, each with the path of its field.
    :param current_version: configuration version when a patch was refused; 0 when none applies.
    """

    kind: str
    message: str
    field: str = ""
    reasons: list[str] = attrs.field(factory=list)
    current_version: int = 0

    def failure(self) -> Failure:
        """Return the refusal as a failure."""
        reasons = tuple(self.reasons)
        return Failure(ErrorKind(self.kind), self.message, self.field, reasons=reasons)


Outcome = PatchAccepted | CommandAccepted | ReservationEnded | CommandRefused


def refuse(kind: ErrorKind, text: str, field: str = "") -> CommandRefused:
    """Return a refusal that has a message only, without a list of reasons."""
    return CommandRefused(kind.value, text, field)


def decode_outcome(data: bytes) -> Result[Any, Failure]:
    """Decode the result of an applied command.

    :param data: bytes that the state machine's ``apply`` returned.
    :return: the outcome, or a refusal as a failure.
    """
    decoded = decode(data)
    if decoded.is_err():
        return decoded
    outcome = decoded.unwrap()
    if isinstance(outcome, CommandRefused):
        return Err(outcome.failure())
    return Ok(outcome)


def replace_wall_time(command: bytes, wall_unix_ms: int) -> bytes:
    """Return a command with the leader's wall time in place of the sender's.

    :param command: encoded command; a command without a wall time is returned unchanged.
    :param wall_unix_ms: the leader's wall time, in milliseconds since the Unix epoch.
    """
    value: Any = decode(command).unwrap_or(None)
    if not hasattr(value, "wall_unix_ms"):
        return command
    return encode(attrs.evolve(value, wall_unix_ms=wall_unix_ms))
