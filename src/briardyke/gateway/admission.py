"""Decide whether a request can be served in time, and how long one may wait for its model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms
from briardyke.errors import ErrorKind, Failure
from briardyke.routes.configuration import RequestKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardyke.gateway.journey import Journey
    from briardyke.gateway.state import GatewayState
    from briardyke.gateway.tables import UpstreamState
    from briardyke.routes.configuration import ModelSpec, Route

# A restarted upstream announces itself within a heartbeat or two.
_RETURN_MS = 2500.0
# From the arrival of a request for a missing model until its load is ordered.
_ORDER_DELAY_MS = 700.0
# A load that ends is announced and passed on within this time.
_LEAST_ARRIVAL_MS = 150.0
# A load that should have ended this long ago has failed, or is many times slower than usual.
_OVERDUE_MS = 3000.0
# Part of its time or patience that a request may spend waiting, so that it can still run.
_WAITING_SHARE = 0.7
# Callers give a stream up after the longest of two seconds, four objectives and eight pauses
# without an event, also before the first one.
_CALLER_PATIENCE_MS = 2000.0
_CALLER_OBJECTIVES = 4.0
_CALLER_PAUSES = 8.0
# Part of a caller's patience that the expected time to the first event may take; the rest covers
# the spread of the estimate.
_PATIENCE_SHARE = 0.75
# The longest time that a caller is sent away for, as a part of what it has left.
_LONGEST_AWAY_SHARE = 1.0 / 3.0


def caller_patience_ms(route: Route) -> float:
    """Return how long a caller waits for the next event of a stream."""
    return max(
        _CALLER_PATIENCE_MS,
        _CALLER_OBJECTIVES * route.latency_objective_ms,
        _CALLER_PAUSES * route.event_gap_objective_ms,
    )


def load_under_way_ms(model: str, upstreams: Sequence[UpstreamState]) -> float | None:
    """Return the time until a load of the model should end, or ``None`` without one."""
    arrivals_ms = [
        max(_LEAST_ARRIVAL_MS, upstream.arrivals_ms[model] - now_ms())
        for upstream in upstreams
        if upstream.arrivals_ms.get(model, 0.0) > now_ms() - _OVERDUE_MS
    ]
    return min(arrivals_ms, default=None)


def model_arrival_ms(spec: ModelSpec, upstreams: Sequence[UpstreamState]) -> float:
    """Return the expected time until a model that no upstream holds can be used."""
    under_way_ms = load_under_way_ms(spec.name, upstreams)
    if under_way_ms is not None:
        return under_way_ms
    is_at_hand = any(spec.name in upstream.row.at_hand for upstream in upstreams)
    return (spec.disk_load_s if is_at_hand else spec.load_s) * 1000.0 + _ORDER_DELAY_MS


class Admission:
    """Refuse at once what cannot be served before its deadline."""

    def refusal(self, journey: Journey, state: GatewayState) -> Failure | None:
        """Return why a request is refused, or ``None``.

        Load: a model that nothing holds is asked for with little time left. The load takes
        seconds; a caller that is told so at once can use its time better. The same holds for a
        stream that would begin late in a planned stop and be cut at its end.
        """
        if state.is_stopping and journey.route.kind is RequestKind.STREAMING:
            return Failure(ErrorKind.DRAINING, "this instance stops")
        model = journey.caller.model
        if not model or not state.is_engine(journey.service):
            return None
        spec = state.model(journey.service, model)
        if spec is None:
            return None
        usable = state.upstreams.reachable(journey.service)
        if not usable or self._has_holder(journey, state):
            return None  # without any upstream, this instance may just have started
        if load_under_way_ms(model, usable) is None:
            state.wanted.ask(model)
        arrives_in_ms = model_arrival_ms(spec, usable)
        waited_ms = now_ms() - journey.request.received_ms
        if arrives_in_ms + waited_ms < self._longest_wait_ms(journey):
            return None
        reason = f"{model} is not loaded, expected in {arrives_in_ms:.0f} ms"
        return self._comes_back(journey, arrives_in_ms, reason)

    def _ends_wait(self, journey: Journey, state: GatewayState, left_ms: float) -> Failure | None:
        """Return why a request that waits for its model is sent away now, or ``None``.

        An estimate made it wait, so only a load that is known to end too late cuts that short.
        """
        model = journey.caller.model
        spec = state.model(journey.service, model)
        usable = state.upstreams.reachable(journey.service)
        is_missing = not self._has_holder(journey, state)
        under_way_ms = load_under_way_ms(model, usable) if is_missing else None
        if left_ms > 0 and (under_way_ms is None or under_way_ms < left_ms):
            return None
        arrives_in_ms = model_arrival_ms(spec, usable) if spec else self._longest_wait_ms(journey)
        return self._comes_back(journey, arrives_in_ms, f"{model} has no place yet")

    @staticmethod
    def _has_holder(journey: Journey, state: GatewayState) -> bool:
        """Return whether an upstream that can be reached holds the request's model."""
        model = journey.caller.model
        return any(u.holds(model) for u in state.upstreams.reachable(journey.service))

    @staticmethod
    def _longest_wait_ms(journey: Journey) -> float:
        """Return how long a request may wait for an upstream, from its arrival."""
        total_ms = journey.deadline_ms - journey.request.received_ms
        if journey.route.kind is not RequestKind.STREAMING:
            return total_ms * _WAITING_SHARE
        return min(total_ms, caller_patience_ms(journey.route)) * _WAITING_SHARE

    @staticmethod
    def _comes_back(journey: Journey, wait_ms: float, reason: str) -> Failure:
        hint_ms = min(wait_ms, journey.remaining_ms * _LONGEST_AWAY_SHARE)
        return Failure(ErrorKind.MODEL_LOADING, reason, retry_after_ms=round(hint_ms))

    def too_late(self, journey: Journey, upstream: UpstreamState) -> Failure | None:
        """Return why a stream is not worth starting at its best upstream, or ``None``.

        Load: engines get more prompts than they can read. Every caller then waits longer than it
        is willing to, leaves, and the engine has read its prompt for nothing. Sending away those
        that would leave keeps the others in time, and tells them when to come back.
        """
        if journey.route.kind is not RequestKind.STREAMING:
            return None
        expected_ms = upstream.expected_first_ms()
        limit_ms = min(caller_patience_ms(journey.route), journey.remaining_ms) * _PATIENCE_SHARE
        if expected_ms <= limit_ms:
            return None
        hint_ms = min(expected_ms - limit_ms / 2.0, journey.remaining_ms * _LONGEST_AWAY_SHARE)
        reason = f"first event expected in {expected_ms:.0f} ms, limit {limit_ms:.0f} ms"
        return Failure(ErrorKind.OVERLOADED, reason, retry_after_ms=round(hint_ms))

    def wait_ms(self, journey: Journey, state: GatewayState) -> float:
        """Return how long a request without an upstream may still wait; 0 to give up.

        Load: engines crash with the only replica of a model in use. A stream that may be resumed
        waits for the next one as long as its caller waits for the next event.
        """
        if journey.may_have_run and not journey.route.is_retryable:
            return 0.0
        if journey.sent >= journey.route.max_attempts:
            return 0.0
        if state.is_stopping:
            journey.refusal = Failure(ErrorKind.DRAINING, "this instance stops")
            return 0.0
        waited_ms = now_ms() - journey.progress_ms
        longest_ms = self._longest_wait_ms(journey)
        is_for_model = bool(journey.caller.model) and state.is_engine(journey.service)
        has_holder = not is_for_model or self._has_holder(journey, state)
        if journey.tried and has_holder and not journey.may_have_run:
            return 0.0  # every upstream that could run it has refused it
        if is_for_model:
            journey.refusal = self._ends_wait(journey, state, longest_ms - waited_ms)
            return 0.0 if journey.refusal else longest_ms - waited_ms
        return min(longest_ms, _RETURN_MS) - waited_ms
