"""Run one engine: its HTTP server, its ticking task and its announcements."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.clock import now_ms, sleep_ms
from briardyke.http.app import serve_http
from briardyke.logs import log_event
from briardyke.standins.announcing import Announcer
from briardyke.standins.engine.api import EngineApi
from briardyke.standins.engine.state import EngineState

if TYPE_CHECKING:
    from briardyke.standins.engine.settings import EngineSettings

_IDLE_TICK_MS = 100.0


class _Ticker:
    """Tick often while there is work and rarely otherwise."""

    def __init__(self, state: EngineState) -> None:
        self._state = state
        self._work = trio.Event()

    def wake(self) -> None:
        self._work.set()

    async def run(self) -> None:
        while True:
            self._state.tick(now_ms())
            changing = any(i.state != "loaded" for i in self._state.memory.items())
            if changing or self._state.batch.running:
                await sleep_ms(self._state.settings.tick_ms)
                continue
            self._work = trio.Event()
            with trio.move_on_after(_IDLE_TICK_MS / 1000.0):
                await self._work.wait()


async def run_engine(
    settings: EngineSettings,
    stop: trio.Event,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an engine until it was asked to stop and its requests are finished.

    :param settings: settings of the engine.
    :param stop: set to make the engine leave: it announces that, refuses new work, finishes what
        runs and returns.
    :param task_status: reports ``ip:port`` once the engine listens.
    :raises OSError: when the address cannot be bound.
    """
    state = EngineState(settings, now_ms())
    closed = trio.Event()
    ticker = _Ticker(state)
    announcer = Announcer(
        lambda: state.row(now_ms()), settings.entry_addresses, settings.announce_interval_ms
    )
    async with trio.open_nursery() as background, trio.open_nursery() as serving:
        api = EngineApi(state, ticker.wake, background)
        background.start_soon(ticker.run)

        async def serve(task_status: trio.TaskStatus[str]) -> None:
            grace_s = settings.tick_ms / 1000.0 + 1.0
            await serve_http(api.app(), settings.listen, closed, grace_s, task_status=task_status)
            background.cancel_scope.cancel()

        state.address = await serving.start(serve)
        background.start_soon(announcer.run)
        task_status.started(state.address)
        await stop.wait()
        state.lifecycle = "leaving"
        announcer.announce_soon()
        log_event("engine_leaving", upstream=settings.upstream_id, in_flight=len(state.active))
        await _finish(state)
        closed.set()


async def _finish(state: EngineState) -> None:
    await sleep_ms(state.settings.leave_notice_ms)
    with trio.move_on_after(state.settings.graceful_timeout_ms / 1000.0):
        while state.active:
            await sleep_ms(state.settings.tick_ms)
