"""The service stand-in on a loopback socket."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import pytest
import trio

from briardyke.addresses import parse_address
from briardyke.errors import ErrorKind
from briardyke.http.client import HttpClient, WholeResponse
from briardyke.settings import load_settings
from briardyke.standins.service.server import run_service
from briardyke.standins.service.settings import ServiceSettings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class _Service:
    def __init__(self, client: HttpClient, address: str) -> None:
        self._client, self._address = client, parse_address(address)

    async def call(self, method: str, target: str, body: Any = None, **headers: str) -> Any:
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        data = json.dumps(body or {}).encode()
        return await self._client.call(
            method, self._address, target, body=data, headers=sent, timeout_ms=3000
        )

    async def counters(self) -> Any:
        return (await self.call("GET", "/counters")).unwrap().json()


@asynccontextmanager
async def service() -> AsyncIterator[_Service]:
    """Run a service in this process."""
    given = {"delay_ms": "0", "allow_faults": "true", "leave_notice_ms": "0"}
    settings = load_settings(ServiceSettings, given).unwrap()
    client = HttpClient()
    async with trio.open_nursery() as nursery:
        yield _Service(client, await nursery.start(run_service, settings, trio.Event()))
        nursery.cancel_scope.cancel()
    await client.aclose()


class TestCalls:
    @pytest.mark.parametrize("path", ["/bookings", "/purchases"])
    async def test_runs_are_counted_by_request_and_key(self, path: str) -> None:
        """Guards against a second run that no test can see (P5)."""
        async with service() as s:
            for _ in range(2):
                called = await s.call("POST", path, x_request_id="r1", idempotency_key="k1")
            response: WholeResponse = called.unwrap()
            counters = await s.counters()
        assert (response.status, response.json()["request_id"]) == (201, "r1")
        assert (counters["runs_by_request"], counters["runs_by_key"]) == ({"r1": 2}, {"k1": 2})

    async def test_stock_names_the_item(self) -> None:
        """Guards against a route that ignores its path."""
        async with service() as s:
            called = await s.call("GET", "/stock/hat")
        assert called.unwrap().json()["item"] == "hat"

    @pytest.mark.parametrize(("switch", "runs"), [("break_before", 0), ("break_after", 1)])
    async def test_connection_breaks_before_or_after_the_run(self, switch: str, runs: int) -> None:
        """Guards against a fault that does not separate the two unknown outcomes."""
        async with service() as s:
            await s.call("POST", "/v1/faults", {switch: 1})
            failure = (await s.call("POST", "/purchases")).unwrap_err()
            counters = await s.counters()
        assert (failure.kind, counters["runs"]) == (ErrorKind.UPSTREAM_FAILED, runs)

    async def test_refusal_says_not_run(self) -> None:
        """Guards against refusals that the relay cannot tell from failures."""
        async with service() as s:
            await s.call("POST", "/v1/faults", {"refused": 1})
            response = (await s.call("POST", "/purchases")).unwrap()
            counters = await s.counters()
        assert (response.status, response.json()["error"]["ran"]) == (503, "no")
        assert (counters["runs"], counters["refused"]) == (0, 1)
