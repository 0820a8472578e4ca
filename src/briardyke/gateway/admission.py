"""Decide whether a request can be served in time, and how long one may wait for its model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from briardyke.gateway.forward import Journey
    from briardyke.gateway.state import GatewayState

# A restarted upstream announces itself within a heartbeat or two.
_RETURN_MS = 2500.0
# Part of the remaining time that a request may spend waiting, so that it can still run.
_WAITING_SHARE = 0.7


class Admission:
    """Refuse at once what cannot be served before its deadline."""

    def refusal(self, journey: Journey, state: GatewayState) -> Failure | None:
        """Return why a request is refused, or ``None``.

        Load: a model that nothing holds is asked for with little time left. The load takes
        seconds; a caller that is told so at once can use its time better.
        """
        model = journey.caller.model
        if not state.version:
            return Failure(ErrorKind.VERSION_UNCONFIRMED, "no configuration yet")
        if not model or not state.is_engine(journey.service):
            return None
        spec = state.model(journey.service, model)
        if spec is None:
            return None
        usable = state.upstreams.usable(journey.service)
        if any(upstream.holds(model) for upstream in usable):
            return None
        at_hand = any(model in upstream.row.at_hand for upstream in usable)
        load_ms = (spec.disk_load_s if at_hand else spec.load_s) * 1000.0
        if load_ms < journey.remaining_ms * _WAITING_SHARE:
            return None
        hint_ms = round(min(load_ms, journey.remaining_ms / 3.0))
        return Failure(ErrorKind.MODEL_LOADING, f"{model} is not loaded", retry_after_ms=hint_ms)

    def wait_ms(self, journey: Journey, state: GatewayState) -> float:
        """Return how long a request without an upstream may still wait; 0 to give up."""
        if journey.tried:
            return 0.0
        total_ms = journey.deadline_ms - journey.request.received_ms
        waited_ms = total_ms - journey.remaining_ms
        model = journey.caller.model
        if model and state.model(journey.service, model) is not None:
            return total_ms * _WAITING_SHARE - waited_ms
        return min(total_ms * _WAITING_SHARE, _RETURN_MS) - waited_ms
