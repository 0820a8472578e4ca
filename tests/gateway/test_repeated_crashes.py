"""Tests of requests that come again under new ids and crash each upstream that runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio
from gateway_support import STREAM_HEAD, event

from briardyke.gateway.crash_detection import CrashDetector

if TYPE_CHECKING:
    from gateway_support import Gateway, Reply, ScriptedUpstream

    from briardyke.addresses import Address

WHOLE = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
# Crashes after which a request that comes again may reach no further upstream.
MAX_CRASHES = 3


async def is_crashed(address: Address) -> bool:
    await trio.lowlevel.checkpoint()
    return True


class Site:
    """Gateway whose upstreams crash at some requests and come back as new processes.

    :param crashes: ids of the requests that crashed an upstream.
    """

    def __init__(self, gateway: Gateway, path: str, model: str = "", prefix: str = "") -> None:
        self._gateway = gateway
        self._path = path
        self._model = model
        self._prefix = prefix
        self.crashes: list[bytes] = []
        gateway.state.quarantine.detector = CrashDetector(is_crashed)

    async def start(self, service: str, count: int) -> None:
        for _ in range(count):
            await self._gateway.add(service, self._run)

    async def _run(
        self, upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
    ) -> None:
        if request_id.startswith(b"deadly"):
            self.crashes.append(request_id)
            await trio.aclose_forcefully(stream)
        elif self._model:
            await stream.send_all(STREAM_HEAD % request_id + event(1) + b"0\r\n\r\n")
        else:
            await stream.send_all(WHOLE % request_id)

    async def send(self, name: str, number: int, prefix: str = "") -> Reply:
        return await self._gateway.send(
            f"{self._path}{name}", f"{name}-{number}", self._model, prefix or self._prefix
        )

    async def restart_upstreams(self) -> None:
        """Let every upstream come back as a new process, later than the last crash."""
        await trio.sleep(0.15)
        rows = self._gateway.rows
        for name, row in rows.items():
            rows[name] = attrs.evolve(row, incarnation=row.incarnation + 1)
        self._gateway.state.upstreams.update(rows, {})


class TestRequestThatComesAgain:
    """Covers a request with the same path and body that crashes one upstream after the other."""

    @pytest.mark.parametrize("path", ["/buy/", "/see/"])
    async def test_plain_request_is_held_off_after_three_crashes(
        self, gateway: Gateway, path: str
    ) -> None:
        site = Site(gateway, path)
        await site.start("app", 3)
        for number in range(8):
            await site.send("deadly", number)
            assert (await site.send("sound", number)).status == 200
            await site.restart_upstreams()
        assert len(site.crashes) <= MAX_CRASHES
        last = await site.send("deadly", 9)
        assert last.status == 503
        assert float(last.headers[b"retry-after"]) >= 1.0

    @pytest.mark.parametrize("prefix", ["", "own:9", "first:9,own:9"])
    async def test_prompt_without_parts_of_its_own_is_held_off_after_three_crashes(
        self, gateway: Gateway, prefix: str
    ) -> None:
        site = Site(gateway, "/chat/", "m", prefix)
        await site.start("pool", 3)
        for number in range(8):
            await site.send("deadly", number)
            assert (await site.send("sound", number, "first:9,other:9")).status == 200
            await site.restart_upstreams()
        assert len(site.crashes) <= MAX_CRASHES

    async def test_copies_sent_together_are_held_off_after_the_crash_that_ended_them(
        self, gateway: Gateway
    ) -> None:
        site = Site(gateway, "/buy/")
        await site.start("app", 1)
        await site.send("sound", 0)
        async with trio.open_nursery() as nursery:
            for number in range(5):
                nursery.start_soon(site.send, "deadly", number)
        first = len(site.crashes)
        await site.restart_upstreams()
        assert (await site.send("sound", 1)).status == 200
        async with trio.open_nursery() as nursery:
            for number in range(5, 10):
                nursery.start_soon(site.send, "deadly", number)
        assert len(site.crashes) == first

    async def test_sound_request_that_is_often_repeated_is_not_held_off(
        self, gateway: Gateway
    ) -> None:
        """Guards against blaming a request for crashes that have another cause."""
        site = Site(gateway, "/see/")
        await site.start("app", 3)
        for number in range(8):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(site.send, "deadly", number)
                nursery.start_soon(site.send, "sound", number)
            assert (await site.send("sound", number)).status == 200
            await site.restart_upstreams()
        assert (await site.send("sound", 9)).status == 200
