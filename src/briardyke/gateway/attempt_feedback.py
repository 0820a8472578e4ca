"""Update the state of an upstream and of a request from the outcome of an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms
from briardyke.gateway.attempt import AttemptResult, Ending

if TYPE_CHECKING:
    from briardyke.gateway.request_context import RequestContext
    from briardyke.gateway.upstreams import UpstreamState

# Weight of one response in an upstream's mean service time; the mean covers about ten responses.
_RESPONSE_WEIGHT = 0.1


def record_attempt(
    context: RequestContext,
    upstream: UpstreamState,
    attempt: AttemptResult,
    took_ms: float,
    load: float,
) -> None:
    """Record an attempt in the request's context and in the upstream's state.

    :param took_ms: time from the start to the end of the attempt.
    :param load: load of the upstream at the start of the attempt.
    """
    if attempt.metadata is not None and attempt.metadata.load is not None:
        upstream.update_from_report(attempt.metadata.load)
    if attempt.ending is Ending.NOT_CONNECTED:
        context.connect_failures += 1
        upstream.connect_failed()
        upstream.health.record_failure(now_ms())
        return
    upstream.connect_failures = 0
    if attempt.ending is Ending.WITHDRAWN:
        context.tried_upstreams.discard(upstream.row.upstream_id)
        return
    context.sent_attempts += 1
    if attempt.ending is Ending.REFUSED:
        if attempt.metadata is not None and attempt.metadata.lacks_model:
            _record_miss(context, upstream)
        elif context.metadata.model:
            upstream.record_refusal(context.metadata.model)
        return
    context.may_have_run = True
    if attempt.ending is Ending.ANSWERED:
        _record_response(upstream, attempt, took_ms, load)
    else:
        upstream.health.record_failure(now_ms())


def record_own_close(context: RequestContext) -> None:
    """Record an attempt that this instance has ended while an upstream had the request."""
    context.sent_attempts += 1
    context.may_have_run = True


def _record_response(
    upstream: UpstreamState, attempt: AttemptResult, took_ms: float, load: float
) -> None:
    assert attempt.head is not None
    is_sound = attempt.head.status < 500
    if attempt.connection is not None:
        upstream.observe_first_event(took_ms, load)
    elif is_sound:
        upstream.observe_service_time(took_ms, _RESPONSE_WEIGHT)
    if is_sound:
        upstream.health.record_success(now_ms())


def _record_miss(context: RequestContext, upstream: UpstreamState) -> None:
    """Record that an upstream lacks the model or adapter that the request needs.

    The upstream may be selected again once it has announced the model or loaded the adapter.
    """
    metadata = context.metadata
    context.tried_upstreams.discard(upstream.row.upstream_id)
    if metadata.adapter:
        upstream.record_adapter_miss(metadata.model, metadata.adapter)
    else:
        upstream.record_model_miss(metadata.model)
