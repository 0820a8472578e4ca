"""Test callers and upstreams that do not read what is sent to them."""

from __future__ import annotations

import tracemalloc
from typing import TYPE_CHECKING

import trio
from gateway_support import STREAM_HEAD, ScriptedUpstream, chunk, wait_until

from briardyke.gateway import forward

if TYPE_CHECKING:
    import pytest
    from gateway_support import Gateway

_CALLERS = 20
_EVENT = b"id: 1\ndata: " + b"w" * 60_000 + b"\n\n"
_MIB = 1024 * 1024


class TestCallerThatReadsNothing:
    """Guards against streams that are held, with their engine's slot, for callers that do not read
    them."""

    async def test_streams_end_and_their_upstream_requests_are_cancelled(
        self, gateway: Gateway, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr("briardyke.http.h11_server._SEND_TIMEOUT_S", 0.5)
        cancelled: list[bytes] = []
        ended_by: list[str] = []
        finish = forward.Trace.finish

        def record(trace: forward.Trace, *details: object) -> None:
            ended_by.extend(
                detail.value for detail in details if isinstance(detail, forward.EndedBy)
            )
            finish(trace, *details)  # type: ignore[arg-type]

        monkeypatch.setattr(forward.Trace, "finish", record)

        async def endless(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(STREAM_HEAD % request_id)
            try:
                while True:
                    await stream.send_all(chunk(_EVENT))
            except trio.BrokenResourceError:
                cancelled.append(request_id)

        for _ in range(4):
            await gateway.add("pool", endless)
        request = b"GET /chat/x HTTP/1.1\r\nHost: h\r\nRequest-Id: s-%d\r\nModel: m\r\n\r\n"
        tracemalloc.start()
        try:
            async with trio.open_nursery() as nursery:

                async def read_nothing(number: int) -> None:
                    async with await trio.open_tcp_stream("127.0.0.1", gateway.port) as stream:
                        await stream.send_all(request % number)
                        await trio.sleep_forever()

                for number in range(_CALLERS):
                    nursery.start_soon(read_nothing, number)
                await wait_until(lambda: len(cancelled) == _CALLERS)
                nursery.cancel_scope.cancel()
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert peak_bytes < 16 * _MIB
        assert ended_by.count("caller") == _CALLERS


class TestUpstreamThatReadsNothing:
    """Guards against copies of bodies for upstreams that read them slowly."""

    async def test_bodies_are_held_once(
        self, gateway: Gateway, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def read_nothing(upstream: ScriptedUpstream, stream: trio.SocketStream) -> None:
            await trio.sleep_forever()

        async def unused(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            raise AssertionError("nothing was read")

        monkeypatch.setattr(ScriptedUpstream, "_connection", read_nothing)
        await gateway.add("app", unused)
        head = b"POST /buy/x HTTP/1.1\r\nHost: h\r\nRequest-Id: b-%d\r\nContent-Length: %d\r\n\r\n"
        tracemalloc.start()
        try:
            async with trio.open_nursery() as nursery:

                async def send(number: int) -> None:
                    async with await trio.open_tcp_stream("127.0.0.1", gateway.port) as stream:
                        await stream.send_all(head % (number, _MIB) + b"x" * _MIB)
                        await trio.sleep_forever()

                for number in range(_CALLERS):
                    nursery.start_soon(send, number)
                await trio.sleep(1.5)
                held_bytes = tracemalloc.get_traced_memory()[0]
                nursery.cancel_scope.cancel()
        finally:
            tracemalloc.stop()
        assert held_bytes < _CALLERS * 1.5 * _MIB
