"""Dispatch the messages that a control process receives from its peers."""

from __future__ import annotations

from collections.abc import Mapping
from functools import singledispatch
from typing import Any

import attrs

from briardyke.claims.machine import ApplyClaimEnd, ApplyClaimRequest
from briardyke.claims.shards import shard_for_key, shard_group_id
from briardyke.clock import wall_unix_ms
from briardyke.consensus.messages import GroupMessage
from briardyke.control.groups import ConsensusGroup
from briardyke.control.messages import CommandResult, ForwardCommand
from briardyke.errors import ErrorKind, Failure
from briardyke.sync.responder import Responder
from briardyke.wire.codec import decode, encode
from briardyke.wire.connection import refusal
from briardyke.wire.messages import ClaimEnd, ClaimRequest, SyncRequest

_CLAIM_TIMEOUT_MS = 1200


@attrs.frozen
class HandlerContext:
    """Hold the objects that the message handlers use.

    :param groups: consensus groups by id.
    :param claim_shards: number of claim groups.
    :param responder: answers sync requests.
    """

    groups: Mapping[str, ConsensusGroup]
    claim_shards: int
    responder: Responder


@singledispatch
async def handle(message: Any, context: HandlerContext, peer_id: str) -> Any:
    """Return the reply to a message, or ``None`` when it has none."""
    text = f"message {type(message).__name__} is not accepted by a control process"
    return refusal(Failure(ErrorKind.PROTOCOL_VIOLATION, text))


@handle.register
async def _sync(message: SyncRequest, context: HandlerContext, peer_id: str) -> Any:
    return await context.responder.respond(message)


@handle.register
async def _consensus(message: GroupMessage, context: HandlerContext, peer_id: str) -> Any:
    group = context.groups.get(message.group_id)
    if group is not None:
        await group.log.handle(message)


@handle.register
async def _forward(message: ForwardCommand, context: HandlerContext, peer_id: str) -> Any:
    group = context.groups.get(message.group_id)
    if group is None:
        return refusal(Failure(ErrorKind.FIELD_INVALID, "unknown consensus group", "group_id"))
    applied = await group.proposer.propose_as_leader(message.command, message.timeout_ms)
    if applied.is_err():
        return refusal(applied.unwrap_err())
    return CommandResult(0, applied.unwrap())


@handle.register
async def _claim(message: ClaimRequest, context: HandlerContext, peer_id: str) -> Any:
    command = encode(ApplyClaimRequest(message, wall_unix_ms()))
    return await _apply_claim(command, message.key_hash, context)


@handle.register
async def _end_claim(message: ClaimEnd, context: HandlerContext, peer_id: str) -> Any:
    command = encode(ApplyClaimEnd(message, wall_unix_ms()))
    return await _apply_claim(command, message.key_hash, context)


async def _apply_claim(command: bytes, key_hash: int, context: HandlerContext) -> Any:
    shard = shard_for_key(key_hash, context.claim_shards)
    proposer = context.groups[shard_group_id(shard)].proposer
    applied = await proposer.propose(command, _CLAIM_TIMEOUT_MS)
    if applied.is_err():
        return refusal(applied.unwrap_err())
    return decode(applied.unwrap()).unwrap()
