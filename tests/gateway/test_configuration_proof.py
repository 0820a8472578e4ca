"""Tests that keys are accepted only under a configuration that is provably recent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio
from test_accounts import ACCOUNTS, KEY, bearer, respond, use_accounts

from briardyke.clock import boot_ms
from briardyke.gateway.configuration_proof import ConfigurationProof
from briardyke.gateway.state import GatewayState, RetryBounds
from briardyke.platform.headers import PlatformDialect

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
        self.proof.record_renewal()


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


class TestVisibility:
    """Covers what an operator sees of the proof and of rejections."""

    async def test_loss_and_return_are_logged_once(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a line for each request, and against a silent loss of service."""
        events: list[str] = []
        monkeypatch.setattr(
            "briardyke.gateway.configuration_proof.log_event", lambda name, **_: events.append(name)
        )
        proof = Proof()
        proof.proof.observe()
        assert events == []  # nothing was lost yet
        for _ in range(3):
            proof.renew()
        proof.as_of_ms -= REVOCATION_MS
        for _ in range(3):
            proof.proof.observe()
        assert events == ["configuration_proven", "configuration_unproven"]

    async def test_rejections_are_counted_by_reason(self, gateway: Gateway) -> None:
        """Guards against an operator who cannot tell wrong keys from a missing proof."""
        proof = require_proof(gateway)
        await gateway.add("app", respond)
        short = ("Deadline-Ms", "100")
        await gateway.send("/buy/x", "r-1", more_headers=[short])
        await gateway.send("/buy/x", "r-2", more_headers=[bearer("unknown"), short])
        await gateway.send("/buy/x", "r-3", more_headers=[bearer(KEY), short])
        proof.renew()
        await gateway.send("/buy/x", "r-4", more_headers=[bearer(KEY), short])
        counted = gateway.state.counters.events
        reasons = ("no_key", "unknown_key", "unproven")
        assert [counted.get("authorization_" + reason) for reason in reasons] == [1, 1, 1]

    async def test_age_of_the_proof_is_a_metric(self) -> None:
        """Guards against an age that operators cannot watch, or see where none is required."""
        as_of_ms = boot_ms() - 1200.0
        for bound_ms, is_shown in ((5000.0, True), (None, False)):
            state = GatewayState(
                PlatformDialect(),
                "dc",
                RetryBounds(1.0, 1.0, 1.0),
                lambda request: None,  # type: ignore[arg-type,return-value]
                proof=ConfigurationProof(bound_ms, lambda: as_of_ms),
            )
            figures = state.counters._observe()
            assert ("gateway_configuration_proof_age_ms" in figures) is is_shown
            if is_shown:
                value = figures["gateway_configuration_proof_age_ms"][0][0]
                assert 1200.0 <= value < 2200.0


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
