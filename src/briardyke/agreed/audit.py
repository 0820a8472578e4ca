"""Define audit records of configuration patches, and keep older records in a file."""

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
    """Describe one accepted or refused configuration patch.

    :param number: consecutive number of the record, from 1.
    :param request_id: operator's request id.
    :param operator: operator that sent the patch.
    :param wall_unix_ms: wall time of the command, in milliseconds since the Unix epoch.
    :param from_version: version that the patch was written against.
    :param to_version: version that the patch created; ``None`` when it was refused.
    :param patch: the JSON Merge Patch.
    :param refused: error kind, empty when the patch was accepted.
    :param reasons: reasons for a refusal.
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
    """Encode a record for the replicated state.

    Records are kept encoded, so that a snapshot of 100,000 of them does not delay heartbeats.
    """
    return msgpack.packb(unstructure(record))


def unpack_record(data: bytes) -> AuditRecord:
    """Decode the output of :func:`pack_record`."""
    return structure(msgpack.unpackb(data), AuditRecord)


class AuditLog:
    """Append records evicted from the replicated state to ``audit.log``, one JSON object per line.

    A restarted member applies the end of the replicated log again and passes on the same records
    again; records whose numbers are already in the file are skipped.
    """

    def __init__(self, directory: Path) -> None:
        """Open the file and drop an incomplete last line, which a crash can leave.

        :param directory: existing data directory.
        :raises OSError: when the file cannot be read or written.
        """
        self.path = directory / FILE_NAME
        self._last_number = 0
        is_new = not self.path.exists()
        self._file = self.path.open("a+b")
        self._drop_incomplete_line()
        if is_new:
            _sync_directory(directory)

    def append(self, records: Sequence[AuditRecord]) -> None:
        """Write records and sync them to disk before returning.

        :param records: records in ascending order of their numbers.
        :raises OSError: when writing or syncing fails.
        """
        new_records = [r for r in records if r.number > self._last_number]
        if not new_records:
            return
        lines = [json.dumps(unstructure(r), separators=(",", ":")) + "\n" for r in new_records]
        self._file.write("".join(lines).encode())
        self._file.flush()
        os.fsync(self._file.fileno())
        self._last_number = new_records[-1].number

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _drop_incomplete_line(self) -> None:
        self._file.seek(0)
        complete_bytes = 0
        for line in self._file:
            if not line.endswith(b"\n"):
                break
            complete_bytes += len(line)
            self._last_number = json.loads(line)["number"]
        self._file.truncate(complete_bytes)


def _sync_directory(directory: Path) -> None:
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
