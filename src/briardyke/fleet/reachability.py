"""Detect crashed upstreams from the reports of entry instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardyke.fleet.activity import ActivityAggregator
    from briardyke.fleet.tables import SoftTables

# One and a half heartbeat intervals of 1.2 s; sufficient together with failed connections.
MISSED_HEARTBEAT_MS = 1800.0
# Number of entry instances that must fail to reach an upstream, if that many exist.
_MIN_REPORTS = 2


def unreachable_upstreams(tables: SoftTables, activity: ActivityAggregator) -> set[str]:
    """Return the upstreams that entry instances cannot reach and that missed a heartbeat.

    A crashed engine loses its models, so a crash must be detected fast. Heartbeats may be late, so
    missed ones alone prove a crash only after seconds; failed connections show it at once, but can
    also be caused by the entry instance's own network link.
    """
    reports, instances = activity.unreachable_counts()
    needed = min(_MIN_REPORTS, instances)
    return {
        upstream_id
        for upstream_id, count in reports.items()
        if count >= needed
        and tables.upstreams.get(upstream_id) is not None
        and tables.upstreams.age_ms(upstream_id) > MISSED_HEARTBEAT_MS
    }
