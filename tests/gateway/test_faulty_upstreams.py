"""Tests of upstreams that send invalid responses or stall."""

from __future__ import annotations

import tracemalloc
from typing import TYPE_CHECKING

import pytest
import trio
from gateway_support import STREAM_HEAD, chunk, event, wait_until, without_end

from briardyke.gateway.event_stream import MAX_EVENT_BYTES

if TYPE_CHECKING:
    from gateway_support import Gateway, ScriptedUpstream

# A gateway that buffers unusable data would exceed this within a second.
MEMORY_BOUND_BYTES = 24 * 1024 * 1024
PLAIN = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok"


async def healthy(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """Respond with five events, or with a short body."""
    if request_id.startswith(b"s"):
        await stream.send_all(STREAM_HEAD % request_id)
        for number in range(1, 6):
            await stream.send_all(event(number))
        await stream.send_all(b"0\r\n\r\n")
    else:
        await stream.send_all(PLAIN % request_id)


async def trickle(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """Send one event, then a single byte every 0.1 s."""
    await stream.send_all(STREAM_HEAD % request_id + event(1))
    while True:
        await trio.sleep(0.1)
        await stream.send_all(chunk(b":"))


class TestStalledStream:
    """Covers slow streams and streams without progress."""

    async def test_single_bytes_are_no_progress(self, gateway: Gateway) -> None:
        first = await gateway.add("pool", trickle)
        replies = {}

        async def send_request() -> None:
            replies["first"] = await gateway.send("/chat/x", "s-1", "m")

        with trio.fail_after(4):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_request)
                await wait_until(lambda: bool(first.requests))

                async def remainder(
                    upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
                ) -> None:
                    await stream.send_all(STREAM_HEAD % request_id)
                    await stream.send_all(event(2) + event(3) + b"0\r\n\r\n")

                await gateway.add("pool", remainder)
        reply = replies["first"]
        assert reply.is_complete
        assert [line for line in reply.body.split(b"\n") if line.startswith(b"id")] == [
            b"id: 1",
            b"id: 2",
            b"id: 3",
        ]

    async def test_slow_stream_without_alternative_continues(self, gateway: Gateway) -> None:
        async def slow(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(STREAM_HEAD % request_id)
            for number in range(1, 4):
                await stream.send_all(event(number))
                await trio.sleep(1.5)
            await stream.send_all(b"0\r\n\r\n")

        await gateway.add("pool", slow)
        reply = await gateway.send("/chat/x", "s-2", "m")
        assert reply.is_complete
        assert reply.body.count(b"id:") == 3

    async def test_stalled_stream_ends_at_the_deadline_of_its_route(
        self, autojump_clock: trio.testing.MockClock, gateway: Gateway
    ) -> None:
        autojump_clock.autojump_threshold = 0.05  # gives the kernel time to deliver socket data

        upstream = await gateway.add("pool", trickle)
        started = trio.current_time()
        reply = await gateway.send("/chat/x", "s-3", "m")
        assert not reply.is_complete
        assert 5.8 < trio.current_time() - started < 6.5
        await trio.sleep(0.3)
        assert upstream.closed == 1


class TestEndlessData:
    """Covers invalid data that does not end until the gateway closes the connection."""

    @pytest.mark.parametrize(
        ("start", "repeated"),
        [
            (b"", b"x" * 4096),
            (b"HTTP/1.1 200 OK\r\nX: ", b"y" * 4096),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
            (b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n\r\n", b"z" * 65536),
            (
                b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n",
                b"0" * 4096,
            ),
            (
                b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\n\r\n",
                b"z" * 65536,
            ),
            (STREAM_HEAD, chunk(b"w" * 65536)),
        ],
        ids=["line", "head", "interim", "body", "chunk", "foreign", "event"],
    )
    @pytest.mark.parametrize("kind", ["see", "buy", "chat"])
    async def test_failure_is_reported_correctly_in_bounded_memory(
        self, gateway: Gateway, kind: str, start: bytes, repeated: bytes
    ) -> None:
        service = "pool" if kind == "chat" else "app"
        faulty = await gateway.add(service, without_end(start, repeated))
        tracemalloc.start()
        try:
            with trio.fail_after(8):
                reply = await gateway.send(f"/{kind}/x", f"{kind}-1", "m" if kind == "chat" else "")
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert reply.status in (502, 504) or not reply.is_complete  # not reported as not executed
        assert peak_bytes < MEMORY_BOUND_BYTES
        await wait_until(lambda: faulty.closed == faulty.connections)

    async def test_other_requests_continue(self, gateway: Gateway) -> None:
        async def endless(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            if request_id != b"b-1":
                await healthy(upstream, stream, request_id)
                return
            await stream.send_all(PLAIN % request_id)
            while True:
                await stream.send_all(b"more" * 1000)

        upstream = await gateway.add("app", endless)
        assert (await gateway.send("/buy/x", "b-1")).body == b"ok"
        reply = await gateway.send("/buy/x", "b-2")
        assert (reply.status, reply.body) == (200, b"ok")
        assert upstream.connections == 2

    async def test_stream_with_endless_event_is_resumed_elsewhere(self, gateway: Gateway) -> None:
        async def endless(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(STREAM_HEAD % request_id + event(1))
            sent = 0
            while sent < 4 * MAX_EVENT_BYTES:
                await stream.send_all(chunk(b"w" * 16384))
                sent += 16384

        async def remainder(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(STREAM_HEAD % request_id + event(2) + b"0\r\n\r\n")

        first = await gateway.add("pool", endless)
        replies = {}

        async def send_request() -> None:
            replies["first"] = await gateway.send("/chat/x", "s-9", "m")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_request)
            await wait_until(lambda: bool(first.requests))
            await gateway.add("pool", remainder)
        reply = replies["first"]
        assert reply.is_complete
        assert reply.body == b"id: 1\ndata: t\n\nid: 2\ndata: t\n\n"


class TestStatusesThatDoNotExist:
    """Guards against callers that get the status 000 of an upstream in trouble as an answer."""

    @pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
    @pytest.mark.parametrize(("path", "model"), [("/see/x", ""), ("/buy/x", ""), ("/chat/x", "m")])
    async def test_status_outside_the_classes_is_no_answer(
        self, gateway: Gateway, path: str, model: str, status: bytes
    ) -> None:
        async def invalid(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all((PLAIN % request_id).replace(b"200 OK", status + b" Odd"))

        await gateway.add("pool" if model else "app", invalid)
        reply = await gateway.send(path, "r-1", model)
        assert (reply.status, reply.body, reply.is_complete) == (502, b"", True)
        assert b"server-stamp" not in reply.headers
