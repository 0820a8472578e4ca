"""Accept connections of other processes and answer their calls."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import attrs
import trio
from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure
from briardyke.logs import log_debug, log_error, log_limited, log_warning, place_of
from briardyke.wire import codec
from briardyke.wire.frames import ONE_WAY_ID, PROBE, FrameStream
from briardyke.wire.statistics import STATISTICS

if TYPE_CHECKING:
    from briardyke.addresses import Address

PROTOCOL_VERSION = 1
HANDSHAKE_TIMEOUT_S = 3.0
# A caller that has gone silent sends nothing any more. Callers that rest close their connections
# sooner.
SERVER_IDLE_TIMEOUT_S = 40.0

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
        await serve_connection(FrameStream(stream), hello, handler)

    async with trio.open_nursery() as nursery:
        await nursery.start(trio.serve_listeners, serve_one, listeners)
        task_status.started(listeners[0].socket.getsockname()[1])


async def serve_connection(frames: FrameStream, hello: Hello, handler: Handler) -> None:
    """Serve one accepted connection until either side ends it.

    :param frames: the connection; it is closed in the end.
    :param hello: handshake message of this process.
    :param handler: takes the peer's id and a message; returns the reply or ``None``.
    """
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
        await frames.send(ONE_WAY_ID, True, codec.encode(reply))
    if accepted.is_err():
        log_warning("peer_refused", reason=accepted.unwrap_err().message)
    return accepted.ok()


async def _serve_peer(frames: FrameStream, handler: Handler, peer_id: str) -> None:
    with trio.move_on_after(SERVER_IDLE_TIMEOUT_S) as scope:

        def extend() -> None:
            scope.deadline = trio.current_time() + SERVER_IDLE_TIMEOUT_S

        frames.on_received = extend
        async with trio.open_nursery() as nursery:
            while (frame := await frames.receive()) is not None:
                nursery.start_soon(_answer, frames, handler, peer_id, frame)
            nursery.cancel_scope.cancel()
    if scope.cancelled_caught:
        STATISTICS.ended_connections["caller_silent"] += 1
        log_limited("peer_caller_silent", is_routine=False, peer=peer_id)


async def _answer(
    frames: FrameStream, handler: Handler, peer_id: str, frame: tuple[int, bool, bytes]
) -> None:
    correlation_id, _, body = frame
    if body == PROBE:
        await frames.send(correlation_id, True, PROBE)
        return
    decoded = codec.decode(body)
    reply = refusal(decoded.unwrap_err()) if decoded.is_err() else None
    if decoded.is_ok():
        reply = await _handle(handler, peer_id, decoded.unwrap())
    if correlation_id != ONE_WAY_ID:
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
