"""Tests of callers whose entry instance has lost its links to all upstreams."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import attrs
import pytest
import trio
from gateway_support import (
    ROUTES,
    STREAM_HEAD,
    ScriptedUpstream,
    close,
    event,
    remainder,
    wait_until,
)
from peer_support import (
    PeerGateway,
    hanging_address,
    lose_links,
    partitioned_pair,
    refusing_address,
)

from briardyke.addresses import Address
from briardyke.clock import now_ms
from briardyke.gateway.request_context import RequestContext
from briardyke.gateway.state import RetryBounds
from briardyke.gateway.trace import Trace
from briardyke.http.exchange import HttpRequest
from briardyke.peer_relay.acceptance import may_hand_over

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    from contextlib import AbstractContextManager

    from gateway_support import Script

    Begin = Callable[..., Awaitable["LostPair"]]

LOST_LINKS = [refusing_address, hanging_address]


async def answering(
    upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
) -> None:
    """Send a short response."""
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n" % request_id
    await stream.send_all(head + b"Content-Length: 2\r\n\r\nok")


async def streaming(
    upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
) -> None:
    """Send a stream of two events."""
    await stream.send_all(STREAM_HEAD % request_id + event(1) + event(2) + b"0\r\n\r\n")


@pytest.mark.parametrize("dead_address", LOST_LINKS)
class TestServedThroughPeers:
    """Guards against first attempts that fail at an instance without links to upstreams."""

    @pytest.mark.parametrize("path", ["/see/x", "/buy/x"])
    async def test_plain_request_is_served_once(
        self, path: str, dead_address: Callable[[], AbstractContextManager[Address]]
    ) -> None:
        upstream = ScriptedUpstream(answering)
        with dead_address() as lost:
            async with trio.open_nursery() as nursery:
                cut, _ = await partitioned_pair(nursery, upstream, "app", lost)
                await lose_links(cut, "/see/x")
                reply = await cut.send(path, "r-1")
                nursery.cancel_scope.cancel()
        assert (reply.status, reply.body, reply.is_complete) == (200, b"ok", True)
        assert reply.headers[b"server-stamp"] == b"s"
        assert upstream.requests.count(b"r-1") == 1

    async def test_stream_is_served(
        self, dead_address: Callable[[], AbstractContextManager[Address]]
    ) -> None:
        upstream = ScriptedUpstream(streaming)
        with dead_address() as lost:
            async with trio.open_nursery() as nursery:
                cut, _ = await partitioned_pair(nursery, upstream, "pool", lost)
                await lose_links(cut, "/chat/x", "m")
                reply = await cut.send("/chat/x", "s-1", "m")
                nursery.cancel_scope.cancel()
        assert (reply.status, reply.is_complete) == (200, True)
        assert reply.body == b"id: 1\ndata: t\n\nid: 2\ndata: t\n\n"


async def hanging(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """Send nothing until the connection ends."""
    await stream.receive_some(1)


async def first_event(
    upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes, *, is_reset: bool
) -> None:
    """Send the first event of a stream, then nothing or a reset."""
    await stream.send_all(STREAM_HEAD % request_id + event(1))
    await trio.sleep(0.1)
    if is_reset:
        await close(stream, is_reset=True)
    else:
        await stream.receive_some(1)


async def leaving(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """Send a response of a process that shuts down."""
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nServer-Leaving: 1\r\n"
    await stream.send_all(head % request_id + b"Content-Length: 2\r\n\r\nok")


@attrs.define
class LostPair:
    """Instance without links, its peer and an upstream that only the peer reaches."""

    cut: PeerGateway
    sound: PeerGateway
    upstream: ScriptedUpstream

    async def replace_peers(
        self, serve: Callable[[trio.SocketStream], Awaitable[None]], instance_ids: str
    ) -> None:
        """Let a function serve the connections of peers with these ids of one letter."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")

        async def run() -> None:
            await trio.serve_listeners(serve, listeners)

        self.cut.run_beside(run)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        self.cut.process.client.view.entries = [
            attrs.evolve(self.sound.row, instance_id=i, address=address, is_ready=True)
            for i in instance_ids
        ]


