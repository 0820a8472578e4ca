"""Keep the software versions of streams in a control instance."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from briardyke.clock import now_ms
from briardyke.software_versions.records import LIFETIME_MS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardyke.software_versions.records import StreamVersion

MAX_STREAMS = 100_000


class StreamTable:
    """Software versions of the streams that entry instances reported to this control instance.

    Load: while two versions serve, every resumable stream of the service is reported, tens of
    thousands a second over all control instances. Each keeps the newest ones within a fixed size;
    callers of forgotten streams are refused.
    """

    def __init__(self) -> None:
        self._rows: OrderedDict[str, tuple[StreamVersion, float]] = OrderedDict()

    def record(self, rows: Iterable[StreamVersion]) -> None:
        """Store reported streams, and drop those that no caller can take up any more."""
        for row in rows:
            self._rows[row.request_id] = row, now_ms()
            self._rows.move_to_end(row.request_id)
        while self._rows:
            _, reported_ms = next(iter(self._rows.values()))
            if len(self._rows) <= MAX_STREAMS and now_ms() - reported_ms < LIFETIME_MS:
                break
            self._rows.popitem(last=False)

    def find(self, request_id: str, service: str) -> str | None:
        """Return the version that began a stream, ``None`` when it is not known."""
        held = self._rows.get(request_id)
        return held[0].software_version if held and held[0].service == service else None
