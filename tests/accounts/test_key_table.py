"""Tests for the look-up of accounts by the digests of their keys."""

from __future__ import annotations

from briardyke.accounts.key_table import KeyTable
from briardyke.accounts.types import ClientAccount, key_digest


class TestKeyTable:
    """Covers which account owns a key."""

    def test_each_key_of_an_account_finds_it(self) -> None:
        """Guards against a table that keeps one key per account."""
        first = ClientAccount("a", (key_digest(b"k1"), key_digest(b"k2")))
        second = ClientAccount("b", (key_digest(b"k3"),))
        table = KeyTable([first, second])
        found = [table.find(key_digest(key)) for key in (b"k1", b"k2", b"k3", b"k4", b"K1")]
        assert found == [first, first, second, None, None]

    def test_nothing_but_a_held_digest_is_found(self) -> None:
        """Guards against a match of the digest that stands for a missing row."""
        table = KeyTable([ClientAccount("a", (key_digest(b"k1"),))])
        whole = key_digest(b"k1")
        assert [table.find(d) for d in (b"", bytes(32), whole[:31], whole + b"\0")] == [None] * 4

    def test_keys_are_not_shown(self) -> None:
        """Guards against digests in error texts and log lines."""
        account = ClientAccount("a", (key_digest(b"k1"),))
        assert key_digest(b"k1").hex() not in repr(account)
        assert repr(key_digest(b"k1")) not in repr(account)
