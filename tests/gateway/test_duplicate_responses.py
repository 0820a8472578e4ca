"""Tests of keep-alive connections on which an upstream responds twice, late or not at all."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from briardyke.gateway.crash_detection import CrashDetector
from briardyke.http.h11_client import LEAST_REST_MS, REST_MEMORY_MS, RestLimit

if TYPE_CHECKING:
    from gateway_support import Gateway, ScriptedUpstream

    from briardyke.addresses import Address

HEAD = b"HTTP/1.1 %d X\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: %d\r\n\r\n%s"


def response(status: int, request_id: bytes, body: bytes) -> bytes:
    """Return a complete response; without an id it does not identify its request."""
    whole = HEAD % (status, request_id, len(body), body)
    return whole if request_id else whole.replace(b"Request-Id: \r\n", b"")


class TestDuplicateResponse:
    """Covers a duplicate of a response on a reused connection."""

    @pytest.mark.parametrize("has_id", [True, False])
    async def test_next_caller_gets_its_own_response_or_none(
        self, gateway: Gateway, has_id: bool
    ) -> None:
        async def twice(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            if request_id == b"b-2":
                # The duplicate arrives after the next request was sent.
                await stream.send_all(response(200, b"b-1" if has_id else b"", b"first"))
                await trio.sleep(0.05)
            body = b"first" if request_id == b"b-1" else b"second"
            await stream.send_all(response(200, request_id, body))

        upstream = await gateway.add("app", twice)
        assert (await gateway.send("/buy/x", "b-1")).body == b"first"
        reply = await gateway.send("/buy/x", "b-2")
        assert upstream.connections == 1
        if has_id:
            assert (reply.status, reply.body) == (200, b"second")
        else:
            assert (reply.status, reply.body) == (502, b"")

    async def test_duplicate_refusal_does_not_apply_to_the_next_request(
        self, gateway: Gateway
    ) -> None:
        async def refuse_then_run(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            refusal = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            if request_id == b"b-1":
                await stream.send_all(refusal.replace(b"Not", b"Request-Id: b-1\r\nNot"))
            else:
                await stream.send_all(refusal)
                await stream.send_all(response(200, request_id, b"ran"))

        await gateway.add("app", refuse_then_run)
        assert (await gateway.send("/buy/x", "b-1")).status == 503
        assert (await gateway.send("/buy/x", "b-2")).status == 502


class TestDroppedConnections:
    """Covers upstreams that drop idle connections without notice and earlier than announced."""

    async def test_idle_limit_is_reduced_after_a_reset(self, gateway: Gateway) -> None:
        async def dropping(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            if len(upstream.requests) == 2:
                await trio.aclose_forcefully(stream)  # drops the connection of the second request
                return
            await stream.send_all(response(200, request_id, b"ok"))

        async def is_refusing(address: Address) -> bool:
            return False

        gateway.state.quarantine.detector = CrashDetector(is_refusing)
        upstream = await gateway.add("app", dropping)
        statuses = []
        for number in range(5):
            statuses.append((await gateway.send("/buy/x", f"b-{number}")).status)
            await trio.sleep(0.1)
        assert statuses == [200, 502, 200, 200, 200]
        assert upstream.connections == 4

    async def test_idle_limit_is_learned_and_expires(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        limit = RestLimit()
        assert limit.limit_ms() == float("inf")
        limit.learn(LEAST_REST_MS / 2)
        assert limit.limit_ms() == float("inf")
        limit.learn(400.0)
        assert limit.limit_ms() == pytest.approx(280.0)
        limit.learn(600.0)
        assert limit.limit_ms() == pytest.approx(280.0)
        await trio.sleep(REST_MEMORY_MS / 1000.0 + 0.1)
        assert limit.limit_ms() == float("inf")


class TestNotExecutedStatuses:
    """Covers responses whose status implies that the request was not executed."""

    @pytest.mark.parametrize("status", [408, 429, 503])
    async def test_status_alone_is_no_proof_that_a_request_has_not_run(
        self, gateway: Gateway, status: int
    ) -> None:
        async def failing(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(response(status, request_id, b"busy"))

        upstream = await gateway.add("app", failing)
        reply = await gateway.send("/buy/x", "b-1")
        assert reply.status == 502
        assert b"server-stamp" not in reply.headers
        assert upstream.requests == [b"b-1"]

    async def test_refusal_of_the_upstream_is_forwarded(self, gateway: Gateway) -> None:
        async def refusing(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            refusal = response(503, request_id, b"")
            await stream.send_all(refusal.replace(b"Server-Stamp: s", b"Not-Executed: 1"))

        await gateway.add("app", refusing)
        assert (await gateway.send("/buy/x", "b-1")).status == 503
