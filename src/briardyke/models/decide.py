"""Decide which engine loads or unloads which model."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from briardyke.models.tables import Change, ChangeKind, EngineView, ModelsView

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardyke.routes.configuration import EngineSpec

# Adapters come and go beside the models; room for this many stays free where the service has any.
_SPARE_ADAPTERS = 8
# A model gets another replica when the present ones carry more than an engine's mean demand and
# this part of it, and one becomes spare when the others would carry less than the part below.
# Demand that wavers between the two moves nothing.
_EXCESS = 0.25
_SPARE_SHARE = 0.7
# A model with demand yields its last replica only to one that is asked for so much more often.
_DISPLACE_RATIO = 4.0
# An engine takes no adapter while it loads a model, so one with busy adapters is a worse place.
_ADAPTER_COST = 0.5
# An engine that alone takes adapters now is used for a missing model only if no other can be.
_ALONE_COST = 5.0
# The last replica of a resting model costs a load when the model is asked for again, the sooner
# the more it was asked for lately.
_LAST_REPLICA = 3.0
_RETURN = 10.0
# A spare replica of a busy model, when the others would carry a whole engine's mean; one that is
# still needed gives way only to a model that is missing everywhere.
_SPARE_REPLICA = 2.0
_NEEDED_REPLICA = 4.0
# Demand below this is the tail of requests that ended some seconds ago.
_LEAST_DEMAND = 0.05


def decide(view: ModelsView) -> list[Change]:
    """Return the changes to start now, at most one for each engine.

    Load: a few models carry most requests and others rise within seconds, while each rare model
    must stay reachable. Models that are asked for and held nowhere come first, then those whose
    replicas carry more than an engine's mean demand. Room is made by models nobody asks for, then
    by replicas that are no longer needed.
    """
    draft = _Draft(view)
    for model in draft.missing():
        draft.place(model, is_urgent=True)
    for model in draft.short():
        draft.place(model, is_urgent=False)
    return draft.changes


@attrs.define
class _Option:
    cost: float
    engine: EngineView
    victims: list[str]


class _Draft:
    """Work on a copy of the holdings while changes are chosen."""

    def __init__(self, view: ModelsView) -> None:
        self.view = view
        self.changes: list[Change] = []
        self._starts = view.store_starts
        self._engines = [e for e in view.engines if e.is_staying]
        self._taken: set[str] = set()
        self._demand = {
            model: rate
            for model, rate in view.demand.items()
            if model in view.spec.models and rate >= _LEAST_DEMAND
        }
        self._replicas: dict[str, set[str]] = {}
        for engine in self._engines:
            for model in engine.held:
                if model not in engine.leaving:
                    self._replicas.setdefault(model, set()).add(engine.upstream_id)

    def missing(self) -> list[str]:
        """Return models with demand that no engine holds, most demanded first."""
        absent = [m for m in self._demand if not self._replicas.get(m)]
        return sorted(absent, key=lambda m: (-self._demand[m], m))

    def short(self) -> Iterable[str]:
        """Return models whose replicas carry too much, the most loaded first."""
        rows = [m for m in self._demand if 0 < len(self._replicas.get(m, ())) < self.wanted(m)]
        return sorted(rows, key=lambda m: (-self._demand[m] / len(self._replicas[m]), m))

    def wanted(self, model: str) -> int:
        """Return the number of replicas that a model's demand asks for."""
        demand = self._demand.get(model, 0.0)
        if demand <= 0 or not self._engines:
            return 0
        return max(1, min(len(self._engines), math.ceil(demand / self._mean() - _EXCESS)))

    def place(self, model: str, *, is_urgent: bool) -> None:
        """Choose an engine for one more replica, and what must leave it first."""
        options = [
            option
            for engine in self._engines
            if engine.is_free
            and engine.upstream_id not in self._taken
            and model not in engine.held
            and (is_urgent or not self._serves_adapters_alone(engine))
            and (option := self._option(model, engine, is_urgent)) is not None
        ]
        if not options:
            return
        best = min(options, key=lambda o: (o.cost, o.engine.upstream_id))
        self._taken.add(best.engine.upstream_id)
        self._replicas.setdefault(model, set()).add(best.engine.upstream_id)
        if best.victims:
            for victim in best.victims:
                self._replicas[victim].discard(best.engine.upstream_id)
                self.changes.append(Change(ChangeKind.UNLOAD, best.engine.upstream_id, victim))
            return
        from_store = model not in best.engine.at_hand
        if from_store:
            self._starts -= 1
        self.changes.append(Change(ChangeKind.LOAD, best.engine.upstream_id, model, from_store))

    def _serves_adapters_alone(self, engine: EngineView) -> bool:
        """Return whether no other engine could take an adapter of one of its models meanwhile.

        Load: an engine that loads a model takes no adapter for seconds, so a model with many
        adapters keeps one free engine while another one changes.
        """
        for model in engine.held:
            spec = self.view.spec.models.get(model)
            if spec is None or not spec.adapters or not self._demand.get(model):
                continue
            others = [
                e
                for e in self._engines
                if e is not engine
                and model in e.held
                and model not in e.leaving
                and e.is_free
                and e.upstream_id not in self._taken
            ]
            holders = len(self._replicas.get(model, ()))
            if not others and holders > 1:
                return True
        return False

    def _option(self, model: str, engine: EngineView, is_urgent: bool) -> _Option | None:
        from_store = model not in engine.at_hand
        if from_store and self._starts <= 0:
            return None
        missing_mb = self._size(model) - self._room(engine)
        victims: list[str] = []
        cost = self._pressure(engine) + (2.0 if from_store else 0.0)
        cost += _ADAPTER_COST * sum(engine.held.values())
        if is_urgent and self._serves_adapters_alone(engine):
            cost += _ALONE_COST
        rows = sorted(
            (self._victim_cost(v, model, is_urgent), v)
            for v in engine.held
            if v not in engine.recent
        )
        for victim_cost, victim in rows:
            if missing_mb <= 0:
                break
            if victim_cost == math.inf:
                return None
            victims.append(victim)
            cost += victim_cost + 1.0
            missing_mb -= self._size(victim)
        return _Option(cost, engine, victims) if missing_mb <= 0 else None

    def _mean(self) -> float:
        """Return an engine's mean demand."""
        return sum(self._demand.values()) / max(1, len(self._engines))

    def _victim_cost(self, victim: str, model: str, is_urgent: bool) -> float:
        demand = self._demand.get(victim, 0.0)
        replicas = len(self._replicas.get(victim, ()))
        if replicas <= 1 and demand <= 0:
            return _LAST_REPLICA + _RETURN * self.view.lasting.get(victim, 0.0)
        if replicas > 1:
            per_replica = demand / (replicas - 1)
            if per_replica <= _SPARE_SHARE * self._mean():
                return _SPARE_REPLICA * per_replica / self._mean()
            return _NEEDED_REPLICA + per_replica if is_urgent else math.inf
        displaces = is_urgent and self._demand[model] > demand * _DISPLACE_RATIO
        return 20.0 + demand if displaces else math.inf

    def _pressure(self, engine: EngineView) -> float:
        """Return the demand that the engine carries, relative to the mean."""
        total = sum(self._demand.values())
        if total <= 0:
            return 0.0
        carried = sum(
            self._demand.get(m, 0.0) / max(1, len(self._replicas.get(m, ()))) for m in engine.held
        )
        return carried / (total / len(self._engines))

    def _size(self, model: str) -> float:
        spec = self.view.spec.models.get(model)
        return spec.weights_mb if spec else 0.0

    def _room(self, engine: EngineView) -> float:
        """Return the memory that a model may use, in megabytes."""
        return self.view.spec.weights_mb - committed_mb(self.view.spec, engine.held)


def committed_mb(spec: EngineSpec, held: Iterable[str]) -> float:
    """Return the memory of models and adapters, with the places that adapters may still take."""
    largest = max((m.adapter_mb for m in spec.models.values() if m.adapters), default=0.0)
    weights = sum(spec.models[m].weights_mb for m in held if m in spec.models)
    return weights + largest * min(spec.adapter_slots, _SPARE_ADAPTERS)
