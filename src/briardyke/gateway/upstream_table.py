"""Keep the states of the announced upstreams."""

from __future__ import annotations

import random
from itertools import chain, islice, zip_longest
from typing import TYPE_CHECKING

from briardyke.addresses import parse_address
from briardyke.clock import now_ms
from briardyke.connectivity.activity import LinkActivity
from briardyke.fleet.records import DRAINING, GONE, READY, is_valid_upstream
from briardyke.gateway.upstream_statements import FormerStatements
from briardyke.gateway.upstreams import UpstreamState
from briardyke.http.h11_client import ConnectionPool, RestLimit
from briardyke.logs import log_limited

if TYPE_CHECKING:
    from briardyke.fleet.records import ModelChanges, Upstream

# Time after the last event for which the interval is reported.
_EVENT_INTERVAL_TTL_MS = 10_000.0


class UpstreamTable:
    """States of the announced upstreams."""

    def __init__(self) -> None:
        self._states: dict[str, UpstreamState] = {}
        self.activity = LinkActivity()
        self._rest_limit = RestLimit()
        self._former = FormerStatements()
        self._software_versions: dict[str, set[str]] = {}

    def update(
        self, rows: dict[str, Upstream], changes: dict[str, ModelChanges]
    ) -> list[ConnectionPool]:
        """Apply announced rows and the model changes that are in progress.

        A row without a usable address is left out, and the other rows are applied all the same:
        control instances that have restarted know only the id of an upstream that departs.

        :return: connection pools of upstreams that are no longer used.
        """
        self._software_versions = {}
        for row in rows.values():
            self._software_versions.setdefault(row.service, set()).add(row.software_version)
        retired = []
        for upstream_id in [i for i in self._states if i not in rows]:
            retired.append(self._retire(upstream_id))
        for upstream_id, row in rows.items():
            state = self._states.get(upstream_id)
            if state is None or _is_different_process(state.row, row):
                if state is not None:
                    retired.append(self._retire(upstream_id))
                if not _has_address(row):
                    continue
                address = parse_address(row.address)
                pool = ConnectionPool(address, self._rest_limit, self.activity)
                statements = self._former.restore(row)
                self._states[upstream_id] = UpstreamState(
                    row, pool, statements=statements, activity=self.activity
                )
            else:
                state.row = row
            if upstream_id in changes:
                self._states[upstream_id].withheld = frozenset(changes[upstream_id].withheld)
                self._states[upstream_id].available_at_ms = changes[upstream_id].arriving_ms
        return retired

    def _retire(self, upstream_id: str) -> ConnectionPool:
        state = self._states.pop(upstream_id)
        self._former.keep(state.row, state.statements)
        return state.pool

    def of_service(self, service: str) -> list[UpstreamState]:
        """Return all known upstreams of a service."""
        return [state for state in self._states.values() if state.row.service == service]

    def usable(self, service: str) -> list[UpstreamState]:
        """Return the ready upstreams of a service, or else those that are not leaving."""
        rows = [s for s in self.of_service(service) if not s.statements.is_leaving]
        ready = [s for s in rows if s.row.lifecycle == READY]
        return ready or [s for s in rows if s.row.lifecycle not in (DRAINING, GONE)]

    def reachable(self, service: str, software_version: str | None = None) -> list[UpstreamState]:
        """Return the usable upstreams of a service to which a connection may be tried.

        :param software_version: only those of this version.
        """
        return [
            state
            for state in self.usable(service)
            if state.is_reachable and software_version in (None, state.row.software_version)
        ]

    def serves_only_others(self, service: str, software_version: str) -> bool:
        """Return whether a service has usable upstreams, none of them of a software version."""
        usable = self.usable(service)
        return bool(usable) and all(s.row.software_version != software_version for s in usable)

    def software_versions(self, service: str) -> set[str]:
        """Return the software versions of all known upstreams of a service."""
        return self._software_versions.get(service, set())

    def update_other_load(self, other_requests: dict[str, list[int]]) -> None:
        """Update the load of other entry instances by upstream; it is zero for those not listed."""
        for upstream_id, state in self._states.items():
            count, pending = other_requests.get(upstream_id, (0, 0))
            state.update_other_load(count, pending)

    def in_flight(self) -> dict[str, list[int]]:
        """Return the requests of this instance by upstream: all, and those not yet responded to."""
        return {i: [s.in_flight, s.pending] for i, s in self._states.items() if s.in_flight}

    def event_intervals_ms(self) -> dict[str, float]:
        """Return the shortest usual time between events, by upstream with recent streams."""
        limit_ms = now_ms() - _EVENT_INTERVAL_TTL_MS
        return {
            i: round(s.event_interval_ms, 1)
            for i, s in self._states.items()
            if s.event_interval_ms > 0 and s.event_ms >= limit_ms
        }

    def unreachable(self) -> list[str]:
        """Return the ids of upstreams to report as unreachable."""
        return [i for i, state in self._states.items() if state.is_reported_unreachable]

    def sample(self, count: int) -> list[UpstreamState]:
        """Return some usable upstreams at random, as many of each service as possible."""
        by_service: dict[str, list[UpstreamState]] = {}
        for state in self._states.values():
            if state.row.lifecycle == READY and not state.statements.is_leaving:
                by_service.setdefault(state.row.service, []).append(state)
        drawn = [random.sample(states, min(count, len(states))) for states in by_service.values()]
        in_turn = chain.from_iterable(zip_longest(*drawn))
        return list(islice((state for state in in_turn if state is not None), count))

    def get(self, upstream_id: str) -> UpstreamState | None:
        """Return the state of an upstream."""
        return self._states.get(upstream_id)

    def pools(self) -> list[ConnectionPool]:
        """Return the connection pools of all upstreams."""
        return [state.pool for state in self._states.values()]


def _has_address(row: Upstream) -> bool:
    if is_valid_upstream(row):
        return True
    if row.lifecycle != GONE:
        log_limited("upstream_unusable", is_routine=False, upstream=row.upstream_id)
    return False


def _is_different_process(known: Upstream, row: Upstream) -> bool:
    return (known.incarnation, known.address) != (row.incarnation, row.address)
