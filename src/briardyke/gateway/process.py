"""Run an entry instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.clock import now_ms, wall_unix_ms
from briardyke.fleet.client import EntryCallbacks, FleetClient
from briardyke.fleet.records import EntryInstance
from briardyke.gateway.directory import listed_instances
from briardyke.gateway.forward import Forwarder
from briardyke.gateway.state import GatewayState
from briardyke.http.h11_server import LAST_REQUEST_S, H11Server, ServerLimits
from briardyke.logs import log_event
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
# Most callers follow a new address within two seconds and the rest within six; a stream that
# starts in the first third can still end before the grace period does.
_TAKES_NEW_SHARE = 0.35
# Part of the grace period after which the process ends with whatever is left.
_LAST_SHARE = 0.9


class EntryProcess:
    """Wire the parts of an entry instance together."""

    def __init__(
        self,
        place: InstanceSettings,
        dialect: Dialect,
        decode: Callable[[bytes], Result[ServingConfiguration, Failure]],
        peers: PeerPool,
        seeds: Callable[[], tuple[Address, ...]],
    ) -> None:
        """Prepare; :meth:`run` starts it.

        :param place: where this instance runs.
        :param dialect: protocol of callers and upstreams.
        :param decode: reads a configuration document.
        :param peers: connections to control instances.
        :param seeds: returns peer addresses of some control instances.
        """
        self._place = place
        self._decode = decode
        self._incarnation = wall_unix_ms()
        self._sequence = 0
        self._is_stopping = False
        self._stopping_since_ms = 0.0
        side = EntryCallbacks(
            place.data_centre,
            self._report,
            lambda: self.state.is_busy,
            self._adopt,
            self._on_change,
            self._on_told,
        )
        self.client = FleetClient(peers, seeds, side)
        self.state = GatewayState(
            dialect, place.data_centre, place.retries, self.client.request_adapter
        )
        self.state.wanted.report_now = self.client.report_now
        self.carried_per_s: dict[str, float] = {}
        self._forwarder = Forwarder(self.state)
        self.server = H11Server(self._forwarder.handle, self._limits)
        self._retired: list[ConnectionPool] = []

    @property
    def is_ready(self) -> bool:
        """Return whether callers should be sent here."""
        return self.client.view.is_synced and not self._is_stopping

    async def run(self, stop: trio.Event) -> None:
        """Serve until ``stop`` is set, then finish what is in flight.

        :raises OSError: when an address cannot be bound.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_running, "fleet_client", self.client.run)
            nursery.start_soon(keep_running, "connection_sweep", self._sweep)
            await nursery.start(self.server.serve, self._place.listen)
            log_event("entry_started", instance=self._place.instance_id)
            await stop.wait()
            await self._drain()
            log_event("entry_stopped", instance=self._place.instance_id)
            nursery.cancel_scope.cancel()

    async def _drain(self) -> None:
        """Leave the address answers first, then refuse, then close, then end."""
        self._is_stopping = True
        self._stopping_since_ms = now_ms()
        self.client.report_now()
        grace_s = self._place.grace_s
        log_event("entry_draining", in_flight=self.server.in_flight)
        await trio.sleep(grace_s * _TAKES_NEW_SHARE)
        # What still waits for an upstream could not end in time any more.
        self.state.is_stopping = True
        self.state.changed.notify()
        self.server.close_idle()
        with trio.move_on_after(grace_s * (_LAST_SHARE - _TAKES_NEW_SHARE)):
            await self.server.wait_closed()
        self.server.stop_accepting()
        with trio.move_on_after(LAST_REQUEST_S):
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
            self._place.instance_id,
            self._incarnation,
            self._sequence,
            str(self._place.listen),
            self._place.data_centre,
            self.is_ready,
            self.state.demand.demand(),
            self.state.upstreams.unreachable(),
            self._place.capacity_per_s,
            sum(self.state.demand.rates().values()) if self.state.is_busy else 0.0,
            self.state.upstreams.in_flight(),
            self.state.wanted.names(),
        )

    def _adopt(self, version: int, document: bytes) -> bool:
        decoded = self._decode(document)
        if decoded.is_err():
            log_event("configuration_unreadable", version=version, reason=decoded.unwrap_err())
            return False
        before = self.state.version
        self.state.routes = RouteTable(decoded.unwrap())
        log_event("configuration_in_force", version=version, before=before)
        self.state.changed.notify()
        return True

    def _on_change(self) -> None:
        self._retired += self.state.upstreams.adopt(
            self.client.view.upstreams, self.client.view.changes
        )
        self.state.changed.notify()

    def _on_told(self, reply: FleetReply) -> None:
        self.carried_per_s = reply.carried_per_s
        if self.state.is_busy:
            self.state.upstreams.take_others(reply.others)
        entries = self.client.view.entries
        listed = listed_instances(entries, self.carried_per_s)
        self.state.divide_budget(self._place.instance_id, listed, len(entries))

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(_SWEEP_INTERVAL_S)
            retired, self._retired = self._retired, []
            for pool in retired:
                await pool.aclose()
            for pool in self.state.upstreams.pools():
                await pool.sweep()
