"""Whole runs of the load tool against engines and faulty entry processes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest
import trio

from briardyke.addresses import Address, parse_address
from briardyke.errors import ErrorKind, Failure
from briardyke.exit_codes import ExitCode
from briardyke.http.app import (
    AnyResponse,
    HttpApp,
    Request,
    StreamResponse,
    error_response,
    json_response,
    serve_http,
)
from briardyke.http.client import HttpClient
from briardyke.http.sse import STREAM_HEADERS, ServerSentEvent
from briardyke.loadtool.main import exit_code, run_load
from briardyke.loadtool.settings import LoadSettings
from briardyke.loadtool.summary import Outcome, summary_lines
from briardyke.settings import load_settings
from briardyke.standins.engine.server import run_engine
from briardyke.standins.engine.settings import EngineSettings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


def _settings(addresses: str, **given: str) -> LoadSettings:
    fixed = {"entry_addresses": addresses, "request_limit": "10", "max_tokens": "20"}
    every = {**fixed, "loop": "closed", "duration_ms": "20000", "require_whole": "true"}
    return load_settings(LoadSettings, {**every, **given}).unwrap()


async def _start_app(nursery: trio.Nursery, app: HttpApp) -> str:
    return await nursery.start(serve_http, app, Address("127.0.0.1", 0), trio.Event(), 0.1)


class TestDirect:
    @pytest.mark.parametrize("loop", ["open", "closed"])
    async def test_broken_streams_are_resumed_and_whole(self, loop: str) -> None:
        """Guards against a tool that reports a resumed response as truncated."""
        given = {"loaded": "m1=1", "request_tokens_per_second": "2000", "tick_ms": "1"}
        engine = load_settings(EngineSettings, {**given, "allow_faults": "true"}).unwrap()
        async with trio.open_nursery() as nursery:
            address = await nursery.start(run_engine, engine, trio.Event())
            app_settings = _settings(
                f"{address}", direct="true", loop=loop, requests_per_second="200"
            )
            await _set_faults(address, break_after_tokens=7, stream_faults=4)
            summary, elapsed_ms = await run_load(app_settings)
            nursery.cancel_scope.cancel()
        figures = summary.as_dict(elapsed_ms)
        assert (figures["complete"], figures["requests"], figures["tokens"]) == (10, 10, 200)
        assert figures["resumed"] >= 1
        assert exit_code(app_settings, summary) is ExitCode.OK
        assert "complete=10" in summary_lines(figures)


async def _set_faults(address: str, **switches: Any) -> None:
    client = HttpClient()
    body = json.dumps(switches).encode()
    await client.call("POST", parse_address(address), "/v1/faults", body=body, timeout_ms=2000)
    await client.aclose()


class TestOutcomes:
    @pytest.mark.parametrize(
        ("answer", "outcome", "code"),
        [
            ("refused", Outcome.REFUSED, ExitCode.OK),
            ("unknown", Outcome.UNKNOWN, ExitCode.OK),
            ("wrong", Outcome.WRONG, ExitCode.REQUEST_FAILED),
            ("error event", Outcome.UNKNOWN, ExitCode.OK),
        ],
    )
    async def test_faulty_entry_is_seen(
        self, answer: str, outcome: Outcome, code: ExitCode
    ) -> None:
        """Guards against a tool that counts a fault as success, or a refusal as a fault."""

        async def complete(request: Request) -> AnyResponse:
            if answer == "refused":
                return error_response(Failure(ErrorKind.RATE_LIMITED, "too many"))
            if answer == "unknown":
                return error_response(Failure(ErrorKind.UPSTREAM_FAILED, "broke"))
            return StreamResponse(_chunks(answer), 200, STREAM_HEADERS)

        async def addresses(request: Request) -> AnyResponse:
            listed = [{"address": bound, "weight": 1.0}]
            return json_response({"ttl_ms": 5000, "addresses": listed})

        app = HttpApp()
        app.route("POST", "/v1/chat/completions", complete)
        app.route("GET", "/v1/addresses", addresses)
        async with trio.open_nursery() as nursery:
            bound = await _start_app(nursery, app)
            settings = _settings(f"127.0.0.1:1,{bound}", request_limit="2")
            summary, _ = await run_load(settings)
            nursery.cancel_scope.cancel()
        assert summary.chat == {outcome: 2}
        assert exit_code(settings, summary) is code


async def _chunks(answer: str) -> AsyncIterator[bytes]:
    if answer == "wrong":
        choice = '{"id":"c","choices":[{"delta":{"content":"x"},"finish_reason":null}]}'
        yield ServerSentEvent(choice, id="1").encode()
    else:
        error = '{"error":{"kind":"upstream_failed","message":"m","ran":"unknown"}}'
        yield ServerSentEvent(error, event="error").encode()
