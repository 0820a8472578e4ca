"""Assemble and run an entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.clock import now_ms, sleep_ms
from briardyke.entry.caller_api import CallerApi
from briardyke.entry.claim_client import ControlClaimClient
from briardyke.entry.relay import Relay
from briardyke.entry.relay_jobs import RelayPolicy
from briardyke.entry.state import EntryState
from briardyke.entry.upstream_api import UpstreamApi
from briardyke.http.app import HttpApp, Request, Response, json_response, serve_http
from briardyke.http.client import HttpClient
from briardyke.http.memory_budget import MemoryBudget
from briardyke.http.memory_queue import MemoryQueue
from briardyke.logs import log_event, log_warning
from briardyke.metrics import PAGE_CONTENT_TYPE, page_of
from briardyke.sync.client import SyncClient
from briardyke.wire.connection import PROTOCOL_VERSION, Hello
from briardyke.wire.pool import PeerPool
from briardyke.wire.statistics import STATISTICS

if TYPE_CHECKING:
    from briardyke.entry.settings import EntrySettings

_STOP_REPORT_TIMEOUT_MS = 2000.0
_LISTING_POLL_MS = 20.0


class EntryProcess:
    """Serve callers on one entry instance."""

    def __init__(self, settings: EntrySettings, nursery: trio.Nursery) -> None:
        """Create the components of the process.

        :param settings: settings of the process.
        :param nursery: runs the connections to control processes.
        """
        self.settings = settings
        self.state = EntryState(settings, settings.advertise or settings.listen)
        hello = Hello(PROTOCOL_VERSION, settings.cluster_id, settings.instance_id)
        self._peers = PeerPool(nursery, hello)
        self._client = HttpClient()
        self._memory = MemoryQueue(MemoryBudget.of_machine(settings.memory_mb))
        self._relay = Relay(
            self.state.routing_table,
            self._client,
            self.state.retry_budget,
            ControlClaimClient(self._peers, settings.control_addresses),
            RelayPolicy(
                coalesce_ms=settings.coalesce_ms, claim_timeout_ms=settings.claim_timeout_ms
            ),
        )

    async def run(self, stop: trio.Event) -> None:
        """Run until ``stop`` is set and every request in flight is finished.

        :raises OSError: when the address cannot be bound.
        """
        settings = self.settings
        http_stop = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(self._relay.run)
            nursery.start_soon(self._sync_client().run)
            nursery.start_soon(self.state.run_updates)
            nursery.start_soon(self.state.run_probes, self._client)
            async with trio.open_nursery() as serving:
                bound = await serving.start(
                    serve_http,
                    self._http_app(),
                    settings.listen,
                    http_stop,
                    settings.graceful_timeout_ms / 1000.0,
                )
                log_event("entry_started", instance=settings.instance_id, listen=bound)
                await stop.wait()
                await self._drain()
                http_stop.set()
            log_event("entry_stopped", instance=settings.instance_id)
            nursery.cancel_scope.cancel()

    def _sync_client(self) -> SyncClient:
        return SyncClient(
            self.settings.instance_id,
            self._peers,
            lambda: self.settings.control_addresses,
            self.state.view,
            self.state.report,
            self.settings.upstream_data_centres,
            wait_ms=self.settings.sync_wait_ms,
            with_load=self.settings.load_reports,
        )

    async def _drain(self) -> None:
        """Leave the address responses and wait until cached ones have expired.

        Requests that arrive in the meantime are still served.
        """
        state = self.state
        state.draining = True
        log_event("draining", instance=self.settings.instance_id, in_flight=state.in_flight)
        give_up_at_ms = now_ms() + _STOP_REPORT_TIMEOUT_MS
        while self._still_listed() and now_ms() < give_up_at_ms:
            await sleep_ms(_LISTING_POLL_MS)
        if self._still_listed():
            log_warning("still_listed", instance=self.settings.instance_id)
        await sleep_ms(self.settings.address_ttl_ms + self.settings.drain_margin_ms)

    def _still_listed(self) -> bool:
        return any(s.instance_id == self.settings.instance_id for s in self.state.view.listed)

    def _http_app(self) -> HttpApp:
        app = HttpApp(
            self.settings.body_limit_bytes, self.settings.body_timeout_ms / 1000.0, self._memory
        )
        CallerApi(self.state, self._relay).register(app)
        UpstreamApi(self.state).register(app)
        app.route("GET", "/health", self._get_health)
        app.route("GET", "/ready", self._get_ready)
        app.route("GET", "/metrics", self._get_metrics)
        return app

    async def _get_health(self, request: Request) -> Response:
        state = self.state
        body = {
            "status": "ok",
            "lifecycle": state.lifecycle().value,
            "version": state.version,
            "confirmed_age_ms": state.view.lease.age_ms(now_ms()),
            "in_flight": state.in_flight,
            "upstreams": sorted(
                row.upstream_id
                for row in state.view.digest.alive(now_ms()).values()
                if row.lifecycle == "ready"
            ),
        }
        return json_response(body)

    async def _get_ready(self, request: Request) -> Response:
        ready = self.state.ready() and not self.state.draining
        return json_response({"ready": ready}, 200 if ready else 503)

    async def _get_metrics(self, request: Request) -> Response:
        page = page_of(STATISTICS.figures() | self._memory.budget.figures(now_ms()))
        return Response(200, page, {"content-type": PAGE_CONTENT_TYPE})


async def run_entry(settings: EntrySettings, stop: trio.Event) -> None:
    """Run an entry process until ``stop`` is set and its work is finished."""
    async with trio.open_nursery() as nursery:
        await EntryProcess(settings, nursery).run(stop)
        nursery.cancel_scope.cancel()
