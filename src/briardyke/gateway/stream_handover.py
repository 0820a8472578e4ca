"""Let another upstream continue a stalled stream, unless its own upstream goes on first."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Protocol

import attrs
import trio

from briardyke.gateway.event_stream import EventSplitter, EventStreamError
from briardyke.gateway.stream_source import Events, StreamSource
from briardyke.http.h11_client import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable

# Longest time for which two upstreams keep a request. They may both work on it for 400 ms, which
# includes the way of the close.
MAX_OVERLAP_S = 0.25


@attrs.define
class Continuation:
    """How a stalled stream goes on.

    :param source: upstream that sends the rest.
    :param splitter: splits its stream into events.
    :param events: its first events, or ``None`` when they have not arrived yet.
    """

    source: StreamSource
    splitter: EventSplitter
    events: Events | None = None


class Replacement(Protocol):
    """Request the rest of a stalled stream from another upstream."""

    async def request_rest(self, on_sent: Callable[[], None]) -> StreamSource | None:
        """Return the other upstream once it has responded, or ``None`` without one.

        :param on_sent: called once it may start to work on the request.
        """

    async def record_loss(self, source: StreamSource, error: Exception) -> None:
        """Record that the other upstream has ended the stream before its first event."""

    async def leave_source(self) -> None:
        """Close the connection to the stalled upstream."""


async def hand_over(
    source: StreamSource, splitter: EventSplitter, replacement: Replacement
) -> Continuation | None:
    """Return how a stalled stream goes on: by the upstream that sends the next event first.

    Load: an upstream that is silent may be dead, or go on in a moment; the one that replaces it may
    refuse, fail or be silent as well. Nothing is given up before one of them has sent an event or
    both have kept the request for as long as they may.

    :param source: the stalled upstream.
    :param splitter: splits its stream; only complete events of the source change it.
    :return: ``None`` when no other upstream continues it. The source is then closed if the other
        one failed only after both had kept the request for long.
    """
    continuation: Continuation | None = None
    first: Continuation | None = None
    sent = trio.Event()
    overlap = trio.CancelScope()

    async def read_source() -> None:
        nonlocal first
        # The next reader of the source meets the same failure again.
        with overlap, contextlib.suppress(UpstreamError, EventStreamError):
            first = Continuation(source, splitter, await source.next_events(splitter))
            nursery.cancel_scope.cancel()

    async def limit_overlap() -> None:
        await sent.wait()
        await trio.sleep(MAX_OVERLAP_S)
        overlap.cancel()
        awaiting_events.cancel()
        await replacement.leave_source()

    awaiting_events = trio.CancelScope()
    is_settled = False
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_source)
            nursery.start_soon(limit_overlap)
            successor = await replacement.request_rest(sent.set)
            if successor is not None:
                continuation = Continuation(successor, splitter.fork())
                try:
                    with awaiting_events:
                        continuation.events = await successor.next_events(continuation.splitter)
                except (UpstreamError, EventStreamError) as error:
                    await replacement.record_loss(successor, error)
                    await successor.aclose()
                    continuation = None
            nursery.cancel_scope.cancel()
        is_settled = True
    finally:
        # Events that the source has sent are taken from its connection already.
        if continuation is not None and (first is not None or not is_settled):
            await continuation.source.aclose()
    return first or continuation
