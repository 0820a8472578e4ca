"""Test attempts with a scripted response, on an autojump clock."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import trio
from relay_support import FakeBudget, FakeClaims, FakeTable, model_job

from briardyke.addresses import Address
from briardyke.entry.relay import Relay
from briardyke.entry.relay_jobs import RelayPolicy
from briardyke.http.sse import DONE, ServerSentEvent

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class _LateClient:
    """Deliver the end of a response just after the idle timeout, as when the process is busy."""

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
        await trio.lowlevel.checkpoint()

    def _event(self, text: str, reason: str | None) -> bytes:
        choice = {"delta": {"content": text}, "finish_reason": reason}
        kind = {"id": self.attempt_id, "object": "chat.completion.chunk"}
        data = json.dumps({**kind, "choices": [choice]})
        return ServerSentEvent(data, id="1").encode()


class TestIdleTimeout:
    async def test_final_events_at_the_idle_timeout_complete_the_response(
        self, autojump_clock: Any
    ) -> None:
        """Guards against a second final event after a retry of a complete response."""
        table = FakeTable({"e1": Address("127.0.0.1", 1), "e2": Address("127.0.0.1", 2)})
        relay = Relay(table, _LateClient(), FakeBudget(), FakeClaims(), RelayPolicy())  # type: ignore
        answer = (await relay.complete(model_job())).unwrap()
        assert answer.body["choices"][0]["message"]["content"] == "one "
        assert len(table.outcomes) == 1
