"""Dispatch the messages that a control process receives from its peers."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

from briardyke.claims.machine import ApplyClaimEnd, ApplyClaimRequest
from briardyke.claims.shards import shard_name, shard_of
from briardyke.clock import wall_unix_ms
from briardyke.consensus.messages import GroupMessage
from briardyke.control.messages import CommandResult, ForwardCommand
from briardyke.errors import ErrorKind, Failure
from briardyke.wire.codec import decode, encode
from briardyke.wire.connection import refusal
from briardyke.wire.messages import ClaimEnd, ClaimRequest, SyncRequest

if TYPE_CHECKING:
    from briardyke.control.process import ControlProcess

_CLAIM_TIMEOUT_MS = 1200


@singledispatch
async def handle(message: Any, control: ControlProcess, peer_id: str) -> Any:
    """Return the reply to a message, or ``None`` when it has none."""
    text = f"message {type(message).__name__} is not accepted here"
    return refusal(Failure(ErrorKind.PROTOCOL_VIOLATION, text))


@handle.register
async def _sync(message: SyncRequest, control: ControlProcess, peer_id: str) -> Any:
    return await control.responder.respond(message)


@handle.register
async def _consensus(message: GroupMessage, control: ControlProcess, peer_id: str) -> Any:
    group = control.groups.get(message.group_id)
    if group is not None:
        await group.log.handle(message)


@handle.register
async def _forward(message: ForwardCommand, control: ControlProcess, peer_id: str) -> Any:
    group = control.groups.get(message.group_id)
    if group is None:
        return refusal(Failure(ErrorKind.FIELD_INVALID, "no such group", "group_id"))
    applied = await group.proposer.propose_here(message.command, message.timeout_ms)
    if applied.is_err():
        return refusal(applied.unwrap_err())
    return CommandResult(0, applied.unwrap())


@handle.register
async def _claim(message: ClaimRequest, control: ControlProcess, peer_id: str) -> Any:
    command = encode(ApplyClaimRequest(message, wall_unix_ms()))
    return await _apply_claim(command, message.key_hash, control)


@handle.register
async def _end_claim(message: ClaimEnd, control: ControlProcess, peer_id: str) -> Any:
    command = encode(ApplyClaimEnd(message, wall_unix_ms()))
    return await _apply_claim(command, message.key_hash, control)


async def _apply_claim(command: bytes, key_hash: int, control: ControlProcess) -> Any:
    shard = shard_of(key_hash, control.settings.claim_shards)
    proposer = control.groups[shard_name(shard)].proposer
    applied = await proposer.propose(command, _CLAIM_TIMEOUT_MS)
    if applied.is_err():
        return refusal(applied.unwrap_err())
    return decode(applied.unwrap()).unwrap()