@pytest.fixture
async def lost_pair() -> AsyncIterator[Callable[..., Awaitable[LostPair]]]:
    """Yield a function that starts an instance without links, its peer and their upstream."""
    with refusing_address() as lost:
        async with trio.open_nursery() as nursery:

            async def begin(script: Script, service: str = "app") -> LostPair:
                upstream = ScriptedUpstream(script)
                cut, sound = await partitioned_pair(nursery, upstream, service, lost)
                await lose_links(cut, *(("/chat/x", "m") if service == "pool" else ("/see/x",)))
                return LostPair(cut, sound, upstream)

            yield begin
            nursery.cancel_scope.cancel()


class TestRelayedRequest:
    """What an upstream and a caller see of a request that passes two entry instances."""

    async def test_headers_between_instances_reach_nobody_else(self, lost_pair: Begin) -> None:
        pair = await lost_pair(answering)
        headers = [("Deadline-Ms", "2000"), ("Briardyke-Answered-By", "x"), ("X-Own", "1")]
        reply = await pair.cut.send("/see/x", "r-1", more_headers=headers)
        received = dict(pair.upstream.heads[pair.upstream.requests.index(b"r-1")])
        assert not [name for name in (*received, *reply.headers) if name.startswith(b"briardyke")]
        assert received[b"x-own"] == b"1"
        assert 1000 < int(received[b"deadline-ms"]) < 2000

    async def test_upstream_that_leaves_gets_nothing_from_the_relaying_instance(
        self, lost_pair: Begin
    ) -> None:
        pair = await lost_pair(leaving)
        reply = await pair.cut.send("/see/x", "r-1")
        assert reply.headers[b"server-leaving"] == b"1"
        assert len(pair.cut.state.upstreams.usable("app")) < 2

    async def test_request_passes_one_instance_only(self, lost_pair: Begin) -> None:
        pair = await lost_pair(answering)
        pair.sound.state.connectivity.is_lost = True
        reply = await pair.cut.send("/see/x", "r-1")
        assert reply.status == 503
        assert pair.upstream.requests.count(b"r-1") == 0
        assert pair.sound.state.counters.requests[("", "misdirected")] >= 1

    async def test_peer_with_an_older_configuration_does_not_serve(self, lost_pair: Begin) -> None:
        pair = await lost_pair(answering)
        pair.cut.put_in_force(2)
        assert (await pair.cut.send("/see/x", "r-1")).status == 503
        pair.sound.put_in_force(2)
        assert (await pair.cut.send("/see/x", "r-2")).status == 200

    async def test_caller_that_leaves_ends_the_work(self, lost_pair: Begin) -> None:
        pair = await lost_pair(hanging)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pair.cut.send, "/see/x", "r-1")
            await wait_until(lambda: b"r-1" in pair.upstream.requests)
            nursery.cancel_scope.cancel()
        await wait_until(lambda: pair.upstream.closed == 1)

    @pytest.mark.parametrize(("path", "copies"), [("/buy/x", 1), ("/see/x", 2)])
    async def test_only_what_may_run_twice_is_sent_again_after_the_loss_of_a_peer(
        self, lost_pair: Begin, path: str, copies: int
    ) -> None:
        pair = await lost_pair(answering)
        received: list[bytes] = []

        async def fail(stream: trio.SocketStream) -> None:
            received.append(await stream.receive_some(65536))
            await trio.aclose_forcefully(stream)

        await pair.replace_peers(fail, "ab")
        reply = await pair.cut.send(path, "r-1")
        assert reply.status == 502
        assert len(received) == copies

    async def test_stream_whose_peer_is_lost_does_not_look_complete(self, lost_pair: Begin) -> None:
        pair = await lost_pair(streaming, "pool")

        async def fail(stream: trio.SocketStream) -> None:
            await stream.receive_some(65536)
            await stream.send_all(STREAM_HEAD % b"s-1" + event(1))
            await trio.sleep(0.05)
            await trio.aclose_forcefully(stream)

        await pair.replace_peers(fail, "a")
        reply = await pair.cut.send("/chat/x", "s-1", "m")
        assert (reply.status, reply.is_complete) == (200, False)


