"""Tests of requests with API keys through a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio

from briardyke.accounts.types import ClientAccount, key_digest
from briardyke.routes.configuration import RequestKind, Route, Target
from briardyke.routes.matching import RouteTable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gateway_support import Gateway, ScriptedUpstream

RESPONSE = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
KEY = "asnmgkcuyj8pjbvk9m68"
ACCOUNTS = (
    ClientAccount("hule930", (key_digest(KEY.encode()),), 3),
    ClientAccount("unranked", (key_digest(b"u1"),)),
)
PUBLIC = Route(
    *("open", "h", "/open/", RequestKind.IDEMPOTENT, 3000.0, 300.0, 1, (Target("app", 1),)),
    is_public=True,
)


async def respond(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    await stream.send_all(RESPONSE % request_id)


def use_accounts(gateway: Gateway, accounts: Sequence[ClientAccount] = ACCOUNTS) -> None:
    """Put client accounts and a public route in force."""
    assert gateway.state.routes is not None
    held = gateway.state.routes.configuration
    gateway.state.routes = RouteTable(
        attrs.evolve(held, routes=(*held.routes, PUBLIC), accounts=tuple(accounts))
    )


def bearer(key: str) -> tuple[str, str]:
    return ("Authorization", "Bearer " + key)


class TestForwardedIdentity:
    """Covers what upstreams receive of the caller's identity."""

    @pytest.mark.parametrize(
        ("key", "account", "priority"),
        [(KEY, b"hule930", b"0"), ("u1", b"unranked", b"1")],
    )
    async def test_upstream_gets_the_account_and_its_priority_and_no_key(
        self, gateway: Gateway, key: str, account: bytes, priority: bytes
    ) -> None:
        """Guards against a forwarded key, and against an account that the caller states."""
        use_accounts(gateway)
        upstream = await gateway.add("app", respond)
        headers = [bearer(key), ("Tenant", "another")]
        assert (await gateway.send("/buy/x", "r-1", more_headers=headers)).status == 200
        received = upstream.heads[0]
        assert [v for n, v in received if n == b"tenant"] == [account]
        assert [v for n, v in received if n == b"priority-class"] == [priority]
        assert not any(n == b"authorization" or key.encode() == v for n, v in received)

    async def test_public_route_forwards_no_identity_of_the_caller(self, gateway: Gateway) -> None:
        """Guards against callers that name an account on a route that needs no key."""
        use_accounts(gateway)
        upstream = await gateway.add("app", respond)
        headers = [bearer("unknown"), ("Tenant", "hule930")]
        assert (await gateway.send("/open/x", "r-1", more_headers=headers)).status == 200
        assert not {b"tenant", b"authorization"} & {name for name, _ in upstream.heads[0]}

    async def test_public_route_names_the_account_of_a_known_key(self, gateway: Gateway) -> None:
        """Guards against an account that loses its name on a public route."""
        use_accounts(gateway)
        upstream = await gateway.add("app", respond)
        await gateway.send("/open/x", "r-1", more_headers=[bearer(KEY)])
        assert (b"tenant", b"hule930") in upstream.heads[0]

    async def test_without_accounts_the_caller_s_headers_are_passed_on(
        self, gateway: Gateway
    ) -> None:
        """Guards against changes in deployments without client accounts."""
        upstream = await gateway.add("app", respond)
        headers = [bearer("any"), ("Tenant", "own")]
        assert (await gateway.send("/see/x", "r-1", more_headers=headers)).status == 200
        received = upstream.heads[0]
        assert (b"authorization", b"Bearer any") in received
        assert (b"tenant", b"own") in received


class TestRejection:
    """Covers requests that must not run."""

    async def test_request_without_a_valid_key_is_rejected_at_once(self, gateway: Gateway) -> None:
        """Guards against an unauthenticated request that waits, runs or counts as demand."""
        use_accounts(gateway)
        upstream = await gateway.add("app", respond)
        with trio.fail_after(1):
            reply = await gateway.send("/buy/x", "r-1", more_headers=[bearer("unknown")])
        assert reply.status == 401
        assert reply.headers[b"www-authenticate"] == b"Bearer"
        assert b"retry-after" not in reply.headers
        assert upstream.requests == []
        assert gateway.state.demand.demand() == {}

    async def test_nothing_runs_before_the_first_configuration(self, gateway: Gateway) -> None:
        """Guards against a start at which every key is accepted, or refused for good."""
        upstream = await gateway.add("app", respond)
        gateway.state.routes = None
        headers = [bearer(KEY), ("Deadline-Ms", "200")]
        reply = await gateway.send("/buy/x", "r-1", more_headers=headers)
        assert reply.status == 503
        assert upstream.requests == []
