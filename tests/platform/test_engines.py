"""Tests of orders to engines whose answers come late, twice, or after a permission has run out."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
import trio

from briardyke.fleet.records import READY, Upstream
from briardyke.models.orders import EngineOrder, OrderOutcome
from briardyke.platform.engines import PlatformEngines

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ORDER = EngineOrder(True, "m", "", 4, "control-1", 7)


class Engine:
    """Answer calls with what a test gives, one list of parts for each call."""

    def __init__(self) -> None:
        self.calls: list[bytes] = []
        self.connections = 0
        self.answers: list[list[bytes]] = []
        self.row = Upstream("e", 1, 1, "s", "", "dc", READY)

    async def serve(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.row = Upstream("e", 1, 1, "s", f"127.0.0.1:{port}", "dc", READY)
        task_status.started()
        await trio.serve_listeners(self._connection, listeners)

    async def _connection(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        async with stream:
            while data := await stream.receive_some():
                while self._is_partial(data):
                    data += await stream.receive_some()
                self.calls.append(data)
                call_id = data.lower().partition(b"request-id: ")[2].split(b"\r\n")[0]
                for part in self.answers.pop(0):
                    await stream.send_all(part.replace(b"%s", call_id))
                    await trio.sleep(0.02)

    @staticmethod
    def _is_partial(data: bytes) -> bool:
        head, _, body = data.partition(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
        return len(body) < int(length or 0)


def answer(status: int, call_id: bytes = b"%s", body: bytes = b"") -> bytes:
    """Return an answer that names its call unless the id is empty."""
    name = b"Request-Id: " + call_id + b"\r\n" if call_id else b""
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n" % (status, name, len(body)) + body


@pytest.fixture
async def engine() -> AsyncIterator[Engine]:
    async with trio.open_nursery() as nursery:
        found = Engine()
        await nursery.start(found.serve)
        yield found
        nursery.cancel_scope.cancel()


class TestLateCopies:
    """Covers answers that come a second time on a connection that is in use again."""

    async def test_copy_of_an_earlier_answer_is_passed_over(self, engine: Engine) -> None:
        engines = PlatformEngines()
        engine.answers = [[answer(202)], [answer(202, b"call-before") + answer(409)]]
        assert await engines.send_order(engine.row, ORDER, lambda: True) is OrderOutcome.ACCEPTED
        assert await engines.send_order(engine.row, ORDER, lambda: True) is OrderOutcome.CONFLICT
        assert engine.connections == 1

    async def test_answer_that_names_no_call_ends_its_connection(self, engine: Engine) -> None:
        engines = PlatformEngines()
        engine.answers = [[answer(202, b"")], [answer(409, b"")]]
        assert await engines.send_order(engine.row, ORDER, lambda: True) is OrderOutcome.ACCEPTED
        assert await engines.send_order(engine.row, ORDER, lambda: True) is OrderOutcome.CONFLICT
        assert engine.connections == 2

    async def test_report_is_read(self, engine: Engine) -> None:
        report = {"sequence": 3, "models": [{"name": "m", "adapters": []}], "busy": False}
        engine.answers = [[answer(200, body=json.dumps(report).encode())]]
        found = await PlatformEngines().fetch_report(engine.row)
        assert found is not None and (found.sequence, found.models) == (3, {"m": []})


class TestPermission:
    """Covers a leader that was paused between its decision and the order."""

    async def test_order_is_not_sent_after_the_permission_has_run_out(self, engine: Engine) -> None:
        asked = []

        def may_send() -> bool:
            asked.append(engine.connections)
            return False

        outcome = await PlatformEngines().send_order(engine.row, ORDER, may_send)
        assert outcome is OrderOutcome.REFUSED
        assert len(asked) == 1
        await trio.sleep(0.05)
        assert engine.calls == []
