"""Read the events of a stream from one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.gateway.dispatch_client import Dispatch
from briardyke.gateway.upstreams import UpstreamState
from briardyke.http.h11_client import UpstreamConnection, UpstreamHead
from briardyke.turns import ReaderTurns

if TYPE_CHECKING:
    from briardyke.gateway.event_stream import EventSplitter


@attrs.frozen
class Events:
    """Complete events that arrived together.

    :param data: their bytes.
    :param count: their number.
    :param is_last: whether the stream has ended normally after them.
    """

    data: bytes
    count: int
    is_last: bool


@attrs.define
class StreamSource:
    """Connection on which an upstream sends a stream.

    :param upstream: the upstream, which counts the request as in flight.
    :param connection: its connection.
    :param head: head of its response.
    :param dispatch: place of the stream on its engine, if the coordinator assigned it.
    """

    upstream: UpstreamState
    connection: UpstreamConnection
    head: UpstreamHead
    dispatch: Dispatch | None = None
    _is_released: bool = False
    _turns: ReaderTurns = attrs.field(factory=ReaderTurns, init=False)

    async def next_events(self, splitter: EventSplitter) -> Events:
        """Wait for complete events or the end of the stream.

        :raises UpstreamError: when the connection ends before.
        :raises EventStreamError: when its events cannot be forwarded.
        """
        count = splitter.count
        while True:
            await self._turns.wait_if_due()
            part = b"" if splitter.is_behind else await self.connection.read_part()
            data = splitter.take_remainder() if part is None else splitter.feed(part)
            if data or part is None:
                self._turns.charge(splitter.count - count)
                self.upstream.record_sign()
                return Events(data, splitter.count - count, part is None)

    @property
    def is_closed(self) -> bool:
        """Return whether the connection was closed or kept."""
        return self._is_released

    def keep_connection(self) -> None:
        """Return the connection of a stream that ended normally to its pool, if it can be kept."""
        if self.connection.finish(self.head):
            self._release()
            self.upstream.pool.give_back(self.connection)

    async def aclose(self) -> None:
        """Close the connection, unless it was closed or kept."""
        if not self._is_released:
            self._release()
            await self.connection.aclose()

    def _release(self) -> None:
        self._is_released = True
        self.upstream.end_request()
        if self.dispatch is not None:
            self.dispatch.end()
