"""Run one plain service: its HTTP server and its announcements."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.clock import sleep_ms
from briardyke.errors import ErrorKind, Failure
from briardyke.http.app import (
    AnyResponse,
    HttpApp,
    Request,
    StreamResponse,
    error_response,
    json_response,
    serve_http,
)
from briardyke.logs import log_event
from briardyke.standins.announcing import Announcer
from briardyke.standins.service.state import ServiceState
from briardyke.standins.switches import set_switches
from briardyke.wire import codec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from briardyke.standins.service.settings import ServiceSettings

_SILENT_POLL_MS = 20.0


class ConnectionBreakError(Exception):
    """End a response so that the server closes the connection without its last chunk."""


async def _broken_body() -> AsyncIterator[bytes]:
    yield b"{"
    raise ConnectionBreakError


class ServiceApi:
    """Handle the service's requests."""

    def __init__(self, state: ServiceState) -> None:
        """Prepare the handlers."""
        self._state = state

    def app(self) -> HttpApp:
        """Return the application with all routes."""
        app = HttpApp()
        app.route("POST", "/bookings", self._create)
        app.route("POST", "/purchases", self._create)
        app.route("GET", "/stock/{item}", self._stock)
        app.route("GET", "/health", self._health)
        app.route("GET", "/counters", self._counters)
        if self._state.settings.allow_faults:
            app.route("POST", "/v1/faults", self._set_faults)
        return app

    async def _create(self, request: Request) -> AnyResponse:
        return await self._call(request, 201, request.path.strip("/").removesuffix("s"))

    async def _stock(self, request: Request) -> AnyResponse:
        return await self._call(request, 200, "stock")

    async def _call(self, request: Request, status: int, name: str) -> AnyResponse:
        state, faults = self._state, self._state.faults
        request_id = request.headers.get("x-request-id", "")
        while faults.silent:
            await sleep_ms(_SILENT_POLL_MS)
        if state.lifecycle != "ready" or faults.use("refused"):
            state.refused += 1
            failure = Failure(ErrorKind.UPSTREAM_REFUSED, "service refuses new work")
            return error_response(failure, request_id)
        if faults.use("break_before"):
            return StreamResponse(_broken_body())
        state.in_flight += 1
        try:
            await sleep_ms(state.settings.delay_ms)
            number = state.run(request_id, request.headers.get("idempotency-key", ""))
            if faults.use("break_after"):
                return StreamResponse(_broken_body())
            if faults.use("slow"):
                await sleep_ms(faults.slow_ms)
        finally:
            state.in_flight -= 1
        body = {name: f"{name}-{number}", "request_id": request_id, **request.path_values}
        return json_response(body, status)

    async def _set_faults(self, request: Request) -> AnyResponse:
        faults = self._state.faults
        changed = request.json_object().and_then(lambda body: set_switches(faults, body))
        if changed.is_err():
            return error_response(changed.unwrap_err())
        return json_response(codec.unstructure(faults))

    async def _health(self, request: Request) -> AnyResponse:
        while self._state.faults.silent:
            await sleep_ms(_SILENT_POLL_MS)
        return json_response(codec.unstructure(self._state.row()))

    async def _counters(self, request: Request) -> AnyResponse:
        return json_response(self._state.counters())


async def run_service(
    settings: ServiceSettings,
    stop: trio.Event,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a service until it was asked to stop and its requests are finished.

    :param settings: settings of the service.
    :param stop: set to make the service leave.
    :param task_status: reports ``ip:port`` once the service listens.
    :raises OSError: when the address cannot be bound.
    """
    state = ServiceState(settings)
    closed = trio.Event()
    announcer = Announcer(state.row, settings.entry_addresses, settings.announce_interval_ms)
    async with trio.open_nursery() as background, trio.open_nursery() as serving:

        async def serve(task_status: trio.TaskStatus[str]) -> None:
            app = ServiceApi(state).app()
            await serve_http(app, settings.listen, closed, 1.0, task_status=task_status)
            background.cancel_scope.cancel()

        state.address = await serving.start(serve)
        background.start_soon(announcer.run)
        task_status.started(state.address)
        await stop.wait()
        state.lifecycle = "leaving"
        announcer.announce_soon()
        log_event("service_leaving", upstream=settings.upstream_id, in_flight=state.in_flight)
        await sleep_ms(settings.leave_notice_ms)
        with trio.move_on_after(settings.graceful_timeout_ms / 1000.0):
            while state.in_flight:
                await sleep_ms(_SILENT_POLL_MS)
        closed.set()
