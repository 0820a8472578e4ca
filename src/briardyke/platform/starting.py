"""Read the platform's settings and run a process with them."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from briardyke.allocator import return_large_blocks
from briardyke.exit_codes import ExitCode
from briardyke.logs import configure_logs, log_error
from briardyke.platform.settings import PlatformSettings, load_platform_settings
from briardyke.runtime import run_until_signal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import trio


def start(role: str, run: Callable[[PlatformSettings, trio.Event], Awaitable[None]]) -> int:
    """Run a role until the platform stops it.

    :param role: name of the role, for the log.
    :param run: the role's main function.
    :return: exit code; settings that cannot be used give one clear line and their own code.
    """
    configure_logs("info", sys.stdout)
    loaded = load_platform_settings()
    if loaded.is_err():
        log_error("settings_invalid", role=role, reason=loaded.unwrap_err().message)
        return ExitCode.SETTINGS_INVALID
    settings = loaded.unwrap()

    if settings.memory_mb > 0:
        return_large_blocks()

    async def main(stop: trio.Event) -> None:
        await run(settings, stop)

    return run_until_signal(main)
