"""Run an asynchronous main function until the process is told to stop."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable

import trio

from briardyke.exit_codes import ExitCode
from briardyke.logs import log_error, log_event, log_warning

Main = Callable[[trio.Event], Awaitable[None]]
_SIGNAL_EXIT_BASE = 128


def run_until_signal(main: Main) -> int:
    """Run ``main`` with a stop event that SIGTERM and SIGINT set.

    :param main: returns once the event is set and the work in flight is finished.
    :return: exit code.
    """
    try:
        trio.run(_run, main)
    except BaseExceptionGroup as group:
        return _exit_code(group)
    except OSError as error:
        return _exit_code(error)
    return ExitCode.OK


async def _run(main: Main) -> None:
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, stop)
        await main(stop)
        nursery.cancel_scope.cancel()


async def _watch_signals(stop: trio.Event) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            if stop.is_set():
                log_warning("stop_forced", signal=number)
                raise SystemExit(_SIGNAL_EXIT_BASE + number)
            log_event("stop_requested", signal=number)
            stop.set()


def _exit_code(error: BaseException) -> int:
    while isinstance(error, BaseExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    if isinstance(error, OSError):
        log_error("listen_or_disk_failed", error=error)
        return ExitCode.LISTEN_FAILED
    if isinstance(error, SystemExit) and isinstance(error.code, int):
        return error.code
    raise error
