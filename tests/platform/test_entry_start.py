"""Tests for what an entry instance loads at its start."""

from __future__ import annotations

import subprocess
import sys

# Each of them takes a tenth of a second or more of a small instance, or several megabytes.
HEAVY = ("briardyke.consensus", "hypercorn", "httpcore", "opentelemetry", "typer", "pydantic")


class TestImports:
    """Covers hundreds of entry instances that start at the same time."""

    def test_only_what_serves_requests_is_loaded(self) -> None:
        code = "import sys, briardyke.platform.entry_main; print(*sys.modules)"
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        loaded = done.stdout.split()
        assert [name for name in loaded if name.startswith(HEAVY)] == []
