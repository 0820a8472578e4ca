"""Tests of requests that meet the planned stop of their entry instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio
from gateway_support import ENGINE, ROUTES, STREAM_HEAD, Gateway, Reply, ScriptedUpstream, event
from result import Err

from briardyke.addresses import Address
from briardyke.errors import ErrorKind, Failure
from briardyke.gateway.process import GatewayProcess
from briardyke.gateway.settings import InstanceSettings
from briardyke.gateway.state import RetryBounds
from briardyke.platform.headers import PlatformDialect
from briardyke.routes.configuration import ServiceSpec, ServingConfiguration
from briardyke.routes.matching import RouteTable
from briardyke.wire.connection import PROTOCOL_VERSION, Hello
from briardyke.wire.pool import PeerPool

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

GRACE_S = 8.0
WORK_S = 1.2
TIMEOUTS_MS = {"see": 1500.0, "buy": 1500.0, "chat": 20_000.0}
SERVICES = {"app": ServiceSpec("app", 10), "pool": ServiceSpec("pool", 10, ENGINE)}


async def working(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """Respond after some time."""
    await trio.sleep(WORK_S)
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n" % request_id
    await stream.send_all(head + b"Content-Length: 2\r\n\r\nok")


async def endless(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """Send events until the connection ends."""
    await stream.send_all(STREAM_HEAD % request_id)
    for number in range(1, 99):
        await stream.send_all(event(number))
        await trio.sleep(1.9)


class StoppingGateway(Gateway):
    """Gateway with the stop of a whole entry instance."""

    def __init__(self, nursery: trio.Nursery, grace_s: float = GRACE_S) -> None:
        super().__init__(nursery)
        listen = Address("127.0.0.1", 0)
        settings = InstanceSettings("i", "dc", listen, grace_s, RetryBounds(1.0, 1000.0, 1.0))
        peers = PeerPool(nursery, Hello(PROTOCOL_VERSION, "c", "i"))
        self.process = GatewayProcess(
            settings,
            PlatformDialect(),
            lambda document: Err(Failure(ErrorKind.CONFIGURATION_INVALID, "none")),
            peers,
            lambda: (),
        )
        routes = tuple(attrs.evolve(route, timeout_ms=TIMEOUTS_MS[route.name]) for route in ROUTES)
        self.process.state.routes = RouteTable(ServingConfiguration(1, routes, SERVICES))
        self.state, self.server = self.process.state, self.process.server
        self._serving = trio.CancelScope()

    async def start(self) -> None:
        """Start to listen on a free port."""
        self.port = await self._nursery.start(self._serve)

    async def _serve(self, *, task_status: trio.TaskStatus[int]) -> None:
        with self._serving:
            await self.server.serve(Address("127.0.0.1", 0), task_status=task_status)

    async def stop(self) -> float:
        """Stop as after SIGTERM; return the time that it took."""
        started = trio.current_time()
        await self.process._drain()
        self._serving.cancel()
        return trio.current_time() - started


@pytest.fixture
async def stopping() -> AsyncIterator[StoppingGateway]:
    """Yield a gateway that can be stopped."""
    async with trio.open_nursery() as nursery:
        gateway = StoppingGateway(nursery)
        await gateway.start()
        yield gateway
        nursery.cancel_scope.cancel()


class TestEndOfAStop:
    """Guards against requests that are read late in a stop and cut at its end."""

    @pytest.mark.parametrize("after_s", [3.0, 5.9, 6.5, 7.15])
    async def test_late_request_is_answered_or_not_read(
        self,
        stopping: StoppingGateway,
        autojump_clock: trio.testing.MockClock,
        after_s: float,
    ) -> None:
        autojump_clock.autojump_threshold = 0.1  # gives the kernel time to deliver socket data
        upstream = await stopping.add("app", working)
        replies: list[Reply | OSError] = []

        async def keep_open() -> None:
            await stopping.send("/chat/x", "s-0", "m")

        async def send_late() -> None:
            await trio.sleep(after_s)
            try:
                replies.append(await stopping.send("/buy/x", "b-1"))
            except OSError as error:
                replies.append(error)

        await stopping.add("pool", endless)
        async with trio.open_nursery() as callers:
            callers.start_soon(keep_open)
            callers.start_soon(send_late)
            await trio.sleep(0.1)
            took_s = await stopping.stop()
        assert took_s < GRACE_S * 0.97
        (reply,) = replies
        if isinstance(reply, Reply):
            assert reply.is_complete
            assert reply.status == (200 if upstream.requests else 503)
        else:
            assert upstream.requests == []

    async def test_request_that_ends_late_is_refused(
        self, stopping: StoppingGateway, autojump_clock: trio.testing.MockClock
    ) -> None:
        autojump_clock.autojump_threshold = 0.1  # gives the kernel time to deliver socket data
        upstream = await stopping.add("app", working)
        await stopping.add("pool", endless)
        data = b""

        async def send_slowly() -> None:
            nonlocal data
            stream = await trio.open_tcp_stream("127.0.0.1", stopping.port)
            await stream.send_all(b"GET /buy/x HTTP/1.1\r\nHost: h\r\n")
            await trio.sleep(1.4)
            await stream.send_all(b"Request-Id: b-1\r\n\r\n")
            while part := await stream.receive_some():
                data += part

        async with trio.open_nursery() as callers:

            async def send_late() -> None:
                await trio.sleep(5.6)
                await send_slowly()

            async def keep_open() -> None:
                await stopping.send("/chat/x", "s-0", "m")

            callers.start_soon(send_late)
            callers.start_soon(keep_open)
            await trio.sleep(0.1)
            await stopping.stop()
        assert upstream.requests == []
        assert data.startswith(b"HTTP/1.1 503")


class TestLongGrace:
    """Covers deployments whose processes may take longer to stop than a stream lasts."""

    @pytest.mark.parametrize("after_s", [4.0, 9.0, 10.4])
    async def test_stream_that_may_outlast_the_stop_is_refused(
        self, autojump_clock: trio.testing.MockClock, after_s: float
    ) -> None:
        """Guards against a stream that is passed on in the first third of a stop and then cut."""
        autojump_clock.autojump_threshold = 0.1  # gives the kernel time to deliver socket data
        async with trio.open_nursery() as nursery:
            gateway = StoppingGateway(nursery, grace_s=12.0)
            await gateway.start()
            upstream = await gateway.add("pool", endless)
            replies: list[Reply | OSError] = []

            async def send(delay_s: float, name: str) -> None:
                await trio.sleep(delay_s)
                try:
                    replies.append(await gateway.send("/chat/x", name, "m"))
                except OSError as error:
                    replies.append(error)

            nursery.start_soon(send, 0.0, "s-0")
            nursery.start_soon(send, after_s, "s-1")
            await trio.sleep(0.1)
            await gateway.stop()
            nursery.cancel_scope.cancel()
        assert upstream.requests == [b"s-0"]
        refused = [r for r in replies if not isinstance(r, Reply) or r.status == 503]
        assert len(refused) == 1

    async def test_stream_that_ends_within_the_stop_is_served(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        autojump_clock.autojump_threshold = 0.1  # gives the kernel time to deliver socket data

        async def brief(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(STREAM_HEAD % request_id + event(1) + b"0\r\n\r\n")

        async with trio.open_nursery() as nursery:
            gateway = StoppingGateway(nursery, grace_s=60.0)
            await gateway.start()
            await gateway.add("pool", brief)
            replies: list[Reply] = []

            async def send() -> None:
                await trio.sleep(15.0)
                replies.append(await gateway.send("/chat/x", "s-1", "m"))

            nursery.start_soon(send)
            await trio.sleep(0.1)
            await gateway.stop()
            nursery.cancel_scope.cancel()
        assert [reply.status for reply in replies] == [200]
