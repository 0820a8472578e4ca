"""Test storage and identity with files on disk."""

from __future__ import annotations

import errno
import os
from typing import TYPE_CHECKING

import pytest

from briardyke.addresses import Address
from briardyke.consensus import storage as storage_module
from briardyke.consensus.identity import initialise, open_identity
from briardyke.consensus.log import Entry, EntryKind, HardState, Recovered, Snapshot
from briardyke.consensus.storage import DiskFullError, GroupStorage
from briardyke.errors import ErrorKind

if TYPE_CHECKING:
    from pathlib import Path

VOTERS = {name: Address("127.0.0.1", port) for port, name in enumerate("abc", start=1)}


def _entry(index: int, term: int = 1) -> Entry:
    return Entry(index, term, EntryKind.COMMAND, b"data-%d" % index)


def _write(directory: Path, batches: list[list[Entry]], segment_bytes: int = 1 << 20) -> None:
    storage, _ = GroupStorage.open(directory, segment_bytes).unwrap()
    for batch in batches:
        storage.save(None, batch)
    storage.close()


def _read(directory: Path) -> Recovered:
    storage, recovered = GroupStorage.open(directory).unwrap()
    storage.close()
    return recovered


class TestGroupStorage:
    """Guards against lost, wrong or silently damaged entries."""

    def test_state_survives_a_restart(self, tmp_path: Path) -> None:
        """Guards against losing a vote, term or entry."""
        storage, _ = GroupStorage.open(tmp_path / "g").unwrap()
        storage.save(HardState(3, "a#1"), [_entry(1), _entry(2)])
        storage.close()
        recovered = _read(tmp_path / "g")
        assert recovered.hard_state == HardState(3, "a#1")
        assert recovered.entries == (_entry(1), _entry(2))

    def test_replaced_suffix_stays_replaced(self, tmp_path: Path) -> None:
        """Guards against reading entries that the leader has replaced."""
        _write(tmp_path / "g", [[_entry(1), _entry(2), _entry(3)], [_entry(2, 2)]])
        assert _read(tmp_path / "g").entries == (_entry(1), _entry(2, 2))

    def test_incomplete_last_record_is_truncated(self, tmp_path: Path) -> None:
        """Guards against a process that cannot start after a crash during a write."""
        _write(tmp_path / "g", [[_entry(1)]])
        segment = next((tmp_path / "g").glob("segment-*"))
        whole = segment.read_bytes()
        _write(tmp_path / "g", [[_entry(2), _entry(3)]])
        longer = segment.read_bytes()
        for size in range(len(whole), len(longer)):
            segment.write_bytes(longer[:size])
            assert _read(tmp_path / "g").entries == (_entry(1),)
            assert segment.read_bytes() == whole
        segment.write_bytes(longer[:-1] + bytes([longer[-1] ^ 1]))
        assert _read(tmp_path / "g").entries == (_entry(1),)

    def test_damage_before_the_last_record_is_an_error(self, tmp_path: Path) -> None:
        """Guards against truncating acknowledged entries, also when the damaged byte is in the
        length of a record, which makes the record look incomplete."""
        _write(tmp_path / "g", [[_entry(1)], [_entry(2)], [_entry(3)]])
        segment = next((tmp_path / "g").glob("segment-*"))
        whole = segment.read_bytes()
        for position in range(len(whole) * 2 // 3):
            segment.write_bytes(
                whole[:position] + bytes([whole[position] ^ 0x40]) + whole[position + 1 :]
            )
            failure = GroupStorage.open(tmp_path / "g").unwrap_err()
            assert failure.kind is ErrorKind.LOG_CORRUPT
            assert segment.name in failure.message and "offset" in failure.message

    def test_missing_files_are_an_error(self, tmp_path: Path) -> None:
        """Guards against starting with a gap in the log or without the vote."""
        directory = tmp_path / "g"
        _write(directory, [[_entry(i)] for i in range(1, 6)], segment_bytes=1)
        first, second, *_ = sorted(directory.glob("segment-*"))
        for path in (first, second, directory / "hard_state"):
            data = path.read_bytes()
            path.unlink()
            assert GroupStorage.open(directory).unwrap_err().kind is ErrorKind.LOG_CORRUPT
            path.write_bytes(data)
        assert len(_read(directory).entries) == 5

    def test_snapshot_truncates_the_log(self, tmp_path: Path) -> None:
        """Guards against a log that grows without bound, and against losing entries after the
        snapshot."""
        directory = tmp_path / "g"
        _write(directory, [[_entry(i)] for i in range(1, 9)], segment_bytes=1)
        storage, _ = GroupStorage.open(directory).unwrap()
        storage.save_snapshot(Snapshot(5, 1, b"members", b"state"))
        storage.save_snapshot(Snapshot(4, 1, b"members", b"older"))
        storage.delete_segments_before(5)
        storage.close()
        assert len(list(directory.glob("segment-*"))) <= 5
        recovered = _read(directory)
        assert recovered.snapshot == Snapshot(5, 1, b"members", b"state")
        assert recovered.entries == (_entry(6), _entry(7), _entry(8))

    def test_installed_snapshot_discards_a_different_log(self, tmp_path: Path) -> None:
        """Guards against keeping old entries after a received snapshot, also when the process stops
        between the writes of the snapshot and of the log."""
        directory = tmp_path / "g"
        _write(directory, [[_entry(i) for i in range(1, 9)]])
        snapshot = Snapshot(6, 4, b"members", b"state")
        storage, _ = GroupStorage.open(directory).unwrap()
        storage.save_snapshot(snapshot)
        storage.close()
        assert _read(directory).entries == ()
        storage, _ = GroupStorage.open(directory).unwrap()
        storage.install(Snapshot(20, 5, b"members", b"later"), keeps_log=False)
        storage.save(None, [_entry(21, 5)])
        storage.close()
        assert _read(directory).entries == (_entry(21, 5),)

    def test_every_save_is_synced(self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against acknowledging entries that are only in the page cache, and against more
        than one sync per batch."""
        storage, _ = GroupStorage.open(tmp_path / "g").unwrap()
        calls: list[int] = []
        monkeypatch.setattr(storage_module.os, "fsync", calls.append)
        storage.save(None, [_entry(i) for i in range(1, 100)])
        assert len(calls) == 1
        storage.save(HardState(1, "a#1"), [])
        assert len(calls) == 3
        monkeypatch.undo()
        storage.close()


class FullDisk:
    """Disk that takes only some more bytes of each write until it has room again."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, left_bytes: int) -> None:
        self.is_full = True
        self._left_bytes = left_bytes
        self._write = os.write
        monkeypatch.setattr(os, "write", self.write)

    def write(self, descriptor: int, data: bytes) -> int:
        if not self.is_full:
            return self._write(descriptor, data)
        if self._left_bytes <= 0:
            raise OSError(errno.ENOSPC, "No space left on device")
        part = bytes(data)[: self._left_bytes]
        self._left_bytes -= len(part)
        return self._write(descriptor, part)


class TestFullDisk:
    """Covers a disk without room, which must not be taken for one whose content is unknown."""

    @pytest.mark.parametrize("left_bytes", [0, 1, 9, 30])
    def test_record_that_found_no_room_leaves_the_log_unchanged(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, left_bytes: int
    ) -> None:
        storage, _ = GroupStorage.open(tmp_path / "group").unwrap()
        storage.save(HardState(1, "a"), [_entry(1)])
        disk = FullDisk(monkeypatch, left_bytes)
        with pytest.raises(DiskFullError):
            storage.save(None, [_entry(2)])
        disk.is_full = False
        storage.save(None, [_entry(2), _entry(3)])
        storage.close()
        _, recovered = GroupStorage.open(tmp_path / "group").unwrap()
        assert [e.index for e in recovered.entries] == [1, 2, 3]

    def test_vote_that_found_no_room_leaves_the_former_one(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        storage, _ = GroupStorage.open(tmp_path / "group").unwrap()
        storage.save(HardState(1, "a"), [])

        def fail(descriptor: int) -> None:
            raise OSError(errno.ENOSPC, "No space left on device")

        with monkeypatch.context() as patch:
            patch.setattr(os, "fsync", fail)
            with pytest.raises(DiskFullError):
                storage.save(HardState(2, "b"), [])
        assert not list((tmp_path / "group").glob("*.tmp"))
        storage.close()
        _, recovered = GroupStorage.open(tmp_path / "group").unwrap()
        assert recovered.hard_state == HardState(1, "a")

    def test_sync_of_the_log_that_fails_is_no_full_disk(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        storage, _ = GroupStorage.open(tmp_path / "group").unwrap()

        def fail(descriptor: int) -> None:
            raise OSError(errno.ENOSPC, "No space left on device")

        monkeypatch.setattr(os, "fsync", fail)
        with pytest.raises(OSError) as raised:
            storage.save(None, [_entry(1)])
        assert not isinstance(raised.value, DiskFullError)


class TestIdentity:
    """Guards against voting under an identity whose stored votes are lost."""

    def test_initial_voters_create_the_same_membership(self, tmp_path: Path) -> None:
        """Guards against initial voters that do not accept one another as members."""
        created = [initialise(tmp_path / n, "k", n, VOTERS).unwrap() for n in VOTERS]
        assert len({identity.initial_membership for identity in created}) == 1
        for identity in created:
            assert identity.initial_membership.is_voter(identity.member_id)
            reopened = open_identity(identity.directory, identity.instance_id).unwrap()
            assert reopened == identity

    def test_empty_directory_gets_a_new_identity(self, tmp_path: Path) -> None:
        """Guards against a second vote in a term: a process that lost its disk no longer knows its
        votes and must not vote under the old id."""
        first = initialise(tmp_path / "a", "k", "a", VOTERS).unwrap()
        ids = {open_identity(tmp_path / f"empty-{i}", "a").unwrap().member_id for i in range(3)}
        assert len(ids) == 3 and first.member_id not in ids
        joining = open_identity(tmp_path / "empty-0", "a").unwrap()
        assert joining.initial_membership.members == ()
        assert joining.member_id in ids

    def test_directory_in_use_is_refused(self, tmp_path: Path) -> None:
        """Guards against an operator who repeats ``init`` on an existing member, starts another
        instance with its directory, or deletes only the identity file."""
        initialise(tmp_path, "k", "a", VOTERS).unwrap()
        assert initialise(tmp_path, "k", "a", VOTERS).unwrap_err().field == "directory"
        assert open_identity(tmp_path, "b").unwrap_err().field == "instance_id"
        (tmp_path / "g").mkdir()
        os.remove(tmp_path / "identity.json")
        assert open_identity(tmp_path, "a").unwrap_err().kind is ErrorKind.LOG_CORRUPT

    def test_lost_group_directory_is_an_error(self, tmp_path: Path) -> None:
        """Guards against an empty log under an identity that has already voted in the group."""
        identity = initialise(tmp_path / "a", "k", "a", VOTERS).unwrap()
        identity.open_group("control").unwrap()[0].close()
        (tmp_path / "a" / "control").rename(tmp_path / "elsewhere")
        reopened = open_identity(tmp_path / "a", "a").unwrap()
        assert reopened.open_group("control").unwrap_err().kind is ErrorKind.LOG_CORRUPT
        assert reopened.open_group("claims-0").is_ok()
