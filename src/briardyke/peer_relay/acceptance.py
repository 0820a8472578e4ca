"""Decide at either end whether a request may pass from one entry instance to another."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms
from briardyke.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from briardyke.gateway.dialect import RequestMetadata
    from briardyke.gateway.request_context import RequestContext
    from briardyke.gateway.state import GatewayState
    from briardyke.gateway.upstream_attempts import UpstreamAttempts

# Instances have a new version within milliseconds of each other.
_VERSION_WAIT_MS = 200.0


def may_hand_over(context: RequestContext, state: GatewayState) -> bool:
    """Return whether a request that no upstream has answered may leave for a peer.

    One that an upstream has stays there while its connection may live on. One that may have crashed
    an upstream is not repeated.
    """
    if state.peers is None or not context.may_hand_over or not state.peers.is_due(context):
        return False
    may_have_run = context.may_have_run or bool(context.unanswered)
    if may_have_run and (context.has_trial or state.quarantine.holds_back(context.metadata)):
        return False
    return not context.unanswered or not state.connectivity.keeps_connections


async def misdirected(metadata: RequestMetadata, state: GatewayState) -> Failure | None:
    """Return why this instance cannot serve a request of another one, or ``None``.

    The configuration in force there may have reached this instance a moment later.
    """
    if not metadata.relayed_by:
        return None
    until_ms = now_ms() + _VERSION_WAIT_MS
    while state.version < metadata.relayed_version and (left_ms := until_ms - now_ms()) > 0:
        await state.changed.wait(left_ms)
    if state.version < metadata.relayed_version:
        reason = f"version {state.version} is older than {metadata.relayed_version}"
    elif state.connectivity.is_lost:
        reason = "this instance has no links to upstreams"
    elif state.is_stopping:
        reason = "this instance is shutting down"
    else:
        return None
    return Failure(ErrorKind.MISDIRECTED, reason)


def repeat_refusal(
    context: RequestContext, state: GatewayState, attempts: UpstreamAttempts
) -> Failure | None:
    """Count a new request for the retry budget, or charge one that another instance repeats.

    :return: the reason to reject a repeat that the budget does not allow.
    """
    metadata = context.metadata
    if not (metadata.relayed_by and metadata.relayed_attempts):
        state.budget(context.service).record_request(now_ms())
        return None
    context.sent_attempts = metadata.relayed_attempts
    if attempts.spend_retry(context, "repeated_for_peer"):
        return None
    return Failure(ErrorKind.MISDIRECTED, "the retry budget is exhausted")
