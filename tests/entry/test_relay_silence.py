"""Tests of streams whose upstream falls silent for a moment, on an autojump clock."""

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

WORDS = ("one ", "two ", "three ")


class _PausingClient:
    """Send a stream from the requested offset with a pause before each word but the first.

    :param pause_s: length of the pause.
    """

    status = 200

    def __init__(self, pause_s: float) -> None:
        self._pause_s = pause_s
        self.offsets: list[int] = []

    @asynccontextmanager
    async def open(self, *_: Any, headers: dict[str, str], **__: Any) -> AsyncIterator[Any]:
        self.offsets.append(int(headers["x-resume-offset-tokens"]))
        yield _Response(headers["x-attempt-id"], self.offsets[-1], self._pause_s)


class _Response:
    status = 200

    def __init__(self, attempt_id: str, offset: int, pause_s: float) -> None:
        self._attempt_id, self._offset, self._pause_s = attempt_id, offset, pause_s

    def pace_reads(self, interval_ms: float) -> None:
        pass

    async def chunks(self) -> AsyncIterator[bytes]:
        for offset in range(self._offset, len(WORDS)):
            if offset > self._offset:
                await trio.sleep(self._pause_s)
            yield self._event(WORDS[offset], None, offset + 1)
        yield self._event("", "stop", len(WORDS)) + ServerSentEvent(DONE).encode()
        await trio.lowlevel.checkpoint()

    def _event(self, text: str, reason: str | None, offset: int) -> bytes:
        choice = {"delta": {"content": text}, "finish_reason": reason}
        kind = {"id": self._attempt_id, "object": "chat.completion.chunk"}
        data = json.dumps({**kind, "choices": [choice]})
        return ServerSentEvent(data, id=str(offset)).encode()


class TestSilentUpstream:
    """Guards against streams that are ended at an upstream that would have gone on."""

    async def test_without_a_retry_the_stream_goes_on_at_its_upstream(
        self, autojump_clock: Any
    ) -> None:
        client = _PausingClient(pause_s=1.6)
        table = FakeTable({"e1": Address("127.0.0.1", 1), "e2": Address("127.0.0.1", 2)})
        budget = FakeBudget(retries=0)
        relay = Relay(table, client, budget, FakeClaims(), RelayPolicy())  # type: ignore[arg-type]
        answer = (await relay.complete(model_job())).unwrap()
        assert answer.body["choices"][0]["message"]["content"] == "".join(WORDS)
        # The first resumption needs no budget; another one would.
        assert client.offsets == [0, 1]

    async def test_dead_upstream_is_given_up_without_a_retry_too(self, autojump_clock: Any) -> None:
        client = _PausingClient(pause_s=1000.0)
        table = FakeTable({"e1": Address("127.0.0.1", 1), "e2": Address("127.0.0.1", 2)})
        budget = FakeBudget(retries=0)
        relay = Relay(table, client, budget, FakeClaims(), RelayPolicy())  # type: ignore[arg-type]
        started = trio.current_time()
        failure = (await relay.complete(model_job())).unwrap_err()
        assert "after 2 tokens" in failure.message
        assert trio.current_time() - started < 20.0
