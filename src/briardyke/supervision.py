"""Keep background tasks running beside the requests that a process serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.logs import log_error, place_of

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# A task that fails at once every time writes one line in this interval and costs nothing else.
RESTART_MS = 500.0


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a background task and start it anew when a defect ends it.

    A defect in housekeeping must not end the requests of the same process. Tasks whose failure
    leaves the process in doubt, such as the replicated log, do not belong here.

    :param name: name of the task, for the log.
    :param run: the task; a proper return ends the supervision.
    """
    while True:
        try:
            await run()
        except Exception as error:
            log_error("background_task_failed", task=name, reason=repr(error), at=place_of(error))
            await trio.sleep(RESTART_MS / 1000.0)
        else:
            return
