"""State of an entry process and its periodic updates."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from briardyke.addresses import parse_address
from briardyke.agreed.projection import Projection
from briardyke.clock import now_ms, wall_unix_ms
from briardyke.entry.announcements import parse_announcement
from briardyke.entry.authentication import caller_keys
from briardyke.entry.demand import DemandMeter
from briardyke.logs import log_error, log_event, log_warning
from briardyke.policy.admission import AdmissionController
from briardyke.policy.limits import RequestLimiter
from briardyke.policy.retries import RetryBudget
from briardyke.policy.routing import RoutingTable
from briardyke.sync.client import SyncReport
from briardyke.sync.instances import INSTANCE_SILENCE_MS, Lifecycle
from briardyke.sync.view import SyncedView
from briardyke.wire.messages import InstanceStatus

if TYPE_CHECKING:
    from briardyke.addresses import Address
    from briardyke.agreed.configuration import Configuration
    from briardyke.entry.settings import EntrySettings
    from briardyke.http.client import HttpClient

TICK_MS = 100.0
LIVENESS_REFRESH_INTERVAL_MS = 500.0
# Age of an announcement at which its upstream is probed; leaves time for two probes within the
# silence limit of 3000 ms.
PROBE_ANNOUNCEMENT_AGE_MS = 2000.0
_PROBES_PER_TICK = 16
_PROBE_TIMEOUT_MS = 500.0


class EntryState:
    """State that the routes and background tasks of an entry process share."""

    def __init__(self, settings: EntrySettings, address: Address) -> None:
        """Create an empty state.

        :param settings: settings of the process.
        :param address: address that callers are told to use.
        """
        self.settings = settings
        self.address = address
        self.view = SyncedView(now_ms())
        self.projection = Projection()
        self.keys = caller_keys({})
        self.draining = False
        self.in_flight = 0
        self.demand = DemandMeter()
        rng = random.Random(settings.seed) if settings.seed else random.Random()
        self.routing_table = RoutingTable(settings.routing_policy, settings.data_centre, rng)
        self.request_limiter = RequestLimiter()
        self.admission = AdmissionController(self.routing_table, rng)
        self.retry_budget = RetryBudget()
        self._probed_ids: set[str] = set()
        self._report_number = 0
        self._routed_sequence = 0
        self._liveness_refreshed_at_ms = 0.0

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.projection.configuration

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return self.projection.version

    def lifecycle(self) -> Lifecycle:
        """Return the lifecycle state that this process reports."""
        if self.draining:
            return Lifecycle.DRAINING
        return Lifecycle.READY if self.ready() else Lifecycle.STARTING

    def ready(self) -> bool:
        """Return whether requests are admitted: the newest version is in force and confirmed."""
        self._adopt_version()  # a version received since the last tick counts at once
        newest = self.view.documents.version
        return 0 < self.version == newest and self.view.lease.valid(now_ms())

    def isolated(self) -> bool:
        """Return whether the last contact with the leader is too old to send callers here."""
        age_ms = self.view.lease.age_ms(now_ms())
        return age_ms is None or age_ms > INSTANCE_SILENCE_MS

    def report(self) -> SyncReport:
        """Build the report of one sync."""
        now = now_ms()
        status = InstanceStatus(
            instance_id=self.settings.instance_id,
            data_centre=self.settings.data_centre,
            address=str(self.address),
            weight=self.settings.weight,
            lifecycle=self.lifecycle().value,
            report_number=self._next_report_number(),
            share_demand=self.request_limiter.take_demand(now),
            held_shares=self.request_limiter.held_shares(now),
        )
        return SyncReport([status], self.demand.rates(now))

    def _next_report_number(self) -> int:
        # The wall clock is the lower bound, so that numbers also increase across restarts.
        self._report_number = max(self._report_number + 1, wall_unix_ms())
        return self._report_number

    def tick(self) -> None:
        """Apply what has been received since the last tick."""
        now = now_ms()
        self._adopt_version()
        self._apply_shares()
        self._update_routing_table(now)
        self.routing_table.tick(now)

    def _adopt_version(self) -> None:
        documents = self.view.documents
        accepted = self.projection.accept(documents.version, documents.document)
        if accepted.is_err():
            # The process stays not ready, because it must not act on an older version.
            log_error("version_unreadable", reason=accepted.unwrap_err().message)
        elif accepted.unwrap():
            self.admission.apply(self.configuration.targets)
            self.keys = caller_keys(self.configuration.callers)
            log_event("version_in_force", version=self.version)

    def _apply_shares(self) -> None:
        shares = self.view.shares.get(self.settings.instance_id, [])
        self.request_limiter.apply(
            self.configuration.limits, shares, self.view.lease.expires_at_ms()
        )

    def _update_routing_table(self, now: float) -> None:
        digest = self.view.digest
        for row in digest.changes_since(self._routed_sequence, now):
            self.routing_table.observe(row, now)
        self._routed_sequence = digest.sequence
        if now - self._liveness_refreshed_at_ms >= LIVENESS_REFRESH_INTERVAL_MS:
            self._liveness_refreshed_at_ms = now
            for upstream_id, heard_at_ms in digest.heard_at_ms():
                self.routing_table.mark_alive(upstream_id, heard_at_ms)
        for upstream_id in digest.forget_silent(now):
            self.routing_table.remove(upstream_id)

    async def run_updates(self) -> None:
        """Tick until cancelled: periodically, and at once when a sync changes the view."""
        while True:
            self.tick()
            await self.view.changed.wait(TICK_MS)

    async def run_probes(self, client: HttpClient) -> None:
        """Probe upstreams whose last announcement is old, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                stale = self.view.digest.older_than(PROBE_ANNOUNCEMENT_AGE_MS, now_ms())
                for row in stale[:_PROBES_PER_TICK]:
                    if row.upstream_id not in self._probed_ids:
                        self._probed_ids.add(row.upstream_id)
                        nursery.start_soon(self._probe, client, row.upstream_id, row.address)
                await trio.sleep(TICK_MS / 1000.0)

    async def _probe(self, client: HttpClient, upstream_id: str, address: str) -> None:
        sent_at_ms = now_ms()
        try:
            response = await client.call(
                "GET", parse_address(address), "/health", timeout_ms=_PROBE_TIMEOUT_MS
            )
            if response.is_err():
                return
            row = parse_announcement(response.unwrap().body, now_ms() - sent_at_ms)
            if row.is_ok() and row.unwrap().upstream_id == upstream_id:
                self.view.digest.observe(row.unwrap(), now_ms())
            elif row.is_err():
                log_warning("probe_answer_invalid", upstream=upstream_id)
        finally:
            self._probed_ids.discard(upstream_id)
