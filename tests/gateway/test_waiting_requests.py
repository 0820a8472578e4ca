"""Tests of requests that wait for an upstream and are released together."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from gateway_support import STREAM_HEAD, event, wait_until

if TYPE_CHECKING:
    from gateway_support import Gateway, ScriptedUpstream


class TestReleasedTogether:
    """Covers requests for a model that several engines load at the same time."""

    async def test_requests_that_wake_together_do_not_all_choose_one_engine(
        self, gateway: Gateway
    ) -> None:
        """Guards against a task switch between the choice of an upstream and its count."""

        async def respond(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(STREAM_HEAD % request_id + event(1))
            await trio.sleep(1.0)
            await stream.send_all(b"0\r\n\r\n")

        engines = [await gateway.add("pool", respond) for _ in range(2)]
        rows = dict(gateway.rows)
        gateway.state.upstreams.update({}, {})
        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(gateway.send, "/chat/x", f"r-{number}", "m")
            await wait_until(lambda: gateway.state.demand.active_count == 40)
            gateway.state.upstreams.update(rows, {})
            gateway.state.changed.notify()
            await wait_until(lambda: sum(len(e.requests) for e in engines) == 40)
        assert [len(e.requests) for e in engines] == [20, 20]
