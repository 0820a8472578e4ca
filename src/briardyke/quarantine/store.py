"""Keep quarantined parts on disk, so that they outlast a loss of power of all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.consensus.storage import read_checksummed, write_checksummed
from briardyke.logs import log_limited, log_warning
from briardyke.quarantine.records import PartState, PartVerdict
from briardyke.wire.codec import structure, unstructure

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

_FILE = "quarantine"


class VerdictStore:
    """File of quarantined parts of one control instance.

    Every control instance keeps its own file. Verdicts need no agreement: the newest one of a part
    replaces the others wherever it is known.
    """

    def __init__(self, directory: Path) -> None:
        """Use a file in a directory.

        :param directory: directory for durable files.
        """
        self._path = directory / _FILE
        self._saved: dict[str, tuple[int, int, int]] = {}

    def load(self) -> list[PartVerdict]:
        """Return the stored verdicts; a damaged file counts as empty."""
        try:
            rows = structure(read_checksummed(self._path), list[PartVerdict])
        except FileNotFoundError:
            return []
        except Exception as error:  # cattrs raises many types, and the content may be damaged
            log_warning("quarantine_unreadable", file=self._path, reason=repr(error))
            return []
        self._saved = {row.part: row.order for row in rows}
        return rows

    async def save(self, rows: Iterable[PartVerdict]) -> None:
        """Store the quarantined parts among some verdicts, unless they are stored already."""
        kept = [row for row in rows if row.state is PartState.QUARANTINED]
        orders = {row.part: row.order for row in kept}
        if orders == self._saved:
            return
        try:
            # A write takes seconds on a faulty disk.
            await trio.to_thread.run_sync(write_checksummed, self._path, unstructure(kept))
        except OSError as error:
            log_limited("quarantine_not_stored", is_routine=False, reason=repr(error))
            return
        self._saved = orders
