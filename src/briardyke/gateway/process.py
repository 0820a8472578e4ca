"""Run an entry instance."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from briardyke.clock import boot_ms, now_ms, wall_unix_ms
from briardyke.fleet.client import EntryCallbacks, FleetClient
from briardyke.fleet.records import EntryInstance
from briardyke.gateway.configuration_proof import ConfigurationProof, max_control_proof_age_ms
from briardyke.gateway.directory import listed_instances
from briardyke.gateway.dispatch_client import DispatchClient
from briardyke.gateway.explanation import RequestExplainer
from briardyke.gateway.forward import Forwarder
from briardyke.gateway.quarantine import QuarantineGate, SharedVerdicts
from briardyke.gateway.state import GatewayState
from briardyke.http.h11_server import H11Server, ServerLimits
from briardyke.http.memory_budget import MemoryBudget
from briardyke.http.memory_queue import MemoryQueue
from briardyke.logs import log_event
from briardyke.peer_relay.relay import PeerRelay
from briardyke.quotas.credits import AccountCredits
from briardyke.routes.decoding import decode_configuration_beside
from briardyke.routes.matching import RouteTable
from briardyke.supervision import keep_running

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from briardyke.addresses import Address
    from briardyke.errors import Failure
    from briardyke.fleet.messages import FleetReply
    from briardyke.gateway.dialect import Dialect
    from briardyke.gateway.settings import InstanceSettings
    from briardyke.http.h11_client import ConnectionPool
    from briardyke.routes.configuration import ServingConfiguration
    from briardyke.wire.pool import PeerPool

_SWEEP_INTERVAL_S = 1.0
# Fractions of the grace period after which kept connections are closed, no connection is accepted,
# and requests in progress are no longer waited for. Most callers switch to a new address within two
# seconds and the rest within six.
_KEEP_FRACTION = 0.35
_ACCEPT_FRACTION = 0.75
_DRAIN_FRACTION = 0.95
# Longest time for which streams are accepted whose deadlines are after the end of the stop. Most of
# them end long before, and their callers have not switched yet.
_MAX_STREAM_PHASE_S = 2.8
# Age of the last reply of a control instance, from when it was made, up to which the software
# versions in service count as known; an idle instance has one every 1.2 s.
_INFORMED_MS = 1500.0
# Time in which the last responses are sent.
_RESPONSE_MARGIN_MS = 50.0


class GatewayProcess:
    """Connect the components of an entry instance."""

    def __init__(
        self,
        settings: InstanceSettings,
        dialect: Dialect,
        decode: Callable[[bytes], Result[ServingConfiguration, Failure]],
        peers: PeerPool,
        seeds: Callable[[], tuple[Address, ...]],
    ) -> None:
        """Prepare; :meth:`run` starts it.

        :param settings: settings of this instance.
        :param dialect: translates the headers of callers and upstreams.
        :param decode: decodes a configuration document.
        :param peers: connections to control instances.
        :param seeds: returns peer addresses of some control instances.
        """
        self._settings = settings
        self._decode = decode
        self._incarnation = wall_unix_ms()
        self._sequence = 0
        self._is_stopping = False
        self._stopping_since_ms = 0.0
        self.memory = MemoryQueue(
            MemoryBudget.of_machine(settings.memory_mb, settings.max_descriptors)
        )
        callbacks = EntryCallbacks(
            settings.data_centre,
            self._report,
            lambda: self.state.is_busy,
            self._apply_configuration,
            self._on_change,
            self._on_reply,
            lambda: self.state.proof.record_renewal(),
            max_control_proof_age_ms(settings.revocation_ms),
        )
        self.client = FleetClient(peers, seeds, callbacks)
        leader = self.client.leader_calls
        self.state = GatewayState(
            dialect,
            settings.data_centre,
            settings.retries,
            leader.request_adapter,
            QuarantineGate(settings.instance_id, self._shared_verdicts, leader.request_trial),
            leader.request_permit,
            self.client.streams,
            self._is_informed,
            ConfigurationProof(
                settings.revocation_ms,
                lambda: self.client.view.proven_as_of_ms,
                self.client.report_now,
            ),
            AccountCredits(settings.instance_id, settings.quota_bounds, leader.request_quota),
            self.memory.budget,
        )
        self.state.counters.tables.append(lambda: self.memory.budget.figures(now_ms()))
        self._dispatch = self.state.dispatch = DispatchClient(
            settings.instance_id,
            peers,
            lambda: self.client.view.controls,
            self.state.counters,
        )
        self.state.missing_models.report_now = self.client.report_now
        self.state.quarantine.on_crash = self.client.report_now
        self.state.limits.on_change = self.client.report_now
        self.state.connectivity.on_change = self.client.report_now
        self.state.peers = PeerRelay(
            settings.instance_id, self.state, lambda: self.client.view.entries, random.Random()
        )
        self.carried_per_s: dict[str, float] = {}
        self._forwarder = Forwarder(self.state)
        self.explainer = RequestExplainer(self.state, self._forwarder)
        self.server = H11Server(self._forwarder.handle, self._limits, self.memory)
        self._retired: list[ConnectionPool] = []

    @property
    def is_ready(self) -> bool:
        """Return whether callers should be routed to this instance."""
        return self.client.view.is_synced and not self._is_stopping

    async def run(self, stop: trio.Event) -> None:
        """Serve until ``stop`` is set, then finish the requests in flight.

        :raises OSError: when an address cannot be bound.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_running, "fleet_client", self.client.run)
            nursery.start_soon(keep_running, "dispatch_reports", self._dispatch.run)
            nursery.start_soon(keep_running, "connection_sweep", self._sweep)
            nursery.start_soon(keep_running, "stream_versions", self.state.streams.run)
            nursery.start_soon(keep_running, "quotas", self.state.credits.run)
            nursery.start_soon(keep_running, "connectivity", self.state.connectivity.run)
            await nursery.start(self.server.serve, self._settings.listen)
            log_event("entry_started", instance=self._settings.instance_id)
            await stop.wait()
            await self._drain()
            log_event("entry_stopped", instance=self._settings.instance_id)
            nursery.cancel_scope.cancel()

    async def _drain(self) -> None:
        """Withdraw the address, then reject streams, then close idle connections, then stop.

        A request that is read so late that it could not end in time is rejected as well.
        """
        self._is_stopping = True
        self._stopping_since_ms = now_ms()
        self.client.report_now()
        grace_s = self._settings.grace_s
        self.state.stop_ms = now_ms() + grace_s * 1000.0 * _DRAIN_FRACTION - _RESPONSE_MARGIN_MS
        log_event("entry_draining", in_flight=self.server.in_flight)
        keep_s = grace_s * _KEEP_FRACTION
        stream_s = min(keep_s, _MAX_STREAM_PHASE_S)
        await trio.sleep(stream_s)
        # Requests that still wait for an upstream may no longer finish in time.
        self.state.is_stopping = True
        self.state.changed.notify()
        await trio.sleep(keep_s - stream_s)
        self.server.close_idle()
        with trio.move_on_after(grace_s * (_ACCEPT_FRACTION - _KEEP_FRACTION)):
            await self.server.wait_closed()
        self.server.stop_accepting()
        with trio.move_on_after(grace_s * (_DRAIN_FRACTION - _ACCEPT_FRACTION)):
            await self.server.wait_closed()

    def _limits(self) -> ServerLimits:
        if self.state.routes is None:
            return ServerLimits()
        limits = self.state.routes.configuration.limits
        return ServerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        )

    def _report(self) -> EntryInstance:
        self._sequence += 1
        return EntryInstance(
            self._settings.instance_id,
            self._incarnation,
            self._sequence,
            str(self._settings.listen),
            self._settings.data_centre,
            self.is_ready,
            self.state.demand.demand(),
            [] if self.state.connectivity.is_lost else self.state.upstreams.unreachable(),
            self._settings.capacity_per_s,
            sum(self.state.demand.rates().values()) if self.state.is_busy else 0.0,
            self.state.upstreams.in_flight(),
            self.state.missing_models.names(),
            self.state.upstreams.event_intervals_ms(),
            self.state.quarantine.crash_reports(),
            self.state.quarantine.sound_ages_ms(),
            self.state.limits.reported(),
            not self.state.connectivity.is_lost,
        )

    def _shared_verdicts(self) -> SharedVerdicts:
        view = self.client.view
        return SharedVerdicts(view.verdicts, view.confirmed_ms, view.verdicts_since_ms)

    def _is_informed(self) -> bool:
        return boot_ms() - self.client.view.as_of_ms < _INFORMED_MS

    async def _apply_configuration(self, version: int, document: bytes) -> bool:
        decoded = await decode_configuration_beside(
            lambda body: self._decode(body).map(RouteTable), document
        )
        if decoded.is_err():
            log_event("configuration_unreadable", version=version, reason=decoded.unwrap_err())
            return False
        before = self.state.version
        self.state.routes = decoded.unwrap()
        log_event("configuration_in_force", version=version, before=before)
        self.state.changed.notify()
        return True

    def _on_change(self) -> None:
        self._retired += self.state.upstreams.update(
            self.client.view.upstreams, self.client.view.changes
        )
        self.state.changed.notify()

    def _on_reply(self, reply: FleetReply) -> None:
        self.carried_per_s = reply.carried_per_s
        self.state.limits.adopt(reply.limits)
        self.state.service_versions = reply.service_versions
        if self.state.is_busy:
            self.state.upstreams.update_other_load(reply.others)
        entries = self.client.view.entries
        listed = listed_instances(entries, self.carried_per_s)
        self.state.update_listing(self._settings.instance_id, listed, len(entries))
        self.state.credits.record_instance_count(len(entries))

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(_SWEEP_INTERVAL_S)
            self.state.proof.observe()
            retired, self._retired = self._retired, []
            for pool in retired:
                await pool.aclose()
            for pool in self.state.upstreams.pools():
                await pool.sweep()
            if self.state.peers is not None:
                await self.state.peers.sweep()
