"""State that an entry instance keeps about each upstream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from briardyke.clock import now_ms
from briardyke.connectivity.activity import LinkActivity
from briardyke.fleet.records import Upstream
from briardyke.gateway.upstream_statements import UpstreamStatements
from briardyke.http.h11_client import ConnectionPool
from briardyke.policy.ejection import UpstreamHealth

if TYPE_CHECKING:
    from briardyke.gateway.dialect import LoadReport

# The weight of load caused by other entry instances halves in this time without a new report.
REPORT_HALF_LIFE_MS = 1500.0
# Age of the load of other instances when it arrives through control instances: a part of the
# intervals of the reports, of the aggregation and of the replies.
AGGREGATED_LOAD_AGE_MS = 400.0
# Consecutive failures after which an upstream counts as unreachable. A single connection may fail
# because the upstream rejects connections during a burst.
UNREACHABLE_CONNECT_FAILURES = 2
# Interval of connection attempts to an unreachable upstream; a restarted process listens again
# within about a second.
CONNECT_PROBE_INTERVAL_MS = 1000.0
# Time for which a failed connection is reported. Older failures say little about the current state;
# requests for a rarely used model are seconds apart.
UNREACHABLE_REPORT_TTL_MS = 3000.0
# Time for which an announcement is not trusted after a miss: two heartbeats of an upstream, at
# 1.2 s each; by then it has announced its loaded models.
MISS_TTL_MS = 2500.0
# Time for which an engine that refuses a model although it has free slots gets no requests for it.
# It is about to unload the model, which takes as long as the requests that still run.
REFUSED_MODEL_TTL_MS = 1500.0
# Load of a running request on an engine, relative to a waiting one. Processing a prompt takes about
# seven times as long as one running request prolongs the engine's steps over its duration.
ENGINE_RUNNING_WEIGHT = 0.15
# Weight of one stream in the mean, which covers about six streams.
_FIRST_EVENT_WEIGHT = 0.15
# Weights of one event in the interval between events: a shorter one counts more, so that the mean
# stays near the interval of an engine that reads no prompts, which tells its speed.
_SHORTER_INTERVAL_WEIGHT = 0.05
_LONGER_INTERVAL_WEIGHT = 0.005
# Engines send events several times in this time, also while they read long prompts.
_LONG_SILENCE_MS = 400.0
# Spells in which the work of an upstream takes longer last about this long, so a stated slowness
# holds with this time constant. The next response states it again.
SLOWNESS_DECAY_MS = 600.0
# Age of a load report up to which a brittle upstream counts as full; reports of other instances
# arrive more often than this.
_FULL_TTL_MS = 800.0
# Upper limit of one observation, so that a single stalled stream does not dominate the mean.
_MAX_FIRST_EVENT_MS_PER_LOAD = 500.0


@attrs.frozen
class Miss:
    """Rejection of a request by an upstream that lacks the model or adapter.

    :param sequence: sequence number of its announcement at that time; a newer one is trusted again.
    :param until_ms: time until which the announcement is not trusted.
    """

    sequence: int
    until_ms: float


@attrs.define
class UpstreamState:
    """Announcement of one upstream and this instance's own observations of it.

    :param row: its latest announcement.
    :param pool: connections to it.
    :param health: fraction of its traffic that it receives, reduced after failures.
    :param in_flight: requests of this instance that are in progress on it.
    :param pending: those of them whose response has not started.
    :param busy_since_ms: time since when it has had requests of this instance in progress.
    :param sign_ms: time of its last sign of life: the head of a response or an event of a stream.
    :param long_silence_ms: length of its last long silence that has ended.
    :param long_silence_end_ms: time of the sign of life that ended it.
    :param other_requests: requests of other instances at the last load report.
    :param other_waiting: those of them that were not yet running.
    :param running_weight: load of a running request, relative to a waiting one.
    :param reported_ms: time of the last load report.
    :param first_event_ms_per_load: time to the first event per unit of load, 0 when unknown.
    :param service_time_ms: recent mean time of a response, or between two events of a stream; 0
        when unknown.
    :param event_interval_ms: shortest usual time between two events of a stream, 0 when unknown.
    :param event_ms: time of the last event.
    :param slowness: time that its work takes, relative to the usual time, as last stated; ``None``
        if its last load report did not state it.
    :param slowness_ms: time of that statement.
    :param connect_failures: consecutive failures to open a connection.
    :param connect_failed_ms: time of the last of them.
    :param withheld: loaded models that get no new requests.
    :param available_at_ms: time at which each model that is being loaded should be available.
    :param misses: models that it turned out not to have loaded.
    :param refused_until_ms: time until which each model that it refused gets no requests.
    :param adapters: time until which each adapter is assumed to be loaded, by model and name.
    :param adapter_misses: adapters that it turned out not to have loaded.
    :param statements: what it has stated about itself in its responses.
    :param activity: activity on the connections to all upstreams, which this one adds to.
    """

    row: Upstream
    pool: ConnectionPool
    health: UpstreamHealth = attrs.field(factory=UpstreamHealth)
    in_flight: int = 0
    pending: int = 0
    busy_since_ms: float = 0.0
    sign_ms: float = float("-inf")
    long_silence_ms: float = 0.0
    long_silence_end_ms: float = float("-inf")
    other_requests: float = 0.0
    other_waiting: float = 0.0
    running_weight: float = 1.0
    first_event_ms_per_load: float = 0.0
    reported_ms: float = 0.0
    service_time_ms: float = 0.0
    event_interval_ms: float = 0.0
    event_ms: float = 0.0
    slowness: float | None = None
    slowness_ms: float = 0.0
    connect_failures: int = 0
    connect_failed_ms: float = 0.0
    withheld: frozenset[str] = frozenset()
    available_at_ms: dict[str, float] = attrs.field(factory=dict)
    misses: dict[str, Miss] = attrs.field(factory=dict)
    refused_until_ms: dict[str, float] = attrs.field(factory=dict)
    adapters: dict[tuple[str, str], float] = attrs.field(factory=dict)
    adapter_misses: dict[tuple[str, str], Miss] = attrs.field(factory=dict)
    statements: UpstreamStatements = attrs.field(factory=UpstreamStatements)
    activity: LinkActivity = attrs.field(factory=LinkActivity)

    def connect_failed(self) -> None:
        """Record a failure to open a connection."""
        self.connect_failures += 1
        self.connect_failed_ms = now_ms()

    @property
    def is_reachable(self) -> bool:
        """Return whether to try a connection; an unreachable upstream is tried once per second."""
        if self.connect_failures < UNREACHABLE_CONNECT_FAILURES:
            return True
        return now_ms() - self.connect_failed_ms >= CONNECT_PROBE_INTERVAL_MS

    @property
    def is_reported_unreachable(self) -> bool:
        """Return whether to report this upstream to the leader as unreachable."""
        return (
            self.connect_failures >= UNREACHABLE_CONNECT_FAILURES
            and now_ms() - self.connect_failed_ms < UNREACHABLE_REPORT_TTL_MS
        )

    @property
    def has_free_slot(self) -> bool:
        """Return whether it runs fewer requests than it has slots, as far as known."""
        return self.other_requests + self.in_flight < self.row.slots

    @property
    def closed_ms(self) -> float:
        """Return the time for which it should get no request, 0 if it may get one now."""
        pause_ms = self.statements.pause_left_ms
        if self.statements.brittle_per_s is None or self.has_free_slot:
            return pause_ms
        return max(pause_ms, self.reported_ms + _FULL_TTL_MS - now_ms())

    def begin_request(self) -> None:
        """Count a request that is about to be sent as in progress."""
        now = now_ms()
        if not self.in_flight:
            self.busy_since_ms = now
        self.in_flight += 1
        self.pending += 1
        self.activity.begin_request(now)

    def end_request(self) -> None:
        """Count a request as no longer in progress."""
        self.in_flight -= 1
        self.activity.end_request()

    def record_sign(self) -> None:
        """Record a sign of life."""
        now, silent_ms = now_ms(), self.silent_ms
        if silent_ms is not None and silent_ms >= _LONG_SILENCE_MS:
            self.long_silence_ms, self.long_silence_end_ms = silent_ms, now
        self.sign_ms = now
        self.activity.record_sign(now)

    @property
    def sign_age_ms(self) -> float:
        """Return the time since the last sign of life, infinite without one."""
        return now_ms() - self.sign_ms

    @property
    def silent_ms(self) -> float | None:
        """Return the time without a sign of life while requests are in progress.

        ``None`` without requests, since nothing is expected from it then.
        """
        if not self.in_flight:
            return None
        return now_ms() - max(self.sign_ms, self.busy_since_ms)

    def is_silent_for(self, last_ms: float) -> bool:
        """Return whether it has given no sign of life for longer while requests are in progress."""
        return self.silent_ms is not None and self.silent_ms > last_ms

    def has_revived_within(self, last_ms: float) -> bool:
        """Return whether a silence of more than this time ended within this time."""
        ended_ms = now_ms() - self.long_silence_end_ms
        return self.long_silence_ms > last_ms >= ended_ms

    def is_alive_for(self, last_ms: float) -> bool:
        """Return whether it has given signs of life, and was not silent for longer."""
        return self.sign_age_ms <= last_ms and not self.has_revived_within(last_ms)

    def observe_first_event(self, took_ms: float, load: float) -> None:
        """Add the time to the first event of a stream to the mean.

        :param took_ms: time from the start of the attempt.
        :param load: load at the start of the attempt.
        """
        first_event_ms_per_load = min(_MAX_FIRST_EVENT_MS_PER_LOAD, took_ms / (load + 1.0))
        if self.first_event_ms_per_load == 0.0:
            self.first_event_ms_per_load = first_event_ms_per_load
        self.first_event_ms_per_load += _FIRST_EVENT_WEIGHT * (
            first_event_ms_per_load - self.first_event_ms_per_load
        )

    def expected_first_ms(self) -> float:
        """Return the expected time to the first event of a stream, 0 when unknown."""
        return (self.load() + 1.0) * self.first_event_ms_per_load

    def observe_service_time(self, took_ms: float, weight: float) -> None:
        """Add the time of one response, or of one event of a stream, to the recent mean.

        :param weight: share of the new value in the mean.
        """
        if self.service_time_ms == 0.0:
            self.service_time_ms = took_ms
        self.service_time_ms += weight * (took_ms - self.service_time_ms)

    def observe_event_interval(self, interval_ms: float) -> None:
        """Add the time between two events of a stream to the shortest usual interval."""
        if self.event_interval_ms == 0.0:
            self.event_interval_ms = interval_ms
        is_shorter = interval_ms < self.event_interval_ms
        weight = _SHORTER_INTERVAL_WEIGHT if is_shorter else _LONGER_INTERVAL_WEIGHT
        self.event_interval_ms += weight * (interval_ms - self.event_interval_ms)
        self.event_ms = now_ms()

    def load(self) -> float:
        """Return the estimated load, in requests that delay a new one.

        An engine processes prompts one after the other and generates tokens for many requests in
        parallel. A new request waits for unprocessed prompts, and hardly for running requests.
        What was reported ages only until the upstream falls silent: it finishes nothing then.
        """
        age_ms = max(0.0, now_ms() - (self.silent_ms or 0.0) - self.reported_ms)
        fresh = 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
        waiting = self.pending + self.other_waiting * fresh
        running = self.in_flight - self.pending + (self.other_requests - self.other_waiting) * fresh
        return waiting + self.running_weight * running

    def update_other_load(self, count: int, pending: int) -> None:
        """Update the load of other entry instances from the sum that control instances report.

        A recent report of the upstream itself takes precedence.
        """
        if now_ms() - self.reported_ms < AGGREGATED_LOAD_AGE_MS:
            return
        self.other_requests = float(count)
        self.other_waiting = float(min(count, pending))
        self.reported_ms = now_ms() - AGGREGATED_LOAD_AGE_MS

    def update_from_report(self, load: LoadReport) -> None:
        """Update the load from a report in a response of the upstream."""
        self.other_requests = max(0.0, load.running + load.waiting - self.in_flight)
        self.other_waiting = min(self.other_requests, max(0.0, load.waiting - self.pending))
        self.reported_ms = now_ms()
        self.slowness, self.slowness_ms = load.slowness, now_ms()

    def current_slowness(self) -> float:
        """Return the stated slowness, believed at once and decaying to 1, the usual one."""
        if self.slowness is None:
            return 1.0
        age_ms = now_ms() - self.slowness_ms
        return 1.0 + (self.slowness - 1.0) * math.exp(-age_ms / SLOWNESS_DECAY_MS)

    def holds(self, model: str) -> bool:
        """Return whether the model is loaded and accepts requests."""
        if model in self.withheld or self._is_current(self.misses.get(model)):
            return False
        if self.refused_until_ms.get(model, 0.0) > now_ms():
            return False
        return any(held.name == model for held in self.row.models)

    def record_model_miss(self, model: str) -> None:
        """Ignore announcements of the model up to and including the latest one."""
        self.misses[model] = Miss(self.row.sequence, now_ms() + MISS_TTL_MS)

    def record_refusal(self, model: str) -> None:
        """Stop requests for a model that it refused, unless the refusal was for want of a slot.

        An instance that is cut off from the leader does not learn which models are unloaded.
        """
        if self.has_free_slot:
            self.refused_until_ms[model] = now_ms() + REFUSED_MODEL_TTL_MS

    def record_adapter_miss(self, model: str, adapter: str) -> None:
        """Treat the adapter as not loaded, whatever control or the latest announcement said."""
        self.adapters.pop((model, adapter), None)
        self.adapter_misses[(model, adapter)] = Miss(self.row.sequence, now_ms() + MISS_TTL_MS)

    def lacks_adapter(self, model: str, adapter: str) -> bool:
        """Return whether it lacked the adapter since its last announcement."""
        return self._is_current(self.adapter_misses.get((model, adapter)))

    def _is_current(self, miss: Miss | None) -> bool:
        return miss is not None and miss.sequence == self.row.sequence and now_ms() < miss.until_ms

    def announces_adapter(self, model: str, adapter: str) -> bool:
        """Return whether its last announcement lists the adapter."""
        if self.lacks_adapter(model, adapter):
            return False
        return any(held.name == model and adapter in held.adapters for held in self.row.models)

    def holds_adapter(self, model: str, adapter: str) -> bool:
        """Return whether the adapter was recently seen to be loaded."""
        return self.adapters.get((model, adapter), 0.0) > now_ms()
