"""Rank the members of a set for a key, alike in every process."""

from __future__ import annotations

import xxhash


def rendezvous_hash(key: str, member: str) -> int:
    """Return the rank of a member for a key; it does not depend on the other members."""
    return int(xxhash.xxh64_intdigest(f"{key}|{member}".encode()))
