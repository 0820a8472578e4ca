"""Assign claims to the log groups (shards) that hold them."""

from __future__ import annotations

import xxhash


def claim_key_hash(caller: str, key: str) -> int:
    """Return the 64-bit hash that identifies a claim.

    :param caller: name of the caller.
    :param key: the caller's idempotency key.
    """
    # The length separates caller from key, so that ("ab", "c") and ("a", "bc") differ.
    return xxhash.xxh3_64_intdigest(f"{len(caller)}:{caller}{key}".encode())


def shard_for_key(key_hash: int, shards: int) -> int:
    """Return the index of the shard that holds the claim of a key.

    :param key_hash: hash of caller and key.
    :param shards: number of shards.
    """
    return key_hash % shards


def shard_group_id(index: int) -> str:
    """Return the id of the log group of a shard."""
    return f"claims-{index}"
