"""Grant permits at upstreams with a limit while this instance leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms
from briardyke.fleet.messages import PermitReply, PermitRequest
from briardyke.upstream_limits.schedule import PermitSchedule

if TYPE_CHECKING:
    from briardyke.fleet.control import ControlInstance

# Longest time between the grant of a permit and the request that uses it: the longest wait until
# the request may be sent, and the longest time that the grant may be under way.
MAX_PERMIT_WAIT_MS = 300.0
PERMIT_TIMEOUT_MS = 300.0
_GRANT_LIFETIME_MS = MAX_PERMIT_WAIT_MS + PERMIT_TIMEOUT_MS
# Time after which an instance that does not lead may be asked again; an election takes longer.
_NOT_LEADING_WAIT_MS = 500.0
# Schedules that have not been used for this long are dropped; a new one starts without unused
# permits.
_UNUSED_MS = 60_000.0


class PermitGranter:
    """Grant each permit of an upstream with a limit once, to any entry instance.

    Load: 191 entry instances and an upstream that accepts one request a second. Any fixed share
    would be below one request in three minutes, so the leader schedules every single request.
    """

    def __init__(self, control: ControlInstance) -> None:
        """Grant permits when a control instance leads."""
        self._control = control
        self._term = 0
        self._first_permit_ms = 0.0
        self._schedules: dict[tuple[str, int], PermitSchedule] = {}

    async def grant(self, request: PermitRequest) -> PermitReply:
        """Grant the next permit of an upstream, unless it is valid too late for the request."""
        term = self._control.leading_term()
        if term is None:
            return PermitReply(False, _NOT_LEADING_WAIT_MS)
        if term != self._term:
            # Permits that the leader before granted may still be used.
            self._term, self._first_permit_ms = term, now_ms() + _GRANT_LIFETIME_MS
            self._schedules.clear()
        known = self._control.rows.limits.limit_per_s(request.upstream_id, request.incarnation)
        limit_per_s = request.limit_per_s if known is None else known
        schedule = self._schedule((request.upstream_id, request.incarnation))
        is_granted, wait_ms = schedule.take(limit_per_s, now_ms(), request.max_wait_ms)
        return PermitReply(is_granted, wait_ms)

    def _schedule(self, process: tuple[str, int]) -> PermitSchedule:
        schedule = self._schedules.get(process)
        if schedule is None:
            limit_ms = now_ms() - _UNUSED_MS
            self._schedules = {p: s for p, s in self._schedules.items() if s.next_ms > limit_ms}
            first_ms = max(now_ms(), self._first_permit_ms)
            schedule = self._schedules[process] = PermitSchedule.starting_at(first_ms)
        return schedule
