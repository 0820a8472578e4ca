"""Write to the disk of a group member, waiting for room when it is full."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from briardyke.consensus.storage import DiskFullError
from briardyke.logs import log_event, log_warning

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Pause between two attempts to write to a full disk.
_PAUSE_MS = 100.0


class DiskWriter:
    """Writes of one member; while one of them finds no room, the member is out of its group.

    A write that found no room left the state on disk as it was, unlike one that failed otherwise.

    :param run_blocking: runs a blocking function outside the event loop.
    """

    def __init__(self, group_id: str, run_blocking: Callable[..., Awaitable[Any]]) -> None:
        self.is_full = False
        self._group_id = group_id
        self._run_blocking = run_blocking

    async def write(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Write, again and again until the disk has room.

        :raises OSError: when the write fails otherwise.
        """
        while not await self.try_to_write(function, *arguments):
            if not self.is_full:
                log_warning("disk_full", group=self._group_id)
                self.is_full = True
            await trio.sleep(_PAUSE_MS / 1000.0)
        if self.is_full:
            log_event("disk_has_room", group=self._group_id)
            self.is_full = False

    async def try_to_write(self, function: Callable[..., Any], *arguments: Any) -> bool:
        """Write; return whether there was room.

        :raises OSError: when the write fails otherwise.
        """
        try:
            await self._run_blocking(function, *arguments)
        except DiskFullError:
            return False
        return True
