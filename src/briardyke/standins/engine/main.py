"""Start the engine stand-in as a process."""

from __future__ import annotations

from briardyke.settings import settings_command
from briardyke.standins.engine.server import run_engine
from briardyke.standins.engine.settings import EngineSettings
from briardyke.standins.process import run_process


def _run(settings: EngineSettings) -> int:
    return run_process(run_engine, settings, "briardyke-engine")


run = settings_command(EngineSettings, "briardyke-engine", _run)
