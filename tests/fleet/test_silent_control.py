"""Test that a change is in force in time although connections to control instances go silent."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import attrs
import pytest
import trio

from briardyke.addresses import Address
from briardyke.fleet.client import EntryCallbacks, FleetClient
from briardyke.fleet.compression import compress_document
from briardyke.fleet.messages import FleetReply, FleetRequest, PlaceReply
from briardyke.fleet.records import EntryInstance
from briardyke.standins.silent_proxy import SilentProxy
from briardyke.sync.notifier import Notifier
from briardyke.wire.connection import PROTOCOL_VERSION, Hello, serve_peers
from briardyke.wire.pool import PeerPool

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

IN_FORCE_WITHIN_S = 2.0
HELLO = Hello(PROTOCOL_VERSION, "cluster", "me")
ENTRY = EntryInstance("entry-1", 1, 1, "10.0.1.1:80", "dc", True)


@attrs.define
class Controls:
    """Control instances behind proxies, and an entry instance that follows them."""

    proxies: list[SilentProxy] = attrs.field(factory=list)
    version: int = 1
    changed: Notifier = attrs.field(factory=Notifier)
    in_force: dict[int, trio.Event] = attrs.field(factory=lambda: {1: trio.Event()})

    async def handle(self, peer_id: str, message: Any) -> Any:
        if not isinstance(message, FleetRequest):
            return PlaceReply("dc")
        with trio.move_on_after(message.wait_ms / 1000.0):
            while message.held_version >= self.version:
                await self.changed.wait(message.wait_ms)
        document = compress_document(b"%d" % self.version)
        is_new = message.held_version < self.version
        return FleetReply(
            *(True, False, self.version, document if is_new else None, "table", [], 0, None, 0),
            *("", [], [], 0, False),
        )

    async def apply(self, version: int, document: bytes) -> bool:
        self.in_force[version].set()
        return True

    def change(self) -> None:
        """Commit the next version."""
        self.version += 1
        self.in_force[self.version] = trio.Event()
        self.changed.notify()

    def silence(self, **lost: bool) -> None:
        """Let all open connections go silent."""
        for proxy in self.proxies:
            proxy.silence(**lost)


@asynccontextmanager
async def followed(is_busy: bool) -> AsyncIterator[Controls]:
    """Yield three control instances that an entry instance follows."""
    controls = Controls()
    async with trio.open_nursery() as nursery:
        addresses = []
        for _ in range(3):
            address = Address("127.0.0.1", 0)
            port = await nursery.start(serve_peers, address, HELLO, controls.handle)
            controls.proxies.append(SilentProxy(Address("127.0.0.1", port)))
            addresses.append(await nursery.start(controls.proxies[-1].serve))
        callbacks = EntryCallbacks(
            "dc", lambda: ENTRY, lambda: is_busy, controls.apply, lambda: None, lambda reply: None
        )
        client = FleetClient(PeerPool(nursery, HELLO), lambda: tuple(addresses), callbacks)
        nursery.start_soon(client.run)
        await controls.in_force[1].wait()
        yield controls
        nursery.cancel_scope.cancel()


class TestSilentControl:
    """Guards against an entry instance that keeps an old configuration because its connections to
    control instances carry nothing any more."""

    @pytest.mark.parametrize("is_busy", [False, True])
    @pytest.mark.parametrize("pause_s", [0.1, 0.45, 0.9])
    async def test_change_is_in_force_in_time(self, is_busy: bool, pause_s: float) -> None:
        async with followed(is_busy) as controls:
            for lost in ({}, {"to_peer": False}, {"to_caller": False}):
                await trio.sleep(pause_s)
                controls.silence(**lost)
                controls.change()
                with trio.fail_after(IN_FORCE_WITHIN_S):
                    await controls.in_force[controls.version].wait()
