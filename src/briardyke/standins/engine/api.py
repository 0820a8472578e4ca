"""Serve the engine's HTTP interface."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import trio
from result import Err, Ok, Result

from briardyke.clock import now_ms, sleep_ms
from briardyke.errors import ErrorKind, Failure
from briardyke.http.app import (
    AnyResponse,
    HttpApp,
    HttpHandler,
    Request,
    StreamResponse,
    error_response,
    json_response,
)
from briardyke.http.sse import STREAM_HEADERS
from briardyke.ids import new_id
from briardyke.standins import generation
from briardyke.standins.engine.batching import Run
from briardyke.standins.engine.faults import StreamFault, stream_fault
from briardyke.standins.engine.memory import Order, parse_order
from briardyke.standins.engine.responses import DONE_EVENT, ResponseForm
from briardyke.standins.switches import set_switches
from briardyke.wire import codec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from briardyke.standins.engine.state import ActiveRun, EngineState


class ConnectionBreakError(Exception):
    """End a response so that the server closes the connection without its last chunk."""


class EngineApi:
    """Handle the engine's requests."""

    def __init__(self, state: EngineState, work: Callable[[], None], nursery: trio.Nursery) -> None:
        """Prepare the handlers.

        :param state: state of the engine.
        :param work: wakes the ticking task.
        :param nursery: runs late orders.
        """
        self._state = state
        self._work = work
        self._nursery = nursery
        self._keys = itertools.count(1)

    def app(self) -> HttpApp:
        """Return the application with all routes."""
        app = HttpApp()
        routes: list[tuple[str, str, HttpHandler]] = [
            ("POST", "/v1/chat/completions", self._complete),
            ("POST", "/v1/completions", self._complete),
            ("POST", "/v1/orders", self._order),
            ("GET", "/health", self._health),
            ("GET", "/counters", self._counters),
        ]
        for method, path, handler in routes:
            app.route(method, path, self._unless_silent(handler))
        if self._state.settings.allow_faults:
            app.route("POST", "/v1/faults", self._set_faults)
        return app

    def _unless_silent(self, handler: HttpHandler) -> HttpHandler:
        async def handle(request: Request) -> AnyResponse:
            while self._state.faults.silent:
                await sleep_ms(self._state.settings.tick_ms)
            return await handler(request)

        return handle

    async def _complete(self, request: Request) -> AnyResponse:
        request_id = request.headers.get("x-request-id") or new_id("req")
        started = self._start(request, request_id)
        if started.is_err():
            self._state.refused += 1
            return error_response(started.unwrap_err(), request_id)
        active, form, seed, wants_stream = started.unwrap()
        self._state.runs[request_id] += 1
        if wants_stream:
            fault = stream_fault(self._state.faults)
            return StreamResponse(self._stream(active, form, seed, fault), 200, STREAM_HEADERS)
        try:
            while active.run.position < active.run.end:
                await active.progressed.wait()
        finally:
            self._state.end(active)
        text = "".join(generation.token_text(seed, i) for i in range(active.run.end))
        return json_response(form.whole(text, active.run.end))

    def _start(
        self, request: Request, request_id: str
    ) -> Result[tuple[ActiveRun, ResponseForm, int, bool], Failure]:
        if self._state.lifecycle != "ready":
            return Err(Failure(ErrorKind.UPSTREAM_REFUSED, "engine is leaving"))
        parsed = request.json_object()
        if parsed.is_err():
            return Err(parsed.unwrap_err())
        body = parsed.unwrap()
        model = body.get("model")
        if not isinstance(model, str) or not self._state.memory.loaded(model):
            text = f"model {model!r} is not loaded on this engine"
            return Err(Failure(ErrorKind.UPSTREAM_REFUSED, text, "model"))
        prompt, limit = generation.prompt_text(body), generation.token_limit(body)
        offset = _header_number(request, "x-resume-offset-tokens")
        priority = _header_number(request, "x-priority")
        for checked in (prompt, limit, offset, priority):
            if checked.is_err():
                return Err(checked.unwrap_err())
        text = prompt.unwrap()
        cached = self._state.cache.use(generation.prefix_hashes(model, text), now_ms())
        prompt_tokens = generation.count_tokens(text)
        todo = float(max(1, prompt_tokens + offset.unwrap() - cached))
        end, position = limit.unwrap(), min(offset.unwrap(), limit.unwrap())
        run = Run(next(self._keys), model, todo, position, end, priority.unwrap())
        active = self._state.start(run, now_ms())
        if active is None:
            return Err(Failure(ErrorKind.UPSTREAM_REFUSED, "engine's queue is full"))
        self._work()
        attempt_id = request.headers.get("x-attempt-id") or new_id("att")
        chat = request.path.endswith("/chat/completions")
        form = ResponseForm(attempt_id, model, chat, prompt_tokens, cached)
        seed = generation.seed_of(request_id, model, text)
        return Ok((active, form, seed, body.get("stream") is True))

    async def _stream(
        self, active: ActiveRun, form: ResponseForm, seed: int, fault: StreamFault
    ) -> AsyncIterator[bytes]:
        run, offset, sent = active.run, active.first_position, 0
        copies = 2 if fault.duplicate else 1
        if fault.wrong_id:
            form = ResponseForm("att-other", form.model, form.chat, form.prompt_tokens, 0)
        try:
            while True:
                batch = b""
                while offset < run.position:
                    batch += (
                        form.token_event(generation.token_text(seed, offset), offset + 1) * copies
                    )
                    offset, sent = offset + 1, sent + 1
                    if sent in (fault.stall_after, fault.truncate_after, fault.break_after):
                        break
                if batch:
                    yield batch
                if sent == fault.stall_after:
                    await trio.sleep_forever()
                if sent == fault.break_after:
                    raise ConnectionBreakError
                if sent == fault.truncate_after:
                    return
                if offset >= run.end:
                    yield form.finish_event(offset) * copies + DONE_EVENT
                    return
                if offset >= run.position:
                    await active.progressed.wait()
        finally:
            self._state.end(active)

    async def _order(self, request: Request) -> AnyResponse:
        parsed = request.json_object().and_then(parse_order)
        if parsed.is_err():
            return error_response(parsed.unwrap_err())
        order, faults = parsed.unwrap(), self._state.faults
        accepted = json_response({"order_id": order.order_id, "state": "taken"})
        if faults.use("lost_orders"):
            return accepted
        if faults.use("late_orders"):
            self._nursery.start_soon(self._take_late, order)
            return accepted
        if faults.use("duplicated_orders"):
            self._nursery.start_soon(self._take_late, order)
        taken = self._state.memory.take(order, now_ms())
        self._work()
        return error_response(taken.unwrap_err()) if taken.is_err() else accepted

    async def _take_late(self, order: Order) -> None:
        await sleep_ms(self._state.faults.late_order_ms)
        self._state.memory.take(order, now_ms())
        self._work()

    async def _set_faults(self, request: Request) -> AnyResponse:
        faults = self._state.faults
        changed = request.json_object().and_then(lambda body: set_switches(faults, body))
        if changed.is_err():
            return error_response(changed.unwrap_err())
        return json_response(codec.unstructure(faults))

    async def _health(self, request: Request) -> AnyResponse:
        return json_response(codec.unstructure(self._state.row(now_ms())))

    async def _counters(self, request: Request) -> AnyResponse:
        state, memory = self._state, self._state.memory
        return json_response(
            {
                "runs": dict(state.runs),
                "refused": state.refused,
                "cancelled": state.cancelled,
                "generated_tokens": state.generated_tokens,
                "orders_executed": memory.executed,
                "overcommitted": memory.overcommitted,
                "committed_bytes": memory.committed_bytes,
                "peak_bytes": memory.peak_bytes,
                "capacity_bytes": state.settings.capacity_bytes,
            }
        )


def _header_number(request: Request, name: str) -> Result[int, Failure]:
    text = request.headers.get(name, "0")
    if not text.removeprefix("-").isdecimal() or (name != "x-priority" and int(text) < 0):
        return Err(Failure(ErrorKind.FIELD_INVALID, f"{name} is not a number", name))
    return Ok(int(text))
