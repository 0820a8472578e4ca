"""Run the sync loop with a relay or the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err, Ok

from briardyke.clock import now_ms, sleep_ms, wall_unix_ms
from briardyke.logs import log_event, log_warning
from briardyke.wire.messages import InstanceStatus, ModelDemand, SyncReply, SyncRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from briardyke.addresses import Address
    from briardyke.sync.view import SyncedView
    from briardyke.wire.pool import PeerPool

REPLY_MARGIN_MS = 750.0
_PAUSE_AFTER_FAILURE_MS = 100.0
_MAX_PAUSE_MS = 2000.0


@attrs.frozen
class SyncReport:
    """What a process reports to its responder in one sync, besides announcements.

    :param statuses: statuses of entry instances.
    :param demand: demand by model or adapter name.
    """

    statuses: list[InstanceStatus]
    demand: dict[str, ModelDemand]


class SyncClient:
    """Client that syncs with one responder, and with the next when it fails or is not current."""

    def __init__(
        self,
        sender_id: str,
        peers: PeerPool,
        addresses: Callable[[], Sequence[Address]],
        view: SyncedView,
        report: Callable[[], SyncReport],
        data_centres: Sequence[str] = (),
        *,
        wait_ms: float,
        with_load: bool = True,
    ) -> None:
        """Set up the loop.

        :param sender_id: instance id of this process.
        :param peers: connections to other processes.
        :param addresses: returns the responders' addresses, preferred ones first.
        :param view: receives the replies.
        :param report: builds the report of one request.
        :param data_centres: data centres whose upstreams are wanted; empty for all.
        :param wait_ms: time between syncs while nothing changes.
        :param with_load: whether load figures of upstreams are sent and requested.
        """
        self._sender_id = sender_id
        self._peers = peers
        self._addresses = addresses
        self._view = view
        self._report = report
        self._data_centres = list(data_centres)
        self._wait_ms = wait_ms
        self._with_load = with_load
        self._address_index = 0
        self._reported_digest = 0
        self._announced_ids: set[str] | None = (
            None  # None until the responder has all announcements
        )
        self._consecutive_failures = 0
        self._number = 0

    async def run(self) -> None:
        """Sync until cancelled."""
        while True:
            addresses = self._addresses()
            if not addresses:
                await sleep_ms(_PAUSE_AFTER_FAILURE_MS)
                continue
            address = addresses[self._address_index % len(addresses)]
            if await self._sync(address):
                if self._consecutive_failures:
                    log_event("sync_established", responder=address)
                self._consecutive_failures = 0
                continue
            self._address_index += 1
            self._reported_digest = 0
            self._announced_ids = None  # the next responder may have none of them
            self._consecutive_failures += 1
            # The pause grows only after each full round over all responders.
            rounds = self._consecutive_failures // len(addresses)
            await sleep_ms(min(_MAX_PAUSE_MS, _PAUSE_AFTER_FAILURE_MS * 2**rounds))

    async def _sync(self, address: Address) -> bool:
        sent_at_ms = now_ms()
        digest_sequence = self._view.digest.sequence
        forwarding = self._view.digest.upstreams_to_forward(sent_at_ms)
        request = self._request(forwarding, sent_at_ms)
        reply = await self._peers.client(address).call(request, self._wait_ms + REPLY_MARGIN_MS)
        match reply:
            case Ok(SyncReply() as answer):
                self._reported_digest = digest_sequence
                self._announced_ids = forwarding
                return self._view.apply(answer, sent_at_ms, now_ms())
            case Err(failure):
                log_warning("sync_failed", responder=address, kind=failure.kind.value)
        return False

    def _request(self, forwarding: set[str], now: float) -> SyncRequest:
        report, view = self._report(), self._view
        known = self._announced_ids
        changed = view.digest.changes_since(self._reported_digest, now, with_load=self._with_load)
        if known is not None:
            # An upstream that starts announcing through this process is sent even if unchanged.
            changed_ids = {row.upstream_id for row in changed}
            started = forwarding - known - changed_ids
            changed += [r for r in view.digest.changes_since(0, now) if r.upstream_id in started]
        freshness = view.digest.freshness(now, upstream_ids=forwarding)
        return SyncRequest(
            sender_id=self._sender_id,
            request_number=self._next_number(),
            held_version=view.documents.version,
            digest_id=view.responder_id,
            held_digest=view.held_digest,
            held_instances=view.held_instances,
            data_centres=self._data_centres,
            with_load=self._with_load,
            wait_ms=self._wait_ms,
            echo_ms=view.echo_ms,
            statuses=report.statuses,
            announcements=[row for row in changed if row.upstream_id in forwarding],
            whole_announcements=known is None,
            departed=sorted((known or set()) - forwarding),
            fresh_age_ms=freshness.fresh_age_ms,
            stale_ages_ms=freshness.stale_ages_ms,
            demand=report.demand,
        )

    def _next_number(self) -> int:
        # Starting from the wall clock keeps the numbers increasing across restarts.
        self._number = max(self._number + 1, wall_unix_ms())
        return self._number
