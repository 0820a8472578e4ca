"""Keep a second process out of a data folder."""

from __future__ import annotations

import fcntl
import os
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from pathlib import Path

_FILE = "lock"


class FolderLock:
    """Hold an exclusive lock on a data folder until the process ends.

    Two processes with one identity would both vote and both write the log. The kernel drops the
    lock when the process dies, so a crash leaves nothing to clean up.
    """

    def __init__(self, descriptor: int) -> None:
        """Keep the descriptor that holds the lock."""
        self._descriptor = descriptor

    @staticmethod
    def acquire(directory: Path) -> Result[FolderLock, Failure]:
        """Lock a folder beside which the lock file is kept.

        :param directory: data folder; its parent must be writable, since the folder itself must
            be empty before an identity is created in it.
        :return: ``storage_failed`` when another process holds the lock.
        """
        path = directory.parent / f"{directory.name}.{_FILE}"
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
        """Drop the lock."""
        os.close(self._descriptor)
