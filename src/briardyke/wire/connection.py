"""Run framed request and reply calls over one TCP connection between two processes."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import attrs
import msgpack
import trio
from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure
from briardyke.logs import log_debug, log_error, log_limited, log_warning, place_of
from briardyke.wire import codec
from briardyke.wire.statistics import STATISTICS

if TYPE_CHECKING:
    from briardyke.addresses import Address

PROTOCOL_VERSION = 1
HANDSHAKE_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
_ONE_WAY_ID = 0  # correlation id of a message without a reply
_MAX_QUEUED_FRAMES = 1024
# Limit of messages queued for one peer. Members of a consensus group keep sending whole
# configurations, up to half a megabyte each, several times a second to a peer that reads nothing.
MAX_QUEUED_BYTES = 2 * 1024 * 1024

Handler = Callable[[str, Any], Awaitable[Any | None]]


@codec.message
@attrs.frozen
class Hello:
    """Handshake message; the client sends it first and the server replies with its own.

    :param protocol_version: version of the framing and the messages.
    :param cluster_id: name of the deployment; peers of another one are refused.
    :param sender_id: instance id of the sender.
    """

    protocol_version: int
    cluster_id: str
    sender_id: str


@codec.message
@attrs.frozen
class Refused:
    """Report a failure instead of a reply.

    :param kind: value of an :class:`~briardyke.errors.ErrorKind`.
    :param message: one sentence.
    :param field: offending field, or a hint such as the leader's id.
    """

    kind: str
    message: str
    field: str = ""


class FrameStream:
    """Read and write length-prefixed frames on a trio stream."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        """Wrap a connected stream."""
        self._stream = stream
        self._buffer = bytearray()
        self._write_lock = trio.Lock()

    async def send(self, correlation_id: int, is_reply: bool, body: bytes) -> None:
        """Write one frame.

        :raises trio.BrokenResourceError: when the connection is gone.
        """
        payload = msgpack.packb([correlation_id, is_reply, body])
        async with self._write_lock:
            await self._stream.send_all(
                len(payload).to_bytes(codec.LENGTH_PREFIX_BYTES, "big") + payload
            )

    async def receive(self) -> tuple[int, bool, bytes] | None:
        """Read one frame, or return ``None`` at the end of the stream.

        :raises ValueError: when the bytes are not a valid frame.
        """
        head = await self._read(codec.LENGTH_PREFIX_BYTES)
        if head is None:
            return None
        length = int.from_bytes(head, "big")
        if length > codec.MAX_FRAME_BYTES:
            raise ValueError(f"frame of {length} bytes exceeds the limit")
        payload = await self._read(length)
        if payload is None:
            return None
        try:
            correlation_id, is_reply, body = msgpack.unpackb(payload)
        except Exception as error:
            raise ValueError("frame is not msgpack") from error
        valid = isinstance(correlation_id, int) and isinstance(is_reply, bool)
        if not valid or not isinstance(body, bytes):
            raise ValueError("frame has fields of a wrong type")
        return correlation_id, is_reply, body

    async def _read(self, count: int) -> bytes | None:
        while len(self._buffer) < count:
            chunk = await self._stream.receive_some(65536)
            if not chunk:
                return None
            self._buffer += chunk
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return data

    async def aclose(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self._stream)


async def serve_peers(
    address: Address,
    hello: Hello,
    handler: Handler,
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept peer connections until cancelled.

    :param address: where to listen; port 0 picks a free port.
    :param hello: handshake message of this process.
    :param handler: takes the peer's id and a message; returns the reply or ``None``.
    :param task_status: reports the port once the socket listens.
    :raises OSError: when the address cannot be bound.
    """
    listeners = await trio.open_tcp_listeners(address.port, host=address.host)

    async def serve_one(stream: trio.SocketStream) -> None:
        await _serve_connection(FrameStream(stream), hello, handler)

    async with trio.open_nursery() as nursery:
        await nursery.start(trio.serve_listeners, serve_one, listeners)
        task_status.started(listeners[0].socket.getsockname()[1])


async def _serve_connection(frames: FrameStream, hello: Hello, handler: Handler) -> None:
    try:
        peer_id = await _accept(frames, hello)
        if peer_id is not None:
            await _serve_peer(frames, handler, peer_id)
    except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as group:
        log_debug("peer_connection_lost", reason=repr(group.exceptions[0]))
    except* (ValueError, trio.TooSlowError) as group:
        reason = str(group.exceptions[0]) or "handshake timed out"
        log_warning("peer_protocol_violation", reason=reason)
    except* Exception as group:
        log_error("peer_connection_failed", reason=repr(group.exceptions))
    finally:
        await frames.aclose()


