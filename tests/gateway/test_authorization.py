"""Tests for the decision whether a request may run, from its key and the configuration."""

from __future__ import annotations

import attrs
import pytest

from briardyke.accounts.types import AccountQuota, ClientAccount, key_digest
from briardyke.errors import ErrorKind, Ran
from briardyke.gateway.authorization import Identity, authorize
from briardyke.routes.configuration import RequestKind, Route, ServingConfiguration, Target
from briardyke.routes.matching import RouteTable

QUOTA = AccountQuota(100.0, 50.0, is_in_tokens=True, plain_tokens=200)
ACCOUNTS = (
    ClientAccount("hule930", (key_digest(b"k1"), key_digest(b"k2")), 1, QUOTA),
    ClientAccount("plain", (key_digest(b"k3"),)),
)
ROUTE = Route("r", "h", "/", RequestKind.IDEMPOTENT, 3000.0, 300.0, 4, (Target("s"),))
PUBLIC = attrs.evolve(ROUTE, name="p", path_prefix="/p/", is_public=True)
ROUTES = RouteTable(ServingConfiguration(3, (ROUTE, PUBLIC), {}, accounts=ACCOUNTS))
OPEN_ROUTES = RouteTable(ServingConfiguration(3, (ROUTE, PUBLIC), {}))


class TestAuthorize:
    """Covers who a request is attributed to."""

    @pytest.mark.parametrize("key", [b"k1", b"k2"])
    @pytest.mark.parametrize("route", [ROUTE, PUBLIC])
    def test_known_key_names_its_account(self, route: Route, key: bytes) -> None:
        """Guards against a key of an account that does not count, on a public route too."""
        found = authorize(ROUTES, route, key_digest(key), is_proven=True)
        assert found.unwrap() == Identity("hule930", 0, QUOTA)

    def test_account_without_priority_ranks_after_those_that_state_one(self) -> None:
        """Guards against rank 0, the most urgent one, for accounts that state none."""
        found = authorize(ROUTES, ROUTE, key_digest(b"k3"), is_proven=True)
        assert found.unwrap().priority == 1

    @pytest.mark.parametrize("is_proven", [True, False])
    @pytest.mark.parametrize("digest", [None, key_digest(b"other"), b"", bytes(32)])
    def test_anything_else_is_rejected(self, digest: bytes | None, is_proven: bool) -> None:
        """Guards against a request without a valid key that runs."""
        failure = authorize(ROUTES, ROUTE, digest, is_proven=is_proven).unwrap_err()
        assert failure.kind is ErrorKind.UNAUTHENTICATED
        assert failure.answer.http_status == 401

    @pytest.mark.parametrize("is_proven", [True, False])
    @pytest.mark.parametrize("digest", [None, key_digest(b"other")])
    def test_public_route_is_anonymous_without_a_known_key(
        self, digest: bytes | None, is_proven: bool
    ) -> None:
        """Guards against a public route that asks for keys."""
        assert authorize(ROUTES, PUBLIC, digest, is_proven=is_proven).unwrap() == Identity("")

    @pytest.mark.parametrize("is_proven", [True, False])
    @pytest.mark.parametrize("digest", [None, key_digest(b"k1")])
    @pytest.mark.parametrize("route", [ROUTE, PUBLIC])
    def test_without_accounts_nothing_is_asked_or_set(
        self, route: Route, digest: bytes | None, is_proven: bool
    ) -> None:
        """Guards against changed requests in deployments without client accounts."""
        assert authorize(OPEN_ROUTES, route, digest, is_proven=is_proven).unwrap() == Identity()

    def test_known_key_without_proof_is_rejected_and_not_as_unknown(self) -> None:
        """Guards against a revoked key that runs, and against a 401 for one that is valid."""
        failure = authorize(ROUTES, ROUTE, key_digest(b"k1"), is_proven=False).unwrap_err()
        assert failure.kind is ErrorKind.VERSION_UNCONFIRMED
        assert (failure.answer.http_status, failure.answer.ran) == (503, Ran.NO)

    def test_public_route_names_no_account_without_proof(self) -> None:
        """Guards against upstreams that are told of an account whose key may be revoked."""
        found = authorize(ROUTES, PUBLIC, key_digest(b"k1"), is_proven=False)
        assert found.unwrap() == Identity("")
