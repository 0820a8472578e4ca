"""Send no more requests to upstreams with a limit than the leader grants."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

from briardyke.clock import now_ms
from briardyke.fleet.messages import PermitRequest
from briardyke.logs import log_event
from briardyke.upstream_limits.granter import MAX_PERMIT_WAIT_MS
from briardyke.upstream_limits.statements import KnownLimits, LimitStatement

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from briardyke.fleet.messages import PermitReply
    from briardyke.fleet.records import Upstream
    from briardyke.gateway.counters import Counters
    from briardyke.gateway.upstreams import UpstreamState

# Statements are repeated for this long: one report may be lost, or its control instance may stop.
_REPORTED_MS = 3000.0
# Time without requests to an upstream with a limit after the leader could not be reached.
_UNANSWERED_WAIT_MS = 500.0

RequestPermit: TypeAlias = "Callable[[PermitRequest], Awaitable[PermitReply | None]]"


@attrs.define
class _NextPermit:
    incarnation: int
    at_ms: float


class LimitedUpstreams:
    """Limits of upstreams, and the permits of this instance's requests.

    Load: an upstream in need accepts a request a second from 191 entry instances. None of them
    sees what the others send, so each asks the leader before each request to such an upstream.
    An instance without contact to the leader sends it nothing.
    """

    def __init__(self, request_permit: RequestPermit, counters: Counters) -> None:
        """Start without limits.

        :param request_permit: asks the leader for a permit.
        :param counters: counts requests to upstreams with a limit.
        """
        self.on_change: Callable[[], None] | None = None
        self._request_permit = request_permit
        self._counters = counters
        self._known = KnownLimits()
        self._observed = KnownLimits(keeps_unknown_ends=True)
        self._next_permits: dict[str, _NextPermit] = {}

    # Statements

    def record(self, row: Upstream, limit_per_s: float | None, sent_ms: float) -> None:
        """Record what a response that has just been received says about its upstream's limit.

        :param limit_per_s: the limit that it states, or ``None``.
        :param sent_ms: time at which its request was sent.
        """
        statement = LimitStatement(
            row.upstream_id, row.incarnation, limit_per_s, now_ms() - sent_ms, 0.0
        )
        before = self.limit_per_s(row)
        if limit_per_s is not None or before is not None:
            self._known.merge(statement)
            self._observed.merge(statement)
        after = self.limit_per_s(row)
        if after != before:
            log_event(
                "upstream_limit_stated",
                upstream=row.upstream_id,
                limit_per_s=after,
                before=before,
            )
            if self.on_change is not None:
                self.on_change()

    def adopt(self, statements: Sequence[LimitStatement]) -> None:
        """Adopt statements that other entry instances received, and forget old ones."""
        for statement in statements:
            self._known.merge(statement)
        self._known.forget_old()
        now = now_ms()
        self._next_permits = {
            i: permit for i, permit in self._next_permits.items() if permit.at_ms > now
        }

    def reported(self) -> list[LimitStatement]:
        """Return the statements that this instance received recently, for control instances."""
        return self._observed.statements(_REPORTED_MS)

    def limit_per_s(self, row: Upstream) -> float | None:
        """Return the limit of an upstream's process in requests per second, or ``None``."""
        return self._known.limit_per_s(row.upstream_id, row.incarnation)

    # Permits

    def admitted(self, candidates: Sequence[UpstreamState]) -> list[UpstreamState]:
        """Return the candidates without a limit, and those that may have a permit soon."""
        max_wait_ms = self._max_wait_ms(candidates)
        return [c for c in candidates if self.next_permit_ms(c.row) <= max_wait_ms]

    def next_permit_ms(self, row: Upstream) -> float:
        """Return the time until an upstream may have a permit, 0 without a limit."""
        permit = self._next_permits.get(row.upstream_id)
        if self.limit_per_s(row) is None or permit is None or permit.incarnation != row.incarnation:
            return 0.0
        return max(0.0, permit.at_ms - now_ms())

    def _max_wait_ms(self, candidates: Sequence[UpstreamState]) -> float:
        """Return how long a request may wait: not at all where another upstream has no limit."""
        has_unlimited = any(self.limit_per_s(c.row) is None for c in candidates)
        return 0.0 if has_unlimited else MAX_PERMIT_WAIT_MS

    async def take_permit(self, row: Upstream, candidates: Sequence[UpstreamState]) -> float | None:
        """Ask for a permit at an upstream.

        :param candidates: all upstreams that could run the request.
        :return: time in milliseconds to wait before the request is sent, 0 without a limit, or
            ``None`` without a permit.
        """
        limit_per_s = self.limit_per_s(row)
        if limit_per_s is None:
            return 0.0
        reply = await self._request_permit(
            PermitRequest(
                row.upstream_id, row.incarnation, limit_per_s, self._max_wait_ms(candidates)
            )
        )
        if reply is not None and reply.is_granted:
            self._counters.count("limit_permit_granted")
            return reply.wait_ms
        self._counters.count("limit_permit_denied" if reply else "limit_permit_unanswered")
        wait_ms = reply.wait_ms if reply else _UNANSWERED_WAIT_MS
        self._next_permits[row.upstream_id] = _NextPermit(row.incarnation, now_ms() + wait_ms)
        return None
