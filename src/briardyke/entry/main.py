"""Provide the command line of an entry process."""

from __future__ import annotations

from functools import partial

from briardyke.allocator import return_large_blocks
from briardyke.entry.process import run_entry
from briardyke.entry.settings import EntrySettings
from briardyke.logs import configure_logs
from briardyke.runtime import run_until_signal
from briardyke.settings import settings_command


def _run(settings: EntrySettings) -> int:
    configure_logs(settings.log_level)
    if settings.memory_mb > 0:
        return_large_blocks()
    return run_until_signal(partial(run_entry, settings))


run = settings_command(EntrySettings, "briardyke-entry", _run)
