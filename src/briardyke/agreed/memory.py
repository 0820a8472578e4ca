"""Keep registered upstreams and the accelerator memory that is reserved on each of them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from briardyke.agreed.commands import (
    CommandAccepted,
    CommandRefused,
    EndReservation,
    ForgetUpstream,
    RegisterUpstream,
    ReservationEnded,
    ReserveMemory,
    refuse,
)
from briardyke.agreed.feasibility import FeasibilityChecker
from briardyke.agreed.parsing import MAX_INTEGER
from briardyke.agreed.records import Reservation, UpstreamRegistration
from briardyke.errors import ErrorKind
from briardyke.wire.codec import structure, unstructure

if TYPE_CHECKING:
    from collections.abc import Iterable

KINDS = ("engine", "service")
MAX_ID_LENGTH = 128
# Delayed registrations arrive within minutes; an upstream does not restart 32 times in that time.
MAX_RETIRED_INCARNATIONS = 32
# About five days of upstream replacements at the target size (4,000 per day).
MAX_FORGOTTEN_UPSTREAMS = 20_000


@attrs.frozen
class ForgottenUpstream:
    """Keep the reservations of a removed upstream in case the same process registers again.

    :param registration: its last registration.
    :param reservations: its reservations when it was removed.
    """

    registration: UpstreamRegistration
    reservations: list[Reservation]


class UpstreamMemoryTable:
    """Apply commands that register upstreams and reserve their memory."""

    def __init__(self) -> None:
        """Start without upstreams."""
        self.registrations: dict[str, UpstreamRegistration] = {}
        self.reservations: dict[tuple[str, str], Reservation] = {}
        self.feasibility = FeasibilityChecker(self.registrations)
        self._reservations_by_upstream: dict[str, dict[str, Reservation]] = {}
        self._forgotten: dict[str, ForgottenUpstream] = {}
        self._retired_incarnations: dict[str, list[str]] = {}

    def reserved_bytes(self, upstream_id: str) -> int:
        """Return the memory that is reserved on the upstream's current incarnation."""
        return sum(
            r.size_bytes for r in self._reservations_by_upstream.get(upstream_id, {}).values()
        )

    def register(self, command: RegisterUpstream) -> CommandAccepted | CommandRefused:
        """Register an upstream; a new incarnation ends the old one's reservations."""
        invalid = _check_registration(command)
        if invalid is not None:
            return invalid
        new = UpstreamRegistration(**attrs.asdict(command))
        upstream_id = new.upstream_id
        if new.incarnation in self._retired_incarnations.get(upstream_id, ()):
            return refuse(ErrorKind.FENCED, "a newer incarnation is registered", "incarnation")
        forgotten = self._forgotten.get(upstream_id)
        previous = forgotten.registration if forgotten else self.registrations.get(upstream_id)
        if previous is not None and previous.incarnation == new.incarnation:
            # Capacity and fencing support are fixed for a process: its memory was reserved on the
            # condition that they do not change.
            if previous != new:
                return refuse(
                    ErrorKind.FIELD_INVALID,
                    "registration of an incarnation cannot change",
                    "incarnation",
                )
            if forgotten is not None:
                del self._forgotten[upstream_id]
                self._store_registration(new)
                self._add_reservations(forgotten.reservations)
            return CommandAccepted()
        if previous is not None:
            self._forgotten.pop(upstream_id, None)
            self._retire(previous)
        self._store_registration(new)
        return CommandAccepted()

    def forget(self, command: ForgetUpstream) -> CommandAccepted | CommandRefused:
        """Remove an upstream; its reservations return if the same incarnation registers again."""
        if command.upstream_id not in self.registrations:
            return CommandAccepted()
        refusal = self._check_incarnation(command.upstream_id, command.incarnation)
        if refusal is not None:
            return refusal
        registration = self.registrations.pop(command.upstream_id)
        self.feasibility.upstreams_changed()
        reservations = self._remove_reservations(command.upstream_id)
        self._forgotten[command.upstream_id] = ForgottenUpstream(registration, reservations)
        if len(self._forgotten) > MAX_FORGOTTEN_UPSTREAMS:
            oldest = next(iter(self._forgotten))
            del self._forgotten[oldest]
            self._retired_incarnations.pop(oldest, None)
        return CommandAccepted()

    def reserve(self, command: ReserveMemory) -> CommandAccepted | CommandRefused:
        """Reserve memory for an item, or replace the load order of an existing reservation."""
        refusal = self._check_incarnation(command.upstream_id, command.incarnation)
        if refusal is not None:
            return refusal
        if not 0 <= command.size_bytes <= MAX_INTEGER:
            return refuse(ErrorKind.FIELD_INVALID, "size is out of range", "size_bytes")
        size_bytes = command.size_bytes
        reserved = self.reserved_bytes(command.upstream_id)
        current = self.reservations.get((command.upstream_id, command.item))
        if current is not None:
            if command.fencing_token < current.fencing_token:
                return refuse(
                    ErrorKind.FENCED, "a newer load order has reserved this item", "fencing_token"
                )
            # The engine may still execute the earlier order, with that order's size.
            size_bytes = max(size_bytes, current.size_bytes)
            reserved -= current.size_bytes
        capacity = self.registrations[command.upstream_id].capacity_bytes
        if reserved + size_bytes > capacity:
            text = f"{reserved} of {capacity} bytes are reserved; {size_bytes} more do not fit"
            return refuse(ErrorKind.MEMORY_EXHAUSTED, text, "size_bytes")
        fields = {**attrs.asdict(command), "size_bytes": size_bytes}
        self._add_reservations([Reservation(**fields)])
        return CommandAccepted()

    def end(self, command: EndReservation) -> ReservationEnded | CommandRefused:
        """End a reservation after an unload; free its memory only if earlier orders are fenced."""
        refusal = self._check_incarnation(command.upstream_id, command.incarnation)
        if refusal is not None:
            return refusal
        current = self.reservations.get((command.upstream_id, command.item))
        if current is None:
            return ReservationEnded(True)
        if not self.registrations[command.upstream_id].checks_fencing:
            return ReservationEnded(False)
        if command.fencing_token <= current.fencing_token:
            return refuse(
                ErrorKind.FENCED,
                "the unload order is not newer than the reservation",
                "fencing_token",
            )
        del self.reservations[command.upstream_id, command.item]
        del self._reservations_by_upstream[command.upstream_id][command.item]
        return ReservationEnded(True)

    def dump(self) -> dict[str, Any]:
        """Return the table as plain values for a snapshot."""
        return {
            "upstreams": unstructure(list(self.registrations.values())),
            "reservations": unstructure(list(self.reservations.values())),
            "forgotten": unstructure(list(self._forgotten.values())),
            "retired": self._retired_incarnations,
        }

    @classmethod
    def load(cls, values: dict[str, Any]) -> UpstreamMemoryTable:
        """Build the table from the output of :meth:`dump`."""
        table = cls()
        registrations = structure(values["upstreams"], list[UpstreamRegistration])
        forgotten = structure(values["forgotten"], list[ForgottenUpstream])
        table.registrations.update((r.upstream_id, r) for r in registrations)
        table._forgotten = {f.registration.upstream_id: f for f in forgotten}
        table._retired_incarnations = structure(values["retired"], dict[str, list[str]])
        table._add_reservations(structure(values["reservations"], list[Reservation]))
        return table

    def _check_incarnation(self, upstream_id: str, incarnation: str) -> CommandRefused | None:
        registration = self.registrations.get(upstream_id)
        if registration is None:
            return refuse(ErrorKind.NOT_FOUND, "upstream is not registered", "upstream_id")
        if registration.incarnation != incarnation:
            return refuse(ErrorKind.FENCED, "another incarnation is registered", "incarnation")
        return None

    def _store_registration(self, new: UpstreamRegistration) -> None:
        old = self.registrations.get(new.upstream_id)
        self.registrations[new.upstream_id] = new
        if old is None or (old.kind, old.capacity_bytes) != (new.kind, new.capacity_bytes):
            self.feasibility.upstreams_changed()

    def _retire(self, registration: UpstreamRegistration) -> None:
        self._remove_reservations(registration.upstream_id)
        retired = self._retired_incarnations.setdefault(registration.upstream_id, [])
        retired.append(registration.incarnation)
        del retired[:-MAX_RETIRED_INCARNATIONS]

    def _add_reservations(self, reservations: Iterable[Reservation]) -> None:
        for reservation in reservations:
            self.reservations[reservation.upstream_id, reservation.item] = reservation
            items = self._reservations_by_upstream.setdefault(reservation.upstream_id, {})
            items[reservation.item] = reservation

    def _remove_reservations(self, upstream_id: str) -> list[Reservation]:
        items = self._reservations_by_upstream.pop(upstream_id, {})
        for item in items:
            del self.reservations[upstream_id, item]
        return list(items.values())


def _check_registration(command: RegisterUpstream) -> CommandRefused | None:
    if not 0 < len(command.upstream_id) <= MAX_ID_LENGTH:
        return refuse(ErrorKind.FIELD_INVALID, "id is empty or too long", "upstream_id")
    if not 0 < len(command.incarnation) <= MAX_ID_LENGTH:
        return refuse(ErrorKind.FIELD_INVALID, "incarnation is empty or too long", "incarnation")
    if command.kind not in KINDS:
        return refuse(ErrorKind.FIELD_INVALID, f"expected one of {', '.join(KINDS)}", "kind")
    if not 0 <= command.capacity_bytes <= MAX_INTEGER:
        return refuse(ErrorKind.FIELD_INVALID, "capacity is out of range", "capacity_bytes")
    return None