class TestPromises:
    """Guards against statements about a request that hold for one of its two instances only."""

    async def test_request_that_may_have_run_is_not_said_not_to_have_run(
        self, lost_pair: Begin
    ) -> None:
        async def fail_first(stream: trio.SocketStream) -> None:
            received.append(await stream.receive_some(65536))
            if len(received) == 2:
                head = b"HTTP/1.1 503 Unavailable\r\nRequest-Id: r-1\r\nContent-Length: 0\r\n\r\n"
                await stream.send_all(head)
                await trio.sleep(0.1)
            await trio.aclose_forcefully(stream)

        received: list[bytes] = []
        pair = await lost_pair(answering)
        await pair.replace_peers(fail_first, "ab")
        assert (await pair.cut.send("/see/x", "r-1")).status == 502
        assert len(received) == 2

    async def test_attempts_are_counted_over_both_instances(self, lost_pair: Begin) -> None:
        async def fail(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await close(stream)

        pair = await lost_pair(fail)
        relayed = [("Briardyke-Relayed-By", "cut"), ("Briardyke-Attempts", "1")]
        assert (await pair.sound.send("/see/x", "r-1", more_headers=relayed)).status == 502
        assert pair.upstream.requests.count(b"r-1") == 1

    async def test_trial_is_not_repeated(self, lost_pair: Begin) -> None:
        pair = await lost_pair(answering)
        request = HttpRequest("GET", "/see/x", [(b"host", b"h")], b"")
        state = pair.cut.state
        state.connectivity.keeps_connections = False
        context = RequestContext(
            request,
            state.dialect.read_request(request),
            ROUTES[0],
            "app",
            now_ms() + 3000.0,
            Trace("r-1", now_ms(), 1),
            state.response_buffers.open(),
            unanswered=1,
        )
        assert may_hand_over(context, state)
        context.has_trial = True
        assert not may_hand_over(context, state)

    async def test_own_upstreams_are_tried_after_peers_in_vain(self, lost_pair: Begin) -> None:
        pair = await lost_pair(answering)
        pair.sound.state.connectivity.is_lost = True
        addresses = dict.fromkeys(("u0", "u1"), pair.upstream.address)
        pair.cut.reach(addresses, "app")
        assert (await pair.cut.send("/buy/x", "r-1")).status == 200

    async def test_stream_that_a_stop_would_cut_is_refused(self, lost_pair: Begin) -> None:
        pair = await lost_pair(streaming, "pool")
        pair.cut.state.is_stopping, pair.cut.state.stop_ms = True, now_ms() + 2000.0
        reply = await pair.cut.send("/chat/x", "s-1", "m")
        assert (reply.status, reply.headers[b"x-error-kind"]) == (503, b"draining")


class TestRetryBudget:
    """Guards against repeats through peers that no instance pays for."""

    async def test_peer_pays_for_what_an_upstream_may_have_had(self, lost_pair: Begin) -> None:
        pair = await lost_pair(answering)
        relayed = [("Briardyke-Relayed-By", "cut"), ("Briardyke-Attempts", "1")]
        pair.sound.state._retries = RetryBounds(0.0, 0.0, 1.0)
        while pair.sound.state.budget("app").try_spend(now_ms()):
            pass
        refused = await pair.sound.send("/see/x", "r-1", more_headers=relayed)
        assert (refused.status, refused.headers[b"x-error-kind"]) == (421, b"misdirected")
        served = await pair.sound.send("/see/x", "r-2", more_headers=relayed[:1])
        assert served.status == 200


class TestRequestsUnderWay:
    """Requests that a silent upstream has when the links are lost."""

    @pytest.mark.parametrize(("path", "is_served"), [("/see/x", True), ("/buy/x", False)])
    async def test_only_what_may_run_twice_is_handed_over(self, path: str, is_served: bool) -> None:
        silent, sound_upstream = ScriptedUpstream(hanging), ScriptedUpstream(answering)
        replies = []
        with hanging_address() as dead:
            async with trio.open_nursery() as nursery:
                cut, _ = await partitioned_pair(nursery, sound_upstream, "app", dead)
                await nursery.start(silent.serve)
                cut.reach({"u0": silent.address, "u1": silent.address}, "app")

                async def send() -> None:
                    replies.append(await cut.send(path, "r-1"))

                nursery.start_soon(send)
                await wait_until(lambda: bool(silent.requests))
                cut.reach({"u0": dead, "u1": dead}, "app")
                await lose_links(cut, "/see/x")
                if is_served:
                    await wait_until(lambda: bool(replies))
                else:
                    await trio.sleep(0.3)
                assert [reply.status for reply in replies] == [200] * int(is_served)
                assert sound_upstream.requests.count(b"r-1") == int(is_served)
                nursery.cancel_scope.cancel()


class TestRefusedConnections:
    """Guards against failures where open connections live on and new ones are refused."""

    async def test_first_request_is_served_through_a_peer(self) -> None:
        upstream = ScriptedUpstream(answering)
        with refusing_address() as lost:
            async with trio.open_nursery() as nursery:
                cut, _ = await partitioned_pair(nursery, upstream, "app", lost)
                replies = [await cut.send(path, f"r{path}") for path in ("/buy/x", "/see/x")]
                nursery.cancel_scope.cancel()
        assert [reply.status for reply in replies] == [200, 200]

    async def test_request_on_an_open_connection_stays_there(self) -> None:
        async def answer_late(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await trio.sleep(0.4)
            await answering(upstream, stream, request_id)

        slow, sound_upstream = ScriptedUpstream(answer_late), ScriptedUpstream(answering)
        async with trio.open_nursery() as nursery:
            dead = Address("127.0.0.1", 1)
            cut, _ = await partitioned_pair(nursery, sound_upstream, "app", dead)
            await nursery.start(slow.serve)
            cut.reach({"u0": slow.address, "u1": slow.address}, "app")
            replies = []

            async def send() -> None:
                replies.append(await cut.send("/see/x", "r-1"))

            nursery.start_soon(send)
            await wait_until(lambda: bool(slow.requests))
            cut.reach({"u0": dead, "u1": dead}, "app")
            await lose_links(cut, "/see/x")
            await wait_until(lambda: bool(replies))
            nursery.cancel_scope.cancel()
        assert replies[0].status == 200
        assert b"r-1" not in sound_upstream.requests


class TestStreamsUnderWay:
    """Guards against streams that stall until their callers leave."""

    @pytest.mark.parametrize("is_reset", [True, False])
    async def test_stream_goes_on_through_a_peer(self, is_reset: bool) -> None:
        interrupted = ScriptedUpstream(partial(first_event, is_reset=is_reset))
        rest = ScriptedUpstream(remainder)
        async with trio.open_nursery() as nursery:
            dead = Address("127.0.0.1", 1)
            cut, _ = await partitioned_pair(nursery, rest, "pool", dead)
            await nursery.start(interrupted.serve)
            addresses = {"u0": interrupted.address, "u1": interrupted.address}
            cut.reach(addresses, "pool")
            replies = []

            async def send() -> None:
                replies.append(await cut.send("/chat/x", "s-1", "m"))

            nursery.start_soon(send)
            await wait_until(lambda: bool(interrupted.requests))
            cut.reach({"u0": dead, "u1": dead}, "pool")
            await wait_until(lambda: bool(replies))
            nursery.cancel_scope.cancel()
        assert replies[0].is_complete
        assert replies[0].body == b"id: 1\ndata: t\n\nid: 2\ndata: t\n\n"
        received = dict(rest.heads[rest.requests.index(b"s-1")])
        assert received[b"last-event-id"] == b"1"


class TestCrashEvidence:
    """Guards against sound requests that are blamed for crashes when the links are lost."""

    async def test_connections_that_end_with_all_links_show_no_crash(self) -> None:
        listening = trio.CancelScope()

        async def fail(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            listening.cancel()
            await trio.sleep(0.05)
            await close(stream, is_reset=True)

        async with trio.open_nursery() as nursery:
            gateway = PeerGateway(nursery, "cut")
            await gateway.start()
            addresses = {}
            listeners = []
            for name in ("u0", "u1"):
                listeners += await trio.open_tcp_listeners(0, host="127.0.0.1")
                addresses[name] = Address("127.0.0.1", listeners[-1].socket.getsockname()[1])

            async def listen() -> None:
                serve = ScriptedUpstream(fail)._connection
                with listening:
                    await trio.serve_listeners(serve, listeners, handler_nursery=nursery)
                for listener in listeners:
                    await listener.aclose()

            nursery.start_soon(listen)
            gateway.reach(addresses, "pool")
            await gateway.send("/chat/x", "s-1", "m", prefix="a:10,b:10,c:10")
            assert gateway.state.quarantine.crash_reports() == []
            assert gateway.state.connectivity.is_lost
            nursery.cancel_scope.cancel()
