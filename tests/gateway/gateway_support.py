"""Run a gateway between scripted upstreams and a caller within a test's process."""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING

import attrs
import h11
import trio

from briardyke.addresses import Address
from briardyke.fleet.messages import AdapterReply
from briardyke.fleet.records import READY, LoadedModel, Upstream
from briardyke.gateway.forward import Forwarder
from briardyke.gateway.state import GatewayState, RetryBounds
from briardyke.http.h11_server import H11Server
from briardyke.platform.headers import PlatformDialect
from briardyke.routes.configuration import (
    EngineSpec,
    ModelSpec,
    RequestKind,
    Route,
    ServiceSpec,
    ServingConfiguration,
    Target,
)
from briardyke.routes.matching import RouteTable

if TYPE_CHECKING:
    from briardyke.fleet.messages import AdapterRequest

STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
ENGINE = EngineSpec(8, 100.0, 8, 1.0, 1000, {"m": ModelSpec("m", 40.0, 6.0, 1.2, 0.6, 0, 0.0)})
ROUTES = (
    Route("see", "h", "/see/", RequestKind.IDEMPOTENT, 3000.0, 300.0, 1, (Target("app", 1),), 2),
    Route("buy", "h", "/buy/", RequestKind.NON_IDEMPOTENT, 3000.0, 300.0, 1, (Target("app", 1),)),
    Route(
        *("chat", "h", "/chat/", RequestKind.STREAMING, 6000.0, 500.0, 1, (Target("pool", 1),)),
        max_attempts=2,
        is_resumable=True,
        event_gap_objective_ms=250.0,
    ),
)
Script = Callable[["ScriptedUpstream", trio.SocketStream, bytes], Awaitable[None]]


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait up to five seconds for a condition."""
    with trio.fail_after(5):
        while True:
            if condition():
                return
            await trio.sleep(0.01)


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def close(stream: trio.SocketStream, *, is_reset: bool = False) -> None:
    """Close a connection properly or by a reset."""
    if is_reset:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await trio.aclose_forcefully(stream)


def event(number: int) -> bytes:
    """Return one event of a stream as a chunk."""
    return chunk(b"id: %d\ndata: t\n\n" % number)


@attrs.define
class ScriptedUpstream:
    """Upstream that runs a script for each request.

    :param script: called with the upstream, the stream and the id of each request.
    :param requests: ids of the requests received, in order.
    :param heads: headers of these requests.
    :param connections: number of accepted connections.
    :param closed: number of closed connections.
    """

    script: Script
    address: Address = Address("127.0.0.1", 0)
    requests: list[bytes] = attrs.field(factory=list)
    heads: list[list[tuple[bytes, bytes]]] = attrs.field(factory=list)
    connections: int = 0
    closed: int = 0

    async def serve(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen on a free port until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
        task_status.started()
        await trio.serve_listeners(self._connection, listeners)

    async def _connection(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        protocol = h11.Connection(h11.SERVER)
        try:
            while True:
                event = protocol.next_event()
                if event is h11.NEED_DATA:
                    protocol.receive_data(await stream.receive_some(65536))
                elif isinstance(event, h11.Request):
                    request_id = dict(event.headers)[b"request-id"]
                    self.heads.append(list(event.headers))
                elif isinstance(event, h11.EndOfMessage):
                    self.requests.append(request_id)
                    await self.script(self, stream, request_id)
                    protocol = h11.Connection(h11.SERVER)
                elif not isinstance(event, h11.Data):
                    break
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.closed += 1
            await trio.aclose_forcefully(stream)


def without_end(start: bytes, repeated: bytes) -> Script:
    """Return the script of an upstream that sends until the caller closes.

    :param start: sent first, with ``%s`` replaced by the id of the request.
    :param repeated: sent again and again.
    """

    async def script(
        upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
    ) -> None:
        await stream.send_all(start.replace(b"%s", request_id))
        while True:
            await stream.send_all(repeated)

    return script


@attrs.define
class Reply:
    """What the caller received until its connection ended."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    is_complete: bool


class Gateway:
    """Gateway in front of scripted upstreams."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self.rows: dict[str, Upstream] = {}
        self.state = GatewayState(
            PlatformDialect(), "dc", RetryBounds(1.0, 1000.0, 1.0), self._no_adapter
        )
        services = {
            "app": ServiceSpec("app", 10),
            "pool": ServiceSpec("pool", 10, ENGINE),
        }
        self.state.routes = RouteTable(ServingConfiguration(1, ROUTES, services))
        self.server = H11Server(Forwarder(self.state).handle)
        self.port = 0

    async def start(self) -> None:
        """Start to listen on a free port."""
        self.port = await self._nursery.start(self.server.serve, Address("127.0.0.1", 0))

    def run_beside(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task until the gateway ends."""
        self._nursery.start_soon(task)

    async def add(
        self, service: str, script: Script, software_version: str = ""
    ) -> ScriptedUpstream:
        """Start an upstream and add it to the gateway's announced upstreams."""
        upstream = ScriptedUpstream(script)
        await self._nursery.start(upstream.serve)
        name = f"u{len(self.rows)}"
        held = [LoadedModel("m")] if service == "pool" else []
        self.rows[name] = Upstream(
            *(name, 1, 1, service, str(upstream.address), "dc", READY, 8, held),
            software_version=software_version,
        )
        self.state.upstreams.update(self.rows, {})
        return upstream

    async def send(
        self,
        path: str,
        request_id: str,
        model: str = "",
        prefix: str = "",
        more_headers: Sequence[tuple[str, str]] = (),
    ) -> Reply:
        """Send one request on a new connection and read the response until the connection ends."""
        headers = [("Host", "h"), ("Request-Id", request_id), ("Connection", "close")]
        headers += more_headers
        headers += [("Model", model)] if model else []
        headers += [("Prompt-Prefix", prefix)] if prefix else []
        protocol = h11.Connection(h11.CLIENT)
        stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        request = h11.Request(method="GET", target=path, headers=headers)
        await stream.send_all(
            (protocol.send(request) or b"") + (protocol.send(h11.EndOfMessage()) or b"")
        )
        reply = Reply(0, {}, b"", False)
        async with stream:
            while True:
                try:
                    event = protocol.next_event()
                    if event is h11.NEED_DATA:
                        protocol.receive_data(await stream.receive_some(65536))
                        continue
                except (trio.BrokenResourceError, h11.RemoteProtocolError):
                    return reply
                if isinstance(event, h11.Response):
                    reply.status, reply.headers = event.status_code, dict(event.headers)
                elif isinstance(event, h11.Data):
                    reply.body += event.data
                else:
                    reply.is_complete = isinstance(event, h11.EndOfMessage)
                    return reply

    @staticmethod
    async def _no_adapter(request: AdapterRequest) -> AdapterReply:
        return AdapterReply("", "none")


async def remainder(
    upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
) -> None:
    """Send the second event."""
    await stream.send_all(STREAM_HEAD % request_id + event(2) + b"0\r\n\r\n")


async def stream_with_alternative(gateway: Gateway, first: Script, second: Script) -> Reply:
    """Send a request to one upstream and add another one when it has arrived."""
    replies = []

    async def send() -> None:
        replies.append(await gateway.send("/chat/x", "s-1", "m"))

    async with trio.open_nursery() as nursery:
        upstream = await gateway.add("pool", first)
        nursery.start_soon(send)
        await wait_until(lambda: bool(upstream.requests))
        await gateway.add("pool", second)
    return replies[0]
