"""Tests for what upstreams state about themselves in their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio
from gateway_support import wait_until

from briardyke.clock import now_ms
from briardyke.fleet.messages import AdapterReply
from briardyke.fleet.records import READY, Upstream
from briardyke.gateway.adapters import AdapterRouter
from briardyke.gateway.upstream_statements import UpstreamStatements
from briardyke.platform.headers import PlatformDialect

if TYPE_CHECKING:
    from gateway_support import Gateway, Script, ScriptedUpstream

    from briardyke.fleet.messages import AdapterRequest
    from briardyke.http.h11_client import UpstreamConnection

ROW = Upstream("u0", 1, 1, "app", "127.0.0.1:1", "dc", READY, 8)


class TestHeaders:
    """Covers the headers in which an upstream states a limit, a pause or its end."""

    def test_statements_are_read(self) -> None:
        headers = [(b"server-limit", b"2.1"), (b"server-leaving", b"1"), (b"retry-after", b"1.5")]
        read = PlatformDialect().read_response(503, headers)
        assert (read.limit_per_s, read.is_leaving, read.retry_after_ms) == (2.1, True, 1500.0)
        assert PlatformDialect().read_response(200, [(b"server-brittle", b"4")]).brittle_per_s == 4

    def test_retry_after_concerns_refusals_for_want_of_room_only(self) -> None:
        read = PlatformDialect().read_response(200, [(b"retry-after", b"1.5")])
        assert read.retry_after_ms is None

    def test_unreadable_statements_count_as_absent(self) -> None:
        headers = [(b"server-limit", b"nan"), (b"server-leaving", b"0"), (b"retry-after", b"-1")]
        read = PlatformDialect().read_response(503, headers)
        assert (read.limit_per_s, read.is_leaving, read.retry_after_ms) == (None, False, None)


class TestRecord:
    """Covers the statements of one process."""

    def test_end_of_a_process_is_announced_once_and_stays(self) -> None:
        statements = UpstreamStatements()
        dialect = PlatformDialect()
        statements.record(ROW, dialect.read_response(200, [(b"server-leaving", b"1")]))
        statements.record(ROW, dialect.read_response(200, []))
        assert statements.is_leaving


def answering(*headers: bytes, status: bytes = b"200 OK") -> Script:
    """Return a script that responds with some headers."""

    async def respond(
        upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
    ) -> None:
        head = [b"HTTP/1.1 " + status, b"Request-Id: " + request_id, b"Server-Stamp: s"]
        lines = [*head, *headers, b"Content-Length: 2", b"", b"ok"]
        await stream.send_all(b"\r\n".join(lines))

    return respond


class TestLeaving:
    """Covers an upstream that shuts down and says so only in its responses."""

    async def test_it_receives_no_further_request(self, gateway: Gateway) -> None:
        leaving = await gateway.add("app", answering(b"Server-Leaving: 1"))
        other = await gateway.add("app", answering())
        for number in range(20):
            assert (await gateway.send("/see/x", f"l-{number}")).status == 200
        assert len(leaving.requests) <= 1
        assert len(other.requests) == 20 - len(leaving.requests)

    async def test_it_receives_none_when_it_is_the_only_one(self, gateway: Gateway) -> None:
        leaving = await gateway.add("app", answering(b"Server-Leaving: 1"))
        statuses = [(await gateway.send("/buy/x", f"l-{n}")).status for n in range(3)]
        assert statuses == [200, 503, 503]
        assert len(leaving.requests) == 1

    async def test_it_is_not_used_again_after_its_announcement_was_missing(
        self, gateway: Gateway
    ) -> None:
        leaving = await gateway.add("app", answering(b"Server-Leaving: 1"))
        await gateway.send("/buy/x", "l-1")
        gateway.state.upstreams.update({}, {})
        gateway.state.upstreams.update(gateway.rows, {})
        await gateway.send("/buy/x", "l-2")
        assert len(leaving.requests) == 1

    async def test_new_process_is_used(self, gateway: Gateway) -> None:
        upstream = await gateway.add("app", answering(b"Server-Leaving: 1"))
        await gateway.send("/buy/x", "l-1")
        restarted = {i: attrs.evolve(r, incarnation=2) for i, r in gateway.rows.items()}
        gateway.state.upstreams.update(restarted, {})
        assert (await gateway.send("/buy/x", "l-2")).status == 200
        assert len(upstream.requests) == 2


FULL = {"status": b"503 Service Unavailable"}


class TestPause:
    """Covers an upstream that refuses a request and names a time for which it wants no other."""

    async def test_it_receives_nothing_meanwhile(self, gateway: Gateway) -> None:
        refusing = await gateway.add(
            "app", answering(b"Not-Executed: 1", b"Retry-After: 0.8", **FULL)
        )
        started_ms = now_ms()
        replies = [await gateway.send("/buy/x", f"p-{n}") for n in range(10)]
        assert now_ms() - started_ms < 800
        assert len(refusing.requests) == 1
        assert {reply.status for reply in replies} == {503}
        assert all(0.2 <= float(r.headers[b"retry-after"]) <= 1.2 for r in replies)

    async def test_it_is_used_again_afterwards(self, gateway: Gateway) -> None:
        refusing = await gateway.add(
            "app", answering(b"Not-Executed: 1", b"Retry-After: 0.3", **FULL)
        )
        await gateway.send("/buy/x", "p-1")
        await trio.sleep(0.35)
        await gateway.send("/buy/x", "p-2")
        assert refusing.requests == [b"p-1", b"p-2"]

    async def test_other_upstream_is_used_meanwhile(self, gateway: Gateway) -> None:
        refusing = await gateway.add(
            "app", answering(b"Not-Executed: 1", b"Retry-After: 5", **FULL)
        )
        await gateway.add("app", answering())
        statuses = [(await gateway.send("/see/x", f"p-{n}")).status for n in range(10)]
        assert len(refusing.requests) <= 1
        assert statuses == [200] * 10

    async def test_503_without_a_statement_that_it_was_not_run_counts_too(
        self, gateway: Gateway
    ) -> None:
        refusing = await gateway.add("app", answering(b"Retry-After: 5", **FULL))
        for number in range(5):
            await gateway.send("/buy/x", f"p-{number}")
        assert len(refusing.requests) == 1

    async def test_new_process_is_used(self, gateway: Gateway) -> None:
        refusing = await gateway.add(
            "app", answering(b"Not-Executed: 1", b"Retry-After: 60", **FULL)
        )
        await gateway.send("/buy/x", "p-1")
        restarted = {i: attrs.evolve(r, incarnation=2) for i, r in gateway.rows.items()}
        gateway.state.upstreams.update(restarted, {})
        await gateway.send("/buy/x", "p-2")
        assert len(refusing.requests) == 2


class TestWaitingForAnAdapter:
    """Guards against a request that is sent to an upstream which has asked for a pause, has left
    or has restarted while the request waited for a reply of the leader."""

    @pytest.mark.parametrize("change", ["pause", "leave", "restart"])
    async def test_upstream_that_changed_meanwhile_is_not_used(
        self, gateway: Gateway, change: str
    ) -> None:
        changed = await gateway.add("pool", answering())
        other = await gateway.add("pool", answering())
        asked: list[list[str]] = []

        async def reply_late(request: AdapterRequest) -> AdapterReply:
            asked.append(request.upstream_ids)
            if len(asked) > 1:
                return AdapterReply(request.upstream_ids[0])
            await trio.sleep(0.1)
            state = gateway.state.upstreams.get("u0")
            assert state is not None
            if change == "pause":
                state.statements.paused_until_ms = now_ms() + 6000.0
            elif change == "leave":
                state.statements.is_leaving = True
            else:
                gateway.rows["u0"] = attrs.evolve(gateway.rows["u0"], models=[], incarnation=2)
                gateway.state.upstreams.update(gateway.rows, {})
            return AdapterReply("u0")

        gateway.state.adapters = AdapterRouter(gateway.state, reply_late)
        reply = await gateway.send("/chat/x", "s-1", "m/a")
        assert reply.status == 200
        assert changed.requests == []
        assert other.requests == [b"s-1"]
        assert asked[1] == ["u1"]


class TestBrittle:
    """Guards against upstreams that fall over because they must reject too many requests."""

    FULL = (b"Server-Brittle: 2", b"Instance-Load: 8,0,8")
    FREE = (b"Server-Brittle: 2", b"Instance-Load: 1,0,8")
    REFUSED = (*FREE, b"Not-Executed: 1")

    @staticmethod
    def gateway_of(gateway: Gateway, instances: int) -> Gateway:
        gateway.state.listed_count = instances
        return gateway

    @pytest.mark.parametrize(("instances", "pause_s"), [(1, 1.0), (8, 4.0)])
    async def test_refusal_stops_requests_until_all_instances_may_meet_one(
        self, gateway: Gateway, instances: int, pause_s: float
    ) -> None:
        self.gateway_of(gateway, instances)
        upstream = await gateway.add(
            "app", answering(*self.REFUSED, status=b"503 Service Unavailable")
        )
        replies = [await gateway.send("/buy/x", f"r-{n}") for n in range(6)]
        assert len(upstream.requests) == 1
        assert {reply.status for reply in replies} == {503}
        pause_ms = gateway.state.upstreams.usable("app")[0].closed_ms
        assert pause_s * 900 < pause_ms <= pause_s * 1500

    async def test_full_one_gets_nothing_while_another_has_room(self, gateway: Gateway) -> None:
        full = await gateway.add("app", answering(*self.FULL))
        await gateway.send("/buy/x", "r-0")
        free = await gateway.add("app", answering(*self.FREE))
        for number in range(1, 6):
            assert (await gateway.send("/buy/x", f"r-{number}")).status == 200
        assert (len(full.requests), len(free.requests)) == (1, 5)

    async def test_full_one_is_tried_again_without_news(self, gateway: Gateway) -> None:
        upstream = await gateway.add("app", answering(*self.FULL))
        await gateway.send("/buy/x", "r-0")
        refused = await gateway.send("/buy/x", "r-1")
        assert (refused.status, len(upstream.requests)) == (503, 1)
        await trio.sleep(0.85)
        assert (await gateway.send("/buy/x", "r-2")).status == 200

    async def test_statement_ends_with_the_first_response_without_it(
        self, gateway: Gateway
    ) -> None:
        upstream = await gateway.add("app", answering(b"Instance-Load: 8,0,8"))
        state = gateway.state.upstreams.usable("app")[0]
        state.statements.brittle_per_s = 2.0
        await gateway.send("/buy/x", "r-0")
        assert (await gateway.send("/buy/x", "r-1")).status == 200
        assert len(upstream.requests) == 2


class TestSlowConnection:
    """Guards against requests whose connection opens after their upstream asked for a pause."""

    @pytest.mark.parametrize("is_leaving", [True, False])
    async def test_request_is_not_sent_any_more(self, gateway: Gateway, is_leaving: bool) -> None:
        upstream = await gateway.add("app", answering())
        state = gateway.state.upstreams.usable("app")[0]
        take = state.pool.take

        async def take_slowly(longest_rest_ms: float, request_id: str = "") -> UpstreamConnection:
            connection = await take(longest_rest_ms, request_id)
            opened.append(connection)
            await is_stated.wait()
            return connection

        state.pool.take = take_slowly  # type: ignore[method-assign]
        replies = []
        opened: list[UpstreamConnection] = []
        is_stated = trio.Event()

        async def send(request_id: str) -> None:
            replies.append(await gateway.send("/buy/x", request_id))

        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(send, f"r-{number}")
            await wait_until(lambda: len(opened) == 4)
            state.statements.is_leaving = is_leaving
            state.statements.paused_until_ms = 0.0 if is_leaving else now_ms() + 5000.0
            is_stated.set()
        assert upstream.requests == []
        assert [reply.status for reply in replies] == [503] * 4
        assert state.connect_failures == 0
