"""Test the state machine of claim groups and the assignment of keys to shards."""

from __future__ import annotations

from typing import Any

import pytest

from briardyke.claims.machine import (
    HOLDER_TIMEOUT_MS,
    MAX_RESPONSE_BYTES,
    RETENTION_MS,
    ApplyClaimEnd,
    ApplyClaimRequest,
    ClaimLimits,
    ClaimMachine,
)
from briardyke.claims.shards import claim_key_hash, shard_for_key, shard_group_id
from briardyke.wire.codec import decode, encode
from briardyke.wire.messages import ClaimEnd, ClaimReply, ClaimRequest


def claim(machine: ClaimMachine, attempt: str, key: int = 1, at: int = 0, digest: str = "d") -> Any:
    command = ApplyClaimRequest(ClaimRequest(key, "shop", digest, attempt), at)
    return decode(machine.apply(1, encode(command))).unwrap()


def end(machine: ClaimMachine, attempt: str, outcome: str, at: int = 0, **more: Any) -> str:
    message = ClaimEnd(more.pop("key", 1), "shop", attempt, outcome, **more)
    return decode(machine.apply(1, encode(ApplyClaimEnd(message, at)))).unwrap().state


class TestClaims:
    """Guards against a non-idempotent request that runs twice."""

    def test_the_first_response_is_returned_to_every_later_sender(self) -> None:
        machine = ClaimMachine()
        assert claim(machine, "a").state == "granted"
        assert claim(machine, "a").state == "granted"
        assert claim(machine, "b").state == "running"
        assert end(machine, "a", "completed", response=b"body") == "ended"
        assert end(machine, "a", "completed", response=b"other") == "ended"
        assert claim(machine, "b") == ClaimReply("completed", b"body")
        assert claim(machine, "b", digest="other").state == "key_reused"

    def test_only_the_holder_ends_a_claim_and_an_end_is_final(self) -> None:
        machine = ClaimMachine()
        claim(machine, "a")
        for outcome in ("not_run", "completed", "unknown"):
            assert end(machine, "b", outcome) == "running"
        assert end(machine, "a", "unknown") == "ended"
        assert end(machine, "a", "not_run") == "unknown"
        assert claim(machine, "b").state == "unknown"
        assert end(machine, "a", "completed", response=b"x") == "ended"
        assert end(machine, "a", "not_run") == "completed"
        assert claim(machine, "b").state == "completed"

    def test_a_request_that_was_not_run_may_be_tried_again(self) -> None:
        machine = ClaimMachine()
        claim(machine, "a")
        assert [end(machine, "a", "not_run") for _ in range(2)] == ["ended", "ended"]
        assert claim(machine, "b").state == "granted"
        assert end(machine, "c", "completed", key=9) == "unknown"

    def test_a_claim_is_unknown_after_the_holder_timeout(self) -> None:
        machine = ClaimMachine()
        claim(machine, "a")
        assert claim(machine, "b", at=HOLDER_TIMEOUT_MS - 1).state == "running"
        for attempt in ("a", "b"):
            assert claim(machine, attempt, at=HOLDER_TIMEOUT_MS).state == "unknown"
        assert end(machine, "a", "not_run", at=HOLDER_TIMEOUT_MS) == "ended"

    def test_a_full_group_refuses_new_claims_and_keeps_unexpired_ones(self) -> None:
        machine = ClaimMachine(ClaimLimits(claims=2))
        claim(machine, "a", key=1)
        claim(machine, "b", key=2, at=5)
        assert claim(machine, "c", key=3, at=RETENTION_MS - 1).state == "full"
        assert claim(machine, "c", key=1, at=RETENTION_MS - 1).state == "unknown"
        assert claim(machine, "c", key=3, at=RETENTION_MS).state == "granted"
        # A later leader whose clock is behind: time does not go back and nothing expires early.
        assert claim(machine, "d", key=2, at=0).state == "unknown"

    @pytest.mark.parametrize(
        ("sizes", "stored"),
        [
            ([MAX_RESPONSE_BYTES, 1], ["completed", "completed"]),
            ([MAX_RESPONSE_BYTES + 1, 1], ["unknown", "completed"]),
            ([60_000, 60_000, 10_000], ["completed", "unknown", "completed"]),
        ],
    )
    def test_stored_responses_are_bounded(self, sizes: list[int], stored: list[str]) -> None:
        machine = ClaimMachine(ClaimLimits(stored_bytes=70_000))
        for key, size in enumerate(sizes):
            claim(machine, "a", key=key)
            end(machine, "a", "completed", key=key, response=b"x" * size)
        other = ClaimMachine(ClaimLimits(stored_bytes=70_000))
        other.restore(machine.snapshot())
        for each in (machine, other):
            assert [claim(each, "b", key=k).state for k in range(len(sizes))] == stored
            claim(each, "c", key=8, at=RETENTION_MS)
            end(each, "c", "completed", RETENTION_MS, key=8, response=b"x" * 60_000)
            assert claim(each, "d", key=8, at=RETENTION_MS).state == "completed"

    def test_an_unreadable_command_grants_nothing(self) -> None:
        for command in (b"", b"\xff", encode(ClaimReply("granted"))):
            assert decode(ClaimMachine().apply(1, command)).unwrap() == ClaimReply("unknown")

    def test_a_snapshot_with_another_schema_is_refused(self) -> None:
        data = ClaimMachine().snapshot().replace(b"schema\x01", b"schema\x02")
        with pytest.raises(ValueError, match="schema"):
            ClaimMachine().restore(data)


class TestShards:
    """Guards against different callers that share a claim, and against uneven shards."""

    def test_callers_and_keys_are_hashed_separately(self) -> None:
        assert claim_key_hash("ab", "c") != claim_key_hash("a", "bc")
        # The hash must not change between versions that run at the same time.
        assert claim_key_hash("shop", "key-1") == EXPECTED_KEY_HASH

    def test_keys_are_distributed_over_the_shards(self) -> None:
        counts = [0] * 4
        for n in range(1000):
            counts[shard_for_key(claim_key_hash("shop", f"key-{n}"), 4)] += 1
        assert min(counts) > 200
        assert shard_group_id(3) == "claims-3"


EXPECTED_KEY_HASH = 15485870246713815943
