"""Record who changed the configuration, and keep older records in a file."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING, Any

import attrs
import msgpack

from briardyke.wire.codec import structure, unstructure

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

FILE_NAME = "audit.log"


@attrs.frozen
class AuditRecord:
    """Record one patch, accepted or refused.

    :param number: consecutive number of the record, from 1.
    :param request_id: operator's request id.
    :param operator: who asked.
    :param wall_unix_ms: when, in milliseconds since the Unix epoch.
    :param from_version: version that the patch was written against.
    :param to_version: version that it created; ``None`` when it was refused.
    :param patch: the JSON Merge Patch.
    :param refused: error kind, empty when the patch was accepted.
    :param reasons: reasons of a refusal.
    """

    number: int
    request_id: str
    operator: str
    wall_unix_ms: int
    from_version: int
    to_version: int | None
    patch: dict[str, Any]
    refused: str = ""
    reasons: list[str] = attrs.field(factory=list)


def pack_record(record: AuditRecord) -> bytes:
    """Return a record's form in the state.

    Packed records make a snapshot of 100,000 of them fast enough not to delay heartbeats.
    """
    return msgpack.packb(unstructure(record))


def unpack_record(data: bytes) -> AuditRecord:
    """Read the output of :func:`pack_record`."""
    return structure(msgpack.unpackb(data), AuditRecord)


class AuditLog:
    """Append records that have left the state to ``audit.log``, one JSON object a line.

    A restarted member applies the log's tail again and hands over the same records again; numbers
    that the file already has are skipped.
    """

    def __init__(self, folder: Path) -> None:
        """Open the file and drop an incomplete last line, which a crash can leave.

        :param folder: data folder, which exists.
        :raises OSError: when the file cannot be read or written.
        """
        self.path = folder / FILE_NAME
        self._last_number = 0
        new = not self.path.exists()
        self._file = self.path.open("a+b")
        self._recover()
        if new:
            _sync_folder(folder)

    def append(self, records: Sequence[AuditRecord]) -> None:
        """Write records and sync them to disk.

        :param records: records in the order of their numbers.
        :raises OSError: when writing or syncing fails.
        """
        fresh = [r for r in records if r.number > self._last_number]
        if not fresh:
            return
        lines = [json.dumps(unstructure(r), separators=(",", ":")) + "\n" for r in fresh]
        self._file.write("".join(lines).encode())
        self._file.flush()
        os.fsync(self._file.fileno())
        self._last_number = fresh[-1].number

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _recover(self) -> None:
        self._file.seek(0)
        complete = 0
        for line in self._file:
            if not line.endswith(b"\n"):
                break
            complete += len(line)
            self._last_number = json.loads(line)["number"]
        self._file.truncate(complete)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
