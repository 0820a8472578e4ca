"""Store one group's log, term, vote and snapshot in a directory.

A segment file consists of records: length, CRC-32 and payload. All entries that are synced together
form one record, so an incomplete write damages only the last record. An entry whose index is
already stored replaces the stored entry and all that follow it.
"""

from __future__ import annotations

import errno
import os
import struct
import threading
import zlib
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
import msgpack
from result import Err, Ok, Result

from briardyke.consensus.log import Entry, EntryKind, HardState, Recovered, Snapshot
from briardyke.errors import ErrorKind, Failure
from briardyke.logs import log_event, log_warning

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

SEGMENT_BYTES = 16 * 1024 * 1024
_FULL = frozenset({errno.ENOSPC, errno.EDQUOT})
_HEADER = struct.Struct("<II")
_HARD_STATE = "hard_state"
_SNAPSHOT = "snapshot"
_SEGMENT_PREFIX = "segment-"
# Every payload starts with these bytes, so that records after a damaged one can be found.
_PAYLOAD_PREFIX = b"\x93\xa7entries"


class CorruptLogError(Exception):
    """Signal that a stored file is damaged or missing."""

    def __init__(self, path: Path, offset_bytes: int, reason: str) -> None:
        """Describe the damage.

        :param path: damaged or missing file.
        :param offset_bytes: offset of the damaged record.
        :param reason: kind of damage.
        """
        text = f"{reason} in {path} at offset {offset_bytes}"
        self.failure = Failure(ErrorKind.LOG_CORRUPT, text, str(path))
        super().__init__(text)


class DiskFullError(OSError):
    """Signal that a write found no room and left the stored state as it was."""


@attrs.define
class _Segment:
    path: Path
    sequence: int
    last_index: int = 0


def sync_directory(directory: Path) -> None:
    """Sync a directory, so that created, renamed and deleted files in it survive a crash."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file atomically: after a crash it has either the old or the new content.

    :raises DiskFullError: when there is no room; the file has its old content.
    """
    temporary = path.with_name(path.name + ".tmp")
    try:
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
    except OSError as error:
        if error.errno not in _FULL:
            raise
        temporary.unlink(missing_ok=True)
        raise DiskFullError(error.errno, str(error)) from error
    sync_directory(path.parent)


def write_checksummed(path: Path, value: Any) -> None:
    """Replace a file by a single record with the msgpack encoding of ``value``."""
    payload = msgpack.packb(value)
    replace_file(path, _HEADER.pack(len(payload), zlib.crc32(payload)) + payload)


def read_checksummed(path: Path) -> Any:
    """Read a file written by :func:`write_checksummed`.

    :raises CorruptLogError: when the file is damaged.
    """
    data = path.read_bytes()
    payload = data[_HEADER.size :]
    if data[: _HEADER.size] != _HEADER.pack(len(payload), zlib.crc32(payload)):
        raise CorruptLogError(path, 0, "wrong checksum")
    return msgpack.unpackb(payload)


