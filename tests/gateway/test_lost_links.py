"""Tests of callers whose entry instance has lost its links to all upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio
from gateway_support import STREAM_HEAD, ScriptedUpstream, event
from peer_support import hanging_address, lose_links, partitioned_pair, refusing_address

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractContextManager

    from briardyke.addresses import Address

LOST_LINKS = [refusing_address, hanging_address]


async def answering(
    upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
) -> None:
    """Send a short response."""
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n" % request_id
    await stream.send_all(head + b"Content-Length: 2\r\n\r\nok")


async def streaming(
    upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
) -> None:
    """Send a stream of two events."""
    await stream.send_all(STREAM_HEAD % request_id + event(1) + event(2) + b"0\r\n\r\n")


@pytest.mark.parametrize("dead_address", LOST_LINKS)
class TestServedThroughPeers:
    """Guards against first attempts that fail at an instance without links to upstreams."""

    @pytest.mark.parametrize("path", ["/see/x", "/buy/x"])
    async def test_plain_request_is_served_once(
        self, path: str, dead_address: Callable[[], AbstractContextManager[Address]]
    ) -> None:
        upstream = ScriptedUpstream(answering)
        with dead_address() as lost:
            async with trio.open_nursery() as nursery:
                cut, _ = await partitioned_pair(nursery, upstream, "app", lost)
                await lose_links(cut, "/see/x")
                reply = await cut.send(path, "r-1")
                nursery.cancel_scope.cancel()
        assert (reply.status, reply.body, reply.is_complete) == (200, b"ok", True)
        assert reply.headers[b"server-stamp"] == b"s"
        assert upstream.requests.count(b"r-1") == 1

    async def test_stream_is_served(
        self, dead_address: Callable[[], AbstractContextManager[Address]]
    ) -> None:
        upstream = ScriptedUpstream(streaming)
        with dead_address() as lost:
            async with trio.open_nursery() as nursery:
                cut, _ = await partitioned_pair(nursery, upstream, "pool", lost)
                await lose_links(cut, "/chat/x", "m")
                reply = await cut.send("/chat/x", "s-1", "m")
                nursery.cancel_scope.cancel()
        assert (reply.status, reply.is_complete) == (200, True)
        assert reply.body == b"id: 1\ndata: t\n\nid: 2\ndata: t\n\n"
