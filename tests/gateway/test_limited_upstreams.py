"""Tests for the permits of many entry instances at an upstream with a limit."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import attrs
import pytest
import trio

from briardyke.clock import now_ms
from briardyke.fleet.records import READY, Upstream
from briardyke.gateway.counters import Counters
from briardyke.gateway.limited_upstreams import LimitedUpstreams
from briardyke.upstream_limits.granter import PermitGranter
from briardyke.upstream_limits.statements import UNCONFIRMED_TTL_MS, KnownLimits

if TYPE_CHECKING:
    from gateway_support import Gateway, ScriptedUpstream

    from briardyke.fleet.messages import PermitReply, PermitRequest

ROW = Upstream("u", 1, 1, "app", "127.0.0.1:1", "dc", READY, 8)
OTHER = Upstream("o", 1, 1, "app", "127.0.0.1:2", "dc", READY, 8)


@attrs.define
class State:
    """State of an upstream, of which only the row matters here."""

    row: Upstream


@attrs.define
class Leader:
    """Leader that entry instances can reach unless the test says otherwise."""

    term: int | None = 1
    is_reachable: bool = True
    delay_s: float = 0.002
    limits: KnownLimits = attrs.field(factory=KnownLimits)
    asked: int = 0
    granter: PermitGranter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        control: Any = self
        self.granter = PermitGranter(control)

    @property
    def rows(self) -> Any:
        return self

    def leading_term(self) -> int | None:
        return self.term

    async def request_permit(self, request: PermitRequest) -> PermitReply | None:
        self.asked += 1
        await trio.sleep(self.delay_s)
        if not self.is_reachable:
            return None
        reply = await self.granter.grant(request)
        await trio.sleep(self.delay_s)
        return reply


@attrs.define
class Callers:
    """Callers of many entry instances that have a request for the same upstream.

    :param instances: the entry instances.
    :param others: upstreams that could run the requests as well.
    :param sent_ms: time of each request that was sent to the upstream with the limit.
    """

    instances: list[LimitedUpstreams]
    others: list[Any] = attrs.field(factory=list)
    sent_ms: list[float] = attrs.field(factory=list)

    async def run(self, duration_s: float, per_s: float, seed: int) -> None:
        rng = random.Random(seed)
        end_s = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                await trio.sleep(rng.expovariate(per_s))
                nursery.start_soon(self._send, rng.choice(self.instances))

    async def _send(self, instance: LimitedUpstreams) -> None:
        able: list[Any] = [State(ROW), *self.others]
        if all(c.row is not ROW for c in instance.admitted(able)):
            return
        wait_ms = await instance.take_permit(ROW, able)
        if wait_ms is None:
            return
        await trio.sleep(wait_ms / 1000.0)
        sent_ms = now_ms()
        self.sent_ms.append(sent_ms)
        await trio.sleep(0.05)
        instance.record(ROW, 1.0, sent_ms)

    def most_in_window(self, since_ms: float) -> int:
        counted = [s for s in self.sent_ms if s >= since_ms]
        return max((sum(s <= t < s + 4000.0 for t in counted) for s in counted), default=0)


def instances(leader: Leader, count: int) -> list[LimitedUpstreams]:
    """Return entry instances that have received a response with a limit of 1 a second."""
    found = [LimitedUpstreams(leader.request_permit, Counters()) for _ in range(count)]
    for instance in found:
        instance.record(ROW, 1.0, now_ms())
    return found


class TestManyInstances:
    """Covers a limit that is below one request for each instance in a window."""

    @pytest.mark.parametrize("count", [7, 65, 191])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    async def test_sum_keeps_to_the_limit_and_uses_it(
        self, autojump_clock: trio.testing.MockClock, count: int, seed: int
    ) -> None:
        leader = Leader()
        callers = Callers(instances(leader, count))
        since_ms = now_ms()
        await callers.run(30.0, 20.0, seed)
        assert callers.most_in_window(since_ms) <= 11
        assert len(callers.sent_ms) >= 24

    async def test_denied_instance_asks_again_only_when_a_slot_is_near(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        leader = Leader()
        callers = Callers(instances(leader, 7))
        await callers.run(30.0, 100.0, 1)
        assert leader.asked <= 7 * 2 * 31

    async def test_other_upstream_is_used_instead_of_waiting(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        leader = Leader()
        callers = Callers(instances(leader, 7), [State(OTHER)])
        started_ms = now_ms()
        await callers.run(30.0, 20.0, 1)
        assert callers.most_in_window(started_ms) <= 11


class TestLeaderChange:
    """Covers permits while no leader can be asked, and after another one was elected."""

    @pytest.mark.parametrize("seed", range(5))
    async def test_changing_leaders_grant_no_more_than_the_limit(
        self, autojump_clock: trio.testing.MockClock, seed: int
    ) -> None:
        leader = Leader()
        callers = Callers(instances(leader, 20))
        rng = random.Random(seed)

        async def change_leaders() -> None:
            for term in range(2, 20):
                await trio.sleep(rng.uniform(0.5, 3.0))
                leader.is_reachable = False
                await trio.sleep(rng.uniform(1.0, 2.0))
                leader.is_reachable, leader.term = True, term

        since_ms = now_ms()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(change_leaders)
            await callers.run(60.0, 30.0, seed)
            nursery.cancel_scope.cancel()
        assert callers.most_in_window(since_ms) <= 11

    async def test_nothing_is_sent_without_a_leader(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        leader = Leader(is_reachable=False)
        callers = Callers(instances(leader, 7))
        await callers.run(10.0, 20.0, 1)
        assert callers.sent_ms == []


class TestSpread:
    """Covers instances that learn of a limit from others."""

    async def test_statement_of_another_instance_binds_as_well(self) -> None:
        leader = Leader()
        told, other = instances(leader, 1)[0], LimitedUpstreams(leader.request_permit, Counters())
        other.adopt(told.reported())
        assert other.limit_per_s(ROW) == 1.0
        assert other.reported() == []

    async def test_end_of_a_limit_is_reported_by_an_instance_that_was_never_told_of_it(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against a limit that each of hundreds of instances has to see ended."""
        leader = Leader()
        told, other, third = (LimitedUpstreams(leader.request_permit, Counters()) for _ in range(3))
        told.record(ROW, 1.0, now_ms())
        other.adopt(told.reported())
        third.adopt(told.reported())
        await trio.sleep(1.0)
        other.record(ROW, None, now_ms())
        third.adopt(other.reported())
        assert third.limit_per_s(ROW) is None

    async def test_restarted_upstream_has_no_limit(self) -> None:
        told = instances(Leader(), 1)[0]
        assert told.limit_per_s(attrs.evolve(ROW, incarnation=2)) is None


class TestSlowUpstream:
    """Covers a request that waits on a slow upstream beside one with a limit."""

    async def test_it_is_not_given_up_for_an_upstream_without_a_slot(
        self, gateway: Gateway
    ) -> None:
        async def slow(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await trio.sleep(1.5)
            head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n" % request_id
            await stream.send_all(head + b"Content-Length: 2\r\n\r\nok")

        await gateway.add("app", slow)
        for _ in range(4):  # in flight elsewhere, so that the other upstream has the smaller load
            gateway.state.upstreams.usable("app")[0].in_flight += 1
        limited = await gateway.add("app", slow)
        row = gateway.rows["u1"]
        gateway.state.limits.record(row, 1.0, now_ms())
        reply = await gateway.send("/see/x", "r-1")
        assert (reply.status, reply.body) == (200, b"ok")
        assert limited.requests == []


class TestMemory:
    """Covers limits of upstreams that have gone."""

    async def test_old_limits_are_forgotten(self, autojump_clock: trio.testing.MockClock) -> None:
        instance = instances(Leader(), 1)[0]
        await trio.sleep(UNCONFIRMED_TTL_MS / 1000.0)
        instance.adopt([])
        assert instance.limit_per_s(ROW) is None