async def _accept(frames: FrameStream, hello: Hello) -> str | None:
    with trio.fail_after(HANDSHAKE_TIMEOUT_S):
        accepted = _check_hello(await frames.receive(), hello)
        reply = hello if accepted.is_ok() else refusal(accepted.unwrap_err())
        await frames.send(_ONE_WAY_ID, True, codec.encode(reply))
    if accepted.is_err():
        log_warning("peer_refused", reason=accepted.unwrap_err().message)
    return accepted.ok()


async def _serve_peer(frames: FrameStream, handler: Handler, peer_id: str) -> None:
    async with trio.open_nursery() as nursery:
        while (frame := await frames.receive()) is not None:
            nursery.start_soon(_answer, frames, handler, peer_id, frame)
        nursery.cancel_scope.cancel()


async def _answer(
    frames: FrameStream, handler: Handler, peer_id: str, frame: tuple[int, bool, bytes]
) -> None:
    correlation_id, _, body = frame
    decoded = codec.decode(body)
    reply = refusal(decoded.unwrap_err()) if decoded.is_err() else None
    if decoded.is_ok():
        reply = await _handle(handler, peer_id, decoded.unwrap())
    if correlation_id != _ONE_WAY_ID:
        if reply is None:
            reply = Refused(ErrorKind.PROTOCOL_VIOLATION.value, "message type has no reply")
        await frames.send(correlation_id, True, codec.encode(reply))


async def _handle(handler: Handler, peer_id: str, message: Any) -> Any | None:
    """Return the handler's reply; a defect met by one message ends neither the connection nor the
    process."""
    try:
        return await handler(peer_id, message)
    except Exception as error:
        name = type(message).__name__
        STATISTICS.failed_messages[name] += 1
        log_error(
            "peer_message_failed",
            peer=peer_id,
            type=name,
            count=STATISTICS.failed_messages[name],
            reason=repr(error),
            at=place_of(error),
        )
        return refusal(Failure(ErrorKind.INTERNAL, f"a defect was met by this {name}"))


def _check_hello(frame: tuple[int, bool, bytes] | None, own: Hello) -> Result[str, Failure]:
    if frame is None:
        return Err(
            Failure(ErrorKind.PROTOCOL_VIOLATION, "peer closed the connection before the handshake")
        )
    decoded = codec.decode(frame[2])
    if decoded.is_err() or not isinstance(decoded.unwrap(), Hello):
        return Err(Failure(ErrorKind.PROTOCOL_VIOLATION, "first message is not a Hello"))
    peer_hello: Hello = decoded.unwrap()
    if peer_hello.protocol_version != own.protocol_version:
        text = (
            f"peer uses protocol version {peer_hello.protocol_version}, not {own.protocol_version}"
        )
        return Err(Failure(ErrorKind.PROTOCOL_MISMATCH, text, "protocol_version"))
    if peer_hello.cluster_id != own.cluster_id:
        text = f"peer belongs to cluster {peer_hello.cluster_id!r}, not {own.cluster_id!r}"
        return Err(Failure(ErrorKind.PROTOCOL_MISMATCH, text, "cluster_id"))
    return Ok(peer_hello.sender_id)


def refusal(failure: Failure) -> Refused:
    """Return the message that reports a failure to a peer."""
    return Refused(failure.kind.value, failure.message, failure.field)


@attrs.define
class _Pending:
    event: trio.Event = attrs.field(factory=trio.Event)
    reply: Any = None


