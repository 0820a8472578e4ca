"""Keep quarantined parts on disk, so that they outlast a loss of power of all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.fleet.soft_state_file import SoftStateFile
from briardyke.quarantine.records import PartState, PartVerdict

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
        self._file = SoftStateFile(directory / _FILE, list[PartVerdict])
        self._saved: dict[str, tuple[int, int, int]] = {}

    def load(self) -> list[PartVerdict]:
        """Return the stored verdicts; a damaged file counts as empty."""
        rows: list[PartVerdict] = self._file.load() or []
        self._saved = {row.part: row.order for row in rows}
        return rows

    async def save(self, rows: Iterable[PartVerdict]) -> None:
        """Store the quarantined parts among some verdicts, unless they are stored already."""
        kept = [row for row in rows if row.state is PartState.QUARANTINED]
        orders = {row.part: row.order for row in kept}
        if orders != self._saved and await self._file.save(kept):
            self._saved = orders
