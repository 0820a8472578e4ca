"""Tests for the callers of the product's own request path."""

from __future__ import annotations

import hashlib

import pytest

from briardyke.agreed.configuration import Caller
from briardyke.entry.authentication import ANONYMOUS, authenticate, caller_keys
from briardyke.errors import ErrorKind


def caller(key: str) -> Caller:
    return Caller(hashlib.sha256(key.encode()).hexdigest())


KEYS = caller_keys({"shop": caller("k1"), "shelf": caller("schlüssel")})


class TestAuthenticate:
    """Covers which caller a request belongs to."""

    @pytest.mark.parametrize(("key", "name"), [("k1", "shop"), ("schlüssel", "shelf")])
    def test_key_names_its_caller(self, key: str, name: str) -> None:
        """Guards against a table that differs from the configuration."""
        assert authenticate({"authorization": "Bearer " + key}, KEYS).unwrap() == name

    @pytest.mark.parametrize(
        "value", ["", "Bearer ", "Bearer k2", "bearer k1", "k1", "Basic k1", "Bearer k1 "]
    )
    def test_anything_else_is_rejected(self, value: str) -> None:
        """Guards against a request without a valid key that runs."""
        failure = authenticate({"authorization": value}, KEYS).unwrap_err()
        assert failure.kind is ErrorKind.UNAUTHENTICATED
        assert "k1" not in failure.message

    def test_missing_header_is_rejected(self) -> None:
        """Guards against anonymous requests beside configured callers."""
        assert authenticate({}, KEYS).is_err()

    def test_without_callers_everyone_is_anonymous(self) -> None:
        """Guards against keys that are asked for in deployments without callers."""
        assert authenticate({}, caller_keys({})).unwrap() == ANONYMOUS
