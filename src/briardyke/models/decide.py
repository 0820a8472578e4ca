"""Decide which engine loads or unloads which model."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from briardyke.models.balance import balanced_loads
from briardyke.models.tables import Change, ChangeKind, EngineView, ModelsView

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardyke.routes.configuration import EngineSpec

# Adapters come and go beside the models; room for this many stays free where the service has any.
_SPARE_ADAPTERS = 8
# Demand below this is the tail of requests that ended some seconds ago.
_LEAST_DEMAND = 0.05
# A request for a model that nothing holds waits for a load or is sent away. It counts like this
# many requests at an engine of mean load.
_MISSING_WEIGHT = 6.0
# A model that rests is asked for again, at about half of its mean rate of the last seconds.
_RESTING_SHARE = 0.5
# Part of the gain that is left when the weights come from the store, which takes several times as
# long as from a copy at hand.
_STORE_SHARE = 0.6
# A model whose engines carry this much more than the mean is a candidate for another replica.
_HOT_LEVEL = 1.2
# Least gain of a change: an order, its load, and the requests that miss their adapter meanwhile.
# In requests a second at an engine of mean load, for each request a second at the mean engine.
_LEAST_GAIN = 0.15
_LEAST_GAIN_RARE = 0.4
# An engine takes no adapter while it loads a model; each busy adapter there adds this much.
_ADAPTER_COST = 0.15
# The last engine that could take adapters of a busy model adds this much.
_ALONE_COST = 2.0
# A replica is not given up for one that gains as much, since demand wavers.
_KEEPING_FACTOR = 1.3
# Models examined in one round; the rest wait for the next one, a fraction of a second later.
_MAX_MODELS = 8
# Engines examined for one model.
_MAX_ENGINES = 12


def decide(view: ModelsView) -> list[Change]:
    """Return the changes to start now, at most one for each engine.

    Load: a few models carry most requests, others rise within seconds and each rare one must stay
    reachable, with fewer places than models. A busy model on too few engines delays most callers,
    a missing one delays its few callers by a whole load. Both are weighed in one measure, so that
    neither starves the other: the square of each engine's load, and the demand that nothing holds.
    """
    draft = _Draft(view)
    for model in draft.candidates()[:_MAX_MODELS]:
        draft.place(model)
    return draft.changes


@attrs.define
class _Option:
    gain: float
    engine: EngineView
    victims: list[str]


class _Draft:
    """Work on a copy of the holdings while changes are chosen."""

    def __init__(self, view: ModelsView) -> None:
        self.view = view
        self.changes: list[Change] = []
        self._starts = view.store_starts
        self._engines = [e for e in view.engines if e.is_staying]
        self._ids = [e.upstream_id for e in self._engines]
        self._taken: set[str] = set()
        self._demand = {
            model: rate
            for model, rate in view.demand.items()
            if model in view.spec.models and rate >= _LEAST_DEMAND
        }
        largest = max((m.weights_mb for m in view.spec.models.values()), default=1.0)
        # A larger model takes longer for each token.
        self._work = {
            model: rate * view.spec.models[model].weights_mb / largest
            for model, rate in self._demand.items()
        }
        self._holders: dict[str, set[str]] = {}
        for engine in self._engines:
            for model in engine.held:
                if model not in engine.leaving:
                    self._holders.setdefault(model, set()).add(engine.upstream_id)
        self._balance()

    def candidates(self) -> list[str]:
        """Return the models that could use another replica, the most promising first."""
        rows = []
        for model, rate in self._demand.items():
            holders = self._holders.get(model)
            if not holders:
                rows.append((-_MISSING_WEIGHT * rate, model))
                continue
            level = min(self._loads[i] for i in holders) / self._mean if self._mean else 0.0
            if level > _HOT_LEVEL and len(holders) < len(self._engines):
                rows.append((-self._work[model] * (level - 1.0), model))
        return [model for _, model in sorted(rows)]

    def place(self, model: str) -> None:
        """Choose an engine for one more replica, and what must leave it first."""
        free = [
            e
            for e in self._engines
            if e.is_free
            and e.upstream_id not in self._taken
            and model not in e.held
            and not (self._holders.get(model) and self._serves_adapters_alone(e))
        ]
        free.sort(key=lambda e: (model not in e.at_hand, self._loads[e.upstream_id]))
        options = [o for e in free[:_MAX_ENGINES] if (o := self._option(model, e)) is not None]
        best = max(options, key=lambda o: (o.gain, o.engine.upstream_id), default=None)
        if best is None or best.gain < self._least_gain(model):
            return
        self._adopt(model, best)

    def _least_gain(self, model: str) -> float:
        if self._holders.get(model):
            return _LEAST_GAIN * self._mean
        return min(_LEAST_GAIN_RARE, _MISSING_WEIGHT * self._demand[model] / 2.0)

    def _adopt(self, model: str, best: _Option) -> None:
        engine_id = best.engine.upstream_id
        self._taken.add(engine_id)
        for victim in best.victims:
            self._holders[victim].discard(engine_id)
            self.changes.append(Change(ChangeKind.UNLOAD, engine_id, victim))
        if not best.victims:
            from_store = model not in best.engine.at_hand
            self._starts -= from_store
            self.changes.append(Change(ChangeKind.LOAD, engine_id, model, from_store))
        self._holders.setdefault(model, set()).add(engine_id)
        self._balance()

    def _option(self, model: str, engine: EngineView) -> _Option | None:
        from_store = model not in engine.at_hand
        if from_store and self._starts <= 0:
            return None
        missing_mb = self._size(model) - self._room(engine)
        rows = sorted(
            (self._keeping_value(victim, engine), victim)
            for victim in engine.held
            if victim not in engine.recent
        )
        victims: list[str] = []
        loss = self._disturbance(engine)
        for value, victim in rows:
            if missing_mb <= 0:
                break
            if value == math.inf:
                return None
            victims.append(victim)
            loss += value
            missing_mb -= self._size(victim)
        if missing_mb > 0:
            return None
        gain = self._placing_value(model, engine) * (_STORE_SHARE if from_store else 1.0)
        return _Option(gain - loss, engine, victims)

    # Values, in requests a second at an engine of mean load

    def _placing_value(self, model: str, engine: EngineView) -> float:
        holders = self._holders.get(model)
        if not holders:
            return _MISSING_WEIGHT * self._demand[model]
        after = self._cost({**self._holders, model: holders | {engine.upstream_id}})
        return self._cost(self._holders) - after

    def _keeping_value(self, victim: str, engine: EngineView) -> float:
        """Return what is lost when an engine gives up a model."""
        if victim not in self.view.spec.models:
            return 0.0
        holders = self._holders.get(victim, set()) - {engine.upstream_id}
        if not holders:
            lasting = self.view.lasting.get(victim, 0.0) * _RESTING_SHARE
            rate = max(self._demand.get(victim, 0.0), lasting)
            return _MISSING_WEIGHT * rate * _KEEPING_FACTOR
        if victim not in self._demand:
            return 0.0
        after = self._cost({**self._holders, victim: holders})
        return max(0.0, after - self._cost(self._holders)) * _KEEPING_FACTOR

    def _disturbance(self, engine: EngineView) -> float:
        """Return the cost of an engine that takes no adapter for the time of a load.

        Load: a busy model has more adapters than an engine has places, so its requests need an
        engine that can load one; rare models should come and go where that hurts nobody.
        """
        cost = _ADAPTER_COST * sum(engine.held.values())
        return cost + (_ALONE_COST if self._serves_adapters_alone(engine) else 0.0)

    def _serves_adapters_alone(self, engine: EngineView) -> bool:
        """Return whether the other holders of one of its models take no adapter now."""
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
            if not others and len(self._holders.get(model, ())) > 1:
                return True
        return False

    def _balance(self) -> None:
        self._loads = balanced_loads(self._work, self._holders, self._ids)
        self._mean = sum(self._work.values()) / max(1, len(self._ids))

    def _cost(self, holders: dict[str, set[str]]) -> float:
        """Return the sum of the squares of the engines' loads, in units of the mean."""
        if self._mean <= 0:
            return 0.0
        loads = balanced_loads(self._work, holders, self._ids)
        return sum(load * load for load in loads.values()) / (2.0 * self._mean)

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
