"""Hold what an entry instance knows of each upstream beside its announcements."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.addresses import parse_address
from briardyke.clock import now_ms
from briardyke.fleet.records import DRAINING, GONE, READY, ModelChanges, Upstream
from briardyke.http.h11_client import ConnectionPool, RestLimit
from briardyke.policy.ejection import UpstreamHealth

if TYPE_CHECKING:
    from briardyke.gateway.dialect import LoadReport

# Load that other entry instances caused counts half after this time without a new report.
REPORT_HALF_LIFE_MS = 1500.0
# Age of the requests of other instances as control instances pass them on: a part of the intervals
# of the reports, the sums and the answers.
SUM_AGE_MS = 400.0
# One connection may fail because the upstream has closed its door to a burst.
UNREACHABLE_AFTER = 2
# A restarted process listens again within about a second.
CONNECT_PROBE_MS = 1000.0
# Failures older than this say little about now; requests for a rare model are seconds apart.
UNREACHABLE_REPORT_MS = 3000.0
# Two heartbeats of an upstream at 1.2 s; by then it has announced what it holds.
MISS_MS = 2500.0
# Reading a prompt takes an engine about seven times as long as the part of its steps that one
# running request adds while it lasts.
ENGINE_RUNNING_WEIGHT = 0.15
# The last half dozen streams; a single one that met a stall counts as if it took this long.
_UNIT_WEIGHT = 0.15
_MAX_UNIT_MS = 500.0


@attrs.frozen
class Miss:
    """Remember that an upstream refused a request for want of a model or adapter.

    :param sequence: its announcement at that time; a newer one is believed again.
    :param until_ms: time until which the announcement is doubted.
    """

    sequence: int
    until_ms: float


@attrs.define
class UpstreamState:
    """Hold one upstream's row and this instance's own evidence.

    :param row: its latest announcement.
    :param pool: connections to it.
    :param gate: part of its usual traffic that it receives.
    :param in_flight: requests of this instance that it runs or holds.
    :param pending: those of them that have not begun to answer.
    :param others: requests of other instances at the last report.
    :param others_waiting: those of them that had not begun to run.
    :param running_weight: how much a running request delays a new one, against a waiting one.
    :param reported_ms: time of the last report.
    :param unit_ms: time to the first event for each unit of load, 0 when unknown.
    :param pace_ms: recent mean time of an answer, or between two events of a stream; 0 for none.
    :param connect_failures: connections that could not be opened since the last one that could.
    :param connect_failed_ms: time of the last of them.
    :param withheld: models that get no new requests.
    :param arrivals_ms: time at which each model on its way should be there.
    :param misses: models that it turned out not to hold.
    :param adapters: time until which each adapter is trusted to be there, by model and name.
    :param adapter_misses: adapters that it turned out not to hold.
    """

    row: Upstream
    pool: ConnectionPool
    gate: UpstreamHealth = attrs.field(factory=UpstreamHealth)
    in_flight: int = 0
    pending: int = 0
    others: float = 0.0
    others_waiting: float = 0.0
    running_weight: float = 1.0
    unit_ms: float = 0.0
    reported_ms: float = 0.0
    pace_ms: float = 0.0
    connect_failures: int = 0
    connect_failed_ms: float = 0.0
    withheld: frozenset[str] = frozenset()
    arrivals_ms: dict[str, float] = attrs.field(factory=dict)
    misses: dict[str, Miss] = attrs.field(factory=dict)
    adapters: dict[tuple[str, str], float] = attrs.field(factory=dict)
    adapter_misses: dict[tuple[str, str], Miss] = attrs.field(factory=dict)

    def connect_failed(self) -> None:
        """Count a connection that could not be opened."""
        self.connect_failures += 1
        self.connect_failed_ms = now_ms()

    @property
    def is_reachable(self) -> bool:
        """Return whether a connection is worth trying; every second one request finds out."""
        if self.connect_failures < UNREACHABLE_AFTER:
            return True
        return now_ms() - self.connect_failed_ms >= CONNECT_PROBE_MS

    @property
    def is_reported_unreachable(self) -> bool:
        """Return whether the leader should hear that this upstream cannot be reached."""
        return (
            self.connect_failures >= UNREACHABLE_AFTER
            and now_ms() - self.connect_failed_ms < UNREACHABLE_REPORT_MS
        )

    def observe_first(self, took_ms: float, load: float) -> None:
        """Learn from the time to the first event of a stream.

        :param took_ms: time from the dispatch.
        :param load: load at the dispatch.
        """
        unit_ms = min(_MAX_UNIT_MS, took_ms / (load + 1.0))
        if self.unit_ms == 0.0:
            self.unit_ms = unit_ms
        self.unit_ms += _UNIT_WEIGHT * (unit_ms - self.unit_ms)

    def expected_first_ms(self) -> float:
        """Return the expected time to the first event of a stream, 0 when nothing is known."""
        return (self.load() + 1.0) * self.unit_ms

    def observe_pace(self, took_ms: float, weight: float) -> None:
        """Add the time of one answer, or of one event of a stream, to the recent mean.

        :param weight: share of the new value in the mean.
        """
        if self.pace_ms == 0.0:
            self.pace_ms = took_ms
        self.pace_ms += weight * (took_ms - self.pace_ms)

    def load(self) -> float:
        """Return the estimated load, in requests that delay a new one.

        Load: an engine reads prompts one after the other and generates for many requests at once,
        so a new request waits for those that are not read yet and hardly for those that run.
        """
        age_ms = now_ms() - self.reported_ms
        fresh = 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
        waiting = self.pending + self.others_waiting * fresh
        running = self.in_flight - self.pending + (self.others - self.others_waiting) * fresh
        return waiting + self.running_weight * running

    def take_others(self, count: int, pending: int) -> None:
        """Take the requests of other entry instances as the control instances add them up.

        What the upstream itself has just said is newer.
        """
        if now_ms() - self.reported_ms < SUM_AGE_MS:
            return
        self.others = float(count)
        self.others_waiting = float(min(count, pending))
        self.reported_ms = now_ms() - SUM_AGE_MS

    def take_report(self, load: LoadReport) -> None:
        """Take a load report that came with an answer."""
        self.others = max(0.0, load.running + load.waiting - self.in_flight)
        self.others_waiting = min(self.others, max(0.0, load.waiting - self.pending))
        self.reported_ms = now_ms()

    def holds(self, model: str) -> bool:
        """Return whether the model is in its memory."""
        if model in self.withheld or self._is_current(self.misses.get(model)):
            return False
        return any(held.name == model for held in self.row.models)

    def missed(self, model: str) -> None:
        """Believe no announcement up to the present one that the model is in its memory."""
        self.misses[model] = Miss(self.row.sequence, now_ms() + MISS_MS)

    def adapter_missed(self, model: str, adapter: str) -> None:
        """Believe neither control nor announcements that the adapter is in its memory."""
        self.adapters.pop((model, adapter), None)
        self.adapter_misses[(model, adapter)] = Miss(self.row.sequence, now_ms() + MISS_MS)

    def lacks_adapter(self, model: str, adapter: str) -> bool:
        """Return whether it said so since its last announcement."""
        return self._is_current(self.adapter_misses.get((model, adapter)))

    def _is_current(self, miss: Miss | None) -> bool:
        return miss is not None and miss.sequence == self.row.sequence and now_ms() < miss.until_ms

    def announces_adapter(self, model: str, adapter: str) -> bool:
        """Return whether its last announcement named the adapter."""
        if self.lacks_adapter(model, adapter):
            return False
        return any(held.name == model and adapter in held.adapters for held in self.row.models)

    def holds_adapter(self, model: str, adapter: str) -> bool:
        """Return whether the adapter was seen in its memory."""
        return self.adapters.get((model, adapter), 0.0) > now_ms()


class UpstreamTable:
    """Follow the announced upstreams."""

    def __init__(self) -> None:
        self._states: dict[str, UpstreamState] = {}
        self._rest_limit = RestLimit()

    def adopt(
        self, rows: dict[str, Upstream], changes: dict[str, ModelChanges]
    ) -> list[ConnectionPool]:
        """Take the announced rows and what orders change in the memory of upstreams.

        :return: the pools of upstreams that are no longer used."""
        retired = []
        for upstream_id in [i for i in self._states if i not in rows]:
            retired.append(self._states.pop(upstream_id).pool)
        for upstream_id, row in rows.items():
            state = self._states.get(upstream_id)
            if state is None or _is_other_process(state.row, row):
                if state is not None:
                    retired.append(state.pool)
                pool = ConnectionPool(parse_address(row.address), self._rest_limit)
                self._states[upstream_id] = UpstreamState(row, pool)
            else:
                state.row = row
            if upstream_id in changes:
                self._states[upstream_id].withheld = frozenset(changes[upstream_id].withheld)
                self._states[upstream_id].arrivals_ms = changes[upstream_id].arriving_ms
        return retired

    def usable(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service that take new work, or else those that are silent."""
        rows = [s for s in self._states.values() if s.row.service == service]
        ready = [s for s in rows if s.row.lifecycle == READY]
        return ready or [s for s in rows if s.row.lifecycle not in (DRAINING, GONE)]

    def reachable(self, service: str) -> list[UpstreamState]:
        """Return the usable upstreams of a service to which a connection is worth trying."""
        return [state for state in self.usable(service) if state.is_reachable]

    def take_others(self, others: dict[str, list[int]]) -> None:
        """Take the requests of other entry instances by upstream; none for those not named."""
        for upstream_id, state in self._states.items():
            count, pending = others.get(upstream_id, (0, 0))
            state.take_others(count, pending)

    def in_flight(self) -> dict[str, list[int]]:
        """Return the requests of this instance by upstream: all, and those that have not begun."""
        return {i: [s.in_flight, s.pending] for i, s in self._states.items() if s.in_flight}

    def unreachable(self) -> list[str]:
        """Return the ids of upstreams to which no connection can be opened."""
        return [i for i, state in self._states.items() if state.is_reported_unreachable]

    def get(self, upstream_id: str) -> UpstreamState | None:
        """Return an upstream's state."""
        return self._states.get(upstream_id)

    def pools(self) -> list[ConnectionPool]:
        """Return the connections to all upstreams."""
        return [state.pool for state in self._states.values()]


def _is_other_process(held: Upstream, row: Upstream) -> bool:
    return (held.incarnation, held.address) != (row.incarnation, row.address)
