"""Test that small items without an end, in any response, leave the event loop to other requests."""

from __future__ import annotations

import types
from typing import TYPE_CHECKING, Any

import h11
import pytest
import trio
from gateway_support import STREAM_HEAD, chunk, close, without_end

from briardyke.gateway.event_stream import EventSplitter
from briardyke.http.chunk_joiner import ChunkJoiner

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gateway_support import Gateway, ScriptedUpstream

# A handful of streams to one faulty upstream, as a caller's usual load brings them.
READERS = 10
# An item takes about 5 us, so this is a millisecond for one reader and five for all together.
STEP_BOUND_ITEMS, TURN_BOUND_ITEMS = 200, 1000
# A request may have no response half a second after it was due.
LATENESS_BOUND_S = 0.5
_OK = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n"
_ID = b"Request-Id: %s\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_REFUSED = b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\n"
_TWO = b"2\r\nxy\r\n" * 7168
_SMALL = b"1\r\nx\r\n" * 8192
ENDLESS = {
    "stream": ("/chat/x", STREAM_HEAD, _SMALL),
    "stream-of-two-byte-chunks": ("/chat/x", STREAM_HEAD, _TWO),
    "stream-of-long-size-lines": ("/chat/x", STREAM_HEAD, b"00000001;a=b\r\nx\r\n" * 4096),
    "stream-of-empty-events": ("/chat/x", STREAM_HEAD, chunk(b"\n" * 49152)),
    "stream-of-short-events": ("/chat/x", STREAM_HEAD, chunk(b"id: 7\n\n" * 8192)),
    "body": ("/buy/x", _OK + _ID + _CHUNKED, _SMALL),
    "body-of-two-byte-chunks": ("/buy/x", _OK + _ID + _CHUNKED, _TWO),
    "refusal": ("/buy/x", _REFUSED + _ID + _CHUNKED, _SMALL),
    "other-response": ("/buy/x", _OK + b"Request-Id: another\r\n" + _CHUNKED, _SMALL),
    "interim": ("/buy/x", b"", b"HTTP/1.1 103 Early\r\nX: y\r\n\r\n" * 2048),
    "headers": ("/buy/x", b"HTTP/1.1 103 Early\r\n", b"X: y\r\n" * 2600 + b"\r\n"),
}


class WorkCounter(trio.abc.Instrument):
    """Counts the items that readers handle in one step of a task and in one turn of the loop."""

    def __init__(self) -> None:
        self.most_in_step = self.most_in_turn = 0
        self._in_step = self._in_turn = 0

    def count(self, items: int) -> None:
        self._in_step += items
        self._in_turn += items
        self.most_in_step = max(self.most_in_step, self._in_step)
        self.most_in_turn = max(self.most_in_turn, self._in_turn)

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self._in_step = 0

    def before_io_wait(self, timeout: float) -> None:
        self._in_turn = 0


@pytest.fixture
async def work(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[WorkCounter]:
    """Count events of responses, events of streams, and chunks that are joined."""
    counter = WorkCounter()
    feed, next_chunk = EventSplitter.feed, ChunkJoiner._next_chunk

    def counting_next_chunk(joiner: ChunkJoiner, data: bytes, position: int) -> int | None:
        counter.count(1)
        return next_chunk(joiner, data, position)

    class CountingConnection(h11.Connection):
        def next_event(self) -> Any:
            event = super().next_event()
            counter.count(event is not h11.NEED_DATA)
            return event

    def counting_feed(splitter: EventSplitter, data: bytes) -> bytes:
        count = splitter.count
        try:
            return feed(splitter, data)
        finally:
            counter.count(splitter.count - count)

    counted = types.SimpleNamespace(**{name: getattr(h11, name) for name in h11.__all__})
    counted.Connection = CountingConnection
    monkeypatch.setattr("briardyke.http.h11_client.h11", counted)
    monkeypatch.setattr(EventSplitter, "feed", counting_feed)
    monkeypatch.setattr(ChunkJoiner, "_next_chunk", counting_next_chunk)
    trio.lowlevel.add_instrument(counter)
    yield counter
    trio.lowlevel.remove_instrument(counter)


async def whole(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """Send a short response and close."""
    await stream.send_all(_OK + _ID % request_id + b"Content-Length: 2\r\n\r\nok")
    await close(stream)


@pytest.mark.parametrize("kind", ENDLESS)
class TestEndlessItems:
    """Guards against a process that stands still while it reads thousands of chunks or events, one
    upstream's, so that requests to sound upstreams are answered seconds late."""

    async def _start(self, gateway: Gateway, kind: str, nursery: trio.Nursery) -> None:
        path, start, repeated = ENDLESS[kind]
        service, model = ("pool", "m") if path == "/chat/x" else ("app", "")
        await gateway.add(service, without_end(start, repeated))
        for number in range(READERS):
            nursery.start_soon(gateway.send, path, f"n-{number}", model)

    async def test_work_in_one_turn(self, gateway: Gateway, work: WorkCounter, kind: str) -> None:
        async with trio.open_nursery() as nursery:
            await self._start(gateway, kind, nursery)
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        assert 0 < work.most_in_step <= STEP_BOUND_ITEMS
        assert work.most_in_turn <= TURN_BOUND_ITEMS

    async def test_sound_requests_beside_them(self, gateway: Gateway, kind: str) -> None:
        async with trio.open_nursery() as nursery:
            await self._start(gateway, kind, nursery)
            await trio.sleep(0.1)
            gateway.state.upstreams.update({}, {})
            gateway.rows.clear()
            await gateway.add("app", whole)
            for number in range(5):
                sent_s = trio.current_time()
                reply = await gateway.send("/see/x", f"s-{number}")
                assert reply.status == 200
                assert trio.current_time() - sent_s < LATENESS_BOUND_S
            nursery.cancel_scope.cancel()
