"""Run a stand-in as a process of its own until a signal asks it to stop."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, Any

import trio

from briardyke.exit_codes import ExitCode
from briardyke.logs import configure_logs, log_error, log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


def run_process(serve: Callable[..., Awaitable[None]], settings: Any, name: str) -> int:
    """Serve until SIGTERM or SIGINT.

    :param serve: takes the settings, a stop event and ``task_status``, which gets ``ip:port``.
    :param settings: settings of the process, with ``log_level`` and ``listen``.
    :param name: name for the log.
    :return: the exit code.
    """
    configure_logs(settings.log_level)

    async def main() -> None:
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_stop_on_signal, stop, nursery.cancel_scope)
            async with trio.open_nursery() as serving:
                address = await serving.start(serve, settings, stop)
                log_event("listening", process=name, address=address)
            nursery.cancel_scope.cancel()

    code = ExitCode.OK
    try:
        trio.run(main)
    except* OSError as group:
        log_error("listen_failed", address=settings.listen, reason=repr(group.exceptions[0]))
        code = ExitCode.LISTEN_FAILED
    return code


async def _stop_on_signal(stop: trio.Event, scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            if stop.is_set():
                scope.cancel()  # a second signal ends the process at once
                return
            log_event("stopping", signal=number)
            stop.set()
