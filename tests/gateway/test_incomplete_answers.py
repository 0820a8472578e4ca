"""Tests of requests that end without a complete answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio
from gateway_support import STREAM_HEAD, Gateway, event, wait_until

import briardyke.gateway.trace

if TYPE_CHECKING:
    from gateway_support import ScriptedUpstream


async def silent(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """Send one event and nothing more."""
    await stream.send_all(STREAM_HEAD % request_id + event(1))
    await trio.sleep_forever()


async def broken(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """Send one event and close."""
    await stream.send_all(STREAM_HEAD % request_id + event(1))
    await stream.aclose()


@pytest.fixture
def finished(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Return the fields of the lines written for finished requests."""
    lines: list[dict[str, Any]] = []
    monkeypatch.setattr(
        briardyke.gateway.trace, "log_limited", lambda name, **fields: lines.append(fields)
    )
    return lines


class TestCauseInTheLog:
    """Guards against a cut answer whose cause cannot be told from the log."""

    async def test_caller_that_leaves(
        self, gateway: Gateway, finished: list[dict[str, Any]]
    ) -> None:
        upstream = await gateway.add("pool", silent)
        with trio.move_on_after(0.3):
            await gateway.send("/chat/x", "s-1", "m")
        await wait_until(lambda: bool(finished))
        assert len(upstream.requests) == 1
        assert (finished[0]["outcome"], finished[0]["ended_by"]) == ("caller_gone", "caller")
        assert finished[0]["sent_bytes"] > 0

    async def test_upstream_that_breaks(
        self, gateway: Gateway, finished: list[dict[str, Any]]
    ) -> None:
        await gateway.add("pool", broken)
        assert not (await gateway.send("/chat/x", "s-2", "m")).is_complete
        assert (finished[0]["outcome"], finished[0]["ended_by"]) == ("stream_broken", "upstream")

    async def test_deadline_of_the_route(
        self,
        gateway: Gateway,
        finished: list[dict[str, Any]],
        autojump_clock: trio.testing.MockClock,
    ) -> None:
        autojump_clock.autojump_threshold = 0.05  # gives the kernel time to deliver socket data
        await gateway.add("pool", silent)
        assert not (await gateway.send("/chat/x", "s-3", "m")).is_complete
        assert (finished[0]["outcome"], finished[0]["ended_by"]) == ("stream_broken", "deadline")

    async def test_end_of_the_process(self, finished: list[dict[str, Any]]) -> None:
        async with trio.open_nursery() as callers, trio.open_nursery() as processes:
            gateway = Gateway(processes)
            await gateway.start()
            upstream = await gateway.add("pool", silent)
            callers.start_soon(gateway.send, "/chat/x", "s-4", "m")
            await wait_until(lambda: bool(upstream.requests))
            await trio.sleep(0.1)
            processes.cancel_scope.cancel()
        assert (finished[0]["outcome"], finished[0]["ended_by"]) == ("interrupted", "stop")

    async def test_defect(
        self,
        gateway: Gateway,
        finished: list[dict[str, Any]],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        def fail(*args: object) -> None:
            raise KeyError("defect")

        await gateway.add("pool", silent)
        monkeypatch.setattr(gateway.state.admission, "late_start_refusal", fail)
        assert (await gateway.send("/chat/x", "s-5", "m")).status == 500
        assert (finished[0]["outcome"], finished[0]["ended_by"]) == ("interrupted", "defect")
        assert finished[0]["sent_bytes"] == 0
