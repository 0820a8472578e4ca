"""Keep soft state of one process on disk, so that it outlasts a restart of all processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from briardyke.consensus.storage import read_checksummed, write_checksummed
from briardyke.logs import log_limited, log_warning
from briardyke.wire.codec import structure, unstructure

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path


class SoftStateFile:
    """File with one value; a lost or damaged file costs knowledge and breaks no promise."""

    def __init__(
        self,
        path: Path,
        kind: Any,
        run_blocking: Callable[..., Awaitable[Any]] = trio.to_thread.run_sync,
    ) -> None:
        """Use a file.

        :param path: its path.
        :param kind: type of the value.
        :param run_blocking: runs a blocking function outside the event loop.
        """
        self._path = path
        self._kind = kind
        self._run_blocking = run_blocking

    def load(self) -> Any:
        """Return the stored value; ``None`` when there is none or the file is damaged."""
        try:
            return structure(read_checksummed(self._path), self._kind)
        except FileNotFoundError:
            return None
        except Exception as error:  # cattrs raises many types, and the content may be damaged
            log_warning("soft_state_unreadable", file=self._path, reason=repr(error))
            return None

    async def save(self, value: Any) -> bool:
        """Replace the stored value; return whether that succeeded."""
        try:
            # A write takes seconds on a faulty disk.
            await self._run_blocking(write_checksummed, self._path, unstructure(value))
        except OSError as error:
            log_limited(
                "soft_state_not_stored", is_routine=False, file=self._path, reason=repr(error)
            )
            return False
        return True
