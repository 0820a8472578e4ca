"""Tests of streams whose upstream falls silent for a second and goes on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio
from gateway_support import (
    REFUSAL,
    STREAM_HEAD,
    Gateway,
    Reply,
    chunk,
    close,
    event,
    remainder,
    stream_with_alternative,
    wait_until,
)

from briardyke.gateway.dialect import LoadReport

if TYPE_CHECKING:
    from gateway_support import Script, ScriptedUpstream

END = b"0\r\n\r\n"
WHOLE = b"id: 1\ndata: t\n\nid: 2\ndata: t\n\n"
# Longer than the time after which another upstream is tried.
PAUSE_S = 1.6
# Longer than two upstreams may work on one request.
LATE_S = 0.6


@pytest.fixture(autouse=True)
def paused_clock(autojump_clock: trio.testing.MockClock) -> None:
    """Advance the clock when nothing happens."""
    autojump_clock.autojump_threshold = 0.1  # gives the kernel time to deliver socket data


@attrs.define
class Pausing:
    """Upstream that pauses once after its first event, and continues a stream that returns."""

    pause_s: float = PAUSE_S
    paused: int = 0

    async def __call__(
        self, upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
    ) -> None:
        """Send the whole stream, or the rest to a request that was here before."""
        await stream.send_all(STREAM_HEAD % request_id)
        if upstream.requests.count(request_id) == 1:
            await stream.send_all(event(1))
            await trio.sleep(self.pause_s)
        await stream.send_all(event(2) + END)


@attrs.define
class Failing:
    """Upstream that sends some bytes, waits, sends more and ends the connection.

    :param first: bytes sent at once.
    :param last: bytes sent after the wait.
    :param wait_s: time between them.
    """

    first: bytes = b""
    last: bytes = b""
    wait_s: float = LATE_S

    async def __call__(
        self, upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
    ) -> None:
        """Respond to a request."""
        await stream.send_all(self.first.replace(b"%s", request_id))
        await trio.sleep(self.wait_s)
        await stream.send_all(self.last.replace(b"%s", request_id))
        await close(stream, is_reset=not self.last)


async def hanging(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """Send one event and nothing more."""
    await stream.send_all(STREAM_HEAD % request_id + event(1))
    await trio.sleep_forever()


async def steady(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """Send the second event of a stream, or events for four seconds to another request."""
    if request_id == b"s-0":
        await remainder(upstream, stream, request_id)
        return
    await stream.send_all(STREAM_HEAD % request_id)
    for number in range(40):
        await stream.send_all(event(number + 1))
        await trio.sleep(0.1)
    await stream.send_all(END)


async def send_to_each(
    gateway: Gateway, *scripts: Script
) -> tuple[list[ScriptedUpstream], list[Reply]]:
    """Start one stream on each of several upstreams; return the upstreams and the replies."""
    upstreams: list[ScriptedUpstream] = []
    replies = [Reply(0, {}, b"", False) for _ in scripts]

    async def send(number: int) -> None:
        replies[number] = await gateway.send("/chat/x", f"s-{number}", "m")

    async with trio.open_nursery() as nursery:
        for number, script in enumerate(scripts):
            for name, row in gateway.rows.items():
                gateway.rows[name] = attrs.evolve(row, models=[])
            upstreams.append(await gateway.add("pool", script))
            nursery.start_soon(send, number)
            await wait_until(lambda: bool(upstreams[-1].requests))
        for name, row in gateway.rows.items():
            gateway.rows[name] = attrs.evolve(
                row, models=gateway.rows[f"u{len(scripts) - 1}"].models
            )
        gateway.state.upstreams.update(gateway.rows, {})
    return upstreams, replies


class TestSuccessorThatFails:
    """Guards against streams that end with the upstream that should replace a sound one."""

    @pytest.mark.parametrize(
        "successor",
        [
            Failing(last=REFUSAL),
            Failing(),
            Failing(first=STREAM_HEAD),
            Failing(first=STREAM_HEAD + chunk(b"id: 2\nda"), wait_s=0.0),
            Failing(first=STREAM_HEAD + chunk(b"id: 2\nda")),
            Failing(first=STREAM_HEAD, wait_s=60.0),
            Failing(wait_s=60.0),
        ],
        ids=[
            "refuses",
            "resets",
            "resets after its head",
            "resets within an event",
            "resets late within an event",
            "silent after its head",
            "silent",
        ],
    )
    async def test_stream_goes_on_at_the_first_upstream(
        self, autojump_clock: trio.testing.MockClock, gateway: Gateway, successor: Failing
    ) -> None:
        reply = await stream_with_alternative(gateway, Pausing(), successor)
        assert (reply.body, reply.is_complete) == (WHOLE, True)

    async def test_stream_returns_to_the_first_upstream_alone(
        self, autojump_clock: trio.testing.MockClock, gateway: Gateway
    ) -> None:
        others = []

        async def add_third(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            others.append(await gateway.add("pool", remainder))
            await Failing()(upstream, stream, request_id)

        reply = await stream_with_alternative(gateway, Pausing(), add_third)
        assert (reply.body, reply.is_complete) == (WHOLE, True)
        assert others[0].requests == []  # the route allows two upstreams


class TestBothUpstreamsHaveTheRequest:
    """Guards against what a first upstream sends being dropped while another has the request."""

    async def test_first_upstream_goes_on_before_the_other_has_sent_an_event(
        self, autojump_clock: trio.testing.MockClock, gateway: Gateway
    ) -> None:
        closed = []

        async def head_only(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(STREAM_HEAD % request_id)
            await stream.receive_some()
            closed.append(trio.current_time())

        pausing = Pausing(pause_s=1.45)
        started = trio.current_time()
        reply = await stream_with_alternative(gateway, pausing, head_only)
        assert (reply.body, reply.is_complete) == (WHOLE, True)
        assert trio.current_time() - started < 1.6
        await wait_until(lambda: bool(closed))

    async def test_own_close_of_a_stream_without_events_is_no_crash(
        self,
        autojump_clock: trio.testing.MockClock,
        gateway: Gateway,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        losses: list[str] = []

        async def record(row: object, metadata: object) -> None:
            losses.append(str(row))

        async def head_only(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(STREAM_HEAD % request_id)
            await trio.sleep_forever()

        monkeypatch.setattr(gateway.state.quarantine, "record_loss", record)
        await stream_with_alternative(gateway, head_only, Failing(last=REFUSAL))
        assert losses == []


class TestSilenceOfAll:
    """Guards against streams that leave for an upstream that is as silent as their own."""

    async def test_no_stream_leaves_its_upstream(
        self, autojump_clock: trio.testing.MockClock, gateway: Gateway
    ) -> None:
        upstreams, replies = await send_to_each(gateway, Pausing(), Pausing(), Pausing())
        assert [u.requests for u in upstreams] == [[b"s-0"], [b"s-1"], [b"s-2"]]
        assert [(r.body, r.is_complete) for r in replies] == [(WHOLE, True)] * 3


class TestSilenceOfOne:
    """Covers an upstream that falls silent while others go on: its streams leave it in time."""

    async def test_stream_goes_on_where_events_are_sent(
        self, autojump_clock: trio.testing.MockClock, gateway: Gateway
    ) -> None:
        started = trio.current_time()
        ended = []

        async def timed(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await steady(upstream, stream, request_id)
            if request_id == b"s-0":
                ended.append(trio.current_time())

        upstreams, replies = await send_to_each(gateway, hanging, Pausing(pause_s=5.0), timed)
        assert (replies[0].body, replies[0].is_complete) == (WHOLE, True)
        assert ended[0] - started < 2.0
        assert upstreams[1].requests == [b"s-1"]


class TestLateResponse:
    """Guards against requests that are given up before another upstream has responded."""

    async def test_first_upstream_responds_although_the_other_refuses(
        self, autojump_clock: trio.testing.MockClock, gateway: Gateway
    ) -> None:
        async def late(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await trio.sleep(PAUSE_S)
            head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n" % request_id
            await stream.send_all(head + b"Content-Length: 2\r\n\r\nok")

        upstreams = [
            await gateway.add("app", late),
            await gateway.add("app", Failing(last=REFUSAL, wait_s=0.0)),
        ]
        prefer_first(gateway)
        reply = await gateway.send("/see/x", "p-1")
        assert (reply.status, reply.body) == (200, b"ok")
        assert [u.requests for u in upstreams] == [[b"p-1"], [b"p-1"]]

    @pytest.mark.parametrize("wait_s", [0.0, LATE_S], ids=["at once", "late"])
    async def test_stream_goes_on_at_the_first_upstream_although_the_other_refuses(
        self, autojump_clock: trio.testing.MockClock, gateway: Gateway, wait_s: float
    ) -> None:
        async def late(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            if upstream.requests.count(request_id) == 1:
                await trio.sleep(PAUSE_S + 0.05)
            await stream.send_all(STREAM_HEAD % request_id + event(1) + event(2) + END)

        await gateway.add("pool", late)
        await gateway.add("pool", Failing(last=REFUSAL, wait_s=wait_s))
        prefer_first(gateway)
        reply = await gateway.send("/chat/x", "s-1", "m")
        assert (reply.status, reply.body, reply.is_complete) == (200, WHOLE, True)


def prefer_first(gateway: Gateway) -> None:
    """Let the larger of two upstreams be selected first, although the other one is idle."""
    gateway.rows["u1"] = attrs.evolve(gateway.rows["u1"], slots=1)
    gateway.state.upstreams.update(gateway.rows, {})
    larger = gateway.state.upstreams.get("u0")
    assert larger is not None
    larger.update_from_report(LoadReport(4, 0, 8))
