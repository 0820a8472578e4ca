"""Send calls and messages to a peer over one connection, which is replaced when it fails."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import TYPE_CHECKING, Any

import attrs
import trio
from result import Err, Ok, Result

from briardyke.clock import now_ms
from briardyke.errors import ErrorKind, Failure
from briardyke.logs import log_debug, log_limited, log_warning
from briardyke.wire import codec
from briardyke.wire.connection import Hello, Refused
from briardyke.wire.frames import ONE_WAY_ID, PROBE, FrameStream
from briardyke.wire.liveness import MAX_LATENESS_MS, PROBE_AFTER_MS, Liveness, Patience
from briardyke.wire.statistics import STATISTICS

if TYPE_CHECKING:
    from briardyke.addresses import Address

CONNECT_TIMEOUT_S = 1.0
# A peer that accepts connections and says nothing must not hold up messages for the time in which
# a change of the configuration has to be in force.
CLIENT_HANDSHAKE_TIMEOUT_S = 1.5
# Shorter than the time after which the server closes, so that no call meets a closed connection.
CLIENT_IDLE_TIMEOUT_S = 15.0
_MAX_QUEUED_FRAMES = 1024
# Limit of messages queued for one peer. Members of a consensus group keep sending whole
# configurations, up to half a megabyte each, several times a second to a peer that reads nothing.
MAX_QUEUED_BYTES = 2 * 1024 * 1024

Connect = Callable[["Address"], Awaitable[trio.abc.Stream]]


async def _connect(address: Address) -> trio.abc.Stream:
    return await trio.open_tcp_stream(address.host, address.port)


class _End(Enum):
    """List why a connection ends."""

    GONE = "gone"
    SILENT = "silent"
    IDLE = "idle"


@attrs.define
class _Pending:
    event: trio.Event = attrs.field(factory=trio.Event)
    is_sent: bool = False
    reply: Any = None


@attrs.define
class _Link:
    """One connection while it is in use."""

    frames: FrameStream
    liveness: Liveness
    end: _End = _End.GONE
    changed: trio.Event = attrs.field(factory=trio.Event)


class PeerClient:
    """Keep one connection to a peer, reconnecting on demand.

    :meth:`run` must be running in a nursery; calls wait for the connection.
    """

    def __init__(
        self,
        address: Address,
        hello: Hello,
        *,
        on_silent: Callable[[], None] = lambda: None,
        connect: Connect = _connect,
    ) -> None:
        """Create a client without connecting.

        :param address: the peer's listening address.
        :param hello: handshake message of this process.
        :param on_silent: called when the connection has been found silent.
        :param connect: opens a stream.
        """
        self.address = address
        self._hello = hello
        self._on_silent = on_silent
        self._connect = connect
        self._patience = Patience()
        self._link: _Link | None = None
        self._ids = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._send_queue, self._receive_queue = trio.open_memory_channel[tuple[int, bytes]](
            _MAX_QUEUED_FRAMES
        )
        self._queued_bytes = 0

    async def run(self) -> None:
        """Connect once a message is queued, then send and dispatch replies, until cancelled."""
        while True:
            frame = await self._next_frame()
            opened = await self._open()
            if opened.is_err():
                # Queued messages would be out of date once the peer is reachable again.
                self._drop_queued()
                self._fail_all(opened.unwrap_err())
                continue
            link = self._link = _Link(opened.unwrap(), Liveness(self._patience))
            try:
                await self._use(link, frame)
            except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError, ValueError):
                pass
            finally:
                self._link = None
                await link.frames.aclose()
            self._record_end(link)

    async def _use(self, link: _Link, frame: tuple[int, bytes]) -> None:
        link.frames.on_received = lambda: self._record_received(link)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_replies, link.frames, nursery.cancel_scope)
            nursery.start_soon(self._watch, link, nursery)
            while True:
                correlation_id, body = frame
                if correlation_id in self._pending:
                    self._pending[correlation_id].is_sent = True
                self._record_sent(link, len(body))
                await link.frames.send(correlation_id, False, body)
                following = await self._next_frame_until_idle()
                if following is None:
                    link.end = _End.IDLE
                    nursery.cancel_scope.cancel()
                    return
                frame = following

    async def _watch(self, link: _Link, nursery: trio.Nursery) -> None:
        """Probe the connection while something is unanswered; end it once it is silent."""
        while True:
            due_ms = link.liveness.check_at_ms(now_ms())
            link.changed = trio.Event()
            with trio.move_on_at(float("inf") if due_ms is None else due_ms / 1000.0):
                await link.changed.wait()
                continue
            now = max(now_ms(), due_ms or 0.0)  # seconds and milliseconds round differently
            lateness_ms = now - (due_ms or now)
            if lateness_ms > MAX_LATENESS_MS and link.liveness.excuse(lateness_ms):
                continue
            if link.liveness.needs_probe(now):
                self._send_probe(link, nursery)
            elif link.liveness.is_silent(now):
                link.end = _End.SILENT
                nursery.cancel_scope.cancel()
                return

    def _send_probe(self, link: _Link, nursery: trio.Nursery) -> None:
        link.liveness.record_probe(now_ms())
        # The answer is any byte, so nobody waits for this reply.
        nursery.start_soon(link.frames.send, next(self._ids), False, PROBE)

    def probe(self) -> None:
        """Find out soon whether the connection, if there is one, is silent."""
        if self._link is not None:
            self._record_sent(self._link, 0)

    def _record_sent(self, link: _Link, size_bytes: int) -> None:
        was_watched = link.liveness.is_watched
        link.liveness.record_sent(size_bytes, now_ms())
        if not was_watched:
            link.changed.set()

    def _record_received(self, link: _Link) -> None:
        delay_ms = link.liveness.record_received(now_ms())
        if delay_ms >= PROBE_AFTER_MS:
            STATISTICS.slow_answers += 1
            log_limited(
                "peer_slow", is_routine=True, peer=self.address, answered_ms=round(delay_ms)
            )

    def _record_end(self, link: _Link) -> None:
        STATISTICS.ended_connections[link.end.value] += 1
        unanswered_ms = round(link.liveness.unanswered_ms(now_ms()))
        if link.end is _End.IDLE:
            log_debug("peer_connection_idle", peer=self.address)
        else:
            log_limited(
                "peer_connection_ended",
                is_routine=link.end is _End.GONE,
                peer=self.address,
                reason=link.end.value,
                unanswered_ms=unanswered_ms,
                calls=len(self._pending),
            )
        # The peer may have handled messages that were sent, so their outcome is unknown. Those
        # that are still queued are sent on the next connection.
        if link.end is not _End.SILENT:
            self._fail_sent(Failure(ErrorKind.PEER_TIMEOUT, f"lost connection to {self.address}"))
            return
        self._patience.record_silence()
        text = f"connection to {self.address} was silent for {unanswered_ms} ms"
        self._fail_sent(Failure(ErrorKind.PEER_SILENT, text))
        self._on_silent()

    async def call(
        self, message: Any, timeout_ms: float, *, is_repeatable: bool = False
    ) -> Result[Any, Failure]:
        """Send a message and wait for its reply.

        :param message: a registered message.
        :param timeout_ms: longest wait, in milliseconds.
        :param is_repeatable: whether to send the message once more, with the same time-out, when
            its connection has turned out to be silent.
        :return: the reply; ``peer_unreachable`` when nothing was sent; ``peer_timeout`` or
            ``peer_silent`` when the outcome is unknown; or the failure that the peer reported.
        """
        body = codec.encode(message)
        result = await self._call_once(body, timeout_ms)
        is_silent = result.is_err() and result.unwrap_err().kind is ErrorKind.PEER_SILENT
        if is_silent and is_repeatable:
            return await self._call_once(body, timeout_ms)
        return result

    async def _call_once(self, body: bytes, timeout_ms: float) -> Result[Any, Failure]:
        correlation_id = next(self._ids)
        pending = self._pending[correlation_id] = _Pending()
        try:
            with trio.move_on_after(timeout_ms / 1000.0):
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
            self.probe()
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
            self._send_queue.send_nowait((ONE_WAY_ID, body))
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

    async def _next_frame_until_idle(self) -> tuple[int, bytes] | None:
        """Return the next frame, or ``None`` when there is none for long and no call waits."""
        while True:
            with trio.move_on_after(CLIENT_IDLE_TIMEOUT_S):
                return await self._next_frame()
            if not self._pending:
                return None

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
                stream = await self._connect(self.address)
        except (OSError, trio.TooSlowError):
            return Err(unreachable)
        frames = FrameStream(stream)
        try:
            with trio.fail_after(CLIENT_HANDSHAKE_TIMEOUT_S):
                await frames.send(ONE_WAY_ID, False, codec.encode(self._hello))
                first = await frames.receive()
        except trio.TooSlowError:
            await frames.aclose()
            STATISTICS.ended_connections["handshake"] += 1
            log_limited("peer_handshake_timed_out", is_routine=False, peer=self.address)
            return Err(unreachable)
        except (OSError, trio.BrokenResourceError, ValueError):
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

    def _fail_sent(self, failure: Failure) -> None:
        for pending in self._pending.values():
            if pending.is_sent:
                pending.reply = failure
                pending.event.set()

    def _fail_all(self, failure: Failure) -> None:
        for pending in self._pending.values():
            pending.reply = failure
            pending.event.set()
