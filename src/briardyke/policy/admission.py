"""Refuse requests early that would miss their deadline or make other callers miss targets."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from briardyke.agreed.configuration import Targets
from briardyke.errors import ErrorKind, Failure
from briardyke.policy.buckets import DecayingRate

if TYPE_CHECKING:
    import random

    from briardyke.policy.routing import RoutingTable
    from briardyke.policy.types import AdmissionRequest

# Fraction of the time to the deadline (or of the target between tokens) that a forecast may use.
# Callers above their fair share are refused first, which leaves room for those below theirs.
LIMIT_WITHIN_FAIR_SHARE = 0.8
LIMIT_ABOVE_FAIR_SHARE = 0.6
# Once the refused fraction of the demand exceeds OVERLOAD_REFUSED_FRACTION, both limits fall by
# OVERLOAD_STEP times the excess: under overload, a request that would probably be late is better
# replaced by one that would not. Refusals of callers above their fair share do not count, so that
# the burst of one caller does not lower the limits for the others.
OVERLOAD_REFUSED_FRACTION = 0.15
OVERLOAD_STEP = 0.3
# Each priority level above 0 raises the limits by this much, each level below 0 lowers them.
PRIORITY_STEP = 0.1
# An engine that misses the target between tokens even when idle is measured against this multiple
# of its idle time between tokens; measured against the target it would never get a request.
IDLE_GAP_FACTOR = 1.5
# Refused callers are told to retry after the excess of the forecast, with jitter so that they do
# not return together.
RETRY_MINIMUM_MS = 200
RETRY_MAXIMUM_MS = 5000
# A caller is above its fair share when its admitted rate exceeds the weighted mean by this factor.
# It is compared with the admitted rates, not with an assumed capacity, so a lone caller is never
# above its fair share.
FAIR_TOLERANCE = 1.25
WEIGHT_SUM_INTERVAL_MS = 100.0
IDLE_CALLER_TOKENS_PER_SECOND = 0.01


@attrs.define
class _CallerTraffic:
    """Traffic of one caller to one model.

    :param weight: weight in the division under overload.
    :param requested: rate of requested tokens.
    :param admitted: rate of admitted tokens.
    """

    weight: float
    requested: DecayingRate = attrs.field(factory=DecayingRate)
    admitted: DecayingRate = attrs.field(factory=DecayingRate)


@attrs.define
class _ModelTraffic:
    """Traffic of all callers to one model.

    :param callers: traffic by caller.
    :param admitted: rate of tokens admitted for all callers.
    :param refused: rate of tokens refused to callers that were not above their fair share.
    :param weights: sum of the weights of the callers.
    :param weights_at_ms: time at which that sum was computed.
    """

    callers: dict[str, _CallerTraffic] = attrs.field(factory=dict)
    admitted: DecayingRate = attrs.field(factory=DecayingRate)
    refused: DecayingRate = attrs.field(factory=DecayingRate)
    weights: float = 0.0
    weights_at_ms: float = float("-inf")

    def refused_fraction(self, now_ms: float) -> float:
        """Return the recently refused fraction of the demand within fair shares, 0 to 1."""
        refused = self.refused.per_second(now_ms)
        return refused / max(1e-9, refused + self.admitted.per_second(now_ms))


class AdmissionController:
    """Decide which requests to dispatch; one per entry process.

    :param routing: table that forecasts latencies.
    :param random: source of randomness for the jitter of retry hints.
    :param targets: latency targets of the configuration in force.
    """

    def __init__(
        self, routing: RoutingTable, random: random.Random, targets: Targets | None = None
    ) -> None:
        self._routing = routing
        self._random = random
        self._targets = targets or Targets()
        self._models: dict[str, _ModelTraffic] = {}

    def apply(self, targets: Targets) -> None:
        """Replace the latency targets after a change of the configuration."""
        self._targets = targets

    def admit(self, request: AdmissionRequest, now_ms: float) -> Result[None, Failure]:
        """Admit or refuse a request before it is dispatched.

        :param request: the request; without a finite deadline the first-token target applies.
        :param now_ms: current time.
        :return: ``deadline_unmeetable`` when no candidate would answer in time; ``overloaded``
            when the caller is above its fair share and the candidates are close to their limit.
        """
        target_ms = self._targets.first_token_ms
        remaining_ms = request.deadline_ms - now_ms
        if math.isinf(remaining_ms):
            remaining_ms = target_ms
        if remaining_ms <= 0.0:
            return Err(self._refuse(ErrorKind.DEADLINE_UNMEETABLE, "the deadline has passed", 0.0))
        name = request.route.service or request.route.model
        traffic = self._count_request(name, request, now_ms)
        forecast = None if request.route.service else self._routing.forecast(request.route, now_ms)
        if forecast is not None:
            first_ms = forecast.first_token_ms
            gap_target_ms = max(
                self._targets.between_tokens_ms, IDLE_GAP_FACTOR * forecast.idle_between_tokens_ms
            )
            gap_pressure = forecast.between_tokens_ms / gap_target_ms
            excess_ms = max(0.0, first_ms - remaining_ms)
            shift = PRIORITY_STEP * max(-2, min(2, request.route.priority))
            shift -= OVERLOAD_STEP * max(
                0.0, self._models[name].refused_fraction(now_ms) - OVERLOAD_REFUSED_FRACTION
            )
            if max(first_ms / remaining_ms, gap_pressure) > LIMIT_WITHIN_FAIR_SHARE + shift:
                if not self._above_fair_share(name, request.caller, now_ms):
                    self._models[name].refused.add(max(1, request.estimated_tokens), now_ms)
                late = first_ms > remaining_ms
                kind = ErrorKind.DEADLINE_UNMEETABLE if late else ErrorKind.OVERLOADED
                return Err(
                    self._refuse(
                        kind, f"{name} cannot answer within its latency targets", excess_ms
                    )
                )
            pressure = max(first_ms / min(remaining_ms, target_ms), gap_pressure)
            if pressure > LIMIT_ABOVE_FAIR_SHARE + shift and self._above_fair_share(
                name, request.caller, now_ms
            ):
                return Err(
                    self._refuse(
                        ErrorKind.OVERLOADED,
                        f"{name} is overloaded and the caller is above its fair share",
                        excess_ms,
                    )
                )
        traffic.admitted.add(max(1, request.estimated_tokens), now_ms)
        self._models[name].admitted.add(max(1, request.estimated_tokens), now_ms)
        return Ok(None)

    def _count_request(self, name: str, request: AdmissionRequest, now_ms: float) -> _CallerTraffic:
        model = self._models.setdefault(name, _ModelTraffic())
        traffic = model.callers.get(request.caller)
        if traffic is None:
            traffic = model.callers[request.caller] = _CallerTraffic(request.caller_weight)
            model.weights_at_ms = float("-inf")
        traffic.weight = max(1e-6, request.caller_weight)
        traffic.requested.add(max(1, request.estimated_tokens), now_ms)
        return traffic

    def _above_fair_share(self, name: str, caller: str, now_ms: float) -> bool:
        model = self._models[name]
        if now_ms - model.weights_at_ms >= WEIGHT_SUM_INTERVAL_MS:
            model.weights_at_ms = now_ms
            for other, counted in list(model.callers.items()):
                if counted.requested.per_second(now_ms) < IDLE_CALLER_TOKENS_PER_SECOND:
                    del model.callers[other]
            model.weights = sum(counted.weight for counted in model.callers.values())
        traffic = model.callers.get(caller)
        if traffic is None:
            return False
        mean = model.admitted.per_second(now_ms) / max(1e-6, model.weights)
        return traffic.admitted.per_second(now_ms) > FAIR_TOLERANCE * mean * traffic.weight

    def _refuse(self, kind: ErrorKind, message: str, excess_ms: float) -> Failure:
        wait_ms = (RETRY_MINIMUM_MS + excess_ms) * (1.0 + self._random.random())
        return Failure(kind, message, retry_after_ms=int(min(RETRY_MAXIMUM_MS, wait_ms)))
