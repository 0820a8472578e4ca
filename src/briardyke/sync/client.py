"""Run the sync loop towards a relay or the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err, Ok

from briardyke.clock import now_ms, sleep_ms
from briardyke.logs import log_event, log_warning
from briardyke.wire.messages import InstanceStatus, ModelDemand, SyncReply, SyncRequest, UpstreamRow

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from briardyke.settings import Address
    from briardyke.sync.view import SyncedView
    from briardyke.wire.pool import PeerPool

WAIT_MS = 250.0
REPLY_MARGIN_MS = 750.0
_PAUSE_AFTER_FAILURE_MS = 100.0
_LONGEST_PAUSE_MS = 2000.0


@attrs.frozen
class Report:
    """Hold what a process reports upwards in one sync.

    :param statuses: statuses of entry instances.
    :param announcements: upstream announcements received here.
    :param demand: demand by model or adapter name.
    :param digest_sequence: sequence up to which announcements are included.
    """

    statuses: list[InstanceStatus]
    announcements: list[UpstreamRow]
    demand: dict[str, ModelDemand]
    digest_sequence: int


class SyncClient:
    """Sync with one responder at a time and move on when it is of no use."""

    def __init__(
        self,
        sender_id: str,
        peers: PeerPool,
        addresses: Callable[[], Sequence[Address]],
        view: SyncedView,
        report: Callable[[int], Report],
        data_centres: Sequence[str] = (),
    ) -> None:
        """Set up the loop.

        :param sender_id: instance id of this process.
        :param peers: connections to other processes.
        :param addresses: returns the responders to use, preferred ones first.
        :param view: receives the replies.
        :param report: builds the report of one request, with the announcements after a sequence.
        :param data_centres: data centres whose upstreams are wanted; empty for all.
        """
        self._sender_id = sender_id
        self._peers = peers
        self._addresses = addresses
        self._view = view
        self._report = report
        self._data_centres = list(data_centres)
        self._position = 0
        self._reported_digest = 0
        self._failures_in_row = 0

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
            self._reported_digest = 0  # the next responder may have heard none of it
            self._failures_in_row += 1
            # One full round over all responders is made at once; only then the pause grows.
            rounds = self._failures_in_row // len(addresses)
            await sleep_ms(min(_LONGEST_PAUSE_MS, _PAUSE_AFTER_FAILURE_MS * 2**rounds))

    async def _sync(self, address: Address) -> bool:
        report = self._report(self._reported_digest)
        request = self._request(report)
        sent_at_ms = now_ms()
        reply = await self._peers.client(address).call(request, WAIT_MS + REPLY_MARGIN_MS)
        match reply:
            case Ok(SyncReply() as answer):
                self._reported_digest = report.digest_sequence
                return self._view.apply(answer, sent_at_ms, now_ms())
            case Err(failure):
                log_warning("sync_failed", responder=address, kind=failure.kind.value)
        return False

    def _request(self, report: Report) -> SyncRequest:
        view = self._view
        return SyncRequest(
            sender_id=self._sender_id,
            held_version=view.documents.version,
            digest_id=view.responder_id,
            held_digest=view.held_digest,
            held_instances=view.held_instances,
            data_centres=self._data_centres,
            wait_ms=WAIT_MS,
            statuses=report.statuses,
            announcements=report.announcements,
            demand=report.demand,
        )
