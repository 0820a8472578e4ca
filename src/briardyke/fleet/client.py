"""Synchronise an entry instance's view of the fleet with a control instance."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.clock import boot_ms, now_ms
from briardyke.fleet.compression import decompress_document
from briardyke.fleet.leader_calls import LeaderCalls
from briardyke.fleet.messages import (
    FleetReply,
    FleetRequest,
    PlaceReply,
    PlaceRequest,
)
from briardyke.fleet.records import EntryInstance
from briardyke.fleet.view import FleetView
from briardyke.logs import log_event, log_limited, log_warning
from briardyke.software_versions.directory import StreamDirectory

if TYPE_CHECKING:
    from briardyke.addresses import Address
    from briardyke.errors import Failure
    from briardyke.wire.pool import PeerPool

# Long-poll time while idle. Long enough to limit the traffic of 191 entry instances, short enough
# that control instances see demand within a second.
IDLE_LONG_POLL_MS = 700.0
# Long-poll time while requests are in flight: requests last seconds, and other entry instances
# route by the reported load.
BUSY_LONG_POLL_MS = 300.0
# Pause between two polls, so that changes in quick succession are fetched together. While busy, the
# pause stays well below the time for which a model is withheld before it is unloaded.
BUSY_POLL_PAUSE_MS = 50.0
# While idle, the pause leaves most of the two seconds in which a configuration change must be in
# force.
IDLE_POLL_PAUSE_MS = 500.0
# Time beyond the long poll after which a control instance counts as silent. While idle, pause, long
# poll and margin leave a quarter of the two seconds for finding another one.
_BUSY_CALL_MARGIN_MS = 800.0
_IDLE_CALL_MARGIN_MS = 300.0
_FIRST_CALL_TIMEOUT_MS = 800.0
# Time without a reply after which the next control instance is asked as well. It doubles with each,
# so that slow control instances are not asked for whole tables by all entry instances at once.
_NEXT_CALL_DELAY_MS = 150.0
_RETRY_PAUSE_MS = 150.0
# Pause before trying the next control instance when one has no contact with a leader.
_NEXT_CONTROL_PAUSE_MS = 50.0
# The same while idle. After an outage of all control instances, dozens of idle entry instances
# would otherwise poll the restarting ones many times during each election.
_IDLE_NEXT_CONTROL_PAUSE_MS = 200.0
_PLACE_TIMEOUT_MS = 300.0
# Pause before the next poll while the proof of a control instance is old: its heartbeat interval.
_UNPROVEN_PAUSE_MS = 150.0
# Shortest time between two searches for a control instance that has a proof.
_UNPROVEN_RETRY_MS = 1000.0
# Interval at which an entry instance connected to another data centre looks for a local control
# instance.
_LOCAL_CHECK_INTERVAL_MS = 10_000.0


@attrs.frozen
class EntryCallbacks:
    """Callbacks of the entry instance that the client serves.

    :param data_centre: where the instance runs.
    :param build_report: returns the entry instance's own row.
    :param is_busy: returns whether requests are being served.
    :param apply_configuration: puts a configuration in force; returns whether it was readable.
    :param on_change: called after each change of upstreams or entries.
    :param on_reply: called after each applied reply.
    :param on_proof: called when the configuration held is proven to be more recent.
    :param max_proof_age_ms: age of the proof from which another control instance is looked for,
        ``None`` when no proof is needed.
    """

    data_centre: str
    build_report: Callable[[], EntryInstance]
    is_busy: Callable[[], bool]
    apply_configuration: Callable[[int, bytes], Awaitable[bool]]
    on_change: Callable[[], None]
    on_reply: Callable[[FleetReply], None]
    on_proof: Callable[[], None] = lambda: None
    max_proof_age_ms: float | None = None


@attrs.frozen
class _Polled:
    """Reply of a control instance.

    :param reply: the reply.
    :param as_of_ms: time at which it was made or earlier, on the clock of :func:`boot_ms`.
    """

    reply: FleetReply
    as_of_ms: float


class FleetClient:
    """Poll one control instance at a time for changes; configuration versions never go back."""

    def __init__(
        self, peers: PeerPool, seeds: Callable[[], tuple[Address, ...]], callbacks: EntryCallbacks
    ) -> None:
        """Set up the client; :meth:`run` starts it.

        :param peers: connections to control instances.
        :param seeds: returns peer addresses of some control instances.
        :param callbacks: callbacks of the entry instance.
        """
        self.view = FleetView()
        self.leader_calls = LeaderCalls(peers, lambda: self.view.leader)
        self.streams = StreamDirectory(peers, lambda: self.view.controls or seeds())
        self._peers = peers
        self._seeds = seeds
        self._callbacks = callbacks
        self._table_id = ""
        self._held_upstreams = 0
        self._held_entries = 0
        self._held_changes = 0
        self._held_verdicts = 0
        self._held_limits = 0
        self._wake = trio.Event()
        self._was_current = False
        self._locations: dict[Address, str] = {}
        self._left: Address | None = None
        self._left_unproven_ms = float("-inf")
        # While a configuration is decoded, another control instance may send an older one.
        self._applying = trio.Lock()

    async def run(self) -> None:
        """Poll a control instance while it is current, else try the next."""
        while True:
            await self._fetch_locations()
            found = await self._find_control()
            if found is None:
                self._left = None
                await trio.sleep(_RETRY_PAUSE_MS / 1000.0)
                continue
            self._left, polled = found
            await self._follow(self._left, polled)

    def report_now(self) -> None:
        """Report the changed own row without waiting for the current poll to end."""
        self._wake.set()

    async def _fetch_locations(self) -> None:
        """Fetch the data centre of each control instance that is not known yet."""

        async def ask(address: Address) -> None:
            result = await self._peers.client(address).call(
                PlaceRequest(), _PLACE_TIMEOUT_MS, is_repeatable=True
            )
            reply = result.ok()
            if isinstance(reply, PlaceReply):
                self._locations[address] = reply.data_centre

        async with trio.open_nursery() as nursery:
            for address in {*self._seeds(), *self.view.controls} - self._locations.keys():
                nursery.start_soon(ask, address)

    def _is_local(self, address: Address) -> bool:
        return self._locations.get(address) == self._callbacks.data_centre

    def _candidates(self) -> list[Address]:
        """Return the control instances, those of the own data centre first.

        The leader comes last within its group: it has the highest load, but is never out of date.
        The one that was just left comes last of all.
        """
        listed = list({*self._seeds(), *self.view.controls})
        random.shuffle(listed)
        return sorted(
            listed, key=lambda a: (a == self._left, not self._is_local(a), a == self.view.leader)
        )

    async def _find_control(self) -> tuple[Address, _Polled] | None:
        """Return a control instance that can be followed, with its reply.

        A silent one delays the search only until the next one is asked beside it.
        """
        found: tuple[Address, _Polled] | None = None

        async def ask(address: Address, answered: trio.Event) -> None:
            nonlocal found
            polled = await self._ask(address, 0.0, _FIRST_CALL_TIMEOUT_MS)
            if polled is not None and found is None:
                reply = polled.reply
                if reply.is_current or self._is_usable_without_leader(reply):
                    found = address, polled
                    nursery.cancel_scope.cancel()
                    return
                await self._apply(polled, address)
                await self._pause_after_refusal(address, reply)
            answered.set()

        async with trio.open_nursery() as nursery:
            delay_ms = _NEXT_CALL_DELAY_MS
            for address in self._candidates():
                answered = trio.Event()
                nursery.start_soon(ask, address, answered)
                with trio.move_on_after(delay_ms / 1000.0) as scope:
                    await answered.wait()
                if scope.cancelled_caught:
                    delay_ms *= 2.0
        return found

    async def _pause_after_refusal(self, address: Address, reply: FleetReply) -> None:
        log_limited("control_not_current", is_routine=True, control=address, version=reply.version)
        is_busy = self._callbacks.is_busy()
        pause_ms = _NEXT_CONTROL_PAUSE_MS if is_busy else _IDLE_NEXT_CONTROL_PAUSE_MS
        await trio.sleep(pause_ms / 1000.0)

    async def _follow(self, address: Address, first: _Polled) -> None:
        """Poll a control instance until it fails or is left for a local one."""
        polled: _Polled | None = first
        is_first = True
        since_ms = now_ms()
        while True:
            if polled is None:
                return
            reply = polled.reply
            await self._apply(polled, address)
            if self._is_usable_without_leader(reply):
                self.view.confirm(polled.as_of_ms)
                await trio.sleep(_NEXT_CONTROL_PAUSE_MS / 1000.0)
                polled = await self._ask(address, 0.0, _FIRST_CALL_TIMEOUT_MS)
                continue
            if not reply.is_current:
                await self._pause_after_refusal(address, reply)
                return
            if is_first:
                log_event("control_followed", control=address, version=reply.version)
            is_first = False
            self.view.confirm(polled.as_of_ms)
            if self._lacks_proof(reply):
                self._left_unproven_ms = now_ms()
                log_event("control_unproven", control=address, proof_age_ms=reply.proof_age_ms)
                return
            if not self._is_local(address) and now_ms() - since_ms >= _LOCAL_CHECK_INTERVAL_MS:
                since_ms = now_ms()
                await self._fetch_locations()
                if any(self._is_local(a) for a in self.view.controls):
                    log_event("nearer_control_tried", control=address)
                    return
            if self._is_proof_due(reply):
                await trio.sleep(_UNPROVEN_PAUSE_MS / 1000.0)
                polled = await self._ask(address, 0.0, _FIRST_CALL_TIMEOUT_MS)
                continue
            pause_ms = BUSY_POLL_PAUSE_MS if self._callbacks.is_busy() else IDLE_POLL_PAUSE_MS
            with trio.move_on_after(pause_ms / 1000.0):
                await self._wake.wait()
            polled = await self._poll(address)

    def _is_proof_due(self, reply: FleetReply) -> bool:
        """Return whether a control instance's proof should be renewed within a heartbeat or two.

        After a change of the leader, a member hears the new one before it has a proof from it. The
        usual pause and long poll would delay it by another second.
        """
        limit_ms, age_ms = self._callbacks.max_proof_age_ms, reply.proof_age_ms
        return limit_ms is not None and (age_ms is None or age_ms >= limit_ms / 2.0)

    def _lacks_proof(self, reply: FleetReply) -> bool:
        """Return whether another control instance may have a proof that this one lacks.

        A control instance whose messages to the leader are lost hears the leader, so it counts as
        current, and its proof becomes old. The configuration of other control instances may not be
        readable here, or all may lack the proof, so they are not tried more than once a second.
        """
        limit_ms, age_ms = self._callbacks.max_proof_age_ms, reply.proof_age_ms
        if limit_ms is None or (age_ms is not None and age_ms < limit_ms):
            return False
        is_due = boot_ms() - self.view.proven_as_of_ms >= limit_ms
        return is_due and now_ms() - self._left_unproven_ms >= _UNPROVEN_RETRY_MS

    async def _poll(self, address: Address) -> _Polled | None:
        """Ask the followed control instance, which may wait for a change."""
        if self._callbacks.is_busy():
            wait_ms, margin_ms = BUSY_LONG_POLL_MS, _BUSY_CALL_MARGIN_MS
        else:
            wait_ms, margin_ms = IDLE_LONG_POLL_MS, _IDLE_CALL_MARGIN_MS
        return await self._ask(address, wait_ms, wait_ms + margin_ms)

    def _is_usable_without_leader(self, reply: FleetReply) -> bool:
        """Return whether a reply from a control instance without a leader can be used.

        A starting control instance answers from its disk, which is the best state available before
        an election. An entry instance that has had a current reply waits for the next leader.
        """
        return reply.is_starting and not reply.is_current and not self._was_current

    async def _ask(self, address: Address, wait_ms: float, timeout_ms: float) -> _Polled | None:
        self._wake = trio.Event()
        request = FleetRequest(
            self._callbacks.build_report(),
            self.view.version,
            self._table_id,
            self._held_upstreams,
            self._held_entries,
            self._held_changes,
            wait_ms,
            self._held_verdicts,
            [row.aged(now_ms()) for row in self.view.unlisted_verdicts],
            self._held_limits,
        )
        reply = None
        as_of_ms = 0.0
        failure: Failure | None = None
        asked_ms = now_ms()
        async with trio.open_nursery() as nursery:

            async def call() -> None:
                nonlocal reply, failure, as_of_ms
                sent_ms = boot_ms()
                result = await self._peers.client(address).call(
                    request, timeout_ms, is_repeatable=True
                )
                reply, failure = result.ok(), result.err()
                if isinstance(reply, FleetReply):
                    as_of_ms = sent_ms + reply.waited_ms
                nursery.cancel_scope.cancel()

            nursery.start_soon(call)
            if wait_ms > 0:
                await self._wake.wait()
                request = attrs.evolve(request, entry=self._callbacks.build_report(), wait_ms=0.0)
                nursery.start_soon(call)
        if isinstance(reply, FleetReply):
            return _Polled(reply, as_of_ms)
        waited_ms = round(now_ms() - asked_ms)
        log_limited(
            "control_lost",
            is_routine=False,
            control=address,
            waited_ms=waited_ms,
            reason=failure.kind.value if failure else "unexpected_reply",
        )
        return None

    async def _apply(self, polled: _Polled, control: Address) -> None:
        view, reply = self.view, polled.reply
        if reply.configuration is not None:
            await self._apply_configuration(reply.version, reply.configuration, control)
        if view.prove(reply, polled.as_of_ms):
            self._callbacks.on_proof()
        view.apply_members(reply)
        if not reply.is_current and not self._is_usable_without_leader(reply):
            return
        self._was_current = reply.is_current
        view.apply_rows(reply)
        self._table_id = reply.table_id
        self._held_upstreams = reply.upstream_sequence
        self._held_entries = reply.entry_sequence
        self._held_changes = reply.change_sequence
        self._held_verdicts = reply.verdict_sequence
        self._held_limits = reply.limit_sequence
        has_dropped = view.expire_unlisted()
        if has_dropped or reply.upstreams or reply.changes or reply.entries is not None:
            self._callbacks.on_change()
        self._callbacks.on_reply(reply)

    async def _apply_configuration(self, version: int, compressed: bytes, control: Address) -> None:
        async with self._applying:
            if version <= self.view.version:
                return
            log_event(
                "configuration_received", control=control, version=version, held=self.view.version
            )
            document = decompress_document(compressed)
            if document.is_err():
                reason = document.unwrap_err().message
                log_warning("configuration_unreadable", version=version, reason=reason)
            elif await self._callbacks.apply_configuration(version, document.unwrap()):
                self.view.version = version
