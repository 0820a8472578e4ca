"""Report the software versions of streams to control instances, and ask for them."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import trio

from briardyke.fleet.messages import StreamReply, StreamReport, StreamReportReply, StreamRequest
from briardyke.policy.rendezvous import rendezvous_hash

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from briardyke.addresses import Address
    from briardyke.software_versions.records import StreamVersion
    from briardyke.wire.pool import PeerPool

# Control instances that keep the version of a stream, so that one of them may fail.
_KEEPERS = 2
# Control instances that are asked for it. One more, since a change of members may have put another
# one before a keeper.
_ASKED = 3
# The first event of a stream waits for the first acknowledgement, for this long at most.
REPORT_TIMEOUT_MS = 100.0
_REQUEST_TIMEOUT_MS = 250.0
_MAX_ROWS = 500


class StreamDirectory:
    """Versions of streams, spread over the control instances by the id of the first request.

    Any entry instance finds the same keepers from the id and the list of members alone, and each
    control instance has its part of the load.
    """

    def __init__(self, peers: PeerPool, controls: Callable[[], Sequence[Address]]) -> None:
        """Use control instances.

        :param peers: connections to them.
        :param controls: returns the peer addresses of all of them.
        """
        self._peers = peers
        self._controls = controls

    async def report(self, rows: Sequence[StreamVersion]) -> None:
        """Send streams to their keepers; return once each is acknowledged, or after the timeout."""
        by_keeper: defaultdict[Address, list[StreamVersion]] = defaultdict(list)
        for row in rows:
            for address in self._ranked(row.request_id)[:_KEEPERS]:
                by_keeper[address].append(row)
        missing = {row.request_id for row in rows}

        async def send(address: Address, part: list[StreamVersion]) -> None:
            client = self._peers.client(address)
            reply = await client.call(StreamReport(part), REPORT_TIMEOUT_MS, is_repeatable=True)
            if isinstance(reply.ok(), StreamReportReply):
                missing.difference_update(row.request_id for row in part)
                if not missing:
                    nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for address, kept in by_keeper.items():
                for start in range(0, len(kept), _MAX_ROWS):
                    nursery.start_soon(send, address, kept[start : start + _MAX_ROWS])

    async def find(self, request_id: str, service: str) -> StreamReply | None:
        """Ask for the version of a stream and for the versions of its service.

        :return: without a version when no keeper knows the stream; ``None`` when no control
            instance with contact to a leader replied.
        """
        found: StreamReply | None = None
        others: list[StreamReply] = []

        async def ask(address: Address) -> None:
            nonlocal found
            client = self._peers.client(address)
            reply = (
                await client.call(
                    StreamRequest(request_id, service), _REQUEST_TIMEOUT_MS, is_repeatable=True
                )
            ).ok()
            if not isinstance(reply, StreamReply):
                return
            if reply.software_version is not None:
                found = reply
                nursery.cancel_scope.cancel()
            elif reply.is_current:
                others.append(reply)

        async with trio.open_nursery() as nursery:
            for address in self._ranked(request_id)[:_ASKED]:
                nursery.start_soon(ask, address)
        if found is not None or not others:
            return found
        versions = {version for reply in others for version in reply.service_versions}
        return StreamReply(None, sorted(versions), is_current=True)

    def _ranked(self, request_id: str) -> list[Address]:
        """Return the control instances in the order in which they keep a stream."""
        return sorted(self._controls(), key=lambda a: rendezvous_hash(request_id, str(a)))
