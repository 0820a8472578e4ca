"""Collect what an entry instance observes of engines until the next message to a coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.dispatch.messages import DispatchReport, Observation, ObservationKind

if TYPE_CHECKING:
    from briardyke.addresses import Address

# Longest time until observations are sent without a request. Every ended request frees a slot for
# one that waits, and a prompt is read within 80 ms. With two requests per second, an entry instance
# has few observations to batch, so a longer time saves few messages.
REPORT_INTERVAL_MS = 30.0
# Event intervals are observed at most once in this time for each engine, and do not cause a message
# of their own before it: 88 entry instances with streams on six engines each would otherwise send
# thousands of observations a second.
INTERVAL_SPACING_MS = 500.0
# Observations that could not be sent are of no use after some seconds of load.
_MAX_OBSERVATIONS = 500


@attrs.define
class _Collected:
    """Observations for one coordinator about one service.

    :param loads: newest load report of each engine, with its time.
    :param others: other observations, with their times.
    :param cancelled_ids: queued requests whose callers have left.
    :param due_ms: time by which they are sent.
    """

    loads: dict[str, tuple[Observation, float]] = attrs.field(factory=dict)
    others: list[tuple[Observation, float]] = attrs.field(factory=list)
    cancelled_ids: list[str] = attrs.field(factory=list)
    due_ms: float = float("inf")


class DispatchObservations:
    """Observations by coordinator and service."""

    def __init__(self, instance_id: str) -> None:
        """Start without observations.

        :param instance_id: this entry instance.
        """
        self._instance_id = instance_id
        self._collected: dict[tuple[Address, str], _Collected] = {}
        self._interval_ms: dict[str, float] = {}

    def add(self, coordinator: Address, service: str, seen: Observation, now_ms: float) -> None:
        """Add an observation of now; a load report replaces the one before."""
        collected = self._for(coordinator, service)
        is_interval = seen.kind == ObservationKind.EVENT_INTERVAL.value
        wait_ms = INTERVAL_SPACING_MS if is_interval else REPORT_INTERVAL_MS
        collected.due_ms = min(collected.due_ms, now_ms + wait_ms)
        if seen.kind == ObservationKind.LOAD.value:
            collected.loads[seen.upstream_id] = (seen, now_ms)
            return
        collected.others.append((seen, now_ms))
        del collected.others[:-_MAX_OBSERVATIONS]

    def takes_interval(self, upstream_id: str, now_ms: float) -> bool:
        """Return whether an event interval of an engine should be observed now."""
        if now_ms - self._interval_ms.get(upstream_id, float("-inf")) < INTERVAL_SPACING_MS:
            return False
        if len(self._interval_ms) > _MAX_OBSERVATIONS:
            self._interval_ms.clear()
        self._interval_ms[upstream_id] = now_ms
        return True

    def cancel(self, coordinator: Address, service: str, request_id: str, now_ms: float) -> None:
        """Add a request whose caller has left."""
        collected = self._for(coordinator, service)
        collected.cancelled_ids.append(request_id)
        del collected.cancelled_ids[:-_MAX_OBSERVATIONS]
        collected.due_ms = min(collected.due_ms, now_ms + REPORT_INTERVAL_MS)

    def take(self, coordinator: Address, service: str, now_ms: float) -> list[Observation]:
        """Remove and return the observations to send with a request.

        Cancelled requests stay for the next report.
        """
        collected = self._collected.get((coordinator, service))
        if collected is None:
            return []
        seen = _aged(collected, now_ms)
        collected.loads.clear()
        collected.others.clear()
        if not collected.cancelled_ids:
            del self._collected[coordinator, service]
        return seen

    def due_ms(self) -> float:
        """Return the time at which the next report is due, infinite without one."""
        return min((c.due_ms for c in self._collected.values()), default=float("inf"))

    def take_due(self, now_ms: float) -> list[tuple[Address, DispatchReport]]:
        """Remove and return the reports that are due."""
        due = [key for key, c in self._collected.items() if c.due_ms <= now_ms]
        reports = []
        for key in due:
            collected = self._collected.pop(key)
            report = DispatchReport(
                self._instance_id, key[1], _aged(collected, now_ms), collected.cancelled_ids
            )
            reports.append((key[0], report))
        return reports

    def _for(self, coordinator: Address, service: str) -> _Collected:
        return self._collected.setdefault((coordinator, service), _Collected())


def _aged(collected: _Collected, now_ms: float) -> list[Observation]:
    seen = [*collected.others, *collected.loads.values()]
    return [attrs.evolve(observation, age_ms=now_ms - at_ms) for observation, at_ms in seen]
