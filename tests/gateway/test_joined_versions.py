"""Tests that no stream holds events from two software versions of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio
from gateway_support import STREAM_HEAD, close, event

if TYPE_CHECKING:
    from gateway_support import Gateway, Script, ScriptedUpstream

FIRST = b"id: 1\ndata: t\n\n"
WHOLE = FIRST + b"id: 2\ndata: t\n\n"


async def go_on(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """Send the rest of the stream."""
    await stream.send_all(STREAM_HEAD % request_id + event(2) + b"0\r\n\r\n")


async def break_off(
    upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
) -> None:
    """Crash after the first event."""
    await stream.send_all(STREAM_HEAD % request_id + event(1))
    await close(stream)


async def stall(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """Send the first event and no other."""
    await stream.send_all(STREAM_HEAD % request_id + event(1))
    await trio.sleep(5)


async def refuse_before_first_event(
    upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
) -> None:
    """Crash before the first event."""
    await stream.send_all(STREAM_HEAD % request_id)
    await close(stream)


class TestWithinOneResponse:
    """Covers streams that the gateway resumes."""

    @pytest.mark.parametrize("end", [break_off, stall])
    async def test_stream_does_not_go_on_at_another_version(
        self, gateway: Gateway, end: Script
    ) -> None:
        await gateway.add("pool", end, "v1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_add_later, gateway, go_on, "v2")
            reply = await gateway.send("/chat/x", "s-1", "m")
            nursery.cancel_scope.cancel()
        assert (reply.body, reply.is_complete) == (FIRST, False)

    @pytest.mark.parametrize("end", [break_off, stall])
    async def test_stream_goes_on_at_its_version(self, gateway: Gateway, end: Script) -> None:
        await gateway.add("pool", end, "v1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_add_later, gateway, go_on, "v2", "v1")
            reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.body, reply.is_complete) == (WHOLE, True)

    async def test_stream_without_an_event_may_begin_at_any_version(self, gateway: Gateway) -> None:
        await gateway.add("pool", refuse_before_first_event, "v1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_add_later, gateway, go_on, "v2")
            reply = await gateway.send("/chat/x", "s-1", "m")
        assert reply.is_complete


class TestTakeUp:
    """Covers streams that callers take up again."""

    @pytest.mark.parametrize("resumes", [(), (("Resumes", "s-0"),)])
    async def test_stream_of_unknown_version_is_refused_beside_two_versions(
        self, gateway: Gateway, resumes: tuple[tuple[str, str], ...]
    ) -> None:
        upstreams = [await gateway.add("pool", go_on, version) for version in ("v1", "v2")]
        headers = [("Last-Event-Id", "1"), *resumes]
        reply = await gateway.send("/chat/x", "s-1", "m", more_headers=headers)
        assert (reply.status, reply.body) == (503, b"")
        assert not any(upstream.requests for upstream in upstreams)

    async def test_stream_goes_on_where_one_version_serves(self, gateway: Gateway) -> None:
        await gateway.add("pool", go_on, "v1")
        headers = [("Last-Event-Id", "1"), ("Resumes", "s-0")]
        reply = await gateway.send("/chat/x", "s-1", "m", more_headers=headers)
        assert (reply.status, reply.is_complete) == (200, True)

    async def test_stream_waits_for_the_first_upstream_after_a_restart(
        self, gateway: Gateway
    ) -> None:
        gateway.state.service_versions = {"pool": ["v1"]}
        headers = [("Last-Event-Id", "1"), ("Resumes", "s-0")]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_add_later, gateway, go_on, "v1")
            reply = await gateway.send("/chat/x", "s-1", "m", more_headers=headers)
        assert (reply.status, reply.is_complete) == (200, True)


async def _add_later(gateway: Gateway, script: Script, *software_versions: str) -> None:
    """Add upstreams once the first one has the request, so that the others cannot begin it."""
    await trio.sleep(0.05)
    for version in software_versions:
        await gateway.add("pool", script, version)
