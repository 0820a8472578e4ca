"""Probe upstreams when all links to them may be lost, and keep the verdict."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from briardyke.clock import now_ms
from briardyke.connectivity.verdict import (
    Probe,
    ProbeResult,
    Suspicion,
    are_links_lost,
    are_refused,
    find_suspicion,
)
from briardyke.http.h11_client import UpstreamError
from briardyke.logs import log_event, log_limited

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from briardyke.gateway.counters import Counters
    from briardyke.gateway.upstream_table import UpstreamTable
    from briardyke.gateway.upstreams import UpstreamState

_CHECK_INTERVAL_S = 0.1
# Probes of one round, over all services and data centres; a few upstreams may be down as well.
_PROBE_COUNT = 5
_PROBE_TIMEOUT_S = 0.4
# Shortest time between two rounds, which bounds the connections opened because of upstreams that
# stay unreachable.
ROUND_INTERVAL_MS = 1000.0
_LOST_ROUND_INTERVAL_MS = 400.0
# Age of a verdict that is as of now.
FRESH_MS = 200.0


class ConnectivityMonitor:
    """Know whether this instance has lost its links to all upstreams."""

    def __init__(
        self, upstreams: UpstreamTable, counters: Counters, is_listed: Callable[[], bool]
    ) -> None:
        """Watch the connections to the announced upstreams.

        :param upstreams: the announced upstreams.
        :param counters: counts the rounds of probes.
        :param is_listed: returns whether callers are told of this instance, for the log.
        """
        self.is_lost = False
        self.keeps_connections = True
        self.on_change: Callable[[], None] | None = None
        self._interruptible: dict[trio.CancelScope, Callable[[], bool]] = {}
        self._upstreams = upstreams
        self._counters = counters
        self._is_listed = is_listed
        self._checked_ms = float("-inf")
        self._probing = trio.Lock()
        self._lost_since_ms = 0.0
        counters.gauges["gateway_upstream_links_lost"] = lambda: float(self.is_lost)

    @contextmanager
    def interrupting(self, may_interrupt: Callable[[], bool]) -> Iterator[trio.CancelScope]:
        """Cancel what runs in the context when all links are lost, if it may be then."""
        with trio.CancelScope() as scope:
            self._interruptible[scope] = may_interrupt
            try:
                yield scope
            finally:
                del self._interruptible[scope]

    async def run(self) -> None:
        """Check the links until cancelled."""
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            await self._check()

    async def _check(self) -> None:
        suspicion = find_suspicion(self._upstreams.activity, self._checked_ms)
        if self.is_lost:
            await self._confirm(_LOST_ROUND_INTERVAL_MS, suspicion)
        elif suspicion is not None:
            await self._confirm(ROUND_INTERVAL_MS, suspicion)

    async def has_links(self, max_age_ms: float = FRESH_MS) -> bool:
        """Return whether an upstream can be reached.

        :param max_age_ms: age up to which the verdict of a round is not confirmed by another one.
        """
        await self._confirm(max_age_ms, None)
        return not self.is_lost

    async def _confirm(self, max_age_ms: float, suspicion: Suspicion | None) -> None:
        """Probe the links unless the last whole round began recently."""
        async with self._probing:
            if now_ms() - self._checked_ms >= max_age_ms:
                await self._run_round(suspicion)

    async def _run_round(self, suspicion: Suspicion | None) -> None:
        started_ms = now_ms()
        probes = await self._probe(self._upstreams.sample(_PROBE_COUNT))
        self._checked_ms = started_ms
        has_received = self._upstreams.activity.received_ms > started_ms
        is_lost = are_links_lost(probes, has_received=has_received)
        self.keeps_connections = not is_lost or are_refused(probes)
        self._counters.count("upstream_links_probed")
        if is_lost != self.is_lost:
            self._switch(is_lost, suspicion, probes)
        elif not is_lost and suspicion is not None:
            fields = self._log_fields(suspicion, probes)
            log_limited("upstream_links_sound", is_routine=False, **fields)

    async def _probe(self, states: list[UpstreamState]) -> list[Probe]:
        """Open a connection to each upstream at the same time, and keep those that open."""
        probes: list[Probe] = []

        async def probe(state: UpstreamState) -> None:
            result = ProbeResult.SILENT
            with trio.move_on_after(_PROBE_TIMEOUT_S):
                try:
                    await state.pool.open_idle()
                    result = ProbeResult.OPENED
                except UpstreamError:
                    result = ProbeResult.REFUSED
            probes.append(Probe(state.row.upstream_id, state.row.service, result))

        async with trio.open_nursery() as nursery:
            for state in states:
                nursery.start_soon(probe, state)
        return probes

    def _switch(self, is_lost: bool, suspicion: Suspicion | None, probes: list[Probe]) -> None:
        self.is_lost = is_lost
        if is_lost:
            self._lost_since_ms = now_ms()
            self._counters.count("upstream_links_lost")
            fields = self._log_fields(suspicion, probes)
            log_limited("upstream_links_lost", is_routine=False, **fields)
        else:
            log_event(
                "upstream_links_restored",
                lost_ms=round(now_ms() - self._lost_since_ms),
                listed=self._is_listed(),
            )
        if self.on_change is not None:
            self.on_change()
        if is_lost:
            self._interrupt()

    def _interrupt(self) -> None:
        for scope in [s for s, may_interrupt in self._interruptible.items() if may_interrupt()]:
            scope.cancel()

    def _log_fields(self, suspicion: Suspicion | None, probes: list[Probe]) -> dict[str, object]:
        activity = self._upstreams.activity
        return {
            "suspicion": suspicion.value if suspicion else "",
            "probes": ",".join(f"{p.upstream_id}:{p.service}:{p.result.value}" for p in probes),
            "in_flight": activity.in_flight,
            "silent_ms": round(activity.silent_ms),
            "listed": self._is_listed(),
        }
