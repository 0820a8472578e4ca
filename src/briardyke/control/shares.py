"""Grant limit shares while this process leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms
from briardyke.policy.shares import ShareAllocator
from briardyke.sync.lease import VERSION_LEASE_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.agreed.projection import Projection
    from briardyke.wire.messages import InstanceStatus, LimitShare


class ShareGranter:
    """Run one share allocator in each term of leadership.

    Shares are not replicated: a new leader knows none of its predecessor's grants, so it starts a
    new allocator, which only confirms reported shares until every older grant has expired.
    """

    def __init__(
        self, projection: Projection, earlier_limit_ids: Callable[[], frozenset[str]]
    ) -> None:
        """Use the agreed state.

        :param projection: configuration in force.
        :param earlier_limit_ids: returns the limits of all versions that an entry process may hold.
        """
        self._projection = projection
        self._earlier_limit_ids = earlier_limit_ids
        self._term = 0
        self._allocator = ShareAllocator(VERSION_LEASE_MS, 0.0)
        self._last_report_numbers: dict[str, int] = {}

    def start_term(self, term: int) -> None:
        """Start an empty allocator if this process has not led this term before."""
        if term != self._term:
            self._term = term
            self._allocator = ShareAllocator(VERSION_LEASE_MS, now_ms(), self._earlier_limit_ids())
            self._last_report_numbers = {}

    def grant(self, statuses: list[InstanceStatus]) -> dict[str, list[LimitShare]]:
        """Process the statuses of one sync request and return the shares of their instances."""
        now = now_ms()
        for status in statuses:
            if status.report_number > self._last_report_numbers.get(status.instance_id, 0):
                self._last_report_numbers[status.instance_id] = status.report_number
                self._allocator.report(
                    status.instance_id, status.held_shares, status.share_demand, now
                )
            # The reply extends the lease of all earlier grants.
            self._allocator.extend_lease(status.instance_id, now)
        return self._allocator.allocate(
            self._projection.configuration.limits,
            now,
            self._projection.version,
            [status.instance_id for status in statuses],
        )
