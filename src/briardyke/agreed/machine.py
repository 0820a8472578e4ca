"""Apply the control group's commands to its replicated state."""

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
from briardyke.agreed.history import ConfigurationHistory, Retention
from briardyke.agreed.memory import UpstreamMemoryTable
from briardyke.agreed.projection import SCHEMA, Projection
from briardyke.errors import ErrorKind
from briardyke.wire.codec import decode, encode

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from briardyke.agreed.audit import AuditRecord

MAX_AUDIT_PAGE_RECORDS = 1000


@attrs.define
class _State:
    history: ConfigurationHistory
    memory: UpstreamMemoryTable


class ControlMachine:
    """Hold configuration versions, registrations and reservations as a replicated state machine.

    Every member applies the same commands in the same order and must compute the same bytes, so
    nothing here reads a clock, uses random numbers or depends on the iteration order of a set.
    """

    def __init__(
        self,
        audit_sink: Callable[[Sequence[AuditRecord]], None] | None = None,
        retention: Retention | None = None,
    ) -> None:
        """Start at version 0.

        :param audit_sink: receives audit records that are evicted from the state; see
            :class:`~briardyke.agreed.audit.AuditLog`.
        :param retention: limits on the history, the same on all members.
        """
        self._state = _State(
            ConfigurationHistory(retention or Retention(), audit_sink), UpstreamMemoryTable()
        )
        self.projection = Projection()
        self._set_projection_tables()

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
        """Return the encoded state; equal states have equal encodings."""
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
        memory = UpstreamMemoryTable.load(values["memory"])
        history = self._state.history
        history.load(values["history"])
        self._state.memory = memory
        restored = Projection()
        restored.accept(history.version, history.versions[history.version]).unwrap()
        # Readers keep a reference to this projection, so it is updated in place.
        self.projection.version = history.version
        self.projection.document = restored.document
        self.projection.configuration = restored.configuration
        self.projection.applied_index = values["applied_index"]
        self._set_projection_tables()

    def document(self, version: int) -> Mapping[str, Any] | None:
        """Return the document of a version, or ``None`` when that version is not kept."""
        return self._state.history.versions.get(version)

    def kept_limit_ids(self) -> frozenset[str]:
        """Return the ids of the limits in all kept versions."""
        documents = self._state.history.versions.values()
        return frozenset(name for document in documents for name in document.get("limits", {}))

    def audit_records(self, limit: int, before: int | None = None) -> list[AuditRecord]:
        """Return the audit records that are still in the state, newest first.

        :param limit: maximum number of records, at most :data:`MAX_AUDIT_PAGE_RECORDS`.
        :param before: return only records with a lower number.
        """
        audit = self._state.history.audit
        if not audit:
            return []
        first, last = next(iter(audit)), next(reversed(audit))
        newest = last if before is None else min(last, before - 1)
        oldest = max(first, newest - min(limit, MAX_AUDIT_PAGE_RECORDS) + 1)
        return [unpack_record(audit[number]) for number in range(newest, oldest - 1, -1)]

    def reserved_bytes(self, upstream_id: str) -> int:
        """Return the memory that is reserved on an upstream's current incarnation."""
        return self._state.memory.reserved_bytes(upstream_id)

    def _set_projection_tables(self) -> None:
        self.projection.set_tables(
            self._state.memory.registrations, self._state.memory.reservations
        )


@singledispatch
def _execute(command: Any, state: _State) -> Any:
    text = f"{type(command).__name__} is not a command of the control group"
    return refuse(ErrorKind.PROTOCOL_VIOLATION, text)


@_execute.register
def _apply_patch(command: PatchConfiguration, state: _State) -> Any:
    return state.history.patch(command, state.memory.feasibility)


@_execute.register
def _apply_registration(command: RegisterUpstream, state: _State) -> Any:
    return state.memory.register(command)


@_execute.register
def _apply_removal(command: ForgetUpstream, state: _State) -> Any:
    return state.memory.forget(command)


@_execute.register
def _apply_reservation(command: ReserveMemory, state: _State) -> Any:
    return state.memory.reserve(command)


@_execute.register
def _apply_reservation_end(command: EndReservation, state: _State) -> Any:
    return state.memory.end(command)
