"""Keep one entry process's state of one upstream and estimate its current load."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from briardyke.policy.ejection import UpstreamHealth
from briardyke.policy.latency import (
    LatencyFactor,
    nominal_between_tokens_ms,
    nominal_first_token_ms,
)
from briardyke.policy.types import RouteRequest

if TYPE_CHECKING:
    from briardyke.wire.messages import UpstreamRow

# Largest number of own attempts begun or ended that are kept to correct a report; more are not
# expected within the age of a report.
CHANGE_LIMIT = 1024
# A net change of this size in own attempts is scaled to other instances at half its value, since
# small changes are mostly chance.
HALF_WEIGHT_CHANGE = 1.0
# Largest factor on a forecast when an attempt waits longer than predicted.
OVERDUE_LIMIT = 50.0
MINIMUM_SLOTS = 4


@attrs.define
class RunningAttempt:
    """Attempt that has not ended.

    :param upstream_id: upstream that runs it.
    :param incarnation: incarnation of the upstream at the time of dispatch.
    :param route: what the request needs.
    :param began_ms: time of dispatch.
    :param predicted_ms: predicted time to the first token.
    :param first_token_factor: first-token factor used in the prediction.
    :param nominal_gap_ms: nominal time between tokens at dispatch.
    :param first_token_ms: time of the first token, once there is one.
    """

    upstream_id: str
    incarnation: str
    route: RouteRequest
    began_ms: float
    predicted_ms: float
    first_token_factor: float
    nominal_gap_ms: float
    first_token_ms: float | None = None


@attrs.frozen
class Forecast:
    """Predicted latencies of a request at an upstream.

    :param first_token_ms: time to the first token.
    :param between_tokens_ms: time between tokens.
    :param idle_between_tokens_ms: time between tokens if no other request ran there.
    """

    first_token_ms: float
    between_tokens_ms: float
    idle_between_tokens_ms: float = 0.0


class RoutedUpstream:
    """Upstream in the routing table: its last report and the attempts of this process.

    :param row: first report.
    """

    def __init__(self, row: UpstreamRow) -> None:
        self.row = row
        self.as_of_ms = float("-inf")  # time of the load figures
        self.alive_ms = float("-inf")  # last time known to be alive
        self.health = UpstreamHealth()
        self.first_token = LatencyFactor()
        self.between_tokens = LatencyFactor()
        self.own_in_flight = 0
        self.waiting: dict[str, RunningAttempt] = {}
        self.slots: int | None = None
        self._changes: deque[tuple[float, int]] = deque(maxlen=CHANGE_LIMIT)
        self._net_change = 0

    @property
    def reported(self) -> int:
        """Return the number of running and queued requests in the last report."""
        return self.row.in_flight + self.row.queued

    def apply_report(self, row: UpstreamRow, as_of_ms: float) -> None:
        """Apply a newer report and discard own changes that it already includes.

        :param row: the report.
        :param as_of_ms: time that it describes, on this process's clock.
        """
        self.row = row
        self.as_of_ms = as_of_ms
        self.alive_ms = max(self.alive_ms, as_of_ms)
        while self._changes and self._changes[0][0] <= as_of_ms:
            self._net_change -= self._changes.popleft()[1]
        if row.queued > 0:
            self.slots = max(MINIMUM_SLOTS, row.in_flight)
        elif self.slots is not None and row.in_flight > self.slots:
            self.slots = row.in_flight

    def count_attempt(self, change: int, now_ms: float) -> None:
        """Count the start (+1) or the end (-1) of an own attempt."""
        self.own_in_flight = max(0, self.own_in_flight + change)
        if len(self._changes) == CHANGE_LIMIT:
            self._net_change -= self._changes.popleft()[1]
        self._changes.append((now_ms, change))
        self._net_change += change

    def estimated_load(self, others_factor: float) -> float:
        """Return the estimated number of requests at the upstream now.

        Other instances see the same reports and behave alike, so the net change of this instance
        since the report is scaled up to all instances.

        :param others_factor: requests of all instances per request of this instance.
        """
        change = self._net_change
        others = (others_factor - 1.0) * change * (abs(change) / (abs(change) + HALF_WEIGHT_CHANGE))
        return max(float(self.own_in_flight), self.reported + change + others)

    def forecast(
        self,
        uncached_tokens: float,
        others_factor: float,
        queue_fraction: float,
        mean_tokens: float,
        now_ms: float,
    ) -> Forecast:
        """Predict the latencies of one more request.

        :param uncached_tokens: prompt tokens that are probably not cached.
        :param others_factor: see :meth:`estimated_load`.
        :param queue_fraction: fraction of the queue that has at least the request's priority.
        :param mean_tokens: mean number of generated tokens.
        :param now_ms: current time.
        """
        load = self.estimated_load(others_factor)
        slots = self.slots
        running = load if slots is None else min(load, float(slots))
        queued = (load - running) * queue_fraction
        gap_ms = self.between_tokens.value(now_ms) * nominal_between_tokens_ms(running + 1.0)
        first_ms = self.first_token.value(now_ms) * nominal_first_token_ms(running, uncached_tokens)
        if slots is not None and load >= slots:
            first_ms += (queued + 1.0) * mean_tokens * gap_ms / slots
        if self.waiting:
            oldest = next(iter(self.waiting.values()))
            overdue = (now_ms - oldest.began_ms) / max(1.0, oldest.predicted_ms)
            if overdue > 1.0:
                first_ms *= min(OVERDUE_LIMIT, overdue)
        idle_gap_ms = self.between_tokens.value(now_ms) * nominal_between_tokens_ms(1.0)
        return Forecast(first_ms, gap_ms, idle_gap_ms)
