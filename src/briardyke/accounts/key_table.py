"""Find the account that owns an API key."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardyke.accounts.types import ClientAccount

# Compared instead when no account has a key; no key is known that has this digest.
_NO_DIGEST = bytes(32)


class KeyTable:
    """Accounts by the digests of their keys; built once per configuration version."""

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        """Index accounts; the first one with a key owns it."""
        self._rows: dict[bytes, tuple[bytes, ClientAccount]] = {}
        for account in accounts:
            for digest in account.key_digests:
                self._rows.setdefault(digest, (digest, account))

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._rows)

    def find(self, digest: bytes) -> ClientAccount | None:
        """Return the account with a key of this digest, or ``None``.

        The dictionary compares bytes only after their hashes, which are salted per process. The
        result is confirmed by one comparison that takes the same time for all digests.
        """
        held, account = self._rows.get(digest, (_NO_DIGEST, None))
        return account if hmac.compare_digest(held, digest) else None
