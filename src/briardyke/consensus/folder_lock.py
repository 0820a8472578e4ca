"""Lock a data folder against use by a second process."""

from __future__ import annotations

import fcntl
import os
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from pathlib import Path

_SUFFIX = "lock"


class FolderLock:
    """Hold an exclusive lock on a data folder until the process ends.

    Two processes with the same identity would both vote and both write the log. The kernel
    releases the lock when the process ends, so no stale lock remains after a crash.
    """

    def __init__(self, descriptor: int) -> None:
        """Hold the file descriptor of a locked file; use :meth:`acquire` instead."""
        self._descriptor = descriptor

    @staticmethod
    def acquire(directory: Path) -> Result[FolderLock, Failure]:
        """Lock a data folder by a lock file next to it.

        :param directory: data folder; its parent must be writable. The lock file is not in the
            folder itself, because that must be empty when an identity is created in it.
        :return: ``storage_failed`` when another process holds the lock.
        """
        path = directory.parent / f"{directory.name}.{_SUFFIX}"
        try:
            directory.parent.mkdir(parents=True, exist_ok=True)
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            return Err(Failure(ErrorKind.STORAGE_FAILED, f"cannot open {path}: {error}"))
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            text = f"another process uses {directory}"
            return Err(Failure(ErrorKind.STORAGE_FAILED, text, "data_dir"))
        return Ok(FolderLock(descriptor))

    def release(self) -> None:
        """Release the lock."""
        os.close(self._descriptor)
