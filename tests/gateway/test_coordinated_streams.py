"""Tests for streams whose engines a coordinator chooses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import pytest
import trio
from coordinator_support import CONTROLS, PLACED, QUEUED, REJECTED, FakeCoordinators
from gateway_support import (
    ENGINE,
    REFUSAL,
    STREAM_HEAD,
    Gateway,
    Reply,
    Script,
    ScriptedUpstream,
    close,
    event,
    remainder,
    wait_until,
)

from briardyke.accounts.types import ClientAccount, key_digest
from briardyke.addresses import Address
from briardyke.clock import now_ms
from briardyke.dispatch.messages import DispatchReply, DispatchRequest
from briardyke.fleet.messages import AdapterReply, AdapterRequest
from briardyke.gateway.coordinators import Coordinators
from briardyke.gateway.dialect import LoadReport
from briardyke.gateway.dispatch_client import DispatchClient
from briardyke.routes.matching import RouteTable

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ORDER = Coordinators().order("pool", CONTROLS, 0.0)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nInstance-Load: %s\r\n"
    b"Content-Length: 0\r\n\r\n"
)


def with_load(head: bytes, figures: bytes) -> bytes:
    """Return a response head with a load report."""
    return head.replace(b"\r\n\r\n", b"\r\nInstance-Load: %s\r\n\r\n" % figures)


def is_served(reply: Reply) -> bool:
    """Return whether a caller received a whole stream."""
    return reply.status == 200 and reply.is_complete


async def whole(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    head = with_load(STREAM_HEAD % request_id, b"1,0,8,120")
    await stream.send_all(head + event(1))
    await trio.sleep(0.01)
    await stream.send_all(event(2) + b"0\r\n\r\n")


async def refused(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    await stream.send_all(with_load(REFUSAL % request_id, b"8,3,8,250"))


async def broken(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    await stream.send_all(STREAM_HEAD % request_id + event(1))
    await trio.sleep(0.02)
    await close(stream, is_reset=True)


async def lost(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    await close(stream)


async def error(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    await stream.send_all(
        b"HTTP/1.1 400 Bad\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n"
        % request_id
    )


async def silent(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    await trio.sleep(30.0)


async def endless(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    await stream.send_all(STREAM_HEAD % request_id)
    for number in range(1, 1000):
        await stream.send_all(event(number))
        await trio.sleep(0.02)


@attrs.define
class Site:
    """Gateway whose coordinators follow a script."""

    gateway: Gateway
    fake: FakeCoordinators = attrs.field(factory=FakeCoordinators)
    upstreams: dict[str, ScriptedUpstream] = attrs.field(factory=dict)

    async def add(self, *scripts: Script, slowness: float | None = 1.0) -> None:
        for script in scripts:
            name = f"u{len(self.upstreams)}"
            self.upstreams[name] = await self.gateway.add("pool", script)
            state = self.gateway.state.upstreams.get(name)
            assert state is not None
            state.slowness, state.slowness_ms = slowness, now_ms()

    def place_on(self, *names: str) -> None:
        """Place one request after the other on the named engines."""
        left = list(names)

        async def reply(request: DispatchRequest) -> DispatchReply:
            return DispatchReply(PLACED, left.pop(0) if len(left) > 1 else left[0], 100.0)

        self.fake.reply = reply

    def report_queue(self, name: str) -> None:
        """Let an engine report so many requests that another one seems better."""
        state = self.gateway.state.upstreams.get(name)
        assert state is not None
        state.update_from_report(LoadReport(8, 20, 8, 1.0))

    async def stream(self, request_id: str = "s-1", **arguments: Any) -> Any:
        return await self.gateway.send("/chat/x", request_id, "m", **arguments)

    def asked(self) -> list[DispatchRequest]:
        return [request for _, request in self.fake.requests]

    async def assert_all_ended(self) -> None:
        """Check that the end of each request is reported once."""
        ids = sorted(request.request_id for request in self.asked())
        await wait_until(lambda: sorted(self.fake.ended() + self.fake.cancelled) == ids)

    def count(self, event: str) -> int:
        return self.gateway.state.counters.events.get(event, 0)


@pytest.fixture
async def site(gateway: Gateway) -> AsyncIterator[Site]:
    started = Site(gateway)
    state = gateway.state
    state.dispatch = DispatchClient("i-1", started.fake, lambda: CONTROLS, state.counters)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(state.dispatch.run)
        yield started
        nursery.cancel_scope.cancel()


class TestSwitch:
    """Covers which requests ask a coordinator."""

    async def test_engines_with_three_figures_cause_no_message(self, site: Site) -> None:
        """Guards against messages in deployments whose engines do not state their slowness."""

        async def plain(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(
                with_load(STREAM_HEAD % request_id, b"1,0,8") + event(1) + event(2) + b"0\r\n\r\n"
            )

        async def app(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(ANSWER % (request_id, b"1,0,8"))

        await site.add(plain, plain, slowness=None)
        await site.gateway.add("app", app)
        for number in range(5):
            assert is_served(await site.stream(f"s-{number}"))
            assert (await site.gateway.send("/see/x", f"g-{number}")).status == 200
        await trio.sleep(0.6)
        assert not site.fake.requests and not site.fake.reports
        assert not [e for e in site.gateway.state.counters.events if e.startswith("dispatch")]

    async def test_engines_are_coordinated_once_one_has_stated_its_slowness(
        self, site: Site
    ) -> None:
        await site.add(whole, slowness=None)
        assert is_served(await site.stream("s-1"))
        assert not site.fake.requests
        assert is_served(await site.stream("s-2"))
        assert len(site.fake.requests) == 1

    async def test_plain_services_choose_locally(self, site: Site) -> None:
        async def app(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(ANSWER % (request_id, b"1,0,8,250"))

        await site.add(whole)
        await site.gateway.add("app", app)
        for number in range(3):
            assert (await site.gateway.send("/see/x", f"g-{number}")).status == 200
        await trio.sleep(0.2)
        assert not site.fake.requests and not site.fake.reports
        state = site.gateway.state.upstreams.get("u1")
        assert state is not None and 2.0 < state.current_slowness() <= 2.5


class TestPlacedStreams:
    """Covers the way of a placed stream and the report of its end."""

    async def test_stream_goes_where_it_was_placed(self, site: Site) -> None:
        await site.add(whole, whole, whole)
        site.place_on("u2")
        headers = [("Token-Usage", "1460,100")]
        for number in range(4):
            reply = await site.stream(
                f"s-{number}", prefix="sys:1000,own:460", more_headers=headers
            )
            assert is_served(reply)
        assert len(site.upstreams["u2"].requests) == 4
        asked = site.asked()[0]
        assert asked.upstream_ids == ["u0", "u1", "u2"]
        assert (asked.prompt_tokens, asked.output_tokens) == (1460, 100)
        assert (asked.prefix_ids, asked.prefix_tokens) == (["sys", "own"], [1000, 460])
        assert 400.0 < asked.first_event_objective_ms <= 500.0
        assert asked.event_gap_objective_ms == 250.0
        assert site.asked()[-1].connected_ids == ["u2"]
        await site.assert_all_ended()
        kinds = {o.kind for o in site.fake.seen}
        assert kinds >= {"first_event", "ended", "load", "event_interval"}
        loads = [o for o in site.fake.seen if o.kind == "load"]
        assert (loads[0].running, loads[0].slots, loads[0].slowness) == (1, 8, 1.2)
        assert site.count("dispatch_placed") == 4

    async def test_prompt_of_many_parts_is_named_in_part(self, site: Site) -> None:
        """Guards against messages as long as a caller likes."""
        await site.add(whole)
        await site.stream(prefix=",".join(f"p{n}:1" for n in range(1000)))
        asked = site.asked()[0]
        assert len(asked.prefix_ids) == len(asked.prefix_tokens) == 32
        assert (asked.prefix_ids[0], asked.prefix_ids[-1]) == ("p0", "p999")
        assert asked.prompt_tokens == 1000

    @pytest.mark.parametrize("script", [whole, refused, lost, broken, error])
    async def test_end_is_reported_however_the_upstream_ends_the_stream(
        self, site: Site, script: Script
    ) -> None:
        """Guards against a slot that stays taken at the coordinator."""
        await site.add(script)
        with trio.move_on_after(1.0):
            await site.stream()
        await site.assert_all_ended()

    async def test_end_is_reported_when_the_caller_leaves(self, site: Site) -> None:
        await site.add(endless)
        with trio.move_on_after(0.3):
            await site.stream()
        await site.assert_all_ended()

    async def test_end_is_reported_when_the_caller_leaves_before_the_response(
        self, site: Site
    ) -> None:
        """Guards against engines that are avoided because callers have left."""
        await site.add(silent)
        with trio.move_on_after(0.3):
            await site.stream()
        await site.assert_all_ended()
        assert site.fake.cancelled

    async def test_end_is_reported_at_the_deadline(self, site: Site) -> None:
        await site.add(silent)
        reply = await site.stream(more_headers=[("Deadline-Ms", "300")])
        assert reply.status == 504
        await site.assert_all_ended()

    async def test_local_estimate_does_not_stop_a_placed_stream(self, site: Site) -> None:
        """Guards against a refusal by an instance that knows less than the coordinator."""
        await site.add(whole)
        state = site.gateway.state.upstreams.get("u0")
        assert state is not None
        state.first_event_ms_per_load = 5000.0
        assert is_served(await site.stream())

    async def test_expected_and_true_time_are_traced(
        self, site: Site, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        lines: list[dict[str, Any]] = []
        monkeypatch.setattr(
            "briardyke.gateway.trace.log_limited", lambda event, **fields: lines.append(fields)
        )
        await site.add(whole)
        await site.stream()
        await wait_until(lambda: bool(lines))
        assert lines[0]["expected_first_ms"] == 100
        assert 0 < lines[0]["placed_first_ms"] < 100
        assert lines[0]["dispatch_wait_ms"] >= 4


class TestFurtherAttempts:
    """Covers requests that one engine did not serve."""

    @pytest.mark.parametrize(
        ("first", "second"), [(refused, whole), (lost, whole), (broken, remainder)]
    )
    async def test_next_attempt_is_another_request_without_the_engine(
        self, site: Site, first: Script, second: Script
    ) -> None:
        await site.add(first, second)
        site.place_on("u0", "u1")
        assert is_served(await site.stream())
        one, two = site.asked()
        assert one.request_id != two.request_id
        assert (one.upstream_ids, two.upstream_ids) == (["u0", "u1"], ["u1"])
        await site.assert_all_ended()

    async def test_unreachable_engine_is_left_out_of_the_next_request(self, site: Site) -> None:
        await site.add(whole, whole)
        gone = site.gateway.state.upstreams.get("u0")
        assert gone is not None
        gone.pool.address = Address("127.0.0.1", 1)
        site.place_on("u0", "u1")
        assert is_served(await site.stream())
        assert site.asked()[1].upstream_ids == ["u1"]
        await site.assert_all_ended()

    async def test_late_engine_is_hedged_by_a_place_on_another_one(self, site: Site) -> None:
        await site.add(silent, whole)
        site.report_queue("u0")
        site.place_on("u0", "u1")
        assert is_served(await site.stream())
        assert len(site.asked()) == 2
        await site.assert_all_ended()

    async def test_hedge_does_not_wait_for_a_place(self, site: Site) -> None:
        """Guards against a second attempt that keeps a place in the queue for nothing."""

        async def late(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await trio.sleep(1.9)
            await whole(upstream, stream, request_id)

        await site.add(late, whole)
        site.report_queue("u0")

        async def reply(request: DispatchRequest) -> DispatchReply:
            is_first = len(request.upstream_ids) > 1
            return DispatchReply(PLACED, "u0") if is_first else DispatchReply(QUEUED)

        site.fake.reply = reply
        assert is_served(await site.stream())
        await wait_until(lambda: len(site.fake.cancelled) == len(site.asked()) - 1 > 0)
        assert not site.upstreams["u1"].requests

    async def test_stream_that_has_begun_asks_again_after_a_rejection(self, site: Site) -> None:
        """Guards against streams that break off because their caller cannot come back."""
        await site.add(broken, remainder)
        replies = [
            DispatchReply(PLACED, "u0"),
            DispatchReply(REJECTED, retry_after_ms=500.0),
            DispatchReply(PLACED, "u1"),
        ]

        async def reply(request: DispatchRequest) -> DispatchReply:
            return replies.pop(0)

        site.fake.reply = reply
        assert is_served(await site.stream())
        assert not replies

    async def test_placed_engine_loads_a_missing_adapter(self, site: Site) -> None:
        orders: list[AdapterRequest] = []

        async def load(request: AdapterRequest) -> AdapterReply:
            orders.append(request)
            return AdapterReply(request.upstream_ids[0])

        site.gateway.state.adapters._request_adapter = load
        await site.add(whole, whole)
        site.place_on("u1")
        for number in range(2):
            assert is_served(await site.gateway.send("/chat/x", f"s-{number}", "m/a"))
        assert [order.upstream_ids[0] for order in orders] == ["u1"]
        # The engine that has the adapter is the only one that the second request may use.
        assert [r.upstream_ids for r in site.asked()] == [["u0", "u1"], ["u1"]]
        await site.assert_all_ended()

    async def test_place_is_given_up_if_another_engine_has_the_adapter(self, site: Site) -> None:
        async def load(request: AdapterRequest) -> AdapterReply:
            return AdapterReply("u0")

        site.gateway.state.adapters._request_adapter = load
        await site.add(whole, whole)
        site.place_on("u1", "u0")
        assert is_served(await site.gateway.send("/chat/x", "s-1", "m/a"))
        assert [r.upstream_ids for r in site.asked()] == [["u0", "u1"], ["u0"]]
        await site.assert_all_ended()


class TestQueue:
    """Covers requests that wait at the coordinator."""

    async def test_queued_request_keeps_its_id_until_it_is_placed(self, site: Site) -> None:
        await site.add(whole)
        replies = [DispatchReply(QUEUED), DispatchReply(QUEUED), DispatchReply(PLACED, "u0")]

        async def reply(request: DispatchRequest) -> DispatchReply:
            await trio.sleep(0.05)
            return replies.pop(0)

        site.fake.reply = reply
        assert is_served(await site.stream())
        assert len({r.request_id for r in site.asked()}) == 1
        objectives = [r.first_event_objective_ms for r in site.asked()]
        assert objectives == sorted(objectives, reverse=True) and objectives[0] > objectives[2]
        assert site.count("dispatch_queued") == 1
        assert site.count("dispatch_wait_ms") >= 150

    async def test_caller_that_leaves_is_removed_from_the_queue(self, site: Site) -> None:
        await site.add(whole)
        site.fake.reply = self._hold
        with trio.move_on_after(0.25):
            await site.stream()
        await wait_until(lambda: bool(site.fake.cancelled))
        assert set(site.fake.cancelled) == {r.request_id for r in site.asked()}

    @staticmethod
    async def _hold(request: DispatchRequest) -> DispatchReply:
        await trio.sleep(0.1)
        return DispatchReply(QUEUED)

    async def test_wait_ends_before_the_deadline(self, site: Site) -> None:
        """Guards against requests that are held until their callers have given up."""
        await site.add(whole)
        site.fake.reply = self._hold
        started_ms = now_ms()
        reply = await site.stream(more_headers=[("Deadline-Ms", "800")])
        assert now_ms() - started_ms < 800.0
        assert (reply.status, reply.headers[b"x-error-kind"]) == (503, b"overloaded")
        assert not site.upstreams["u0"].requests
        await wait_until(lambda: bool(site.fake.cancelled))

    async def test_wait_ends_with_a_planned_stop(self, site: Site) -> None:
        await site.add(whole)
        site.fake.reply = self._hold
        replies = []

        async def send() -> None:
            replies.append(await site.stream())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await wait_until(lambda: len(site.asked()) > 1)
            site.gateway.state.is_stopping, site.gateway.state.stop_ms = True, now_ms()
        assert replies[0].headers[b"x-error-kind"] == b"draining"
        await wait_until(lambda: bool(site.fake.cancelled))

    async def test_rejection_carries_the_time_of_the_coordinator(self, site: Site) -> None:
        await site.add(whole)
        site.fake.reply = DispatchReply(REJECTED, retry_after_ms=2000.0, reason="full")
        reply = await site.stream()
        assert (reply.status, reply.headers[b"x-error-kind"]) == (503, b"overloaded")
        assert 2.0 <= float(reply.headers[b"retry-after"]) <= 3.0
        assert not site.upstreams["u0"].requests
        assert site.count("dispatch_rejected") == 1

    async def test_rejection_after_a_refusal_carries_it_too(self, site: Site) -> None:
        await site.add(refused, whole)
        replies = [DispatchReply(PLACED, "u0"), DispatchReply(REJECTED, retry_after_ms=2000.0)]

        async def reply(request: DispatchRequest) -> DispatchReply:
            return replies.pop(0)

        site.fake.reply = reply
        answer = await site.stream()
        assert answer.headers[b"x-error-kind"] == b"overloaded"
        assert float(answer.headers[b"retry-after"]) >= 2.0


class TestFailures:
    """Covers coordinators that fail."""

    async def test_silent_coordinator_is_replaced_by_the_next(self, site: Site) -> None:
        await site.add(whole)
        site.fake.silent = {ORDER[0]}
        assert is_served(await site.stream("s-1"))
        started_ms = now_ms()
        assert is_served(await site.stream("s-2"))
        assert now_ms() - started_ms < 200.0
        assert [address for address, _ in site.fake.requests] == [ORDER[0], ORDER[1], ORDER[1]]

    async def test_coordinator_that_falls_silent_leaves_queued_requests_to_the_next(
        self, site: Site
    ) -> None:
        await site.add(whole)

        async def reply(request: DispatchRequest) -> DispatchReply:
            if not site.fake.silent:
                site.fake.silent = {ORDER[0]}
                return DispatchReply(QUEUED)
            return DispatchReply(PLACED, "u0")

        site.fake.reply = reply
        assert is_served(await site.stream())
        assert [address for address, _ in site.fake.requests] == [ORDER[0], ORDER[0], ORDER[1]]

    @pytest.mark.parametrize("kind", ["silent", "lost", "starting", "unlisted"])
    async def test_without_any_coordinator_the_choice_is_local(self, site: Site, kind: str) -> None:
        await site.add(whole, whole)
        if kind == "starting":
            site.fake.reply = None
        elif kind == "unlisted":
            CONTROLS_NOW.clear()
            assert site.gateway.state.dispatch is not None
            site.gateway.state.dispatch._controls = lambda: CONTROLS_NOW
        else:
            setattr(site.fake, kind, set(CONTROLS))
        for number in range(4):
            assert is_served(await site.stream(f"s-{number}"))
        assert site.count("dispatch_fallback") == 4
        assert not site.count("dispatch_placed")

    async def test_unknown_upstream_in_a_reply_is_not_used(self, site: Site) -> None:
        await site.add(whole)
        site.place_on("u9")
        assert is_served(await site.stream())
        await site.assert_all_ended()

    async def test_engines_of_another_service_are_not_coordinated(self, site: Site) -> None:
        """Guards against a check of plain upstreams as if they were engines."""
        assert ENGINE.models
        await site.add(whole, slowness=None)
        await site.gateway.add("app", whole)
        state = site.gateway.state.upstreams.get("u1")
        assert state is not None
        state.slowness = 2.0
        assert is_served(await site.stream())
        assert not site.fake.requests


CONTROLS_NOW: list[Address] = []


class TestClientAccounts:
    """Covers engines without stated slowness for which client accounts compete."""

    async def test_accounts_are_placed_by_the_coordinator(self, site: Site) -> None:
        """Guards against accounts that compete for engines without anything that divides them."""

        async def plain(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(
                with_load(STREAM_HEAD % request_id, b"1,0,8") + event(1) + b"0\r\n\r\n"
            )

        await site.add(plain, slowness=None)
        routes = site.gateway.state.routes
        assert routes is not None
        account = ClientAccount("a", (key_digest(b"k"),), 1)
        site.gateway.state.routes = RouteTable(
            attrs.evolve(routes.configuration, accounts=(account,))
        )
        reply = await site.gateway.send(
            "/chat/x", "s-1", "m", more_headers=[("Authorization", "Bearer k")]
        )
        assert is_served(reply)
        (request,) = site.asked()
        assert (request.account, request.upstream_ids) == ("a", ["u0"])

    async def test_service_with_too_many_engines_is_not_coordinated(
        self, site: Site, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a control instance that is asked for more than it can place.

        With 1,000 engines all control instances were busy and nothing was served.
        """
        await site.add(whole, whole)
        assert site.gateway.state.is_coordinated("pool")
        monkeypatch.setattr("briardyke.gateway.state.MAX_COORDINATED_ENGINES", 1)
        assert not site.gateway.state.is_coordinated("pool")
        assert is_served(await site.stream("s-1"))
        assert not site.fake.requests