class PeerClient:
    """Keep one connection to a peer, reconnecting on demand.

    :meth:`run` must be running in a nursery; calls wait for the connection.
    """

    def __init__(self, address: Address, hello: Hello) -> None:
        """Create a client without connecting.

        :param address: the peer's listening address.
        :param hello: handshake message of this process.
        """
        self.address = address
        self._hello = hello
        self._ids = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._send_queue, self._receive_queue = trio.open_memory_channel[tuple[int, bytes]](
            _MAX_QUEUED_FRAMES
        )
        self._queued_bytes = 0

    async def run(self) -> None:
        """Connect once a message is queued, then send and dispatch replies, until cancelled."""
        while True:
            correlation_id, body = await self._next_frame()
            opened = await self._open()
            if opened.is_err():
                # Queued messages would be out of date once the peer is reachable again.
                self._drop_queued()
                self._fail_all(opened.unwrap_err())
                continue
            frames = opened.unwrap()
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._read_replies, frames, nursery.cancel_scope)
                    while True:
                        await frames.send(correlation_id, False, body)
                        correlation_id, body = await self._next_frame()
            except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError, ValueError):
                pass
            finally:
                await frames.aclose()
            # The peer may have handled messages that were sent, so their outcome is unknown.
            self._fail_all(Failure(ErrorKind.PEER_TIMEOUT, f"lost connection to {self.address}"))

    async def call(self, message: Any, timeout_ms: float) -> Result[Any, Failure]:
        """Send a message and wait for its reply.

        :param message: a registered message.
        :param timeout_ms: longest wait, in milliseconds.
        :return: the reply; ``peer_unreachable`` when nothing was sent; ``peer_timeout`` when the
            outcome is unknown; or the failure that the peer reported.
        """
        correlation_id = next(self._ids)
        pending = self._pending[correlation_id] = _Pending()
        try:
            with trio.move_on_after(timeout_ms / 1000.0):
                body = codec.encode(message)
                self._queued_bytes += len(body)
                try:
                    await self._send_queue.send((correlation_id, body))
                except trio.Cancelled:
                    self._queued_bytes -= len(body)
                    raise
                await pending.event.wait()
        finally:
            del self._pending[correlation_id]
        if not pending.event.is_set():
            return Err(Failure(ErrorKind.PEER_TIMEOUT, f"no reply from {self.address}"))
        if isinstance(pending.reply, Failure):
            return Err(pending.reply)
        if isinstance(pending.reply, Refused):
            reply = pending.reply
            return Err(Failure(ErrorKind(reply.kind), reply.message, reply.field))
        return Ok(pending.reply)

    def send(self, message: Any) -> None:
        """Queue a one-way message; it is dropped when the queue is full or the peer unreachable."""
        self.send_encoded(codec.encode(message))

    def send_encoded(self, body: bytes) -> None:
        """Queue the encoded form of a one-way message, like :meth:`send`."""
        if self._queued_bytes and self._queued_bytes + len(body) > MAX_QUEUED_BYTES:
            self._log_dropped(body)
            return
        try:
            self._send_queue.send_nowait((_ONE_WAY_ID, body))
        except trio.WouldBlock:
            self._log_dropped(body)
            return
        self._queued_bytes += len(body)

    def _log_dropped(self, body: bytes) -> None:
        log_limited(
            "peer_message_dropped",
            is_routine=True,
            peer=self.address,
            bytes=len(body),
            queued_bytes=self._queued_bytes,
        )

    async def _next_frame(self) -> tuple[int, bytes]:
        correlation_id, body = await self._receive_queue.receive()
        self._queued_bytes -= len(body)
        return correlation_id, body

    def _drop_queued(self) -> None:
        while True:
            try:
                _, body = self._receive_queue.receive_nowait()
            except trio.WouldBlock:
                return
            self._queued_bytes -= len(body)

    async def _open(self) -> Result[FrameStream, Failure]:
        unreachable = Failure(ErrorKind.PEER_UNREACHABLE, f"cannot connect to {self.address}")
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(self.address.host, self.address.port)
        except (OSError, trio.TooSlowError):
            return Err(unreachable)
        frames = FrameStream(stream)
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                await frames.send(_ONE_WAY_ID, False, codec.encode(self._hello))
                first = await frames.receive()
        except (OSError, trio.BrokenResourceError, trio.TooSlowError, ValueError):
            await frames.aclose()
            return Err(unreachable)
        decoded = codec.decode(first[2]) if first else Err(unreachable)
        if decoded.is_ok() and isinstance(decoded.unwrap(), Hello):
            return Ok(frames)
        await frames.aclose()
        if decoded.is_ok() and isinstance(decoded.unwrap(), Refused):
            refused: Refused = decoded.unwrap()
            log_warning("peer_refused_us", peer=self.address, reason=refused.message)
            return Err(Failure(ErrorKind(refused.kind), refused.message, refused.field))
        return Err(unreachable)

    async def _read_replies(self, frames: FrameStream, scope: trio.CancelScope) -> None:
        while (frame := await frames.receive()) is not None:
            correlation_id, _, body = frame
            pending = self._pending.get(correlation_id)
            if pending is not None:  # a late reply to a call that timed out is dropped
                pending.reply = codec.decode(body).unwrap_or_else(lambda failure: failure)
                pending.event.set()
        scope.cancel()

    def _fail_all(self, failure: Failure) -> None:
        for pending in self._pending.values():
            pending.reply = failure
            pending.event.set()
