"""Run the sync loop towards a relay or the leader."""

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
_LONGEST_PAUSE_MS = 2000.0


@attrs.frozen
class SyncReport:
    """Hold what a process reports upwards in one sync, besides announcements.

    :param statuses: statuses of entry instances.
    :param demand: demand by model or adapter name.
    """

    statuses: list[InstanceStatus]
    demand: dict[str, ModelDemand]


class SyncClient:
    """Sync with one responder at a time and move on when it is of no use."""

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
        :param addresses: returns the responders to use, preferred ones first.
        :param view: receives the replies.
        :param report: builds the report of one request.
        :param data_centres: data centres whose upstreams are wanted; empty for all.
        :param wait_ms: time between syncs while nothing changes.
        :param with_load: whether load figures of upstreams are sent and wanted.
        """
        self._sender_id = sender_id
        self._peers = peers
        self._addresses = addresses
        self._view = view
        self._report = report
        self._data_centres = list(data_centres)
        self._wait_ms = wait_ms
        self._with_load = with_load
        self._position = 0
        self._reported_digest = 0
        self._reported_ids: set[str] | None = None  # None until the responder has heard all
        self._failures_in_row = 0
        self._number = 0

    async def run(self) -> None:
        """Sync until cancelled."""
        while True:
            addresses = self._addresses()
            if not addresses:
                await sleep_ms(_PAUSE_AFTER_FAILURE_MS)
                continue
            address = addresses[self._position % len(addresses)]
            if await self._sync(address):
                if self._failures_in_row:
                    log_event("sync_established", responder=address)
                self._failures_in_row = 0
                continue
            self._position += 1
            self._reported_digest = 0
            self._reported_ids = None  # the next responder may have heard none of it
            self._failures_in_row += 1
            # One full round over all responders is made at once; only then the pause grows.
            rounds = self._failures_in_row // len(addresses)
            await sleep_ms(min(_LONGEST_PAUSE_MS, _PAUSE_AFTER_FAILURE_MS * 2**rounds))

    async def _sync(self, address: Address) -> bool:
        sent_at_ms = now_ms()
        digest_sequence = self._view.digest.sequence
        announcing = self._view.digest.passed_on(sent_at_ms)
        request = self._request(announcing, sent_at_ms)
        reply = await self._peers.client(address).call(request, self._wait_ms + REPLY_MARGIN_MS)
        match reply:
            case Ok(SyncReply() as answer):
                self._reported_digest = digest_sequence
                self._reported_ids = announcing
                return self._view.apply(answer, sent_at_ms, now_ms())
            case Err(failure):
                log_warning("sync_failed", responder=address, kind=failure.kind.value)
        return False

    def _request(self, announcing: set[str], now: float) -> SyncRequest:
        report, view = self._report(), self._view
        known = self._reported_ids
        changed = view.digest.changes_since(self._reported_digest, now, with_load=self._with_load)
        if known is not None:
            # A row that begins to announce here is sent even if the row itself is old.
            held = {row.upstream_id for row in changed}
            begun = announcing - known - held
            changed += [r for r in view.digest.changes_since(0, now) if r.upstream_id in begun]
        freshness = view.digest.freshness(now, upstream_ids=announcing)
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
            announcements=[row for row in changed if row.upstream_id in announcing],
            whole_announcements=known is None,
            departed=sorted((known or set()) - announcing),
            fresh_age_ms=freshness.fresh_age_ms,
            stale_ages_ms=freshness.stale_ages_ms,
            demand=report.demand,
        )

    def _next_number(self) -> int:
        # Starting from the wall clock makes the numbers rise over restarts as well.
        self._number = max(self._number + 1, wall_unix_ms())
        return self._number
