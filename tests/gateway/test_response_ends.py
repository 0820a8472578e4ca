"""Tests of responses that end early, and of those that end with their connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from gateway_support import chunk, close

if TYPE_CHECKING:
    import trio
    from gateway_support import Gateway, Script, ScriptedUpstream

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n"
STREAM = HEAD + b"Content-Type: text/event-stream\r\n"
EVENTS = [b"id: %d\ndata: t\n\n" % number for number in range(1, 4)]
FRAMINGS = ["chunked", "length", "connection"]


def framed(head: bytes, body: bytes, framing: str) -> bytes:
    """Return a response whose body ends by its last chunk, its length or its connection."""
    if framing == "chunked":
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + b"0\r\n\r\n"
    if framing == "length":
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    return head + b"\r\n" + body


def respond(head: bytes, body: bytes, framing: str, *, is_reset: bool = False) -> Script:
    """Return a script that sends one response and closes the connection."""

    async def script(
        upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
    ) -> None:
        await stream.send_all(framed(head % request_id, body, framing))
        await close(stream, is_reset=is_reset)

    return script


def cut(whole: bytes, size: int, *, is_reset: bool = False) -> Script:
    """Return a script that sends the first bytes of a response and closes the connection."""

    async def script(
        upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
    ) -> None:
        await stream.send_all(whole[:size])
        await close(stream, is_reset=is_reset)

    return script


def cut_next(whole: bytes, sizes: list[int], *, is_reset: bool) -> Script:
    """Return a script that pops the size to which it cuts a response; a whole one is not reset."""

    async def script(
        upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
    ) -> None:
        size = sizes.pop()
        is_reset_now = is_reset and size < len(whole)
        await cut(whole, size, is_reset=is_reset_now)(upstream, stream, request_id)

    return script


class TestEndOfStream:
    """Covers streams that end with or within an event."""

    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("last", [b"i", b"id: 2", b"id: 2\ndata: t", b"id: 2\ndata: t\n", b":"])
    async def test_stream_that_ends_within_an_event_is_not_complete(
        self, gateway: Gateway, last: bytes, framing: str
    ) -> None:
        await gateway.add("pool", respond(STREAM, EVENTS[0] + last, framing))
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.body, reply.is_complete) == (EVENTS[0], False)

    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_stream_that_ends_within_an_event_is_resumed(
        self, gateway: Gateway, framing: str
    ) -> None:
        async def cut_then_rest(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            is_first = sum(len(u.requests) for u in upstreams) == 1
            body = EVENTS[0] + b"id: 2\ndata" if is_first else EVENTS[1] + EVENTS[2]
            await stream.send_all(framed(STREAM % request_id, body, framing))
            await close(stream)

        upstreams = [await gateway.add("pool", cut_then_rest) for _ in range(2)]
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.body, reply.is_complete) == (b"".join(EVENTS), True)

    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("extra", [b"", b"\n", b"\r\n"])
    async def test_line_ends_after_the_last_event_are_no_event(
        self, gateway: Gateway, extra: bytes, framing: str
    ) -> None:
        await gateway.add("pool", respond(STREAM, b"".join(EVENTS) + extra, framing))
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.body, reply.is_complete) == (b"".join(EVENTS) + extra, True)

    async def test_stream_that_ends_with_its_connection_is_complete_only_at_a_proper_close(
        self, gateway: Gateway
    ) -> None:
        upstream = await gateway.add("pool", respond(STREAM, EVENTS[0], "connection"))
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.body, reply.is_complete) == (EVENTS[0], True)
        upstream.script = respond(STREAM, EVENTS[0], "connection", is_reset=True)
        reply = await gateway.send("/chat/x", "s-2", "m")
        assert (reply.body, reply.is_complete) == (EVENTS[0], False)

    @pytest.mark.parametrize("framing", ["chunked", "length"])
    async def test_framed_stream_cut_at_any_byte_is_not_complete(
        self, gateway: Gateway, framing: str
    ) -> None:
        whole = framed(STREAM % b"s-1", b"".join(EVENTS), framing)
        upstreams = [await gateway.add("pool", cut(whole, 0)) for _ in range(2)]
        for size in range(whole.index(b"\r\n\r\n") + 4, len(whole)):
            for upstream in upstreams:
                upstream.script = cut(whole, size)
            reply = await gateway.send("/chat/x", "s-1", "m")
            if reply.status == 502:  # no event had arrived
                assert (reply.body, reply.is_complete) == (b"", True)
                assert size < whole.index(EVENTS[0]) + len(EVENTS[0])
            else:
                assert not reply.is_complete
                assert reply.body in [b"".join(EVENTS[:count]) for count in range(1, 4)]


class TestEndOfResponse:
    """Covers responses other than streams that end early or with their connection."""

    @pytest.mark.parametrize("kind", ["see", "buy"])
    async def test_unframed_response_is_complete_only_at_a_proper_close(
        self, gateway: Gateway, kind: str
    ) -> None:
        upstreams = [
            await gateway.add("app", respond(HEAD, b"all", "connection")) for _ in range(2)
        ]
        reply = await gateway.send(f"/{kind}/x", "p-1")
        assert (reply.status, reply.body, reply.is_complete) == (200, b"all", True)
        for upstream in upstreams:
            upstream.script = respond(HEAD, b"all", "connection", is_reset=True)
        reply = await gateway.send(f"/{kind}/x", "p-2")
        assert (reply.status, reply.body) == (502, b"")

    @pytest.mark.parametrize("framing", ["chunked", "length"])
    @pytest.mark.parametrize("kind", ["see", "buy"])
    async def test_framed_response_cut_at_any_byte_is_a_failure(
        self, gateway: Gateway, kind: str, framing: str
    ) -> None:
        whole = framed(HEAD % b"p-1", b"all of it", framing)
        upstreams = [await gateway.add("app", cut(whole, 0)) for _ in range(2)]
        for size in range(whole.index(b"\r\n\r\n") + 4, len(whole)):
            for upstream in upstreams:
                upstream.script = cut(whole, size)
            reply = await gateway.send(f"/{kind}/x", "p-1")
            assert (reply.status, reply.body) == (502, b"")


class TestCutHead:
    """Covers upstreams that stop within the head of a response and close."""

    @pytest.mark.parametrize("is_reset", [False, True])
    @pytest.mark.parametrize("kind", ["see", "buy", "chat"])
    async def test_cut_head_is_never_passed_on_as_a_success(
        self, gateway: Gateway, kind: str, is_reset: bool
    ) -> None:
        service, head, model = ("pool", STREAM, "m") if kind == "chat" else ("app", HEAD, "")
        whole = head % b"h-1" + b"Content-Length: 17\r\n\r\n"
        upstreams = [await gateway.add(service, cut(whole, 0)) for _ in range(2)]
        for size in range(len(whole)):
            for upstream in upstreams:
                upstream.script = cut(whole, size, is_reset=is_reset)
            reply = await gateway.send(f"/{kind}/x", "h-1", model)
            assert (reply.status, reply.body) == (502, b"")

    @pytest.mark.parametrize("is_reset", [False, True])
    @pytest.mark.parametrize("kind", ["see", "buy", "chat"])
    async def test_only_retryable_requests_are_sent_to_another_upstream(
        self, gateway: Gateway, kind: str, is_reset: bool
    ) -> None:
        service, head, model = ("pool", STREAM, "m") if kind == "chat" else ("app", HEAD, "")
        whole = framed(head % b"h-1", EVENTS[0], "length")
        upstreams = [await gateway.add(service, cut(whole, 0)) for _ in range(2)]
        for size in range(whole.index(b"\r\n\r\n") + 4):
            sizes = [len(whole), size]  # popped from its end
            for upstream in upstreams:
                upstream.requests.clear()
                upstream.script = cut_next(whole, sizes, is_reset=is_reset)
            reply = await gateway.send(f"/{kind}/x", "h-1", model)
            expected = (502, b"", 1) if kind == "buy" else (200, EVENTS[0], 2)
            requests = sum(len(u.requests) for u in upstreams)
            assert (reply.status, reply.body, requests) == expected
