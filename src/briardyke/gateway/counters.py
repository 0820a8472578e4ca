"""Count requests and their durations; OpenTelemetry is imported only when they are exported."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

import attrs

# Values with their labels, by name.
Figures: TypeAlias = "dict[str, list[tuple[float, dict[str, Any]]]]"

# Bounds of the latency histogram in milliseconds, from a short response to a long stream.
BOUNDS_MS = (25, 50, 100, 200, 400, 800, 1600, 3200, 6400, 12800, 25600)


@attrs.define
class Counters:
    """Counters by service and outcome, and a latency histogram by service.

    :param requests: requests by service and outcome.
    :param buckets: requests by service and latency bucket.
    :param sums_ms: total duration by service.
    :param events: other events by name.
    :param gauges: functions that return present values, by name.
    :param tables: functions that return further figures with their labels, by name.
    """

    requests: dict[tuple[str, str], int] = attrs.field(factory=dict)
    buckets: dict[str, list[int]] = attrs.field(factory=dict)
    sums_ms: dict[str, float] = attrs.field(factory=dict)
    events: dict[str, int] = attrs.field(factory=dict)
    gauges: dict[str, Callable[[], float]] = attrs.field(factory=dict, repr=False)
    tables: list[Callable[[], Figures]] = attrs.field(factory=list, repr=False)

    def record(self, service: str, outcome: str, duration_ms: float) -> None:
        """Count a finished request."""
        key = (service, outcome)
        self.requests[key] = self.requests.get(key, 0) + 1
        row = self.buckets.setdefault(service, [0] * (len(BOUNDS_MS) + 1))
        row[sum(duration_ms > bound for bound in BOUNDS_MS)] += 1
        self.sums_ms[service] = self.sums_ms.get(service, 0.0) + duration_ms

    def count(self, event: str, amount: int = 1) -> None:
        """Count an event, or add an amount to a sum."""
        self.events[event] = self.events.get(event, 0) + amount

    def prometheus_text(self) -> bytes:
        """Return all counters in the Prometheus text format."""
        from briardyke import metrics  # the import takes 0.3 s of CPU time

        return metrics.page_of(self._observe())

    def _observe(self) -> Figures:
        durations = []
        for service, row in self.buckets.items():
            total = 0
            for bound, count in zip([*BOUNDS_MS, "+Inf"], row, strict=True):
                total += count
                durations.append((float(total), {"service": service, "le": str(bound)}))
        further: Figures = {name: [(read(), {})] for name, read in self.gauges.items()}
        for read_table in self.tables:
            further |= read_table()
        return further | {
            "gateway_requests_total": [
                (float(count), {"service": service, "outcome": outcome})
                for (service, outcome), count in self.requests.items()
            ],
            "gateway_duration_ms_bucket": durations,
            "gateway_duration_ms_sum": [
                (total, {"service": service}) for service, total in self.sums_ms.items()
            ],
            "gateway_events_total": [
                (float(count), {"event": event}) for event, count in self.events.items()
            ],
        }
