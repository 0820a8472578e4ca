"""Define client accounts and their quotas."""

from __future__ import annotations

import hashlib

import attrs


def key_digest(key: bytes) -> bytes:
    """Return the digest by which an API key is kept and compared."""
    return hashlib.sha256(key).digest()


@attrs.frozen
class AccountQuota:
    """Limit on what one account may run over all entry instances together.

    :param rate_per_s: tokens, or requests, per second; 0 sets no limit.
    :param burst: amount that may be used at once in addition.
    :param is_in_tokens: whether both count tokens, not requests.
    :param plain_tokens: tokens that a request without a stated size counts.
    """

    rate_per_s: float = 0.0
    burst: float = 0.0
    is_in_tokens: bool = False
    plain_tokens: int = 1

    @property
    def is_limited(self) -> bool:
        """Return whether the quota sets a limit."""
        return self.rate_per_s > 0.0

    def cost(self, tokens: int | None) -> float:
        """Return what a request counts.

        :param tokens: stated size of the request, or ``None``.
        """
        if not self.is_in_tokens:
            return 1.0
        return float(self.plain_tokens if tokens is None else tokens)


@attrs.frozen
class ClientAccount:
    """A client account.

    :param name: name that upstreams receive.
    :param key_digests: digests of its API keys.
    :param priority: rank of its requests, before that of their routes; ``None`` for the routes'.
    :param quota: limit on what it may run.
    """

    name: str
    key_digests: tuple[bytes, ...] = attrs.field(repr=False)
    priority: int | None = None
    quota: AccountQuota = AccountQuota()
