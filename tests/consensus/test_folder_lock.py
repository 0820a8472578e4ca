"""Test the lock on data folders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.consensus.folder_lock import FolderLock
from briardyke.errors import ErrorKind

if TYPE_CHECKING:
    from pathlib import Path


class TestFolderLock:
    """Guards against two processes that vote and write under the same identity."""

    def test_second_lock_is_refused_until_the_first_is_released(self, tmp_path: Path) -> None:
        folder = tmp_path / "data"
        first = FolderLock.acquire(folder).unwrap()
        assert not folder.exists()  # a new identity requires an empty folder
        refused = FolderLock.acquire(folder).unwrap_err()
        assert (refused.kind, refused.field) == (ErrorKind.STORAGE_FAILED, "data_dir")
        first.release()
        assert FolderLock.acquire(folder).is_ok()
