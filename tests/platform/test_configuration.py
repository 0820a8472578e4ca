"""Contract tests for the platform's configuration document."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from briardyke.accounts.types import AccountQuota, key_digest
from briardyke.errors import ErrorKind
from briardyke.platform.configuration import decode_configuration
from briardyke.routes.configuration import RequestKind, Target

DOCUMENT: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "ficu95.example",
            "path_prefix": "/pufi791/",
            "kind": "streaming",
            "timeout_ms": 25000,
            "target_latency_ms": 5000,
            "priority": 2,
            "service": "pool",
            "max_attempts": 1,
            "sticky": True,
            "resumable": False,
            "gap_target_ms": 250,
        },
        {
            "name": "r-2",
            "host": "ficu95.example",
            "path_prefix": "/lohu930/",
            "kind": "idempotent",
            "timeout_ms": 15000,
            "target_latency_ms": 500,
            "priority": 1,
            "split": [{"service": "pool", "weight": 90}, {"service": "app", "weight": 10}],
            "max_attempts": 2,
        },
    ],
    "services": [
        {
            "name": "pool",
            "health_path": "/health",
            "max_conns": 360,
            "engine": {
                "slots": 64,
                "kv_capacity": 141676,
                "weights_mb": 200000.0,
                "adapter_slots": 8,
                "loads_per_s": 1.6,
                "models": [
                    {
                        "name": "m",
                        "weights_mb": 65500.0,
                        "load_s": 5.8,
                        "adapters": 42,
                        "adapter_mb": 40.0,
                        "warm_s": 0.57,
                        "disk_s": 1.2,
                    }
                ],
            },
        },
        {"name": "app", "health_path": "/health", "max_conns": 100},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}

MODEL: dict[str, Any] = DOCUMENT["services"][0]["engine"]["models"][0]


def changed(path: list[Any], value: Any) -> bytes:
    """Return the document with one field replaced."""
    document = copy.deepcopy(DOCUMENT)
    place: Any = document
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = value
    return json.dumps(document).encode()


class TestDecodeConfiguration:
    """Covers what the operator may send."""

    def test_whole_document_is_read(self) -> None:
        read = decode_configuration(json.dumps(DOCUMENT).encode()).unwrap()
        first, second = read.routes
        assert (first.kind, first.latency_objective_ms) == (RequestKind.STREAMING, 5000.0)
        assert (first.event_gap_objective_ms, first.is_retryable) == (250.0, False)
        assert second.targets == (Target("pool", 90.0), Target("app", 10.0))
        engine = read.services["pool"].engine
        assert engine is not None
        assert engine.models["m"].disk_load_s == 1.2
        assert read.services["app"].engine is None
        assert read.limits.idle_timeout_ms == 15000.0

    @pytest.mark.parametrize(
        ("body", "reason"),
        [
            (json.dumps(DOCUMENT).encode()[:-40], "cannot read"),
            (b"", "cannot read"),
            (b"[]", "cannot read"),
            (b"\xff\xfe", "cannot read"),
            (changed(["version"], "7"), "whole number"),
            (changed(["version"], True), "whole number"),
            (changed(["version"], 7.0), "whole number"),
            (changed(["version"], -1), "whole number"),
            (changed(["version"], 10**30), "cannot read"),
            (changed(["routes", 0, "timeout_ms"], float("inf")), "cannot read"),
            (changed(["routes", 0, "priority"], 10**400), "cannot read"),
            (changed(["services", 0, "name"], "\ud800"), "cannot read"),
            (b"[" * 100_000 + b"]" * 100_000, "cannot read"),
            (changed(["routes", 0, "service"], "nobody"), "unknown service nobody"),
            (changed(["routes", 0, "path_prefix"], "/lohu930/"), "share host and prefix"),
            (changed(["routes", 1, "split", 0, "service"], "nobody"), "unknown service nobody"),
            (changed(["routes", 0, "timeout_ms"], 0), "no timeout"),
            (changed(["routes", 0, "kind"], "sometimes"), "cannot read"),
            (changed(["services", 0], {"health_path": "/"}), "cannot read"),
            (json.dumps(DOCUMENT).encode("utf-16"), "cannot read"),
            (json.dumps(DOCUMENT).encode()[:-1] + b', "version": 8}', "duplicate name"),
            (changed(["routes", 0, "priority"], 1.5), "whole number"),
            (changed(["routes", 0, "max_attempts"], "2"), "whole number"),
            (changed(["routes", 0, "target_latency_ms"], -1), "a number from 0"),
            (changed(["routes", 0, "resumable"], "false"), "true or false"),
            (changed(["services", 0, "max_conns"], -1), "whole number"),
            (changed(["services", 0, "engine", "slots"], "64"), "whole number"),
            (changed(["services", 0, "engine", "slots"], 1e300), "whole number"),
            (changed(["services", 0, "engine", "slots"], 0), "whole number"),
            (changed(["services", 0, "engine", "models", 0, "load_s"], -1), "a number from 0"),
            (changed(["services", 1, "name"], "pool"), "two services are named pool"),
            (
                changed(["services", 0, "engine", "models"], [{**MODEL}, {**MODEL}]),
                "two models of service pool are named m",
            ),
            (changed(["limits", "idle_timeout_ms"], -1), "a number from 0"),
            (changed(["limits", "idle_timeout_ms"], 0), "limit idle_timeout_ms"),
            (changed(["limits", "max_body_bytes"], 0), "limit max_body_bytes"),
        ],
    )
    def test_invalid_document_is_refused_with_its_reason(self, body: bytes, reason: str) -> None:
        failure = decode_configuration(body).unwrap_err()
        assert failure.kind is ErrorKind.CONFIGURATION_INVALID
        assert reason in failure.message

    def test_weights_that_add_up_to_zero_are_refused(self) -> None:
        split = [{"service": "pool", "weight": 0}, {"service": "app", "weight": 0}]
        failure = decode_configuration(changed(["routes", 1, "split"], split)).unwrap_err()
        assert "add up to 0" in failure.message

    def test_every_reason_is_told(self) -> None:
        document = copy.deepcopy(DOCUMENT)
        document["routes"][0]["timeout_ms"] = 0
        document["routes"][0]["service"] = "nobody"
        failure = decode_configuration(json.dumps(document).encode()).unwrap_err()
        assert len(failure.reasons) == 2


ACCOUNT: dict[str, Any] = {
    "name": "hule930",
    "api_keys": ["k-1", "k-2"],
    "priority": 1,
    "unit": "tokens",
    "plain_tokens": 200,
    "rate_per_s": 122585,
    "burst": 122585,
}


def with_accounts(*accounts: dict[str, Any]) -> bytes:
    """Return the document with client accounts."""
    return json.dumps(DOCUMENT | {"tenants": list(accounts)}).encode()


class TestClientAccounts:
    """Covers the client accounts of a document."""

    def test_account_is_read_and_its_keys_are_kept_as_digests(self) -> None:
        read = decode_configuration(with_accounts(ACCOUNT)).unwrap()
        (account,) = read.accounts
        assert (account.name, account.priority) == ("hule930", 1)
        assert account.key_digests == (key_digest(b"k-1"), key_digest(b"k-2"))
        assert account.quota == AccountQuota(122585.0, 122585.0, True, 200)
        assert "k-1" not in repr(read)

    def test_quota_and_priority_may_be_absent(self) -> None:
        read = decode_configuration(with_accounts({"name": "a", "api_keys": []})).unwrap()
        assert not read.accounts[0].quota.is_limited
        assert read.accounts[0].priority is None

    def test_route_is_public_only_where_it_says_so(self) -> None:
        read = decode_configuration(changed(["routes", 0, "public"], True)).unwrap()
        assert [route.is_public for route in read.routes] == [True, False]

    @pytest.mark.parametrize(
        ("accounts", "reason"),
        [
            ([ACCOUNT, ACCOUNT | {"name": "b", "api_keys": ["k-2"]}], "share a key"),
            ([ACCOUNT, ACCOUNT | {"api_keys": ["k-3"]}], "two client accounts are named"),
            ([ACCOUNT | {"name": ""}], "no name"),
            ([ACCOUNT | {"name": "a\nTenant: b"}], "not printable"),
            ([ACCOUNT | {"name": " a"}], "not printable"),
            ([ACCOUNT | {"unit": "bytes"}], "unknown unit"),
            ([ACCOUNT | {"rate_per_s": -1}], "a number from 0"),
            ([ACCOUNT | {"burst": -1}], "a number from 0"),
            ([ACCOUNT | {"plain_tokens": -1}], "whole number"),
            ([ACCOUNT | {"priority": "high"}], "whole number"),
            ([ACCOUNT | {"api_keys": "k-1"}], "list of texts"),
            ([ACCOUNT | {"api_keys": ["k-1", ""]}], "list of texts"),
        ],
    )
    def test_invalid_accounts_are_refused_without_naming_a_key(
        self, accounts: list[dict[str, Any]], reason: str
    ) -> None:
        failure = decode_configuration(with_accounts(*accounts)).unwrap_err()
        assert failure.kind is ErrorKind.CONFIGURATION_INVALID
        assert reason in failure.message
        assert "k-1" not in repr(failure) and "k-2" not in repr(failure)
