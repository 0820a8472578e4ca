"""Assemble and run a control process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio
from result import Err, Ok, Result

from briardyke.clock import now_ms
from briardyke.consensus.folder_lock import FolderLock
from briardyke.consensus.identity import open_identity
from briardyke.consensus.members import MemberChange
from briardyke.consensus.state import Role
from briardyke.control.groups import CONTROL_GROUP, ConsensusGroup, open_groups
from briardyke.control.handlers import HandlerContext, handle
from briardyke.control.leadership import ControlLeadershipView
from briardyke.control.operator_api import MemberInfo, register_operator_routes
from briardyke.control.registration import UpstreamRegistrar
from briardyke.control.reservations import ReservationProposer
from briardyke.control.shares import ShareGranter
from briardyke.http.app import HttpApp, Response, json_response, serve_http
from briardyke.http.client import HttpClient
from briardyke.logs import log_event
from briardyke.metrics import PAGE_CONTENT_TYPE, page_of
from briardyke.placement.executor import PlacementRunner
from briardyke.placement.types import PlacementView
from briardyke.sync.client import SyncClient, SyncReport
from briardyke.sync.responder import Responder
from briardyke.sync.view import SyncedView
from briardyke.wire.connection import PROTOCOL_VERSION, Hello, serve_peers
from briardyke.wire.pool import PeerPool
from briardyke.wire.statistics import STATISTICS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardyke.addresses import Address
    from briardyke.agreed.machine import ControlMachine
    from briardyke.control.settings import ControlSettings
    from briardyke.errors import Failure
    from briardyke.http.app import Request

# Below the shortest election timeout: a former leader stops sending orders before a new one starts.
LEADER_LEASE_MS = 900.0
_TASK_INTERVAL_MS = 100.0
_TRANSFER_TIMEOUT_MS = 2000.0


class ControlProcess:
    """Run the agreed state, the sync responder, the leader tasks and the operator API."""

    def __init__(
        self, settings: ControlSettings, groups: dict[str, ConsensusGroup], peers: PeerPool
    ) -> None:
        """Create the parts without starting them.

        :param settings: settings of the process.
        :param groups: opened consensus groups.
        :param peers: connections to other processes.
        """
        self.settings = settings
        self.groups = groups
        self._peers = peers
        self._control = groups[CONTROL_GROUP]
        self._machine: ControlMachine = self._control.machine  # type: ignore[assignment]
        self._projection = self._machine.projection
        self.view = SyncedView(now_ms())
        self._shares = ShareGranter(self._projection, self._machine.kept_limit_ids)
        self._leadership = ControlLeadershipView(self._control.log, self.view, self._shares)
        self.responder = Responder(
            self.view.digest, self.view.documents, self.view.changed, self._leadership
        )
        self._leadership.instance_table = self.responder.instances
        self._context = HandlerContext(groups, settings.claim_shards, self.responder)
        self._client = HttpClient()
        self._registrar = UpstreamRegistrar(self._projection, self._control.proposer)
        self._placement = PlacementRunner(
            ReservationProposer(self._control.proposer),
            self._placement_view,
            self._may_order,
            self._client,
        )

    async def run(self, stop: trio.Event) -> None:
        """Run until ``stop`` is set, then transfer leadership and stop.

        :raises OSError: when an address cannot be bound or the disk fails.
        """
        async with trio.open_nursery() as nursery:
            for group in self.groups.values():
                await nursery.start(group.log.run)
            hello = Hello(PROTOCOL_VERSION, self.settings.cluster_id, self.settings.instance_id)
            await nursery.start(serve_peers, self.settings.peer_listen, hello, self._handle)
            http_stop = trio.Event()
            await nursery.start(
                serve_http, self._http_app(), self.settings.http_listen, http_stop, 5.0
            )
            nursery.start_soon(self._run_periodic_tasks)
            nursery.start_soon(self._sync_client().run)
            if self.settings.placement:
                nursery.start_soon(self._placement.run)
            log_event(
                "control_started",
                instance=self.settings.instance_id,
                member=self._control.log.status().member_id,
                version=self._projection.version,
            )
            await stop.wait()
            log_event("control_stopping", instance=self.settings.instance_id)
            for group in self.groups.values():
                await group.log.transfer_leadership(_TRANSFER_TIMEOUT_MS)
            http_stop.set()
            nursery.cancel_scope.cancel()

    async def _handle(self, peer_id: str, message: Any) -> Any:
        return await handle(message, self._context, peer_id)

    def _sync_client(self) -> SyncClient:
        return SyncClient(
            self.settings.instance_id,
            self._peers,
            self._leader_addresses,
            self.view,
            self._report,
            wait_ms=self.settings.sync_wait_ms,
            with_load=self.settings.load_reports,
        )

    def _leader_addresses(self) -> Sequence[Address]:
        status = self._control.log.status()
        if status.role is Role.LEADER or status.leader_address is None:
            return ()
        return (status.leader_address,)

    def _report(self) -> SyncReport:
        now = now_ms()
        statuses = self.responder.instances.statuses_to_forward(now)
        return SyncReport(statuses, self.responder.demand.total(now))

    async def _run_periodic_tasks(self) -> None:
        while True:
            self._publish_version()
            now = now_ms()
            self.responder.instances.forget(now - self.view.lease.lease_ms * 2)
            self.view.digest.forget_silent(now)
            if self._leadership.leads():
                await self._registrar.propose_missing(self.view.digest.alive(now).values())
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        """Wait until the next log entry is applied, for one task interval at most."""
        with trio.move_on_after(_TASK_INTERVAL_MS / 1000.0):
            await self._control.log.wait_applied(self._control.log.status().applied_index + 1)

    def _publish_version(self) -> None:
        if self._projection.version > self.view.documents.version:
            self.view.documents.append(self._projection.version, dict(self._projection.document))
            self.view.changed.notify()

    def _may_order(self) -> bool:
        age_ms = self._control.log.confirmed_age_ms()
        return self._leadership.leads() and age_ms is not None and age_ms < LEADER_LEASE_MS

    def _placement_view(self) -> PlacementView:
        now = now_ms()
        return PlacementView(
            version=self._projection.version,
            configuration=self._projection.configuration,
            registrations=dict(self._projection.upstreams),
            reservations=dict(self._projection.reservations),
            upstreams=self.view.digest.alive(now),
            demand=self.responder.demand.total(now),
            term=self._control.log.status().term,
        )

    def _http_app(self) -> HttpApp:
        app = HttpApp()
        members = _GroupMembership(self._control)
        register_operator_routes(app, self._control.proposer, self._machine, members, self._status)
        app.route("GET", "/health", self._get_health)
        app.route("GET", "/ready", self._get_ready)
        app.route("GET", "/metrics", self._get_metrics)
        return app

    def _status(self) -> dict[str, Any]:
        status = self._control.log.status()
        return {
            "instance_id": self.settings.instance_id,
            "member_id": status.member_id,
            "role": status.role.value,
            "term": status.term,
            "leader_id": status.leader_id,
            "commit_index": status.commit_index,
            "ready": status.ready,
            "confirmed_age_ms": self._leadership.confirmed_age_ms(),
            "live_upstreams": len(self.view.digest.alive(now_ms())),
            "listed_instances": [s.instance_id for s in self._leadership.instances()[1]],
        }

    async def _get_health(self, request: Request) -> Response:
        return json_response({"status": "ok"})

    async def _get_ready(self, request: Request) -> Response:
        ready = all(group.log.status().ready for group in self.groups.values())
        return json_response({"ready": ready}, 200 if ready else 503)

    async def _get_metrics(self, request: Request) -> Response:
        page = page_of(STATISTICS.figures())
        return Response(200, page, {"content-type": PAGE_CONTENT_TYPE})


class _GroupMembership:
    """Adapt the control group's membership to the operator API."""

    def __init__(self, group: ConsensusGroup) -> None:
        self._log = group.log

    def members(self) -> list[MemberInfo]:
        status = self._log.status()
        roles = {True: "voter", False: "learner"}
        return [
            MemberInfo(
                m.member_id,
                str(m.address),
                "leader" if m.member_id == status.leader_id else roles[m.voter],
            )
            for m in status.members
        ]

    async def change(
        self, action: str, member_id: str, address: Address | None, timeout_ms: int
    ) -> Result[None, Failure]:
        change = MemberChange(action, member_id, address)  # type: ignore[arg-type]
        applied = await self._log.change_member(change, timeout_ms)
        return Err(applied.unwrap_err()) if applied.is_err() else Ok(None)


async def run_control(settings: ControlSettings, stop: trio.Event) -> Result[None, Failure]:
    """Run a control process until ``stop`` is set.

    :return: a failure of kind ``log_corrupt``, ``settings_invalid`` or ``storage_failed`` when the
        data directory cannot be used.
    :raises OSError: when an address cannot be bound.
    """
    lock = FolderLock.acquire(settings.data_dir)
    if lock.is_err():
        return Err(lock.unwrap_err())
    identity = open_identity(settings.data_dir, settings.instance_id)
    if identity.is_err():
        return Err(identity.unwrap_err())
    async with trio.open_nursery() as nursery:
        hello = Hello(PROTOCOL_VERSION, settings.cluster_id, settings.instance_id)
        peers = PeerPool(nursery, hello)
        groups = open_groups(
            settings, identity.unwrap(), settings.peer_advertise or settings.peer_listen, peers
        )
        if groups.is_err():
            return Err(groups.unwrap_err())
        try:
            await ControlProcess(settings, groups.unwrap(), peers).run(stop)
        finally:
            lock.unwrap().release()
        nursery.cancel_scope.cancel()
    return Ok(None)
