"""Engines of a service and the requests that were placed on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.dispatch.drain import engine_power
from briardyke.dispatch.engine_load import EngineLoad
from briardyke.dispatch.messages import DispatchReply, Observation, ObservationKind, Outcome
from briardyke.dispatch.pace import PaceTable

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from briardyke.dispatch.choice import Evaluation, Need
    from briardyke.dispatch.messages import DispatchRequest
    from briardyke.fleet.records import Upstream
    from briardyke.routes.configuration import EngineSpec

# A dispatch is forgotten after this many times the usual time of its response, and this time.
_MAX_RESPONSE_FACTOR = 5.0
_MAX_RESPONSE_MS = 3000.0
_MEAN_REQUEST_MS = 1000.0
_MEAN_REQUEST_WEIGHT = 0.02
_POWER_TTL_MS = 50.0
# An end without a first event within this time is a refusal or a failed connection; a later one may
# be a caller that left.
_REFUSED_WITHIN_MS = 100.0


class EnginePool:
    """Engines by id, and where each request was placed.

    :ivar request_ms: mean time of a request from its dispatch to its end.
    """

    def __init__(self) -> None:
        """Start without engines."""
        self.engines: dict[str, EngineLoad] = {}
        self.paces = PaceTable()
        self.request_ms = _MEAN_REQUEST_MS
        self._placed: dict[str, tuple[EngineLoad, DispatchReply]] = {}
        self._power, self._power_ms = 0.0, float("-inf")

    def power(self, now_ms: float) -> float:
        """Return the prompt work per ms of all engines, in ms of a typical one."""
        if now_ms - self._power_ms > _POWER_TTL_MS:
            self._power_ms = now_ms
            self._power = sum(engine_power(engine, now_ms) for engine in self.engines.values())
        return self._power

    def update(self, rows: Sequence[Upstream], spec: EngineSpec) -> None:
        """Add new engines, and forget those that left or restarted."""
        listed = {row.upstream_id: row for row in rows}
        for upstream_id, engine in list(self.engines.items()):
            row = listed.get(upstream_id)
            if row is None or row.incarnation != engine.incarnation:
                del self.engines[upstream_id]
                for request_id in engine.dispatches:
                    self._placed.pop(request_id, None)
        self._power_ms = float("-inf")
        for row in rows:
            known = self.engines.get(row.upstream_id)
            if known is not None:
                known.cache_tokens = spec.cache_tokens
            else:
                self.engines[row.upstream_id] = EngineLoad(
                    row.upstream_id,
                    self.paces,
                    max(1, row.slots),
                    spec.cache_tokens,
                    spec.event_tokens,
                    row.data_centre,
                    row.incarnation,
                )

    def known(self, request: DispatchRequest) -> list[EngineLoad]:
        """Return the engines that may run a request."""
        engines = self.engines
        return [engines[i] for i in request.upstream_ids if i in engines]

    def placement(self, request_id: str) -> DispatchReply | None:
        """Return the reply to a request that is placed."""
        placed = self._placed.get(request_id)
        return placed[1] if placed is not None else None

    def place(self, need: Need, evaluation: Evaluation, now_ms: float) -> DispatchReply:
        """Place a request on an engine."""
        engine = evaluation.engine
        dispatch = need.dispatch(evaluation.unread_tokens)
        step_ms = self.paces.step_ms * engine.speed.value
        response_ms = need.request.output_tokens * step_ms * _MAX_RESPONSE_FACTOR
        dispatch.until_ms = max(now_ms, need.limit_ms) + response_ms + _MAX_RESPONSE_MS
        estimate = engine.place(dispatch, need.request.prefix_tokens, now_ms)
        reply = DispatchReply(
            Outcome.PLACED.value, engine.upstream_id, expected_first_ms=estimate.first_ms
        )
        self._placed[need.request.request_id] = (engine, reply)
        return reply

    def fail(self, request_id: str, now_ms: float) -> None:
        """Forget a request that its engine did not run."""
        placed = self._placed.pop(request_id, None)
        if placed is not None:
            placed[0].fail(request_id, now_ms)

    def cancel(self, request_id: str, now_ms: float) -> bool:
        """Forget a request whose caller has left; return whether it was placed."""
        placed = self._placed.pop(request_id, None)
        if placed is not None:
            placed[0].end(request_id, now_ms)
        return placed is not None

    def observe(self, observation: Observation, now_ms: float) -> bool:
        """Take in an observation; return whether it may give capacity to a waiting request."""
        engine = self.engines.get(observation.upstream_id)
        if engine is None:
            return False
        kind, request_id = observation.kind, observation.request_id
        at_ms = now_ms - observation.age_ms
        if kind == ObservationKind.LOAD.value:
            engine.report(observation, now_ms)
        elif kind == ObservationKind.FIRST_EVENT.value:
            engine.begin(request_id, observation.took_ms, at_ms, now_ms)
        elif kind == ObservationKind.ENDED.value:
            self._end(engine, request_id, at_ms, now_ms)
        elif kind == ObservationKind.EVENT_INTERVAL.value:
            dispatch = engine.dispatches.get(request_id)
            if dispatch is not None:
                engine.observe_interval(dispatch.model, observation.took_ms, at_ms)
            return False
        return True

    def check_counts(
        self, counts: Mapping[str, Sequence[int]], counted_ms: float, now_ms: float
    ) -> int:
        """Compare with counts of entry instances; return the number of forgotten requests."""
        forgotten = 0
        for upstream_id, engine in self.engines.items():
            count = counts.get(upstream_id, (0, 0))[0]
            forgotten += self._drop(engine.check_count(count, counted_ms, now_ms))
        return forgotten

    def forget_expired(self, now_ms: float) -> int:
        """Forget requests whose end was not reported in time; return their number."""
        return sum(self._drop(e.forget_expired(now_ms)) for e in self.engines.values())

    def _drop(self, request_ids: list[str]) -> int:
        for request_id in request_ids:
            self._placed.pop(request_id, None)
        return len(request_ids)

    def _end(self, engine: EngineLoad, request_id: str, at_ms: float, now_ms: float) -> None:
        dispatch = engine.dispatches.get(request_id)
        if dispatch is None:
            return
        self._placed.pop(request_id, None)
        took_ms = at_ms - dispatch.placed_ms
        if dispatch.began_ms is None and took_ms < _REFUSED_WITHIN_MS:
            engine.fail(request_id, now_ms)
            return
        engine.end(request_id, now_ms)
        if dispatch.began_ms is None:
            return
        self.request_ms += _MEAN_REQUEST_WEIGHT * (took_ms - self.request_ms)
