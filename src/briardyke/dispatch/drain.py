"""Estimate when the queue before a request will have been served."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from briardyke.dispatch.choice import Need
    from briardyke.dispatch.engine_load import EngineLoad
    from briardyke.dispatch.messages import DispatchRequest
    from briardyke.dispatch.pace import PaceTable

# Fraction of its time that an engine can read prompts within the objective for pauses.
_READING_FRACTION = 0.75


@attrs.define(eq=False)
class _Group:
    """Engines that may run the same requests.

    :param engines: their power, by id, relative to a typical engine without slowness.
    :param power: sum of their power.
    :param free_slots: their free slots.
    :param slots_per_ms: slots that become free, per ms.
    :param level_ms: time until the prompts that they have, and the queued ones, are read.
    """

    engines: dict[str, float]
    power: float
    free_slots: float
    slots_per_ms: float
    level_ms: float


class DrainEstimate:
    """Walk through the queue in its order and tell when each request can start."""

    def __init__(
        self,
        paces: PaceTable,
        engines_of: Callable[[DispatchRequest], Sequence[EngineLoad]],
        request_ms: float,
        now_ms: float,
    ) -> None:
        """Start at the head of the queue.

        :param engines_of: returns the known engines that may run a request.
        :param request_ms: mean time of a request from its dispatch to its end.
        """
        self._paces, self._engines_of = paces, engines_of
        self._request_ms, self._now_ms = request_ms, now_ms
        self._groups: dict[int, _Group] = {}
        self._shares: dict[tuple[int, int], float] = {}

    def start_ms(self, need: Need) -> float:
        """Return the expected time until a request's turn comes."""
        group = self._group(need)
        if not group.power:
            return math.inf
        start_ms = group.level_ms
        if group.free_slots < 1.0:
            slot_ms = (1.0 - group.free_slots) / max(1e-6, group.slots_per_ms)
            start_ms = max(start_ms, slot_ms)
        return start_ms

    def add(self, need: Need) -> None:
        """Count a request as ahead of the following ones."""
        group = self._group(need)
        if not group.power:
            return
        work_ms = reference_ms(self._paces, need.request.model, need.request.prompt_tokens)
        for key, other in self._groups.items():
            share = self._share(need.engines_key, key)
            other.level_ms += work_ms * share / other.power if other.power else 0.0
            other.free_slots -= share

    def work_ms(self, need: Need) -> float:
        """Return the time that all engines of a request together take for its prompt."""
        request = need.request
        work_ms = reference_ms(self._paces, request.model, request.prompt_tokens)
        return work_ms / max(0.1, self._group(need).power)

    def _group(self, need: Need) -> _Group:
        group = self._groups.get(need.engines_key)
        if group is None:
            group = self._new_group(self._engines_of(need.request))
            self._groups[need.engines_key] = group
        return group

    def _new_group(self, engines: Sequence[EngineLoad]) -> _Group:
        now_ms = self._now_ms
        powers = {engine.upstream_id: engine_power(engine, now_ms) for engine in engines}
        total = sum(powers.values())
        backlog_ms = sum(powers[e.upstream_id] * e.backlog_ms(now_ms) for e in engines)
        return _Group(
            powers,
            total,
            float(sum(engine.free_slots(now_ms) for engine in engines)),
            sum(len(engine.dispatches) for engine in engines) / max(1.0, self._request_ms),
            backlog_ms / total if total else 0.0,
        )

    def _share(self, key: int, other: int) -> float:
        """Return the part of a group's work that engines of another group do."""
        share = self._shares.get((key, other))
        if share is None:
            own, others = self._groups[key], self._groups[other].engines
            common = sum(value for i, value in own.engines.items() if i in others)
            share = self._shares[(key, other)] = common / own.power
        return share


def reference_ms(paces: PaceTable, model: str, tokens: int) -> float:
    """Return the time of a prompt on a typical engine without slowness."""
    return tokens * paces.ms_per_token * paces.model(model).value


def engine_power(engine: EngineLoad, now_ms: float) -> float:
    """Return the prompt work per time of an engine, relative to a typical one."""
    return _READING_FRACTION / (engine.speed.value * engine.slowness.at(now_ms))
