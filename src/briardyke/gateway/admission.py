"""Decide whether a request can meet its deadline, and how long it may wait for its model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms
from briardyke.errors import ErrorKind, Failure
from briardyke.routes.configuration import RequestKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardyke.gateway.request_context import RequestContext
    from briardyke.gateway.state import GatewayState
    from briardyke.gateway.upstreams import UpstreamState
    from briardyke.routes.configuration import ModelSpec, Route

# A restarted upstream announces itself within one or two heartbeats.
_RESTART_WAIT_MS = 2500.0
# Time from the arrival of a request for a missing model to the order of its load.
_ORDER_DELAY_MS = 700.0
# Time in which the end of a load is announced and propagated to entry instances.
_MIN_LOAD_REMAINING_MS = 150.0
# A load that is overdue by more than this has failed, or is many times slower than usual.
_MAX_OVERDUE_MS = 3000.0
# Fraction of its time limit that a request may wait for an upstream, so that it can still run.
_MAX_WAIT_FRACTION = 0.7
# Callers abandon a stream that sends no event for the longest of two seconds, four latency
# objectives and eight event gap objectives; this also applies to the first event.
_MIN_EVENT_TIMEOUT_MS = 2000.0
_EVENT_TIMEOUT_LATENCY_OBJECTIVES = 4.0
_EVENT_TIMEOUT_GAP_OBJECTIVES = 8.0
# Fraction of a caller's event timeout that the expected time to the first event may take; the rest
# covers the error of the estimate.
_MAX_FIRST_EVENT_FRACTION = 0.75
# Retry-After for a caller that another upstream can serve now.
_RETRY_ELSEWHERE_MS = 20
# Longest Retry-After, as a fraction of the time left until the deadline.
_MAX_RETRY_AFTER_FRACTION = 1.0 / 3.0


def caller_event_timeout_ms(route: Route) -> float:
    """Return the time without an event after which a caller abandons a stream."""
    return max(
        _MIN_EVENT_TIMEOUT_MS,
        _EVENT_TIMEOUT_LATENCY_OBJECTIVES * route.latency_objective_ms,
        _EVENT_TIMEOUT_GAP_OBJECTIVES * route.event_gap_objective_ms,
    )


def load_remaining_ms(model: str, upstreams: Sequence[UpstreamState]) -> float | None:
    """Return the time until a load in progress should end, or ``None`` without one."""
    remaining_ms = [
        max(_MIN_LOAD_REMAINING_MS, upstream.available_at_ms[model] - now_ms())
        for upstream in upstreams
        if upstream.available_at_ms.get(model, 0.0) > now_ms() - _MAX_OVERDUE_MS
    ]
    return min(remaining_ms, default=None)


def model_available_in_ms(spec: ModelSpec, upstreams: Sequence[UpstreamState]) -> float:
    """Return the expected time until a model that no upstream has loaded can be used."""
    load_left_ms = load_remaining_ms(spec.name, upstreams)
    if load_left_ms is not None:
        return load_left_ms
    is_at_hand = any(spec.name in upstream.row.at_hand for upstream in upstreams)
    return (spec.disk_load_s if is_at_hand else spec.load_s) * 1000.0 + _ORDER_DELAY_MS


class Admission:
    """Reject requests that cannot be served before their deadline."""

    def refusal(self, context: RequestContext, state: GatewayState) -> Failure | None:
        """Return the reason to reject a new request, or ``None``.

        Loading a model that no upstream holds takes seconds. A request without that much time
        left is rejected at once, so that its caller can retry in time. The same applies to a
        request that would start late in a planned shutdown and could be truncated by it.
        """
        refusal, is_unknown_need = self.examine(context, state)
        if is_unknown_need:
            state.missing_models.record(context.metadata.model)
        return refusal

    def examine(self, context: RequestContext, state: GatewayState) -> tuple[Failure | None, bool]:
        """Return the reason to reject a new request, and whether its model is to be reported.

        A model is reported when no upstream holds or loads it. Nothing is changed here.
        """
        if state.is_stopping and context.deadline_ms > state.stop_ms:
            return Failure(ErrorKind.DRAINING, "this instance is shutting down"), False
        model = context.metadata.model
        if not model or not state.is_engine(context.service):
            return None, False
        spec = state.model(context.service, model)
        if spec is None:
            return None, False
        usable = state.upstreams.reachable(context.service, context.software_version)
        if not usable or self._is_model_held(context, state):
            return None, False  # without any upstream, this instance may have just started
        is_unknown_need = load_remaining_ms(model, usable) is None
        available_in_ms = model_available_in_ms(spec, usable)
        waited_ms = now_ms() - context.request.received_ms
        if available_in_ms + waited_ms < self._max_wait_ms(context):
            return None, is_unknown_need
        reason = f"{model} is not loaded, expected in {available_in_ms:.0f} ms"
        return self._model_loading_failure(context, available_in_ms, reason), is_unknown_need

    def _wait_refusal(
        self, context: RequestContext, state: GatewayState, left_ms: float
    ) -> Failure | None:
        """Return the reason to end a request's wait for its model, or ``None``.

        The request waits on the basis of an estimate, so only a load that is known to end too
        late ends the wait early.
        """
        model = context.metadata.model
        spec = state.model(context.service, model)
        usable = state.upstreams.reachable(context.service, context.software_version)
        is_missing = not self._is_model_held(context, state)
        load_left_ms = load_remaining_ms(model, usable) if is_missing else None
        if left_ms > 0 and (load_left_ms is None or load_left_ms < left_ms):
            return None
        available_in_ms = (
            model_available_in_ms(spec, usable) if spec else self._max_wait_ms(context)
        )
        return self._model_loading_failure(
            context, available_in_ms, f"no upstream has loaded {model} yet"
        )

    @staticmethod
    def _is_model_held(context: RequestContext, state: GatewayState) -> bool:
        """Return whether a reachable upstream has loaded the request's model."""
        model = context.metadata.model
        return any(
            u.holds(model)
            for u in state.upstreams.reachable(context.service, context.software_version)
        )

    @staticmethod
    def _max_wait_ms(context: RequestContext) -> float:
        """Return how long a request may wait for an upstream after its arrival or last event."""
        total_ms = context.deadline_ms - context.request.received_ms
        if context.route.kind is not RequestKind.STREAMING:
            return total_ms * _MAX_WAIT_FRACTION
        return min(total_ms, caller_event_timeout_ms(context.route)) * _MAX_WAIT_FRACTION

    @staticmethod
    def _model_loading_failure(context: RequestContext, wait_ms: float, reason: str) -> Failure:
        retry_after_ms = min(wait_ms, context.remaining_ms * _MAX_RETRY_AFTER_FRACTION)
        return Failure(ErrorKind.MODEL_LOADING, reason, retry_after_ms=round(retry_after_ms))

    def late_start_refusal(
        self, context: RequestContext, upstream: UpstreamState
    ) -> Failure | None:
        """Return the reason not to start a stream on the selected upstream, or ``None``.

        When engines receive more prompts than they can process, every caller reaches its event
        timeout and disconnects, and the work on its prompt is wasted. Rejecting the requests that
        would time out, with a Retry-After, lets the others finish in time.
        """
        if context.route.kind is not RequestKind.STREAMING:
            return None
        expected_ms = upstream.expected_first_ms()
        limit_ms = (
            min(caller_event_timeout_ms(context.route), context.remaining_ms)
            * _MAX_FIRST_EVENT_FRACTION
        )
        if expected_ms <= limit_ms:
            return None
        retry_after_ms = min(
            expected_ms - limit_ms / 2.0, context.remaining_ms * _MAX_RETRY_AFTER_FRACTION
        )
        reason = f"first event expected in {expected_ms:.0f} ms, limit {limit_ms:.0f} ms"
        return Failure(ErrorKind.OVERLOADED, reason, retry_after_ms=round(retry_after_ms))

    def limit_refusal(
        self, context: RequestContext, state: GatewayState, closed_ms: float
    ) -> Failure:
        """Return the answer to a request whose upstreams all accept no more requests now.

        :param closed_ms: time until one of them accepts another one.
        """
        upstreams = state.upstreams.reachable(context.service, context.software_version)
        load_left_ms = load_remaining_ms(context.metadata.model, upstreams)
        wait_ms = closed_ms if load_left_ms is None else min(load_left_ms, closed_ms)
        retry_after_ms = min(wait_ms, context.remaining_ms * _MAX_RETRY_AFTER_FRACTION)
        return Failure(
            ErrorKind.UPSTREAM_LIMITED,
            "every upstream receives as many requests as it accepts now",
            retry_after_ms=round(retry_after_ms),
        )

    def upstream_refusal(
        self,
        context: RequestContext,
        reason: str,
        others: Sequence[UpstreamState],
        pause_ms: float | None = None,
    ) -> Failure:
        """Return the answer to a request that an upstream refused and that may not be sent again.

        Its caller should return at once when another upstream has room, since it can still be
        served within its latency objective.

        :param pause_ms: time for which the upstream wants no request, or ``None``.
        """
        has_room = any(
            u.has_free_slot and u.expected_first_ms() < context.route.latency_objective_ms
            for u in others
        )
        retry_after_ms = _RETRY_ELSEWHERE_MS if has_room else None
        if not has_room and pause_ms is not None:
            longest_ms = context.remaining_ms * _MAX_RETRY_AFTER_FRACTION
            retry_after_ms = round(min(pause_ms, longest_ms))
        return Failure(ErrorKind.UPSTREAM_REFUSED, reason, retry_after_ms=retry_after_ms)

    def remaining_wait_ms(self, context: RequestContext, state: GatewayState) -> float:
        """Return how long a request without an upstream may still wait; 0 to stop waiting.

        An engine may crash with the only replica of a model in use. A resumable stream then waits
        for the next replica until shortly before its caller's event timeout.
        """
        if context.may_have_run and not context.route.is_retryable:
            return 0.0
        if context.sent_attempts >= context.route.max_attempts:
            return 0.0
        if state.is_stopping and context.deadline_ms > state.stop_ms:
            context.refusal = Failure(ErrorKind.DRAINING, "this instance is shutting down")
            return 0.0
        if context.software_version is not None and state.upstreams.serves_only_others(
            context.service, context.software_version
        ):
            return 0.0  # a version that has been replaced does not return within the wait
        waited_ms = now_ms() - context.last_progress_ms
        max_wait_ms = self._max_wait_ms(context)
        is_for_model = bool(context.metadata.model) and state.is_engine(context.service)
        is_model_held = not is_for_model or self._is_model_held(context, state)
        if context.tried_upstreams and is_model_held and not context.may_have_run:
            return 0.0  # every upstream that could run it has rejected it
        if is_for_model:
            context.refusal = self._wait_refusal(context, state, max_wait_ms - waited_ms)
            return 0.0 if context.refusal else max_wait_ms - waited_ms
        return min(max_wait_ms, _RESTART_WAIT_MS) - waited_ms
