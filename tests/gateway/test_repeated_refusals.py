"""Tests of refusals that an upstream writes once more when the request is sent to it again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio
from gateway_support import ROUTES

from briardyke.routes.configuration import ServingConfiguration
from briardyke.routes.matching import RouteTable

if TYPE_CHECKING:
    from gateway_support import Gateway, ScriptedUpstream

REFUSAL = b"HTTP/1.1 421 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: 3\r\n\r\nran"


def allow_attempts(gateway: Gateway, count: int) -> None:
    """Allow several attempts on every route."""
    assert gateway.state.routes is not None
    services = gateway.state.routes.configuration.services
    routes = tuple(attrs.evolve(route, max_attempts=count) for route in ROUTES)
    gateway.state.routes = RouteTable(ServingConfiguration(1, routes, services))


class RepeatingUpstream:
    """Refuse each request at first, and repeat its refusals on their connections.

    :param has_id: whether a repeated refusal names its request.
    """

    def __init__(self, *, has_id: bool = True) -> None:
        self._has_id = has_id
        self._refused: dict[trio.SocketStream, list[bytes]] = {}
        self.runs: list[bytes] = []

    async def script(
        self, upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
    ) -> None:
        refusals = self._refused.setdefault(stream, [])
        for refusal in refusals:
            await stream.send_all(refusal)
        if upstream.requests.count(request_id) > 1:
            self.runs.append(request_id)
            await stream.send_all(ANSWER % request_id)
            return
        refusal = REFUSAL % request_id
        await stream.send_all(refusal)
        named = b"Request-Id: %s\r\n" % request_id
        refusals.append(refusal if self._has_id else refusal.replace(named, b""))


class TestRepeatedRefusal:
    """Covers a refusal that arrives again when its request is being run."""

    @pytest.mark.parametrize("has_id", [True, False])
    async def test_request_sent_again_is_not_refused_by_the_copy(
        self, gateway: Gateway, has_id: bool
    ) -> None:
        allow_attempts(gateway, 3)
        repeating = RepeatingUpstream(has_id=has_id)
        upstream = await gateway.add("app", repeating.script)
        reply = await gateway.send("/buy/x", "b-1")
        assert (reply.status, reply.body) == (200, b"ran")
        assert repeating.runs == [b"b-1"]
        assert upstream.connections == 2

    async def test_copies_of_several_refusals_refuse_no_other_request(
        self, gateway: Gateway
    ) -> None:
        allow_attempts(gateway, 2)
        repeating = RepeatingUpstream()
        await gateway.add("app", repeating.script)
        for number in range(8):
            reply = await gateway.send("/buy/x", f"b-{number}")
            assert reply.status in (200, 502)
        assert len(repeating.runs) == len(set(repeating.runs))

    async def test_refusal_without_an_id_after_a_foreign_response_is_no_proof(
        self, gateway: Gateway
    ) -> None:
        async def run_after_copies(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            nameless = REFUSAL.replace(b"Request-Id: %s\r\n", b"")
            await stream.send_all(REFUSAL % b"b-0" + nameless + ANSWER % request_id)

        upstream = await gateway.add("app", run_after_copies)
        reply = await gateway.send("/buy/x", "b-1")
        assert reply.status == 502
        assert upstream.requests == [b"b-1"]

    async def test_copy_that_follows_a_response_is_not_read_by_the_next_request(
        self, gateway: Gateway
    ) -> None:
        async def copy_later(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(ANSWER % request_id)
            await trio.sleep(0.02)
            await stream.send_all(REFUSAL.replace(b"Request-Id: %s\r\n", b""))

        upstream = await gateway.add("app", copy_later)
        for number in range(3):
            reply = await gateway.send("/buy/x", f"b-{number}")
            assert (reply.status, reply.body) == (200, b"ran")
            await trio.sleep(0.05)
        assert upstream.connections == 3
