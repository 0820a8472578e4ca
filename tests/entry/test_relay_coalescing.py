"""Test how the relay joins tokens into writes, on an autojump clock."""

from __future__ import annotations

from typing import Any

import pytest
import trio
from relay_support import model_job

from briardyke.entry.reassembly import CallerEvent
from briardyke.entry.relay import RelayStream
from briardyke.entry.relay_jobs import RelayPolicy


class _ScriptedAttempts:
    """Deliver a token at a fixed interval."""

    def __init__(self, tokens: int, interval_s: float) -> None:
        self._tokens, self._interval_s = tokens, interval_s
        self.put_at: list[float] = []

    async def run(self, job: Any, sink: Any) -> None:
        for number in range(self._tokens):
            await trio.sleep(self._interval_s)
            sink.put(CallerEvent("{}", number + 1))
            self.put_at.append(trio.current_time())
            await sink.wait_for_room()


async def _writes(tokens: int, interval_s: float, **policy: Any) -> list[tuple[float, int]]:
    attempts = _ScriptedAttempts(tokens, interval_s)
    async with trio.open_nursery() as nursery:
        begin = trio.current_time()
        stream = RelayStream(model_job(), attempts, RelayPolicy(**policy), nursery)  # type: ignore
        return [
            (round(1000 * (trio.current_time() - begin)), chunk.count(b"data: {"))
            async for chunk in stream
        ]
    raise AssertionError


class TestCoalescing:
    @pytest.mark.parametrize(
        ("coalesce_ms", "expected"),
        [
            (0.0, [(6, 1), (12, 1), (18, 1), (24, 1), (30, 1), (36, 1), (42, 1), (48, 1)]),
            (20.0, [(6, 1), (26, 3), (46, 3), (48, 1)]),
            (1000.0, [(6, 1), (48, 7)]),
        ],
    )
    async def test_first_token_is_written_at_once_and_later_ones_are_joined(
        self, autojump_clock: Any, coalesce_ms: float, expected: list[tuple[int, int]]
    ) -> None:
        """Guards against one write per token, and against a delay of the first token or the end."""
        writes = await _writes(8, 0.006, coalesce_ms=coalesce_ms)
        assert [write for write in writes if write[1]] == expected

    async def test_slow_tokens_are_not_delayed(self, autojump_clock: Any) -> None:
        """Guards against delaying a token that arrives after the coalescing time."""
        writes = await _writes(3, 0.064, coalesce_ms=20.0)
        assert [write for write in writes if write[1]] == [(64, 1), (128, 1), (192, 1)]

    async def test_slow_caller_pauses_the_upstream(self, autojump_clock: Any) -> None:
        """Guards against unbounded buffers for slow callers."""
        attempts = _ScriptedAttempts(1000, 0.001)
        async with trio.open_nursery() as nursery:
            policy = RelayPolicy(buffer_limit_bytes=200)
            stream = RelayStream(model_job(), attempts, policy, nursery)  # type: ignore
            await anext(stream)
            await trio.sleep(10)
            assert len(attempts.put_at) < 50
            await stream.aclose()
