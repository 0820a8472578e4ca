"""Record what the processes of upstreams state about themselves in their responses."""

from __future__ import annotations

import random
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
# Random extension of the pause after a refusal of a brittle upstream.
_PAUSE_JITTER = 0.5


@attrs.define
class UpstreamStatements:
    """What one process of an upstream has stated about itself.

    :param is_leaving: whether it is shutting down.
    :param paused_until_ms: time until which it wants no request from this instance.
    :param brittle_per_s: refusals in a second beyond which it fails, ``None`` if it stated none in
        its last response.
    """

    is_leaving: bool = False
    paused_until_ms: float = 0.0
    brittle_per_s: float | None = None

    @property
    def pause_left_ms(self) -> float:
        """Return the time for which it wants no request from this instance."""
        return max(0.0, self.paused_until_ms - now_ms())

    @property
    def wants_requests(self) -> bool:
        """Return whether it has neither asked for a pause nor stated that it leaves."""
        return not self.is_leaving and not self.pause_left_ms

    def record(self, row: Upstream, response: ResponseMetadata, instance_count: int = 1) -> None:
        """Record the statements in a response, and log the ones that are new.

        :param instance_count: entry instances that send requests.
        """
        if response.is_leaving and not self.is_leaving:
            log_event("upstream_leaving_stated", upstream=row.upstream_id)
            self.is_leaving = True
        if response.retry_after_ms:
            pause_ms = min(response.retry_after_ms, _MAX_PAUSE_MS)
            self._pause(pause_ms)
        self._record_brittle(row, response, instance_count)

    def _record_brittle(
        self, row: Upstream, response: ResponseMetadata, instance_count: int
    ) -> None:
        """Record how many refusals the upstream bears, and pause after one.

        Load: each entry instance meets a full upstream by itself. They pause for so long that all
        together meet no more refusals than it bears, and not all at the same moment.
        """
        before, self.brittle_per_s = self.brittle_per_s, response.brittle_per_s
        if self.brittle_per_s is None:
            return
        if before is None:
            log_event(
                "upstream_brittle_stated", upstream=row.upstream_id, refusals=self.brittle_per_s
            )
        if response.is_refusal and not response.lacks_model:
            seconds = max(1.0, instance_count / max(1.0, self.brittle_per_s))
            self._pause(seconds * 1000.0 * random.uniform(1.0, 1.0 + _PAUSE_JITTER))

    def _pause(self, pause_ms: float) -> None:
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
