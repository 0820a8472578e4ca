"""Tests of requests that end without a complete answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import pytest
import trio
from gateway_support import (
    REFUSAL,
    STREAM_HEAD,
    Gateway,
    event,
    remainder,
    stream_with_alternative,
    wait_until,
)

import briardyke.gateway.trace
from briardyke.gateway.dialect import LoadReport
from briardyke.gateway.state import RetryBounds
from briardyke.http.h11_client import Fault, UpstreamError

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


PAUSE_S = 1.6  # longer than the time after which another upstream is tried
WHOLE = b"id: 1\ndata: t\n\nid: 2\ndata: t\n\n"


async def pausing(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """Send two events with a pause between them."""
    await stream.send_all(STREAM_HEAD % request_id + event(1))
    await trio.sleep(PAUSE_S)
    await stream.send_all(event(2) + b"0\r\n\r\n")


async def refusing(
    upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
) -> None:
    """Refuse the request as not executed."""
    await stream.send_all(REFUSAL % request_id)


class TestSilentStream:
    """Guards against streams that are cut although their silent upstream would have gone on."""

    async def test_exhausted_retry_budget(
        self, gateway: Gateway, autojump_clock: trio.testing.MockClock
    ) -> None:
        autojump_clock.autojump_threshold = 0.1  # gives the kernel time to deliver socket data
        gateway.state._retries = RetryBounds(0.0, 0.0, 1.0)
        reply = await stream_with_alternative(gateway, pausing, remainder)
        assert (reply.body, reply.is_complete) == (WHOLE, True)

    async def test_other_upstream_refuses(
        self, gateway: Gateway, autojump_clock: trio.testing.MockClock
    ) -> None:
        autojump_clock.autojump_threshold = 0.1  # gives the kernel time to deliver socket data
        reply = await stream_with_alternative(gateway, pausing, refusing)
        assert (reply.body, reply.is_complete) == (WHOLE, True)

    async def test_other_upstream_is_unreachable(
        self,
        gateway: Gateway,
        autojump_clock: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        autojump_clock.autojump_threshold = 0.1  # gives the kernel time to deliver socket data

        async def fail(max_idle_ms: float, request_id: str) -> None:
            raise UpstreamError(Fault.NOT_CONNECTED, "refused")

        async def add_unreachable(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await gateway.add("pool", remainder)
            other = gateway.state.upstreams.get("u1")
            assert other is not None
            monkeypatch.setattr(other.pool, "take", fail)
            await pausing(upstream, stream, request_id)

        await gateway.add("pool", add_unreachable)
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.body, reply.is_complete) == (WHOLE, True)

    async def test_upstream_goes_on_while_the_other_is_being_connected(
        self,
        gateway: Gateway,
        autojump_clock: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        autojump_clock.autojump_threshold = 0.1  # gives the kernel time to deliver socket data

        async def add_slow_to_connect(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            other = await gateway.add("pool", remainder)
            others.append(other)
            state = gateway.state.upstreams.get("u1")
            assert state is not None

            async def wait(max_idle_ms: float, request_id: str) -> None:
                await trio.sleep(0.9)
                raise UpstreamError(Fault.NOT_CONNECTED, "too slow")

            monkeypatch.setattr(state.pool, "take", wait)
            await pausing(upstream, stream, request_id)

        others: list[ScriptedUpstream] = []
        await gateway.add("pool", add_slow_to_connect)
        started = trio.current_time()
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.body, reply.is_complete) == (WHOLE, True)
        assert trio.current_time() - started < PAUSE_S + 0.3
        assert others[0].requests == []

    async def test_two_upstreams_do_not_work_on_it_for_long(
        self, gateway: Gateway, autojump_clock: trio.testing.MockClock
    ) -> None:
        autojump_clock.autojump_threshold = 0.1  # gives the kernel time to deliver socket data
        times = []

        async def hanging(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(STREAM_HEAD % request_id + event(1))
            await stream.receive_some()
            times.append(trio.current_time())

        async def slow(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            times.append(trio.current_time())
            await trio.sleep(1.0)
            await remainder(upstream, stream, request_id)

        reply = await stream_with_alternative(gateway, hanging, slow)
        assert (reply.body, reply.is_complete) == (WHOLE, True)
        assert 0.0 <= times[1] - times[0] < 0.4


class TestStreamWithoutEvents:
    """Guards against a connection that is closed without an answer when no event has arrived."""

    async def test_broken_before_the_first_event(
        self, gateway: Gateway, finished: list[dict[str, Any]]
    ) -> None:
        async def head_only(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(STREAM_HEAD % request_id + b"5\r\nid: 1")
            await stream.aclose()

        await gateway.add("pool", head_only)
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.status, reply.body, reply.is_complete) == (502, b"", True)
        assert b"server-stamp" not in reply.headers
        assert (finished[0]["status"], finished[0]["outcome"]) == (502, "upstream_failed")

    async def test_silent_until_the_deadline(
        self, gateway: Gateway, autojump_clock: trio.testing.MockClock
    ) -> None:
        autojump_clock.autojump_threshold = 0.05  # gives the kernel time to deliver socket data

        async def head_only(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(STREAM_HEAD % request_id)
            await trio.sleep_forever()

        await gateway.add("pool", head_only)
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.status, reply.is_complete) == (504, True)


class TestSlowResponse:
    """Guards against a request that is given up at its upstream although no other may be tried."""

    @pytest.mark.parametrize(
        ("bounds", "expected"),
        [
            (RetryBounds(0.0, 0.0, 1.0), [b"p-1"]),
            (RetryBounds(1.0, 1000.0, 1.0), [b"p-1", b"p-1"]),
        ],
        ids=["exhausted", "sufficient"],
    )
    async def test_retry_budget_is_asked_before_the_attempt_ends(
        self,
        gateway: Gateway,
        autojump_clock: trio.testing.MockClock,
        bounds: RetryBounds,
        expected: list[bytes],
    ) -> None:
        autojump_clock.autojump_threshold = 0.05  # gives the kernel time to deliver socket data
        requests: list[bytes] = []

        async def slow_at_first(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            requests.append(request_id)
            await trio.sleep(1.5 if len(requests) == 1 else 0.01)
            head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n" % request_id
            await stream.send_all(head + b"Content-Length: 2\r\n\r\nok")

        gateway.state._retries = bounds
        for _ in range(2):
            await gateway.add("app", slow_at_first)
        # The larger upstream is selected first, although the other one is idle.
        gateway.rows["u1"] = attrs.evolve(gateway.rows["u1"], slots=1)
        gateway.state.upstreams.update(gateway.rows, {})
        larger = gateway.state.upstreams.get("u0")
        assert larger is not None
        larger.update_from_report(LoadReport(4, 0, 8))
        reply = await gateway.send("/see/x", "p-1")
        assert (reply.status, reply.body) == (200, b"ok")
        assert requests == expected
