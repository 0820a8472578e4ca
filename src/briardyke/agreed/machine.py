"""Apply the control group's commands to the agreed state."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

import attrs
import msgpack

from briardyke.agreed.audit import unpack_record
from briardyke.agreed.commands import (
    EndReservation,
    ForgetUpstream,
    PatchConfiguration,
    RegisterUpstream,
    ReserveMemory,
    refuse,
)
from briardyke.agreed.history import History, Retention
from briardyke.agreed.memory import MemoryTable
from briardyke.agreed.projection import SCHEMA, Projection
from briardyke.errors import ErrorKind
from briardyke.wire.codec import decode, encode

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from briardyke.agreed.audit import AuditRecord

MAX_AUDIT_PAGE_RECORDS = 1000


@attrs.define
class _State:
    history: History
    memory: MemoryTable


class ControlMachine:
    """Hold configuration versions, registrations and reservations; a consensus state machine.

    Every member applies the same commands in the same order and must reach the same bytes:
    nothing here reads a clock, draws a random number or depends on the order of a set.
    """

    def __init__(
        self,
        audit_sink: Callable[[Sequence[AuditRecord]], None] | None = None,
        retention: Retention | None = None,
    ) -> None:
        """Start at version 0.

        :param audit_sink: takes audit records that leave the state; see
            :class:`~briardyke.agreed.audit.AuditLog`.
        :param retention: bounds, the same on all members.
        """
        self._state = _State(History(retention or Retention(), audit_sink), MemoryTable())
        self.projection = Projection()
        self._follow()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command.

        :param index: its index in the log.
        :param command: encoded command; an unreadable one is refused and changes nothing.
        :return: the encoded outcome.
        """
        decoded = decode(command)
        if decoded.is_err():
            failure = decoded.unwrap_err()
            outcome: Any = refuse(failure.kind, failure.message)
        else:
            outcome = _execute(decoded.unwrap(), self._state)
        history = self._state.history
        if history.version != self.projection.version:
            document = history.versions[history.version]
            self.projection.accept(history.version, document, history.configuration).unwrap()
        self.projection.applied_index = index
        return outcome if isinstance(outcome, bytes) else encode(outcome)

    def snapshot(self) -> bytes:
        """Return the whole state; equal states give equal bytes."""
        return msgpack.packb(
            {
                "schema": SCHEMA,
                "applied_index": self.projection.applied_index,
                "history": self._state.history.dump(),
                "memory": self._state.memory.dump(),
            }
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state.

        :param data: output of :meth:`snapshot`.
        :raises ValueError: when the snapshot has another schema.
        """
        values = msgpack.unpackb(data, strict_map_key=False)
        if values["schema"] != SCHEMA:
            raise ValueError(f"snapshot has schema {values['schema']}, expected {SCHEMA}")
        memory = MemoryTable.load(values["memory"])
        history = self._state.history
        history.load(values["history"])
        self._state.memory = memory
        current = Projection()
        current.accept(history.version, history.versions[history.version]).unwrap()
        # Readers hold this object, so it is updated in place.
        self.projection.version = history.version
        self.projection.document = current.document
        self.projection.configuration = current.configuration
        self.projection.applied_index = values["applied_index"]
        self._follow()

    def document(self, version: int) -> Mapping[str, Any] | None:
        """Return a version's document, or ``None`` when it is not kept."""
        return self._state.history.versions.get(version)

    def kept_limit_ids(self) -> frozenset[str]:
        """Return the ids of the limits in all kept versions."""
        documents = self._state.history.versions.values()
        return frozenset(name for document in documents for name in document.get("limits", {}))

    def audit_records(self, limit: int, before: int | None = None) -> list[AuditRecord]:
        """Return audit records in the state, newest first.

        :param limit: largest number of records, at most :data:`MAX_AUDIT_PAGE_RECORDS`.
        :param before: only records with a lower number.
        """
        audit = self._state.history.audit
        if not audit:
            return []
        first, last = next(iter(audit)), next(reversed(audit))
        newest = last if before is None else min(last, before - 1)
        oldest = max(first, newest - min(limit, MAX_AUDIT_PAGE_RECORDS) + 1)
        return [unpack_record(audit[number]) for number in range(newest, oldest - 1, -1)]

    def held_bytes(self, upstream_id: str) -> int:
        """Return the memory that is reserved on an upstream's current incarnation."""
        return self._state.memory.held_bytes(upstream_id)

    def _follow(self) -> None:
        self.projection.follow(self._state.memory.upstreams, self._state.memory.reservations)


@singledispatch
def _execute(command: Any, state: _State) -> Any:
    text = f"{type(command).__name__} is not a command of this group"
    return refuse(ErrorKind.PROTOCOL_VIOLATION, text)


@_execute.register
def _patch(command: PatchConfiguration, state: _State) -> Any:
    return state.history.patch(command, state.memory.places)


@_execute.register
def _register(command: RegisterUpstream, state: _State) -> Any:
    return state.memory.register(command)


@_execute.register
def _forget(command: ForgetUpstream, state: _State) -> Any:
    return state.memory.forget(command)


@_execute.register
def _reserve(command: ReserveMemory, state: _State) -> Any:
    return state.memory.reserve(command)


@_execute.register
def _end(command: EndReservation, state: _State) -> Any:
    return state.memory.end(command)
