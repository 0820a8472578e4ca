"""Keep the software versions of services up to date and on disk."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from briardyke.fleet.soft_state_file import SoftStateFile
from briardyke.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from briardyke.fleet.control import ControlInstance

TICK_MS = 1000.0
_FILE = "software-versions"


class ServiceVersionsRunner:
    """Observe the versions of live upstreams, and store changes.

    After a restart of all control instances, those of upstreams that left before are known only
    from disk.
    """

    def __init__(
        self,
        control: ControlInstance,
        directory: Path,
        run_blocking: Callable[..., Awaitable[Any]] = trio.to_thread.run_sync,
    ) -> None:
        """Load the stored versions; :meth:`run` starts the runner.

        :param control: this control instance.
        :param directory: directory for durable files.
        :param run_blocking: runs a blocking function outside the event loop.
        """
        self._control = control
        self._versions = control.rows.versions
        self._file = SoftStateFile(directory / _FILE, dict[str, list[str]], run_blocking)
        self._saved: dict[str, list[str]] = self._file.load() or {}
        # The time since they were last seen is not known, so they count for their full time again.
        for service, versions in self._saved.items():
            for version in versions:
                self._versions.observe(service, version)

    async def run(self) -> None:
        """Observe and store versions until cancelled."""
        while True:
            for row in self._control.live_upstreams():
                self._versions.observe(row.service, row.software_version)
            self._versions.forget_old()
            held = self._versions.by_service()
            if held != self._saved:
                log_event("software_versions_changed", before=self._saved, held=held)
                if await self._file.save(held):
                    self._saved = held
            await trio.sleep(TICK_MS / 1000.0)
