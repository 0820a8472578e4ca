"""Place, queue and reject the streams of one service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.dispatch.messages import (
    DispatchReply,
    DispatchRequest,
    Observation,
    ObservationKind,
    Outcome,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from briardyke.fleet.records import Upstream
    from briardyke.routes.configuration import EngineSpec

_RETRY_MS = 200.0


@attrs.define
class _Waiting:
    request: DispatchRequest
    until_ms: float


class Dispatcher:
    """Decisions for one service, by the dispatches of all entry instances."""

    def __init__(self) -> None:
        """Start without engines."""
        self._slots: dict[str, int] = {}
        self._placed: dict[str, tuple[str, float]] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._decided: dict[str, DispatchReply] = {}

    def update_engines(self, rows: Sequence[Upstream], spec: EngineSpec, now_ms: float) -> None:
        """Take over the ready rows of the service and the capacity of its engines."""
        self._slots = {row.upstream_id: max(1, row.slots or spec.slots) for row in rows}
        self._placed = {i: p for i, p in self._placed.items() if p[0] in self._slots}

    def submit(self, request: DispatchRequest, now_ms: float) -> DispatchReply:
        """Place, queue or reject a request; the reply to a queued one may be asked for again."""
        for observation in request.observations:
            self.observe(request.instance_id, observation, now_ms)
        decided = self._decided.pop(request.request_id, None)
        if decided is not None:
            return decided
        if request.request_id not in self._waiting:
            until_ms = now_ms + request.max_wait_ms
            self._waiting[request.request_id] = _Waiting(request, until_ms)
        self.advance(now_ms)
        return self._decided.pop(request.request_id, DispatchReply(Outcome.QUEUED.value))

    def observe(self, instance_id: str, observation: Observation, now_ms: float) -> None:
        """Take in what an entry instance observed."""
        if observation.kind == ObservationKind.ENDED.value:
            self._placed.pop(observation.request_id, None)

    def cancel(self, request_id: str, now_ms: float) -> None:
        """Forget a request whose caller has left."""
        self._waiting.pop(request_id, None)
        self._decided.pop(request_id, None)
        self._placed.pop(request_id, None)

    def advance(self, now_ms: float) -> list[str]:
        """Place and reject queued requests; return the ids of those that were decided."""
        decided = []
        for request_id, waiting in list(self._waiting.items()):
            reply = self._decide(waiting, now_ms)
            if reply is not None:
                del self._waiting[request_id]
                self._decided[request_id] = reply
                decided.append(request_id)
        return decided

    def next_change_ms(self, now_ms: float) -> float | None:
        """Return the time until :meth:`advance` can decide something; ``None`` if never."""
        return 5.0 if self._waiting else None

    def update_in_flight(
        self, counts: Mapping[str, Sequence[int]], age_ms: float, now_ms: float
    ) -> None:
        """Compare with the summed in-flight counts of the entry instances.

        :param counts: requests by upstream id: all, and those whose response has not begun.
        :param age_ms: age of the counts.
        :param now_ms: current time.
        """

    def _decide(self, waiting: _Waiting, now_ms: float) -> DispatchReply | None:
        loads = dict.fromkeys(self._slots, 0)
        for upstream_id, _ in self._placed.values():
            loads[upstream_id] += 1
        request = waiting.request
        free = [i for i in request.upstream_ids if i in loads and loads[i] < self._slots[i]]
        if free:
            best = min(free, key=lambda i: loads[i] / self._slots[i])
            self._placed[request.request_id] = (best, now_ms)
            return DispatchReply(Outcome.PLACED.value, best)
        if now_ms < waiting.until_ms:
            return None
        return DispatchReply(
            Outcome.REJECTED.value, retry_after_ms=_RETRY_MS, reason="no engine has a free slot"
        )
