"""Keep the agreed registrations and the accelerator memory that is reserved on each upstream."""

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
from briardyke.agreed.parsing import MAX_INTEGER
from briardyke.agreed.places import PlaceChecker
from briardyke.agreed.records import Reservation, UpstreamRegistration
from briardyke.errors import ErrorKind
from briardyke.wire.codec import structure, unstructure

if TYPE_CHECKING:
    from collections.abc import Iterable

KINDS = ("engine", "service")
MAX_ID_LENGTH = 128
# Late registrations arrive within minutes; an upstream does not restart 32 times in that time.
RETIRED_INCARNATIONS = 32
# About five days of the replacements expected at the target size (4,000 a day).
MAX_FORGOTTEN = 20_000


@attrs.frozen
class Forgotten:
    """Keep what a forgotten incarnation still holds, in case that the same process returns.

    :param registration: its last registration.
    :param reservations: its reservations.
    """

    registration: UpstreamRegistration
    reservations: list[Reservation]


class MemoryTable:
    """Apply registrations and reservations."""

    def __init__(self) -> None:
        """Start without upstreams."""
        self.upstreams: dict[str, UpstreamRegistration] = {}
        self.reservations: dict[tuple[str, str], Reservation] = {}
        self.places = PlaceChecker(self.upstreams)
        self._items: dict[str, dict[str, Reservation]] = {}
        self._forgotten: dict[str, Forgotten] = {}
        self._retired: dict[str, list[str]] = {}

    def held_bytes(self, upstream_id: str) -> int:
        """Return the memory that is reserved on the upstream's current incarnation."""
        return sum(r.size_bytes for r in self._items.get(upstream_id, {}).values())

    def register(self, command: RegisterUpstream) -> CommandAccepted | CommandRefused:
        """Add an upstream, or replace its incarnation and clear the old one's reservations."""
        invalid = _check_registration(command)
        if invalid is not None:
            return invalid
        new = UpstreamRegistration(**attrs.asdict(command))
        upstream_id = new.upstream_id
        if new.incarnation in self._retired.get(upstream_id, ()):
            return refuse(ErrorKind.FENCED, "a newer incarnation is registered", "incarnation")
        forgotten = self._forgotten.get(upstream_id)
        known = forgotten.registration if forgotten else self.upstreams.get(upstream_id)
        if known is not None and known.incarnation == new.incarnation:
            # Capacity and fencing support belong to a process; a change would undo the
            # conditions under which its memory was reserved.
            if known != new:
                return refuse(
                    ErrorKind.FIELD_INVALID, "an incarnation does not change", "incarnation"
                )
            if forgotten is not None:
                del self._forgotten[upstream_id]
                self._set(new)
                self._put_all(forgotten.reservations)
            return CommandAccepted()
        if known is not None:
            self._forgotten.pop(upstream_id, None)
            self._retire(known)
        self._set(new)
        return CommandAccepted()

    def forget(self, command: ForgetUpstream) -> CommandAccepted | CommandRefused:
        """Remove an upstream; its reservations return if the same incarnation registers again."""
        if command.upstream_id not in self.upstreams:
            return CommandAccepted()
        fenced = self._check_incarnation(command.upstream_id, command.incarnation)
        if fenced is not None:
            return fenced
        registration = self.upstreams.pop(command.upstream_id)
        self.places.upstreams_changed()
        reservations = self._clear(command.upstream_id)
        self._forgotten[command.upstream_id] = Forgotten(registration, reservations)
        if len(self._forgotten) > MAX_FORGOTTEN:
            oldest = next(iter(self._forgotten))
            del self._forgotten[oldest]
            self._retired.pop(oldest, None)
        return CommandAccepted()

    def reserve(self, command: ReserveMemory) -> CommandAccepted | CommandRefused:
        """Reserve memory for an item, or update the order of an item that is reserved."""
        fenced = self._check_incarnation(command.upstream_id, command.incarnation)
        if fenced is not None:
            return fenced
        if not 0 <= command.size_bytes <= MAX_INTEGER:
            return refuse(ErrorKind.FIELD_INVALID, "size is out of range", "size_bytes")
        size_bytes = command.size_bytes
        held = self.held_bytes(command.upstream_id)
        current = self.reservations.get((command.upstream_id, command.item))
        if current is not None:
            if command.fencing_token < current.fencing_token:
                return refuse(ErrorKind.FENCED, "a newer order is reserved", "fencing_token")
            # The earlier order may still run with the size that it named.
            size_bytes = max(size_bytes, current.size_bytes)
            held -= current.size_bytes
        capacity = self.upstreams[command.upstream_id].capacity_bytes
        if held + size_bytes > capacity:
            text = f"{held} of {capacity} bytes are held; {size_bytes} more do not fit"
            return refuse(ErrorKind.MEMORY_EXHAUSTED, text, "size_bytes")
        fields = {**attrs.asdict(command), "size_bytes": size_bytes}
        self._put_all([Reservation(**fields)])
        return CommandAccepted()

    def end(self, command: EndReservation) -> ReservationEnded | CommandRefused:
        """End a reservation after a confirmed unload; free its memory if no order can be late."""
        fenced = self._check_incarnation(command.upstream_id, command.incarnation)
        if fenced is not None:
            return fenced
        current = self.reservations.get((command.upstream_id, command.item))
        if current is None:
            return ReservationEnded(True)
        if not self.upstreams[command.upstream_id].checks_fencing:
            return ReservationEnded(False)
        if command.fencing_token <= current.fencing_token:
            return refuse(
                ErrorKind.FENCED, "the unload is not newer than the reservation", "fencing_token"
            )
        del self.reservations[command.upstream_id, command.item]
        del self._items[command.upstream_id][command.item]
        return ReservationEnded(True)

    def dump(self) -> dict[str, Any]:
        """Return the table as plain values for a snapshot."""
        return {
            "upstreams": unstructure(list(self.upstreams.values())),
            "reservations": unstructure(list(self.reservations.values())),
            "forgotten": unstructure(list(self._forgotten.values())),
            "retired": self._retired,
        }

    @classmethod
    def load(cls, values: dict[str, Any]) -> MemoryTable:
        """Build the table from :meth:`dump`'s values."""
        table = cls()
        upstreams = structure(values["upstreams"], list[UpstreamRegistration])
        forgotten = structure(values["forgotten"], list[Forgotten])
        table.upstreams.update((u.upstream_id, u) for u in upstreams)
        table._forgotten = {f.registration.upstream_id: f for f in forgotten}
        table._retired = structure(values["retired"], dict[str, list[str]])
        table._put_all(structure(values["reservations"], list[Reservation]))
        return table

    def _check_incarnation(self, upstream_id: str, incarnation: str) -> CommandRefused | None:
        registration = self.upstreams.get(upstream_id)
        if registration is None:
            return refuse(ErrorKind.NOT_FOUND, "upstream is not registered", "upstream_id")
        if registration.incarnation != incarnation:
            return refuse(ErrorKind.FENCED, "another incarnation is registered", "incarnation")
        return None

    def _set(self, new: UpstreamRegistration) -> None:
        old = self.upstreams.get(new.upstream_id)
        self.upstreams[new.upstream_id] = new
        if old is None or (old.kind, old.capacity_bytes) != (new.kind, new.capacity_bytes):
            self.places.upstreams_changed()

    def _retire(self, registration: UpstreamRegistration) -> None:
        self._clear(registration.upstream_id)
        retired = self._retired.setdefault(registration.upstream_id, [])
        retired.append(registration.incarnation)
        del retired[:-RETIRED_INCARNATIONS]

    def _put_all(self, reservations: Iterable[Reservation]) -> None:
        for reservation in reservations:
            self.reservations[reservation.upstream_id, reservation.item] = reservation
            items = self._items.setdefault(reservation.upstream_id, {})
            items[reservation.item] = reservation

    def _clear(self, upstream_id: str) -> list[Reservation]:
        items = self._items.pop(upstream_id, {})
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
