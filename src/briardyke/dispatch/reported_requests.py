"""Requests of an engine as its own reports and counts of entry instances state them."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briardyke.dispatch.messages import Observation
    from briardyke.dispatch.read_schedule import Dispatch

# Requests that only reports tell of are forgotten after this time without a further report.
_UNKNOWN_TTL_MS = 1500.0
# Waiting requests that only reports tell of have been read by then.
_UNKNOWN_WAITING_TTL_MS = 300.0
# Ends of requests that are kept, to compare with counts that are some 100 ms old.
_KEPT_ENDS = 64
# A request that a report counts may just be on its way to or from the engine.
_REPORT_TOLERANCE = 1
# Counts of entry instances consist of reports of different ages and may lack some for a while: the
# age of dispatches that they cover, their error in requests, and the time after which fewer
# requests than known are believed.
_COUNT_SETTLED_MS = 1000.0
_COUNT_TOLERANCE = 2
_EXCESS_MS = 1500.0


class ReportedRequests:
    """What reports tell beyond the known dispatches of one engine.

    Requests are unknown to a coordinator that has just started, or that is not the only one.

    :ivar last_unknown: requests that only the last report told of.
    :ivar last_unread: those of them with unread prompts.
    """

    def __init__(self, dispatches: Mapping[str, Dispatch]) -> None:
        """Start without reports.

        :param dispatches: known dispatches, which the caller keeps up to date.
        """
        self._dispatches = dispatches
        self._ends_ms: deque[float] = deque(maxlen=_KEPT_ENDS)
        self.last_unknown, self._unknown_ms = 0, -math.inf
        self.last_unread, self._unread_ms = 0, -math.inf
        self._excess_since_ms = math.inf

    def unknown(self, now_ms: float) -> int:
        """Return the requests that only reports tell of."""
        if not self.last_unknown or now_ms - self._unknown_ms >= _UNKNOWN_TTL_MS:
            return 0
        return self.last_unknown

    def unknown_unread(self, now_ms: float) -> int:
        """Return the requests with unread prompts that only reports tell of."""
        if not self.last_unread or now_ms - self._unread_ms >= _UNKNOWN_WAITING_TTL_MS:
            return 0
        return self.last_unread

    def record_end(self, now_ms: float) -> None:
        """Record the end of a known dispatch."""
        self._ends_ms.append(now_ms)

    def report(
        self, observation: Observation, pending: Mapping[str, Dispatch], at_ms: float
    ) -> None:
        """Take in a report of the engine.

        :param pending: known dispatches whose prompts are not known to be read.
        :param at_ms: time of the report.
        """
        requests = observation.running + observation.waiting
        unknown = requests - self._held_at(at_ms) - _REPORT_TOLERANCE
        self.last_unknown, self._unknown_ms = max(0, unknown), at_ms
        unread = sum(dispatch.placed_ms <= at_ms for dispatch in pending.values())
        self.last_unread = max(0, observation.waiting - unread - _REPORT_TOLERANCE)
        self._unread_ms = at_ms

    def count(self, count: int, counted_ms: float, now_ms: float) -> list[str]:
        """Compare with a count of the entry instances; return ids of dispatches to forget.

        :param count: requests in progress that they reported.
        :param counted_ms: time of the count.
        """
        if self._unknown_ms < counted_ms:
            unknown = count - self._held_at(counted_ms) - _COUNT_TOLERANCE
            self.last_unknown, self._unknown_ms = max(0, unknown), counted_ms
        settled = [
            request_id
            for request_id, dispatch in self._dispatches.items()
            if dispatch.placed_ms < counted_ms - _COUNT_SETTLED_MS
        ]
        if len(settled) <= count:
            self._excess_since_ms = math.inf
            return []
        self._excess_since_ms = min(self._excess_since_ms, now_ms)
        if now_ms - self._excess_since_ms < _EXCESS_MS:
            return []
        return settled[: len(settled) - count]

    def _held_at(self, at_ms: float) -> int:
        """Return the known dispatches that it held at a recent time."""
        held = sum(dispatch.placed_ms <= at_ms for dispatch in self._dispatches.values())
        return held + sum(end_ms > at_ms for end_ms in self._ends_ms)
