"""Tests of the product's own request path against clients that nobody controls."""

from __future__ import annotations

import functools
import os
import subprocess
import sys
from typing import TYPE_CHECKING

import hostile_crowd as crowd
import pytest
import trio
from hostile_crowd import Target, Watched
from platform_cluster import LOOPBACK, ROOT, call

from briardyke.addresses import Address
from briardyke.http.h11_client import UpstreamError

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable, Iterator, Sequence
    from pathlib import Path

    Play = Callable[[Target], AsyncGenerator[bytes, None]]

MEMORY_MB = 128
BODY_BYTES = 1024 * 1024
SPARE_DESCRIPTORS = 160
STAY_S = 8.0
ANSWER_WITHIN_S = 30.0
ENTRY = Address(f"{LOOPBACK}.250.1", 8149)

BODIES: Sequence[Play] = (crowd.body_short_of_end,) * 56 + (crowd.body_in_pieces,) * 56
CHUNKS: Sequence[Play] = (crowd.chunks_short_of_end,) * 96 + (crowd.one_byte_chunks,) * 16
OVER_LIMIT: Sequence[Play] = (crowd.announced_over_limit,) * 32 + (crowd.sent_over_limit,) * 48
SLOW: Sequence[Play] = (crowd.slow_head,) * 64 + (crowd.idle,) * 128


@pytest.fixture
def entry(tmp_path: Path) -> Iterator[subprocess.Popen[bytes]]:
    """Start an entry process without control processes; it reads bodies before it refuses."""
    kept = {k: v for k, v in os.environ.items() if not k.startswith("BRIARDYKE_")}
    flags = ["--instance-id", "entry-1", "--data-centre", "dc-1", "--listen", str(ENTRY)]
    flags += ["--control-addresses", f"{LOOPBACK}.250.2:7380"]
    flags += ["--body-limit-bytes", str(BODY_BYTES), "--memory-mb", str(MEMORY_MB)]
    with (tmp_path / "entry.log").open("ab") as log:
        process = subprocess.Popen(
            [sys.executable, "-c", "from briardyke.entry.main import run; run()", *flags],
            env={**kept, "PYTHONPATH": str(ROOT / "src")},
            stdout=log,
            stderr=log,
        )
    yield process
    process.kill()
    process.wait()


async def _is_answered() -> bool:
    with trio.move_on_after(ANSWER_WITHIN_S):
        while True:
            try:
                if (await call(ENTRY, "GET", "/health", {})).status == 200:
                    return True
            except (OSError, UpstreamError):
                pass
            await trio.sleep(0.2)
    return False


class TestEntryProcess:
    """Covers crowds at the address for callers of the product's own path."""

    @pytest.mark.parametrize(
        "plays",
        [
            pytest.param(BODIES, id="bodies"),
            pytest.param((*BODIES, *CHUNKS, *OVER_LIMIT, *SLOW), id="all"),
        ],
    )
    async def test_callers(self, entry: subprocess.Popen[bytes], plays: Sequence[Play]) -> None:
        assert await _is_answered()
        watched = Watched(entry.pid, [ENTRY])
        at_rest_mb = watched.peak_mb()
        target = Target(ENTRY, "POST", "/v1/chat/completions", BODY_BYTES)
        async with trio.open_nursery() as sampling:
            sampling.start_soon(watched.sample)
            with trio.move_on_after(STAY_S):
                async with trio.open_nursery() as nursery:
                    for play in plays:
                        parts = functools.partial(play, target)
                        nursery.start_soon(crowd.play, ENTRY, parts, trio.sleep_forever)
            sampling.cancel_scope.cancel()
        answered = await _is_answered()
        figures = {
            "at_rest_mb": round(at_rest_mb),
            "peak_mb": round(watched.peak_mb()),
            "peak_with_kernel_mb": round(watched.peak_with_kernel_mb),
            "peak_descriptors": watched.peak_descriptors,
            "answered": answered,
        }
        print("entry", figures)
        assert entry.poll() is None, figures
        assert answered, figures
        assert watched.peak_mb() < MEMORY_MB, figures
        assert watched.peak_descriptors < len(plays) + SPARE_DESCRIPTORS, figures
