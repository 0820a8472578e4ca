"""Judge upstreams by what the entry instances report."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardyke.fleet.activity import ActivityBoard
    from briardyke.fleet.tables import Tables

# One heartbeat and a half at 1.2 s. Together with failing connections this is evidence enough.
MISSED_HEARTBEAT_MS = 1800.0
# Entry instances that must be unable to reach an upstream, where there are as many.
_LEAST_REPORTS = 2


def unreachable_upstreams(tables: Tables, activity: ActivityBoard) -> set[str]:
    """Return the upstreams that have gone, as entry instances and missed heartbeats tell.

    Load: an engine that has crashed takes its models with it. Missed heartbeats alone show that
    after seconds, since they may be late; connections that fail show it at once, but may be the
    fault of the entry instance's own link.
    """
    reports, instances = activity.unreachable()
    needed = min(_LEAST_REPORTS, instances)
    return {
        upstream_id
        for upstream_id, count in reports.items()
        if count >= needed
        and tables.upstreams.get(upstream_id) is not None
        and tables.upstreams.age_ms(upstream_id) > MISSED_HEARTBEAT_MS
    }
