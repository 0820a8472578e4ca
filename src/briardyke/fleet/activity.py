"""Aggregate the activity that entry instances report to control instances.

Each control instance adds up the reports of the entry instances connected to it and sends only the
sum, so messages between control instances do not grow with the number of entry instances.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.clock import now_ms, wall_unix_ms
from briardyke.fleet.messages import Activity
from briardyke.fleet.records import EntryInstance

if TYPE_CHECKING:
    from collections.abc import Iterator

# An idle entry instance reports every 1.2 s. A short lifetime limits how long an entry instance
# that switched to another control instance is counted twice.
REPORT_TTL_MS = 1800.0
# A computed total is reused for all requests within this time.
TOTAL_CACHE_MS = 50.0
# Control instances broadcast their sums several times a second.
SUM_TTL_MS = 1500.0


@attrs.frozen
class _TimedReport:
    entry: EntryInstance
    received_ms: float


class ActivityAggregator:
    """Reports of directly connected entry instances, and sums from other control instances."""

    def __init__(self, control: str) -> None:
        """Start empty.

        :param control: name of this control instance.
        """
        self._control = control
        self._incarnation = wall_unix_ms()
        self._sequence = 0
        self._reports: dict[str, _TimedReport] = {}
        self._total: Activity | None = None
        self._total_ms = 0.0
        self._sums: dict[str, tuple[Activity, float]] = {}

    def record_report(self, entry: EntryInstance) -> bool:
        """Store an entry instance's report; return whether it adds a wanted model."""
        before = self._reports.get(entry.instance_id)
        if before is None:
            self._total = None
        self._reports[entry.instance_id] = _TimedReport(entry, now_ms())
        return bool(set(entry.wanted) - set(before.entry.wanted if before else ()))

    def merge_sum(self, activity: Activity) -> bool:
        """Store another control instance's sum; return whether it adds a wanted model."""
        held = self._sums.get(activity.control)
        if held is not None and held[0].order >= activity.order:
            return False
        self._sums[activity.control] = (activity, now_ms())
        return bool(set(activity.wanted) - set(held[0].wanted if held else ()))

    def local_sum(self) -> Activity:
        """Return the sum over directly connected entry instances, for broadcasting."""
        self._sequence += 1
        total = Activity(self._control, self._incarnation, self._sequence)
        for entry in self._entries():
            _add_entry(total, entry)
        return total

    def demand(self) -> dict[str, float]:
        """Return requests per second by model and service, over all entry instances."""
        return self._sum_of_all().demand

    def carried_per_s(self) -> dict[str, float]:
        """Return requests per second by data centre of the entry instances that serve them."""
        return self._sum_of_all().carried_per_s

    def unreachable_counts(self) -> tuple[dict[str, int], int]:
        """Return unreachable reports per upstream, and the number of ready entry instances."""
        total = self._sum_of_all()
        return total.unreachable, total.ready

    def in_flight_of_others(self, instance_id: str) -> dict[str, list[int]]:
        """Return the requests in flight by upstream of all entry instances but one.

        With many entry instances, each serves only a few requests per second. Without these
        counts it would learn an upstream's load only from its own responses, many seconds apart.
        """
        total = dict(self._sum_of_all().in_flight)
        own = self._reports.get(instance_id)
        if own is not None:
            for upstream_id, (count, pending) in own.entry.in_flight.items():
                held = total.get(upstream_id, [0, 0])
                total[upstream_id] = [max(0, held[0] - count), max(0, held[1] - pending)]
        return total

    def in_flight(self) -> dict[str, list[int]]:
        """Return the requests in flight by upstream of all entry instances.

        All of them, and those whose response has not begun.
        """
        return self._sum_of_all().in_flight

    def event_intervals_ms(self) -> dict[str, float]:
        """Return the shortest usual time between two events of a stream, by upstream."""
        observed = self._sum_of_all().event_interval_ms
        return {upstream_id: total / count for upstream_id, (total, count) in observed.items()}

    def _sum_of_all(self) -> Activity:
        """Return the sum over all control instances, cached for :data:`TOTAL_CACHE_MS`."""
        if self._total is None or now_ms() - self._total_ms >= TOTAL_CACHE_MS:
            self._total, self._total_ms = Activity(self._control, 0, 0), now_ms()
            for entry in self._entries():
                _add_entry(self._total, entry)
            for activity in self._other_sums():
                _add_activity(self._total, activity)
        return self._total

    def _entries(self) -> Iterator[EntryInstance]:
        limit_ms = now_ms() - REPORT_TTL_MS
        for name in [n for n, report in self._reports.items() if report.received_ms < limit_ms]:
            del self._reports[name]
        for report in self._reports.values():
            yield report.entry

    def _other_sums(self) -> Iterator[Activity]:
        limit_ms = now_ms() - SUM_TTL_MS
        for name in [n for n, (_, received_ms) in self._sums.items() if received_ms < limit_ms]:
            del self._sums[name]
        for activity, _ in self._sums.values():
            yield activity


def _add_entry(total: Activity, entry: EntryInstance) -> None:
    own = Activity(
        *(total.control, 0, 0, int(entry.is_ready), entry.demand),
        {entry.data_centre: entry.carried_per_s},
        dict.fromkeys(entry.unreachable, 1) if entry.is_ready else {},
        entry.in_flight,
        entry.wanted,
        {upstream_id: [ms, 1] for upstream_id, ms in entry.event_interval_ms.items()},
    )
    _add_activity(total, own)


def _add_activity(total: Activity, part: Activity) -> None:
    total.ready += part.ready
    _add(total.demand, part.demand)
    _add(total.carried_per_s, part.carried_per_s)
    _add(total.unreachable, part.unreachable)
    for upstream_id, (count, pending) in part.in_flight.items():
        held = total.in_flight.setdefault(upstream_id, [0, 0])
        held[0] += count
        held[1] += pending
    for upstream_id, (interval_ms, observers) in part.event_interval_ms.items():
        sums = total.event_interval_ms.setdefault(upstream_id, [0.0, 0])
        sums[0] += interval_ms
        sums[1] += observers
    total.wanted.extend(model for model in part.wanted if model not in total.wanted)


def _add(total: dict[str, float] | dict[str, int], part: dict[str, float] | dict[str, int]) -> None:
    for name, amount in part.items():
        total[name] = total.get(name, 0) + amount  # type: ignore[assignment]
