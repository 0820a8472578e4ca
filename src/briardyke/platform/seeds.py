"""Follow the settings file, whose seeds may change while a process runs."""

from __future__ import annotations

import os
import signal
from typing import TYPE_CHECKING

import trio

from briardyke.logs import log_event, log_warning
from briardyke.platform.settings import FILE_VARIABLE, PlatformSettings, load_platform_settings

if TYPE_CHECKING:
    from briardyke.addresses import Address

# The file may change without a signal.
_CHECK_INTERVAL_S = 1.0


class SettingsFollower:
    """Hold the newest readable settings."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Start with settings that were read."""
        self.settings = settings

    def peer_seeds(self) -> tuple[Address, ...]:
        """Return the peer addresses of the seeds."""
        return tuple(self.settings.peer_of(seed) for seed in self.settings.seeds)

    async def run(self) -> None:
        """Read the file whenever it changes or a signal says so, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_signal)
            seen = _stamp()
            while True:
                await trio.sleep(_CHECK_INTERVAL_S)
                stamp = _stamp()
                if stamp != seen:
                    seen = stamp
                    self._reload()

    async def _watch_signal(self) -> None:
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                self._reload()

    def _reload(self) -> None:
        loaded = load_platform_settings()
        if loaded.is_err():
            log_warning("settings_not_reloaded", reason=loaded.unwrap_err().message)
            return
        self.settings = loaded.unwrap()
        log_event("settings_reloaded", seeds=",".join(str(s) for s in self.settings.seeds))


def _stamp() -> tuple[float, int]:
    try:
        status = os.stat(os.environ.get(FILE_VARIABLE, ""))
    except OSError:
        return (0.0, 0)  # it is being replaced; the next check sees the new file
    return (status.st_mtime, status.st_size)