class GroupStorage:
    """Store one group's state on disk; the methods block and must run in a worker thread."""

    def __init__(self, directory: Path, segments: list[_Segment], segment_bytes: int) -> None:
        """Use :meth:`open` instead."""
        self._directory = directory
        self._segments = segments
        self._segment_bytes = segment_bytes
        self._snapshot_lock = threading.Lock()
        self._snapshot_index = 0
        self._file = os.open(segments[-1].path, os.O_WRONLY | os.O_APPEND)

    @staticmethod
    def open(
        directory: Path, segment_bytes: int = SEGMENT_BYTES
    ) -> Result[tuple[GroupStorage, Recovered], Failure]:
        """Open a group's directory and read its state; create the directory if it is missing.

        :param directory: the group's own directory.
        :param segment_bytes: size after which a new segment is started.
        :return: the storage and the state it holds; ``log_corrupt`` when records before the last
            one are damaged or missing.
        """
        try:
            if not directory.exists():
                _create(directory)
            return Ok(_recover(directory, segment_bytes))
        except CorruptLogError as error:
            return Err(error.failure)
        except OSError as error:
            return Err(Failure(ErrorKind.STORAGE_FAILED, f"cannot open {directory}: {error}"))

    def save(self, hard_state: HardState | None, entries: Sequence[Entry]) -> None:
        """Write and sync state; all entries are written with a single sync.

        :param hard_state: new term and vote, if changed.
        :param entries: entries in the order in which they were appended.
        :raises DiskFullError: when there is no room; the whole call may be repeated later.
        :raises OSError: when a write or sync fails otherwise; the state on disk is then unknown, so
            the process must stop and must not retry.
        """
        if hard_state is not None:
            write_checksummed(self._directory / _HARD_STATE, [hard_state.term, hard_state.vote])
        if entries:
            rows = [[e.index, e.term, e.kind.value, e.data] for e in entries]
            self._write(["entries", rows, None])
            self._segments[-1].last_index = max(
                self._segments[-1].last_index, max(entry.index for entry in entries)
            )

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the stored snapshot unless it is as recent or newer."""
        with self._snapshot_lock:
            if snapshot.index > self._snapshot_index:
                row = [snapshot.index, snapshot.term, snapshot.members, snapshot.data]
                write_checksummed(self._directory / _SNAPSHOT, row)
                self._snapshot_index = snapshot.index

    def install(self, snapshot: Snapshot, keeps_log: bool) -> None:
        """Store a snapshot received from the leader.

        :param snapshot: the snapshot.
        :param keeps_log: whether the log contains the snapshot's last entry; otherwise the whole
            log is discarded.
        """
        self.save_snapshot(snapshot)
        if not keeps_log:
            self.reset(snapshot.index, snapshot.term)

    def reset(self, index: int, term: int) -> None:
        """Discard all entries and continue the log after ``index``."""
        self._start_segment()
        self._write(["entries", [], [index, term]])
        self._segments[-1].last_index = index
        self._delete(len(self._segments) - 1)

    def delete_segments_before(self, index: int) -> None:
        """Delete the oldest segments, as long as all their entries are before ``index``."""
        count = 0
        for segment in self._segments[:-1]:
            if segment.last_index >= index:
                break
            count += 1
        self._delete(count)

    def close(self) -> None:
        """Close the active segment."""
        os.close(self._file)

    def _delete(self, count: int) -> None:
        for segment in self._segments[:count]:
            segment.path.unlink()
        del self._segments[:count]
        if count:
            sync_directory(self._directory)

    def _write(self, value: Any) -> None:
        if os.fstat(self._file).st_size >= self._segment_bytes:
            self._start_segment()
        payload = msgpack.packb(value)
        record = _HEADER.pack(len(payload), zlib.crc32(payload)) + payload
        size = os.fstat(self._file).st_size
        view = memoryview(record)
        try:
            while view:
                view = view[os.write(self._file, view) :]
        except OSError as error:
            if error.errno not in _FULL:
                raise
            os.ftruncate(self._file, size)
            raise DiskFullError(error.errno, str(error)) from error
        os.fsync(self._file)

    def _start_segment(self) -> None:
        sequence = self._segments[-1].sequence + 1
        path = _segment_path(self._directory, sequence)
        try:
            file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_EXCL, 0o644)
        except OSError as error:
            if error.errno not in _FULL:
                raise
            raise DiskFullError(error.errno, str(error)) from error
        sync_directory(self._directory)
        os.close(self._file)
        self._file = file
        self._segments.append(_Segment(path, sequence))


def _segment_path(directory: Path, sequence: int) -> Path:
    return directory / f"{_SEGMENT_PREFIX}{sequence:010d}"


def _create(directory: Path) -> None:
    # The directory gets its final name only once it is complete.
    temporary = directory.with_name(directory.name + ".new")
    temporary.mkdir(parents=True, exist_ok=True)
    write_checksummed(temporary / _HARD_STATE, [0, ""])
    replace_file(_segment_path(temporary, 1), b"")
    temporary.rename(directory)
    sync_directory(directory.parent)


def _recover(directory: Path, segment_bytes: int) -> tuple[GroupStorage, Recovered]:
    for temporary in directory.glob("*.tmp"):
        temporary.unlink()
    if not (directory / _HARD_STATE).exists():
        raise CorruptLogError(directory / _HARD_STATE, 0, "missing file")
    hard_state = HardState(*read_checksummed(directory / _HARD_STATE))
    snapshot = None
    if (directory / _SNAPSHOT).exists():
        snapshot = Snapshot(*read_checksummed(directory / _SNAPSHOT))
    replay = _Replay()
    segments = replay.read_all(directory)
    storage = GroupStorage(directory, segments, segment_bytes)
    index, term = (snapshot.index, snapshot.term) if snapshot else (0, 0)
    storage._snapshot_index = index
    entries = replay.entries_after(index, term)
    if entries is None:
        log_event("log_superseded_by_snapshot", directory=directory, index=index)
        storage.reset(index, term)
        entries = []
    return storage, Recovered(hard_state, snapshot, tuple(entries))


class _Replay:
    """Rebuild the log from the records of all segments."""

    def __init__(self) -> None:
        self.base: tuple[int, int] | None = None
        self.entries: list[Entry] = []
        self._path = Path()
        self._offset = 0

    def read_all(self, directory: Path) -> list[_Segment]:
        paths = sorted(directory.glob(_SEGMENT_PREFIX + "*"))
        if not paths:
            raise CorruptLogError(_segment_path(directory, 1), 0, "missing file")
        segments = [_Segment(path, int(path.name.removeprefix(_SEGMENT_PREFIX))) for path in paths]
        if segments[0].sequence == 1:
            self.base = (0, 0)
        for segment, next_segment in zip(segments, [*segments[1:], None], strict=True):
            if next_segment is not None and next_segment.sequence != segment.sequence + 1:
                missing = _segment_path(directory, segment.sequence + 1)
                raise CorruptLogError(missing, 0, "missing file")
            for value in self._records(segment, next_segment is None):
                self._apply(segment, value)
        return segments

    def _records(self, segment: _Segment, is_last: bool) -> Iterator[Any]:
        data = segment.path.read_bytes()
        self._path, offset = segment.path, 0
        while offset < len(data):
            self._offset = offset
            payload = _payload_at(data, offset)
            if payload is None:
                if not is_last or _has_record_after(data, offset):
                    raise CorruptLogError(segment.path, offset, "damaged record")
                _truncate_tail(segment.path, offset, len(data))
                return
            yield msgpack.unpackb(payload)
            offset += _HEADER.size + len(payload)

    def _apply(self, segment: _Segment, value: Any) -> None:
        _, rows, base = value
        if base is not None:
            self.base, self.entries = (base[0], base[1]), []
            segment.last_index = max(segment.last_index, base[0])
        for index, term, kind, data in rows:
            first = self.entries[0].index if self.entries else None
            if first is None and self.base is not None:
                first = self.base[0] + 1
            if first is not None:
                position = index - first
                if not 0 <= position <= len(self.entries):
                    raise CorruptLogError(self._path, self._offset, f"entry {index} out of order")
                del self.entries[position:]
            self.entries.append(Entry(index, term, EntryKind(kind), data))
            segment.last_index = max(segment.last_index, index)

    def entries_after(self, index: int, term: int) -> list[Entry] | None:
        """Return the entries after a snapshot, or ``None`` when the log does not contain it."""
        if self.base == (index, term):
            return self.entries
        if not self.entries:
            return None if self.base is not None and self.base[0] < index else self._fail(index)
        position = index - self.entries[0].index
        if position < 0:
            return self._fail(index)
        if position >= len(self.entries) or self.entries[position].term != term:
            return None
        return self.entries[position + 1 :]

    def _fail(self, index: int) -> list[Entry]:
        raise CorruptLogError(self._path, 0, f"entries after snapshot index {index} are missing")


def _payload_at(data: bytes, offset: int) -> bytes | None:
    start = offset + _HEADER.size
    if start > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    valid = (
        length >= len(_PAYLOAD_PREFIX)
        and len(payload) == length
        and zlib.crc32(payload) == checksum
    )
    return payload if valid else None


def _has_record_after(data: bytes, offset: int) -> bool:
    # A damaged length can make a record look incomplete, so the search covers all following bytes.
    position = data.find(_PAYLOAD_PREFIX, offset + _HEADER.size + 1)
    while position >= 0:
        if _payload_at(data, position - _HEADER.size) is not None:
            return True
        position = data.find(_PAYLOAD_PREFIX, position + 1)
    return False


def _truncate_tail(path: Path, offset: int, size: int) -> None:
    log_warning("log_tail_cut", file=path, offset=offset, dropped_bytes=size - offset)
    with path.open("r+b") as file:
        file.truncate(offset)
        os.fsync(file.fileno())
