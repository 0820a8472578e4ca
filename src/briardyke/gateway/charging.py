"""Charge requests to the quotas of their accounts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms
from briardyke.logs import log_limited

if TYPE_CHECKING:
    from briardyke.errors import Failure
    from briardyke.gateway.request_context import RequestContext
    from briardyke.gateway.state import GatewayState

# Longest wait for a leader, at most a quarter of the caller's time. An election takes up to two
# seconds, and the request then needs time to run.
_MAX_LEADER_WAIT_MS = 1500.0
_LEADER_WAIT_FRACTION = 0.25


async def charge(context: RequestContext, state: GatewayState) -> Failure | None:
    """Charge a request before an upstream is selected; return the reason to reject it, if any.

    A request without an account, or of an account without a quota, costs no message.
    """
    quota = context.identity.quota
    if not context.account or not quota.is_limited:
        return None
    received_ms = context.request.received_ms
    wait_ms = min(_MAX_LEADER_WAIT_MS, (context.deadline_ms - received_ms) * _LEADER_WAIT_FRACTION)
    wait_ms = max(0.0, wait_ms - (now_ms() - received_ms))
    cost = quota.cost(context.metadata.stated_tokens)
    charged = await state.credits.take(context.account, quota, cost, wait_ms)
    context.charge, failure = charged.ok(), charged.err()
    if failure is None:
        state.account_use.admit(context.account, cost)
        return None
    reason = next(iter(failure.reasons), failure.kind.value)
    state.account_use.refuse(context.account, reason)
    log_limited(
        "account_refused",
        is_routine=True,
        request=context.metadata.request_id,
        account=context.account,
        reason=reason,
        tokens=f"{cost:.0f}",
        wait_ms=failure.retry_after_ms,
        credits=f"{state.credits.available(context.account):.0f}",
    )
    return failure


def refund_unless_run(context: RequestContext, state: GatewayState) -> None:
    """Refund a request that has ended; one that an upstream may have worked on stays charged."""
    if not context.may_have_run:
        refund(context, state)


def refund(context: RequestContext, state: GatewayState) -> None:
    """Refund a request, also one that may have run if another instance charges it again."""
    if context.charge is not None:
        state.credits.refund(context.charge)
        state.account_use.refund(context.charge.account, context.charge.tokens)
        context.charge = None
