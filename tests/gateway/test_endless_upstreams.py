"""Test many upstreams at once that send bytes without an end."""

from __future__ import annotations

import tracemalloc
from typing import TYPE_CHECKING

import pytest
import trio
from gateway_support import STREAM_HEAD, event, without_end

if TYPE_CHECKING:
    from gateway_support import Gateway, Reply, Script, ScriptedUpstream

UPSTREAMS = 50
# The smallest process that carries traffic has 152 MB, half of which it uses at rest.
MEMORY_BOUND_BYTES = 64 * 1024 * 1024
_OK = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n"
_ID = b"Request-Id: %s\r\n"
_BODY = b"Content-Length: 1000000000000\r\n\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_REFUSED = b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\n"
_LARGE = b"w" * 65536
ENDLESS = {
    "head": (b"HTTP/1.1 200 OK\r\nX-Long: ", _LARGE),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-Long: y\r\n" * 1000),
    "interim": (b"", b"HTTP/1.1 103 Early\r\nX: y\r\n\r\n" * 500),
    "body": (_OK + _ID + _BODY, _LARGE),
    "body-without-length": (_OK + _ID + b"\r\n", _LARGE),
    "chunks": (_OK + _ID + _CHUNKED, b"10000\r\n" + _LARGE + b"\r\n"),
    "chunk-header": (_OK + _ID + _CHUNKED + b"5;", _LARGE),
    "trailers": (_OK + _ID + _CHUNKED + b"0\r\n", b"X-Long: y\r\n" * 1000),
    "refusal": (_REFUSED + _ID + _BODY, _LARGE),
    "other-response": (_OK + b"Request-Id: another\r\n" + _BODY, _LARGE),
}


def endless(kind: str) -> Script:
    """Return the script of an upstream that sends without an end until the caller closes."""
    return without_end(*ENDLESS[kind])


async def whole(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """Send a body that is larger than what each response may always buffer."""
    head = _OK + _ID % request_id + b"Content-Length: %d\r\n\r\n" % (1024 * 1024)
    await stream.send_all(head + b"w" * 1024 * 1024)


class TestEndlessUpstreams:
    """Guards against a process that runs out of memory, and ends the requests of all its callers,
    because upstreams send bytes without an end."""

    @pytest.mark.parametrize("kind", ENDLESS)
    async def test_memory_of_many_at_once(self, gateway: Gateway, kind: str) -> None:
        replies: list[Reply] = []
        for _ in range(UPSTREAMS):
            await gateway.add("app", endless(kind))

        async def send(number: int) -> None:
            replies.append(await gateway.send("/buy/x", f"b-{number}"))

        tracemalloc.start()
        try:
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    for number in range(UPSTREAMS):
                        nursery.start_soon(send, number)
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert all(reply.status >= 500 for reply in replies)
        assert peak_bytes < MEMORY_BOUND_BYTES
        assert gateway.state.response_buffers.used_bytes == 0

    async def test_large_responses_to_slow_callers_fit_too(self, gateway: Gateway) -> None:
        """Guards against whole responses that are kept for callers that read them slowly."""
        for _ in range(UPSTREAMS):
            await gateway.add("app", whole)
        request = b"GET /buy/x HTTP/1.1\r\nHost: h\r\nRequest-Id: b-%d\r\n\r\n"
        tracemalloc.start()
        try:
            async with trio.open_nursery() as nursery:

                async def send_and_read_nothing(number: int) -> None:
                    async with await trio.open_tcp_stream("127.0.0.1", gateway.port) as stream:
                        await stream.send_all(request % number)
                        await trio.sleep(1.5)

                for number in range(UPSTREAMS * 2):
                    nursery.start_soon(send_and_read_nothing, number)
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert peak_bytes < MEMORY_BOUND_BYTES

    async def test_sound_requests_are_served_beside_them(self, gateway: Gateway) -> None:
        """Guards against sound responses that are given up because of endless ones."""

        async def both(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            if request_id.startswith(b"b"):
                await endless("chunks")(upstream, stream, request_id)
            await stream.send_all(STREAM_HEAD % request_id)
            for number in range(1, 6):
                await stream.send_all(event(number))
                await trio.sleep(0.02)
            await stream.send_all(b"0\r\n\r\n")

        for _ in range(4):
            await gateway.add("app", both)
        async with trio.open_nursery() as nursery:
            for number in range(UPSTREAMS):
                nursery.start_soon(gateway.send, "/buy/x", f"b-{number}")
            for number in range(20):
                reply = await gateway.send("/see/x", f"s-{number}")
                assert reply.status == 200
                assert reply.body.count(b"data:") == 5
            nursery.cancel_scope.cancel()
