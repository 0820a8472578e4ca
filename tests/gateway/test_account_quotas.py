"""Tests of requests under the quotas of accounts through a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio
from gateway_support import REFUSAL, Gateway, ScriptedUpstream, wait_until

from briardyke.accounts.types import AccountQuota, ClientAccount, key_digest
from briardyke.clock import boot_ms
from briardyke.http.memory_budget import MemoryBudget
from briardyke.quotas.bounds import QuotaBounds
from briardyke.quotas.credits import AccountCredits
from briardyke.quotas.leader import LeaderBuckets
from briardyke.quotas.messages import QuotaRequest
from briardyke.routes.matching import RouteTable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gateway_support import Reply

    from briardyke.quotas.messages import QuotaReply

RESPONSE = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
BOUNDS = QuotaBounds()
# The bucket holds a little more than 10,000 tokens and refills by one a second.
QUOTA = AccountQuota(1.0, 10_000.0, True, 200)
ACCOUNTS = (
    ClientAccount("limited", (key_digest(b"k-limited"),), quota=QUOTA),
    ClientAccount("free", (key_digest(b"k-free"),)),
)


async def respond(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    await stream.send_all(RESPONSE % request_id)


async def refuse(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    await stream.send_all(REFUSAL % request_id)


async def fail(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    await stream.send_all(
        b"HTTP/1.1 500 Error\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n" % request_id
    )


@attrs.define
class Leader:
    """Leader whose buckets are full; it can be silent."""

    buckets: LeaderBuckets = attrs.field(factory=lambda: LeaderBuckets(BOUNDS, 1))
    requests: list[QuotaRequest] = attrs.field(factory=list)
    is_silent: bool = False

    def __attrs_post_init__(self) -> None:
        quotas = {account.name: account.quota for account in ACCOUNTS}
        self.buckets.update_quotas(quotas, boot_ms() - 1e8)

    async def request_quota(self, request: QuotaRequest) -> QuotaReply | None:
        self.requests.append(request)
        await trio.sleep(0.001)
        return None if self.is_silent else self.buckets.answer(request, boot_ms())


@pytest.fixture
async def leader(gateway: Gateway) -> Leader:
    """Return the leader that the gateway asks, with accounts in force."""
    found = Leader()
    state = gateway.state
    assert state.routes is not None
    state.routes = RouteTable(attrs.evolve(state.routes.configuration, accounts=ACCOUNTS))
    state.credits = AccountCredits("e", BOUNDS, found.request_quota)
    gateway.run_beside(state.credits.run)
    return found


async def send(
    gateway: Gateway,
    key: str = "k-limited",
    path: str = "/buy/x",
    more_headers: Sequence[tuple[str, str]] = (),
) -> Reply:
    headers = [("Authorization", f"Bearer {key}"), *more_headers]
    return await gateway.send(path, "r-1", more_headers=headers)


def used(leader: Leader) -> float:
    """Return the tokens taken from the bucket of the account with a quota."""
    bucket = leader.buckets.bucket("limited")
    bucket.refill(boot_ms())
    return bucket.allowance.capacity - bucket.level


class TestCharge:
    """Covers what requests count, and the answer over the quota."""

    @pytest.mark.parametrize(
        ("usage", "tokens"),
        [("1460,200", 1660.0), ("", 200.0), ("-1,5", 200.0), ("x", 200.0), ("0,0", 0.0)],
    )
    async def test_request_counts_both_numbers_or_the_stated_default(
        self, gateway: Gateway, leader: Leader, usage: str, tokens: float
    ) -> None:
        await gateway.add("app", respond)
        headers = [("Token-Usage", usage)] if usage else []
        assert (await send(gateway, more_headers=headers)).status == 200
        assert used(leader) == pytest.approx(tokens, abs=1.0)

    async def test_request_over_the_quota_gets_429_with_the_time_to_come_back(
        self, gateway: Gateway, leader: Leader
    ) -> None:
        upstream = await gateway.add("app", respond)
        usage = [("Token-Usage", "6000,0")]
        assert (await send(gateway, more_headers=usage)).status == 200
        reply = await send(gateway, more_headers=usage)
        assert reply.status == 429
        missing = 12_000.0 - leader.buckets.bucket("limited").allowance.capacity
        assert float(reply.headers[b"retry-after"]) >= missing * 0.99  # one token a second
        assert len(upstream.requests) == 1

    async def test_huge_request_is_refused_without_a_message(
        self, gateway: Gateway, leader: Leader
    ) -> None:
        await gateway.add("app", respond)
        reply = await send(gateway, more_headers=[("Token-Usage", "99999999999999,1")])
        assert (reply.status, leader.requests) == (429, [])

    async def test_account_without_quota_costs_no_message(
        self, gateway: Gateway, leader: Leader
    ) -> None:
        await gateway.add("app", respond)
        for _ in range(5):
            assert (await send(gateway, "k-free")).status == 200
        assert leader.requests == []

    async def test_rejected_key_costs_no_message(self, gateway: Gateway, leader: Leader) -> None:
        await gateway.add("app", respond)
        assert (await send(gateway, "unknown")).status == 401
        assert leader.requests == []


class TestRefusedRequests:
    """Covers what a refused request leaves behind."""

    async def test_refusals_leave_no_share_of_the_memory_budget(
        self, gateway: Gateway, leader: Leader
    ) -> None:
        """Guards against memory that grows with the refusals of a hot account."""
        await gateway.add("app", respond)
        usage = [("Token-Usage", "6000,0")]
        assert (await send(gateway, more_headers=usage)).status == 200
        budget = gateway.state.response_buffers.memory = MemoryBudget()
        before = len(budget._shares)
        for _ in range(5):
            assert (await send(gateway, more_headers=usage)).status == 429
        assert len(budget._shares) == before


class TestRefund:
    """Covers requests that were charged and did not run."""

    async def test_request_that_every_upstream_refused_is_refunded(
        self, gateway: Gateway, leader: Leader
    ) -> None:
        """Guards against accounts that are refused below their quota after refusals."""
        upstream = await gateway.add("app", refuse)
        usage = [("Token-Usage", "6000,0")]
        assert (await send(gateway, more_headers=usage)).status == 503
        upstream.script = respond
        assert (await send(gateway, more_headers=usage)).status == 200

    async def test_request_without_an_upstream_is_refunded(
        self, gateway: Gateway, leader: Leader
    ) -> None:
        usage = [("Token-Usage", "6000,0")]
        headers = [*usage, ("Deadline-Ms", "300")]
        assert (await send(gateway, more_headers=headers)).status == 503
        await gateway.add("app", respond)
        assert (await send(gateway, more_headers=usage)).status == 200

    async def test_request_whose_caller_leaves_before_an_attempt_is_refunded(
        self, gateway: Gateway, leader: Leader
    ) -> None:
        """Guards against callers that give up, return, and are refused below their quota."""
        usage = [("Token-Usage", "6000,0")]
        with trio.move_on_after(0.2):
            await send(gateway, more_headers=usage)
        await trio.sleep(0.05)
        await gateway.add("app", respond)
        assert (await send(gateway, more_headers=usage)).status == 200

    async def test_request_that_may_have_run_stays_charged(
        self, gateway: Gateway, leader: Leader
    ) -> None:
        await gateway.add("app", fail)
        usage = [("Token-Usage", "6000,0")]
        assert (await send(gateway, more_headers=usage)).status >= 500
        assert (await send(gateway, more_headers=usage)).status == 429


class TestWithoutLeader:
    """Covers requests while no leader replies."""

    async def test_request_waits_for_the_next_leader(
        self, gateway: Gateway, leader: Leader
    ) -> None:
        await gateway.add("app", respond)
        leader.is_silent = True
        replies: list[Reply] = []

        async def ask() -> None:
            replies.append(await send(gateway))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await wait_until(lambda: len(leader.requests) >= 2)
            assert replies == []
            leader.is_silent = False
        assert replies[0].status == 200

    async def test_request_is_rejected_as_not_run_after_a_quarter_of_its_time(
        self, gateway: Gateway, leader: Leader
    ) -> None:
        upstream = await gateway.add("app", respond)
        leader.is_silent = True
        with trio.fail_after(1.0):
            reply = await send(gateway, more_headers=[("Deadline-Ms", "400")])
        assert (reply.status, upstream.requests) == (503, [])
        assert b"retry-after" in reply.headers

    async def test_caller_that_leaves_while_it_waits_costs_nothing(
        self, gateway: Gateway, leader: Leader
    ) -> None:
        await gateway.add("app", respond)
        leader.is_silent = True
        with trio.move_on_after(0.1):
            await send(gateway, more_headers=[("Token-Usage", "6000,0")])
        await trio.sleep(0.05)
        leader.is_silent = False
        assert (await send(gateway, more_headers=[("Token-Usage", "6000,0")])).status == 200


class TestCounters:
    """Covers what an operator sees of an account."""

    async def test_page_has_admitted_and_refused_requests_by_account(
        self, gateway: Gateway, leader: Leader
    ) -> None:
        await gateway.add("app", respond)
        for _ in range(2):
            await send(gateway, more_headers=[("Token-Usage", "6000,0")])
        use = gateway.state.account_use.shown()["limited"]
        assert (use.admitted, use.tokens, use.refused) == (1, 6000.0, {"over_quota": 1})
        page = gateway.state.counters.prometheus_text()
        assert b'gateway_account_refused_total{account="limited"' in page
