"""Attempts against a scripted response, on a clock that jumps."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import trio
from relay_support import FakeBudget, FakeTable, model_job

from briardyke.entry.relay_attempts import ModelAttempts
from briardyke.entry.relay_jobs import RelayPolicy
from briardyke.http.sse import DONE, ServerSentEvent
from briardyke.settings import Address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from briardyke.entry.reassembly import Piece


class _LateClient:
    """Deliver the end of a response just after the longest silence, as a busy process sees it."""

    status = 200

    @asynccontextmanager
    async def open(self, *_: Any, headers: dict[str, str], **__: Any) -> AsyncIterator[Any]:
        self.attempt_id = headers["x-attempt-id"]
        yield self

    def pace_reads(self, interval_ms: float) -> None:
        pass

    async def chunks(self) -> AsyncIterator[bytes]:
        yield self._event("one ", None)
        with trio.CancelScope(shield=True):
            await trio.sleep(2)
        yield self._event("", "stop") + ServerSentEvent(DONE).encode()

    def _event(self, text: str, reason: str | None) -> bytes:
        choice = {"delta": {"content": text}, "finish_reason": reason}
        data = json.dumps({"id": self.attempt_id, "choices": [choice]})
        return ServerSentEvent(data, id="1").encode()


class _Sink:
    def __init__(self) -> None:
        self.texts: list[str] = []

    def put(self, piece: Piece) -> None:
        self.texts.append(piece.text)

    async def wait_for_room(self) -> None:
        pass


class TestDeadline:
    async def test_end_that_arrives_with_the_deadline_completes(self, autojump_clock: Any) -> None:
        """Guards against a second final event from a retry of a complete response."""
        table = FakeTable({"e1": Address("127.0.0.1", 1), "e2": Address("127.0.0.1", 2)})
        attempts = ModelAttempts(
            table, _LateClient(), FakeBudget(), RelayPolicy(idle_timeout_ms=1500)  # type: ignore
        )
        sink = _Sink()
        assert await attempts.run(model_job(), sink) is None
        assert sink.texts == ["one ", ""]
        assert len(table.outcomes) == 1
