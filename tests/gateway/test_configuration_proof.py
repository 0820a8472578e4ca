"""Tests that keys are accepted only under a configuration that is provably recent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio
from test_accounts import ACCOUNTS, KEY, bearer, respond, use_accounts

from briardyke.clock import boot_ms
from briardyke.gateway.configuration_proof import ConfigurationProof

if TYPE_CHECKING:
    from gateway_support import Gateway

REVOCATION_MS = 5000.0


@attrs.define
class Proof:
    """Proof of a gateway's configuration, which the test renews.

    :param requests: how often a renewal was asked for.
    """

    as_of_ms: float = float("-inf")
    requests: int = 0
    proof: ConfigurationProof = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.proof = ConfigurationProof(REVOCATION_MS, lambda: self.as_of_ms, self._request)

    def _request(self) -> None:
        self.requests += 1

    def renew(self) -> None:
        self.as_of_ms = boot_ms()
        self.proof.renewed.notify()


def require_proof(gateway: Gateway) -> Proof:
    """Put accounts in force with a strict revocation."""
    use_accounts(gateway)
    found = Proof()
    gateway.state.proof = found.proof
    return found


class TestAge:
    """Covers the age up to which a proof counts."""

    @pytest.mark.parametrize(
        ("age_ms", "is_valid"), [(0.0, True), (4700.0, True), (4751.0, False), (1e9, False)]
    )
    async def test_proof_counts_below_the_bound(self, age_ms: float, is_valid: bool) -> None:
        """Guards against a check without a margin below the bound."""
        as_of_ms = boot_ms() - age_ms
        assert ConfigurationProof(REVOCATION_MS, lambda: as_of_ms).is_valid is is_valid

    async def test_no_proof_at_all(self) -> None:
        """Guards against a start that counts as proof."""
        assert not ConfigurationProof(REVOCATION_MS).is_valid

    async def test_without_a_bound_no_proof_is_needed(self) -> None:
        """Guards against rejections in deployments without strict revocation."""
        assert ConfigurationProof(None).is_valid


class TestWithoutProof:
    """Covers an instance that cannot know whether a key has been revoked."""

    async def test_known_key_is_rejected_after_a_fraction_of_the_callers_time(
        self, gateway: Gateway
    ) -> None:
        """Guards against a revoked key that runs, and a request held until its deadline."""
        proof = require_proof(gateway)
        upstream = await gateway.add("app", respond)
        headers = [bearer(KEY), ("Deadline-Ms", "400")]
        started = trio.current_time()
        reply = await gateway.send("/buy/x", "r-1", more_headers=headers)
        assert 0.09 <= trio.current_time() - started < 0.35
        assert reply.status == 503
        assert b"retry-after" in reply.headers
        assert upstream.requests == []
        assert proof.requests == 1

    async def test_unknown_key_is_rejected_at_once(self, gateway: Gateway) -> None:
        """Guards against clients without a valid key that make requests wait."""
        proof = require_proof(gateway)
        with trio.fail_after(1):
            reply = await gateway.send("/buy/x", "r-1", more_headers=[bearer("unknown")])
        assert (reply.status, proof.requests) == (401, 0)

    async def test_public_route_is_served_and_names_no_account(self, gateway: Gateway) -> None:
        """Guards against public routes that stop with the control instances."""
        require_proof(gateway)
        upstream = await gateway.add("app", respond)
        reply = await gateway.send("/open/x", "r-1", more_headers=[bearer(KEY)])
        assert reply.status == 200
        assert not {b"tenant", b"authorization"} & {name for name, _ in upstream.heads[0]}


class TestRenewal:
    """Covers requests that wait while the proof returns."""

    @pytest.mark.parametrize("is_revoked", [False, True])
    async def test_waiting_requests_are_decided_by_what_is_in_force_then(
        self, gateway: Gateway, is_revoked: bool
    ) -> None:
        """Guards against a decision by the configuration from before the wait."""
        proof = require_proof(gateway)
        await gateway.add("app", respond)
        statuses = []

        async def send(request_id: str) -> None:
            reply = await gateway.send("/buy/x", request_id, more_headers=[bearer(KEY)])
            statuses.append(reply.status)

        async with trio.open_nursery() as nursery:
            for number in range(5):
                nursery.start_soon(send, f"r-{number}")
            await trio.sleep(0.1)
            assert statuses == []
            use_accounts(gateway, ACCOUNTS[1:] if is_revoked else ACCOUNTS)
            proof.renew()
        assert statuses == [401 if is_revoked else 200] * 5
        assert proof.requests == 1
