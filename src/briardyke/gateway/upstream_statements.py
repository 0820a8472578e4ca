"""Record what the processes of upstreams state about themselves in their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.clock import now_ms
from briardyke.logs import log_event

if TYPE_CHECKING:
    from briardyke.fleet.records import Upstream
    from briardyke.gateway.dialect import ResponseMetadata

# A longer pause is taken for an error of the upstream.
_MAX_PAUSE_MS = 3_600_000.0
# Announcements of departed processes may be delayed as long.
_KEPT_MS = 120_000.0


@attrs.define
class UpstreamStatements:
    """What one process of an upstream has stated about itself.

    :param is_leaving: whether it is shutting down.
    :param paused_until_ms: time until which it wants no request from this instance.
    """

    is_leaving: bool = False
    paused_until_ms: float = 0.0

    @property
    def pause_left_ms(self) -> float:
        """Return the time for which it wants no request from this instance."""
        return max(0.0, self.paused_until_ms - now_ms())

    def record(self, row: Upstream, response: ResponseMetadata) -> None:
        """Record the statements in a response, and log the ones that are new."""
        if response.is_leaving and not self.is_leaving:
            log_event("upstream_leaving_stated", upstream=row.upstream_id)
            self.is_leaving = True
        if response.retry_after_ms:
            pause_ms = min(response.retry_after_ms, _MAX_PAUSE_MS)
            self.paused_until_ms = max(self.paused_until_ms, now_ms() + pause_ms)


class FormerStatements:
    """Statements of processes that are not announced at present.

    A control instance that has just started may not know a process until its next announcement, and
    its address stays in use meanwhile.
    """

    def __init__(self) -> None:
        self._kept: dict[tuple[str, int], tuple[UpstreamStatements, float]] = {}

    def keep(self, row: Upstream, statements: UpstreamStatements) -> None:
        """Keep the statements of a process, and forget old ones."""
        limit_ms = now_ms() - _KEPT_MS
        self._kept = {key: kept for key, kept in self._kept.items() if kept[1] >= limit_ms}
        self._kept[row.upstream_id, row.incarnation] = (statements, now_ms())

    def restore(self, row: Upstream) -> UpstreamStatements:
        """Return the statements of a process that is announced again, or empty ones."""
        kept = self._kept.pop((row.upstream_id, row.incarnation), None)
        return kept[0] if kept else UpstreamStatements()
