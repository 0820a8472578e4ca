"""Run entry instances that know each other, some without links to upstreams."""

from __future__ import annotations

import socket
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs
from gateway_support import ENGINE, ROUTES, Gateway, wait_until
from result import Err

from briardyke.addresses import Address
from briardyke.errors import ErrorKind, Failure
from briardyke.fleet.records import READY, EntryInstance, LoadedModel, Upstream
from briardyke.gateway.process import GatewayProcess
from briardyke.gateway.settings import InstanceSettings
from briardyke.gateway.state import RetryBounds
from briardyke.platform.headers import PlatformDialect
from briardyke.routes.configuration import ServiceSpec, ServingConfiguration
from briardyke.routes.matching import RouteTable
from briardyke.wire.connection import PROTOCOL_VERSION, Hello
from briardyke.wire.pool import PeerPool

if TYPE_CHECKING:
    from collections.abc import Iterator

    import trio
    from gateway_support import ScriptedUpstream

SERVICES = {"app": ServiceSpec("app", 10), "pool": ServiceSpec("pool", 10, ENGINE)}


@contextmanager
def refusing_address() -> Iterator[Address]:
    """Yield an address at which connections are refused."""
    with socket.socket() as reserved:
        reserved.bind(("127.0.0.1", 0))
        yield Address("127.0.0.1", reserved.getsockname()[1])


@contextmanager
def hanging_address() -> Iterator[Address]:
    """Yield an address at which connections are never established."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(address)
        try:
            yield Address(*address)
        finally:
            for filler in fillers:
                filler.close()


class PeerGateway(Gateway):
    """Entry instance among others."""

    def __init__(self, nursery: trio.Nursery, instance_id: str, version: int = 1) -> None:
        super().__init__(nursery)
        self.instance_id = instance_id
        settings = InstanceSettings(
            instance_id, "dc", Address("127.0.0.1", 0), 8.0, RetryBounds(1.0, 1000.0, 1.0)
        )
        self.process = GatewayProcess(
            settings,
            PlatformDialect(),
            lambda document: Err(Failure(ErrorKind.CONFIGURATION_INVALID, "none")),
            PeerPool(nursery, Hello(PROTOCOL_VERSION, "c", instance_id)),
            lambda: (),
        )
        self.state, self.server = self.process.state, self.process.server
        self.put_in_force(version)

    def put_in_force(self, version: int) -> None:
        """Use a version of the configuration; all have the same routes."""
        self.state.routes = RouteTable(ServingConfiguration(version, ROUTES, SERVICES))
        self.state.changed.notify()

    async def start(self) -> None:
        """Start to listen and to watch the links to upstreams."""
        await super().start()
        self.run_beside(self.state.connectivity.run)

    def reach(self, upstreams: dict[str, Address], service: str) -> None:
        """Announce upstreams of a service at the addresses where this instance finds them."""
        held = [LoadedModel("m")] if service == "pool" else []
        for name, address in upstreams.items():
            self.rows[name] = Upstream(name, 1, 1, service, str(address), "dc", READY, 8, held)
        self.state.upstreams.update(self.rows, {})

    @property
    def row(self) -> EntryInstance:
        """Return the row by which others know this instance."""
        address = f"127.0.0.1:{self.port}"
        row = EntryInstance(self.instance_id, 1, 1, address, "dc", True, capacity_per_s=10.0)
        report = self.process._report()
        return attrs.evolve(report, **{f: getattr(row, f) for f in ("address", "capacity_per_s")})


def introduce(*gateways: PeerGateway) -> None:
    """Let instances know each other as ready."""
    rows = [attrs.evolve(gateway.row, is_ready=True) for gateway in gateways]
    for gateway in gateways:
        gateway.process.client.view.entries = rows
        gateway.process.client.view.as_of_ms = float("inf")


async def partitioned_pair(
    nursery: trio.Nursery, upstream: ScriptedUpstream, service: str, lost: Address
) -> tuple[PeerGateway, PeerGateway]:
    """Return an instance that finds upstreams only at a dead address, and a sound peer."""
    await nursery.start(upstream.serve)
    cut, sound = PeerGateway(nursery, "cut"), PeerGateway(nursery, "sound")
    for gateway in (cut, sound):
        await gateway.start()
    cut.reach({"u0": lost, "u1": lost}, service)
    sound.reach({"u0": upstream.address, "u1": upstream.address}, service)
    introduce(cut, sound)
    return cut, sound


async def lose_links(gateway: PeerGateway, path: str, model: str = "") -> None:
    """Send a request that finds no upstream, and wait until the loss is known."""
    gateway.run_beside(lambda: _ignore_reply(gateway, path, model))
    await wait_until(lambda: gateway.state.connectivity.is_lost)


async def _ignore_reply(gateway: PeerGateway, path: str, model: str) -> None:
    await gateway.send(path, "lost-links", model)
