"""Start the service stand-in as a process."""

from __future__ import annotations

from briardyke.settings import settings_command
from briardyke.standins.process import run_process
from briardyke.standins.service.server import run_service
from briardyke.standins.service.settings import ServiceSettings


def _run(settings: ServiceSettings) -> int:
    return run_process(run_service, settings, "briardyke-service")


run = settings_command(ServiceSettings, "briardyke-service", _run)
