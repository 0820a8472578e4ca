"""Tests of streams that broke off and whose next upstream does not continue them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from gateway_support import STREAM_HEAD, chunk, close, event

if TYPE_CHECKING:
    import trio
    from gateway_support import Gateway, Script, ScriptedUpstream

END = b"0\r\n\r\n"
ERROR = b"HTTP/1.1 %d X\r\nRequest-Id: s-1\r\nServer-Stamp: s\r\nContent-Type: %s\r\n"
FIRST = b"id: 1\ndata: t\n\n"
WITHOUT_ID = chunk(b"data: t\n\n")


def start_over() -> bytes:
    """Return a stream that begins with the first event."""
    return STREAM_HEAD % b"s-1" + event(1) + event(2) + END


class Relay:
    """Upstreams that send one part of a stream each, in the order of the requests."""

    def __init__(self, *parts: bytes) -> None:
        self._parts = list(parts)

    async def script(
        self, upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
    ) -> None:
        await stream.send_all(self._parts.pop(0))
        await close(stream)


async def add_upstreams(gateway: Gateway, script: Script) -> None:
    """Add as many upstreams as a request may be sent to."""
    for _ in range(2):
        await gateway.add("pool", script)


class TestNextResponse:
    """Covers what the second upstream of a stream may respond."""

    @pytest.mark.parametrize("status", [200, 404, 500, 503])
    @pytest.mark.parametrize("media_type", [b"text/event-stream", b"text/plain"])
    @pytest.mark.parametrize("framing", [b"Content-Length: 8\r\n\r\nfailed\n\n", b"\r\nfailed\n\n"])
    async def test_text_of_an_error_is_not_joined(
        self, gateway: Gateway, status: int, media_type: bytes, framing: bytes
    ) -> None:
        broken = STREAM_HEAD % b"s-1" + event(1)
        relay = Relay(broken, ERROR % (status, media_type) + framing)
        await add_upstreams(gateway, relay.script)
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.status, reply.body, reply.is_complete) == (200, FIRST, False)

    @pytest.mark.parametrize("head", [b"", b"HTTP/1.1 200 OK\r\nRequest", STREAM_HEAD % b"s-1"])
    async def test_upstream_that_breaks_at_once_leaves_the_stream_without_an_end(
        self, gateway: Gateway, head: bytes
    ) -> None:
        await add_upstreams(gateway, Relay(STREAM_HEAD % b"s-1" + event(1), head).script)
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.status, reply.body, reply.is_complete) == (200, FIRST, False)

    async def test_error_head_within_a_stream_ends_it(self, gateway: Gateway) -> None:
        unframed = STREAM_HEAD.replace(b"Transfer-Encoding: chunked\r\n", b"") % b"s-1"
        error = ERROR % (503, b"text/plain") + b"\r\n"
        await add_upstreams(gateway, Relay(unframed + FIRST + error, start_over()).script)
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.status, reply.body, reply.is_complete) == (200, FIRST, False)

    async def test_error_of_the_first_upstream_is_no_stream(self, gateway: Gateway) -> None:
        error = ERROR % (500, b"text/event-stream") + b"Content-Length: 8\r\n\r\nfailed\n\n"
        await add_upstreams(gateway, Relay(error, error).script)
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.status, reply.body, reply.is_complete) == (500, b"failed\n\n", True)


class TestPosition:
    """Covers upstreams that do not go on after the last event that was forwarded."""

    async def test_stream_that_starts_over_is_not_joined(self, gateway: Gateway) -> None:
        await add_upstreams(gateway, Relay(STREAM_HEAD % b"s-1" + event(1), start_over()).script)
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.body, reply.is_complete) == (FIRST, False)

    async def test_ids_are_compared_as_numbers(self, gateway: Gateway) -> None:
        broken = STREAM_HEAD % b"s-1" + event(9)
        await add_upstreams(gateway, Relay(broken, STREAM_HEAD % b"s-1" + event(10) + END).script)
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert reply.body == b"id: 9\ndata: t\n\nid: 10\ndata: t\n\n"
        assert reply.is_complete

    async def test_stream_without_ids_is_not_joined(self, gateway: Gateway) -> None:
        head = STREAM_HEAD % b"s-1"
        await add_upstreams(gateway, Relay(head + WITHOUT_ID, head + WITHOUT_ID * 2 + END).script)
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.body, reply.is_complete) == (b"data: t\n\n", False)

    async def test_event_without_an_id_does_not_continue_a_stream(self, gateway: Gateway) -> None:
        head = STREAM_HEAD % b"s-1"
        await add_upstreams(gateway, Relay(head + event(1), head + WITHOUT_ID + END).script)
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.body, reply.is_complete) == (FIRST, False)

    async def test_stream_that_broke_before_its_first_event_starts_over(
        self, gateway: Gateway
    ) -> None:
        await add_upstreams(gateway, Relay(STREAM_HEAD % b"s-1", start_over()).script)
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert reply.body == b"id: 1\ndata: t\n\nid: 2\ndata: t\n\n"
        assert reply.is_complete
