"""Keep an entry instance's copy of the fleet up to date through control instances."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.addresses import Address, parse_address
from briardyke.clock import now_ms
from briardyke.fleet.messages import AdapterReply, AdapterRequest, FleetReply, FleetRequest
from briardyke.fleet.records import EntryInstance, ModelChanges, Upstream
from briardyke.logs import log_event, log_limited, log_warning

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.wire.pool import PeerPool

# Long enough to keep the messages of 76 entry instances small, short enough that control sees
# demand within a second.
WAIT_MS = 700.0
_CALL_MARGIN_MS = 800.0
_RETRY_MS = 150.0
# Pause before the next control instance is asked, when one hears no leader.
_NEXT_MS = 50.0
_ADAPTER_TIMEOUT_MS = 1500.0


@attrs.define
class FleetView:
    """Hold what an entry instance knows of the fleet.

    :param version: number of the configuration held, 0 for none.
    :param upstreams: upstreams by id.
    :param entries: entry instances that callers may be sent to.
    :param changes: what orders change in the memory of upstreams, by upstream id, with the times of
        arrival on the runtime's clock.
    :param leader: peer address of the leader of the control instances.
    :param controls: peer addresses of the control instances.
    :param confirmed_ms: time of the last current answer.
    """

    version: int = 0
    upstreams: dict[str, Upstream] = attrs.field(factory=dict)
    entries: list[EntryInstance] = attrs.field(factory=list)
    changes: dict[str, ModelChanges] = attrs.field(factory=dict)
    leader: Address | None = None
    controls: list[Address] = attrs.field(factory=list)
    confirmed_ms: float = float("-inf")

    @property
    def is_synced(self) -> bool:
        """Return whether everything that serving needs has arrived once."""
        return self.version > 0 and self.confirmed_ms > float("-inf")


class FleetClient:
    """Ask control instances in turn for news; a configuration never goes back."""

    def __init__(
        self,
        peers: PeerPool,
        seeds: Callable[[], tuple[Address, ...]],
        report: Callable[[], EntryInstance],
        adopt: Callable[[int, bytes], bool],
        changed: Callable[[], None],
    ) -> None:
        """Prepare; :meth:`run` starts it.

        :param peers: connections to control instances.
        :param seeds: returns peer addresses of some control instances.
        :param report: returns the own row.
        :param adopt: takes a configuration into force; returns whether it could be read.
        :param changed: called after each change of upstreams or entries.
        """
        self.view = FleetView()
        self._peers = peers
        self._seeds = seeds
        self._report = report
        self._adopt = adopt
        self._changed = changed
        self._table_id = ""
        self._held_upstreams = 0
        self._held_entries = 0
        self._held_changes = 0
        self._wake = trio.Event()
        self._was_current = False

    async def run(self) -> None:
        """Follow one control instance while it is current, else try the next."""
        while True:
            for address in self._order():
                await self._follow(address)
            await trio.sleep(_RETRY_MS / 1000.0)

    def report_now(self) -> None:
        """Send the own row at once, since it has changed."""
        self._wake.set()

    def _order(self) -> list[Address]:
        listed = list({*self._seeds(), *self.view.controls})
        random.shuffle(listed)
        # The leader is asked last: it has the most to do, but it is never out of date.
        return sorted(listed, key=lambda address: address == self.view.leader)

    async def _follow(self, address: Address) -> None:
        is_first = True
        while True:
            reply = await self._ask(address, 0.0 if is_first else WAIT_MS)
            if reply is None:
                if not is_first:
                    log_warning("control_lost", control=address)
                return
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
                await trio.sleep(_NEXT_MS / 1000.0)
                return
            if is_first:
                log_event("control_followed", control=address, version=reply.version)
            is_first = False
            self.view.confirmed_ms = now_ms()

    def _is_from_disk(self, reply: FleetReply) -> bool:
        """Return whether a starting control instance tells all that there is without a leader.

        An instance that has heard of a leader before waits for the next one.
        """
        return reply.is_starting and not reply.is_current and not self._was_current

    async def _ask(self, address: Address, wait_ms: float) -> FleetReply | None:
        self._wake = trio.Event()
        request = FleetRequest(
            self._report(),
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
                request = attrs.evolve(request, entry=self._report(), wait_ms=0.0)
                nursery.start_soon(call)
        return reply if isinstance(reply, FleetReply) else None

    def _take(self, reply: FleetReply) -> None:
        view = self.view
        document = reply.configuration if reply.version > view.version else None
        if document is not None and self._adopt(reply.version, document):
            view.version = reply.version
        if reply.leader:
            view.leader = parse_address(reply.leader)
        if reply.controls:
            view.controls = [parse_address(text) for text in reply.controls]
        if not reply.is_current and not self._is_from_disk(reply):
            return
        self._was_current = reply.is_current
        if reply.is_whole:
            view.upstreams = {}
            view.changes = {}
        for row in reply.upstreams:
            view.upstreams[row.upstream_id] = row
        for changes in reply.changes:
            view.changes[changes.upstream_id] = changes.aged(-now_ms())
        if reply.entries is not None:
            view.entries = reply.entries
        self._table_id = reply.table_id
        self._held_upstreams = reply.upstream_sequence
        self._held_entries = reply.entry_sequence
        self._held_changes = reply.change_sequence
        if reply.upstreams or reply.changes or reply.entries is not None:
            self._changed()

    async def ask_for_adapter(self, request: AdapterRequest) -> AdapterReply:
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
