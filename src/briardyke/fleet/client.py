"""Keep an entry instance's copy of the fleet up to date through control instances."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.clock import now_ms
from briardyke.fleet.messages import (
    AdapterReply,
    AdapterRequest,
    FleetReply,
    FleetRequest,
    PlaceReply,
    PlaceRequest,
)
from briardyke.fleet.packing import unpack
from briardyke.fleet.records import EntryInstance
from briardyke.fleet.view import FleetView
from briardyke.logs import log_event, log_limited, log_warning

if TYPE_CHECKING:
    from briardyke.addresses import Address
    from briardyke.wire.pool import PeerPool

# Long enough to keep the messages of 191 entry instances small, short enough that control sees
# demand within a second.
WAIT_MS = 700.0
# An instance that carries requests reports this often: its requests last seconds, and others choose
# by what it reports.
BUSY_WAIT_MS = 300.0
# News that comes in quick succession is taken together: within this time where requests are
# carried, which is well below the time for which a model is withheld before it leaves, ...
BUSY_PAUSE_MS = 50.0
# ... and within this time where none are, which leaves a change of the configuration most of its
# two seconds.
IDLE_PAUSE_MS = 500.0
_CALL_MARGIN_MS = 800.0
_RETRY_MS = 150.0
# Pause before the next control instance is asked, when one hears no leader.
_NEXT_MS = 50.0
# The same for an instance without requests. After a loss of all control instances, dozens of them
# would ask those that start many times for each election.
_IDLE_NEXT_MS = 200.0
_ADAPTER_TIMEOUT_MS = 1500.0
_PLACE_TIMEOUT_MS = 300.0
# An instance that follows control in another data centre looks for a near one this often.
_NEARER_INTERVAL_MS = 10_000.0


@attrs.frozen
class EntryCallbacks:
    """Connect the client to the entry instance that it keeps up to date.

    :param data_centre: where the instance runs.
    :param report: returns the own row.
    :param is_busy: returns whether requests are carried.
    :param adopt: takes a configuration into force; returns whether it could be read.
    :param changed: called after each change of upstreams or entries.
    :param told: called with each current answer.
    """

    data_centre: str
    report: Callable[[], EntryInstance]
    is_busy: Callable[[], bool]
    adopt: Callable[[int, bytes], bool]
    changed: Callable[[], None]
    told: Callable[[FleetReply], None]


class FleetClient:
    """Ask control instances in turn for news; a configuration never goes back."""

    def __init__(
        self, peers: PeerPool, seeds: Callable[[], tuple[Address, ...]], side: EntryCallbacks
    ) -> None:
        """Prepare; :meth:`run` starts it.

        :param peers: connections to control instances.
        :param seeds: returns peer addresses of some control instances.
        :param side: the entry instance.
        """
        self.view = FleetView()
        self._peers = peers
        self._seeds = seeds
        self._side = side
        self._table_id = ""
        self._held_upstreams = 0
        self._held_entries = 0
        self._held_changes = 0
        self._wake = trio.Event()
        self._was_current = False
        self._places: dict[Address, str] = {}

    async def run(self) -> None:
        """Follow one control instance while it is current, else try the next."""
        while True:
            await self._learn_places()
            for address in self._order():
                if await self._follow(address):
                    break
            await trio.sleep(_RETRY_MS / 1000.0)

    def report_now(self) -> None:
        """Send the own row at once, since it has changed."""
        self._wake.set()

    async def _learn_places(self) -> None:
        """Ask the control instances where they run, each once."""

        async def ask(address: Address) -> None:
            result = await self._peers.client(address).call(PlaceRequest(), _PLACE_TIMEOUT_MS)
            reply = result.ok()
            if isinstance(reply, PlaceReply):
                self._places[address] = reply.data_centre

        async with trio.open_nursery() as nursery:
            for address in {*self._seeds(), *self.view.controls} - self._places.keys():
                nursery.start_soon(ask, address)

    def _is_near(self, address: Address) -> bool:
        return self._places.get(address) == self._side.data_centre

    def _order(self) -> list[Address]:
        """Return the control instances, those of the own data centre first.

        The leader is the last of its kind: it has the most to do, but it is never out of date.
        """
        listed = list({*self._seeds(), *self.view.controls})
        random.shuffle(listed)
        return sorted(listed, key=lambda a: (not self._is_near(a), a == self.view.leader))

    async def _follow(self, address: Address) -> bool:
        """Follow an instance; return whether it was left for a nearer one, not for a failure."""
        is_first = True
        since_ms = now_ms()
        while True:
            reply = await self._ask(address, 0.0 if is_first else self._wait_ms())
            if reply is None:
                if not is_first:
                    log_warning("control_lost", control=address)
                return False
            self._take(reply)
            if self._is_from_disk(reply):
                self.view.confirmed_ms = now_ms()
                await trio.sleep(_NEXT_MS / 1000.0)
                continue
            if not reply.is_current:
                log_limited(
                    "control_not_current",
                    is_routine=True,
                    control=address,
                    version=reply.version,
                )
                pause_ms = _NEXT_MS if self._side.is_busy() else _IDLE_NEXT_MS
                await trio.sleep(pause_ms / 1000.0)
                return False
            if is_first:
                log_event("control_followed", control=address, version=reply.version)
            is_first = False
            self.view.confirmed_ms = now_ms()
            if not self._is_near(address) and now_ms() - since_ms >= _NEARER_INTERVAL_MS:
                since_ms = now_ms()
                await self._learn_places()
                if any(self._is_near(a) for a in self.view.controls):
                    log_event("nearer_control_tried", control=address)
                    return True
            pause_ms = BUSY_PAUSE_MS if self._side.is_busy() else IDLE_PAUSE_MS
            with trio.move_on_after(pause_ms / 1000.0):
                await self._wake.wait()

    def _wait_ms(self) -> float:
        return BUSY_WAIT_MS if self._side.is_busy() else WAIT_MS

    def _is_from_disk(self, reply: FleetReply) -> bool:
        """Return whether a starting control instance tells all that there is without a leader.

        An instance that has heard of a leader before waits for the next one.
        """
        return reply.is_starting and not reply.is_current and not self._was_current

    async def _ask(self, address: Address, wait_ms: float) -> FleetReply | None:
        self._wake = trio.Event()
        request = FleetRequest(
            self._side.report(),
            self.view.version,
            self._table_id,
            self._held_upstreams,
            self._held_entries,
            self._held_changes,
            wait_ms,
        )
        reply = None
        async with trio.open_nursery() as nursery:

            async def call() -> None:
                nonlocal reply
                timeout_ms = wait_ms + _CALL_MARGIN_MS
                result = await self._peers.client(address).call(request, timeout_ms)
                reply = result.ok()
                nursery.cancel_scope.cancel()

            nursery.start_soon(call)
            if wait_ms > 0:
                await self._wake.wait()
                request = attrs.evolve(request, entry=self._side.report(), wait_ms=0.0)
                nursery.start_soon(call)
        return reply if isinstance(reply, FleetReply) else None

    def _take(self, reply: FleetReply) -> None:
        view = self.view
        if reply.configuration is not None and reply.version > view.version:
            self._take_configuration(reply.version, reply.configuration)
        view.take_members(reply)
        if not reply.is_current and not self._is_from_disk(reply):
            return
        self._was_current = reply.is_current
        view.take_rows(reply)
        self._table_id = reply.table_id
        self._held_upstreams = reply.upstream_sequence
        self._held_entries = reply.entry_sequence
        self._held_changes = reply.change_sequence
        has_dropped = view.forget_unlisted()
        if has_dropped or reply.upstreams or reply.changes or reply.entries is not None:
            self._side.changed()
        self._side.told(reply)

    def _take_configuration(self, version: int, packed: bytes) -> None:
        document = unpack(packed)
        if document.is_err():
            reason = document.unwrap_err().message
            log_warning("configuration_unreadable", version=version, reason=reason)
        elif self._side.adopt(version, document.unwrap()):
            self.view.version = version

    async def request_adapter(self, request: AdapterRequest) -> AdapterReply:
        """Ask the leader to load an adapter.

        :return: a reply without upstream when the leader cannot be reached.
        """
        if self.view.leader is None:
            return AdapterReply("", "no leader is known")
        client = self._peers.client(self.view.leader)
        reply = await client.call(request, _ADAPTER_TIMEOUT_MS)
        if reply.is_ok() and isinstance(reply.unwrap(), AdapterReply):
            return reply.unwrap()
        failure = reply.err()
        return AdapterReply("", failure.message if failure else "unexpected reply")
