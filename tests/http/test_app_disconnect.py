"""Handlers whose caller disconnects before the response."""

from __future__ import annotations

import pytest
import trio

from briardyke.addresses import Address, parse_address
from briardyke.http.app import HttpApp, Request, Response, serve_http
from briardyke.http.client import HttpClient


class TestDisconnect:
    @pytest.mark.parametrize("cancel", [True, False])
    async def test_handler_is_cancelled_only_when_its_route_says_so(self, cancel: bool) -> None:
        """Guards against work for a caller who has gone, and against patches that stop midway."""
        started, proceed, ended = trio.Event(), trio.Event(), trio.Event()
        completed: list[bool] = []

        async def handle(request: Request) -> Response:
            started.set()
            try:
                await proceed.wait()
                completed.append(True)
            finally:
                ended.set()
            return Response(200)

        app = HttpApp()
        app.route("POST", "/work", handle, cancel_on_disconnect=cancel)
        client = HttpClient()
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(serve_http, app, Address("127.0.0.1", 0), trio.Event(), 0.1)

            async def call() -> None:
                await client.call("POST", parse_address(bound), "/work", timeout_ms=5000)

            with trio.CancelScope() as caller:
                async with trio.open_nursery() as calls:
                    calls.start_soon(call)
                    await started.wait()
                    caller.cancel()
            if not cancel:
                proceed.set()
            with trio.fail_after(3):
                await ended.wait()
            nursery.cancel_scope.cancel()
        await client.aclose()
        assert completed == ([] if cancel else [True])

    async def test_connected_caller_gets_the_response(self) -> None:
        """Guards against a watch that swallows the response."""

        async def handle(request: Request) -> Response:
            return Response(200, b"done")

        app = HttpApp()
        app.route("POST", "/work", handle, cancel_on_disconnect=True)
        client = HttpClient()
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(serve_http, app, Address("127.0.0.1", 0), trio.Event(), 0.1)
            for _ in range(2):
                called = await client.call("POST", parse_address(bound), "/work", timeout_ms=5000)
                assert called.unwrap().body == b"done"
            nursery.cancel_scope.cancel()
        await client.aclose()
