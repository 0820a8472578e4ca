"""Replicated state machine of one claim group."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

import attrs
import msgpack

from briardyke.wire.codec import decode, encode, message
from briardyke.wire.messages import ClaimEnd, ClaimReply, ClaimRequest

SCHEMA = 1
RETENTION_MS = 24 * 60 * 60 * 1000
HOLDER_TIMEOUT_MS = 10 * 60 * 1000
MAX_CLAIMS = 100_000
MAX_RESPONSE_BYTES = 64 * 1024
# MAX_CLAIMS responses of MAX_RESPONSE_BYTES would take 6.4 GB of memory and snapshot size.
MAX_TOTAL_RESPONSE_BYTES = 64 * 1024 * 1024


@message
@attrs.frozen
class ApplyClaimRequest:
    """Command that applies a claim request.

    :param request: the request.
    :param wall_unix_ms: the leader's wall time, in milliseconds since the Unix epoch.
    """

    request: ClaimRequest
    wall_unix_ms: int


@message
@attrs.frozen
class ApplyClaimEnd:
    """Command that ends a claim.

    :param end: the message.
    :param wall_unix_ms: the leader's wall time, in milliseconds since the Unix epoch.
    """

    end: ClaimEnd
    wall_unix_ms: int


@attrs.frozen
class ClaimLimits:
    """Limits of a claim group; all members of a group must use the same values.

    :param claims: largest number of claims.
    :param stored_bytes: largest total size of stored responses.
    """

    claims: int = MAX_CLAIMS
    stored_bytes: int = MAX_TOTAL_RESPONSE_BYTES


@attrs.frozen
class _Claim:
    caller: str
    key_hash: int
    digest: str
    attempt_id: str
    state: str  # running, completed or unknown
    changed_ms: int
    response: bytes | None = None

    def state_at(self, now_ms: int) -> str:
        """Return the state at a time; it is unknown once the holder has not reported in time."""
        if self.state == "running" and now_ms - self.changed_ms >= HOLDER_TIMEOUT_MS:
            return "unknown"
        return self.state


class ClaimMachine:
    """Claims of one group; a state machine for the replicated log.

    The current time is the highest timestamp of all commands, so that it does not go back when the
    leader changes.
    """

    def __init__(self, limits: ClaimLimits | None = None) -> None:
        """Create the machine without claims.

        :param limits: limits, the same on all members.
        """
        self._limits = limits or ClaimLimits()
        self._now_ms = 0
        self._stored_bytes = 0
        # Ordered by the time of the last change, oldest first.
        self._claims: dict[tuple[str, int], _Claim] = {}

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command.

        :param index: its index in the log.
        :param command: encoded command; an unreadable one changes nothing.
        :return: an encoded :class:`~briardyke.wire.messages.ClaimReply`.
        """
        return encode(_execute(decode(command).unwrap_or(None), self))

    def snapshot(self) -> bytes:
        """Return the encoded state; equal states give equal bytes."""
        claims = [attrs.astuple(claim) for claim in self._claims.values()]
        return msgpack.packb({"schema": SCHEMA, "now_ms": self._now_ms, "claims": claims})

    def restore(self, data: bytes) -> None:
        """Replace the whole state.

        :param data: output of :meth:`snapshot`.
        :raises ValueError: when the snapshot has another schema.
        """
        values = msgpack.unpackb(data)
        if values["schema"] != SCHEMA:
            raise ValueError(f"snapshot has schema {values['schema']}, expected {SCHEMA}")
        claims = [_Claim(*fields) for fields in values["claims"]]
        self._claims = {(c.caller, c.key_hash): c for c in claims}
        self._now_ms = values["now_ms"]
        self._stored_bytes = sum(len(c.response or b"") for c in claims)

    def advance(self, wall_unix_ms: int) -> None:
        """Advance the current time and remove expired claims."""
        self._now_ms = max(self._now_ms, wall_unix_ms)
        while self._claims:
            oldest = next(iter(self._claims.values()))
            if self._now_ms - oldest.changed_ms < RETENTION_MS:
                return
            self._remove(oldest)

    def claim(self, request: ClaimRequest) -> ClaimReply:
        """Grant a new claim or return the state of the existing one."""
        claim = self._claims.get((request.caller, request.key_hash))
        if claim is None:
            if len(self._claims) >= self._limits.claims:
                return ClaimReply("full")
            self._store(_Claim(state="running", changed_ms=self._now_ms, **attrs.asdict(request)))
            return ClaimReply("granted")
        if claim.digest != request.digest:
            return ClaimReply("key_reused")
        state = claim.state_at(self._now_ms)
        if state == "running" and claim.attempt_id == request.attempt_id:
            return ClaimReply("granted")  # the holder retries after a lost reply
        return _reply_for(claim, state)

    def end(self, end: ClaimEnd) -> ClaimReply:
        """End a claim if the attempt holds it; otherwise return the state of the claim."""
        claim = self._claims.get((end.caller, end.key_hash))
        if claim is None:
            # Either a repeated `not_run`, or the claim has expired.
            return ClaimReply("ended" if end.outcome == "not_run" else "unknown")
        if claim.attempt_id != end.attempt_id:
            return ClaimReply(claim.state_at(self._now_ms))
        if claim.state == "completed":
            return ClaimReply("ended" if end.outcome == "completed" else "completed")
        if end.outcome == "completed":
            self._complete(claim, end.response)
        elif end.outcome != "not_run":
            self._store(attrs.evolve(claim, state="unknown", changed_ms=self._now_ms))
        elif claim.state == "running":
            self._remove(claim)
        else:
            # The holder has already reported an unknown outcome, which "not_run" cannot revise.
            return ClaimReply("unknown")
        return ClaimReply("ended")

    def _complete(self, claim: _Claim, response: bytes | None) -> None:
        if response is not None and (
            len(response) > MAX_RESPONSE_BYTES
            or self._stored_bytes + len(response) > self._limits.stored_bytes
        ):
            response = None
        self._store(
            attrs.evolve(claim, state="completed", changed_ms=self._now_ms, response=response)
        )
        self._stored_bytes += len(response or b"")

    def _store(self, claim: _Claim) -> None:
        self._claims.pop((claim.caller, claim.key_hash), None)
        self._claims[claim.caller, claim.key_hash] = claim

    def _remove(self, claim: _Claim) -> None:
        del self._claims[claim.caller, claim.key_hash]
        self._stored_bytes -= len(claim.response or b"")


def _reply_for(claim: _Claim, state: str) -> ClaimReply:
    if state == "completed":
        if claim.response is None:
            return ClaimReply("unknown")
        return ClaimReply("completed", claim.response)
    return ClaimReply(state)


@singledispatch
def _execute(command: Any, machine: ClaimMachine) -> ClaimReply:
    return ClaimReply("unknown")


@_execute.register
def _apply_request(command: ApplyClaimRequest, machine: ClaimMachine) -> ClaimReply:
    machine.advance(command.wall_unix_ms)
    return machine.claim(command.request)


@_execute.register
def _apply_end(command: ApplyClaimEnd, machine: ClaimMachine) -> ClaimReply:
    machine.advance(command.wall_unix_ms)
    return machine.end(command.end)
