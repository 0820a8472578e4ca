"""Decide which engine loads or unloads which model."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.gateway.demand import TYPICAL_REQUEST_DURATION_S
from briardyke.models.load_estimate import LoadEstimate
from briardyke.models.types import Change, ChangeKind, EngineView, ModelsView

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardyke.routes.configuration import EngineSpec

# Memory for this many adapters stays free beside the models if the service has adapters.
_SPARE_ADAPTERS = 8
# Demand below this is the tail of requests that ended some seconds ago.
_LEAST_DEMAND = 0.05
# A request for a model that no engine holds waits for a load or is refused. It counts as much as
# this many requests at an engine with mean load.
_MISSING_WEIGHT = 6.0
# A model that stays missing gains this much weight each second, so that each is loaded eventually.
_WAITING_WEIGHT_PER_S = 0.2
# An idle model is requested again at about half of its mean rate of the last seconds.
_IDLE_SHARE = 0.5
# Demand for a model lasts about this long; a load that ends later gains nothing.
_HORIZON_S = 12.0
# Part of the gain that is left for a load that takes longer than that.
_LEAST_SHARE = 0.1
# Time to announce that a model is unloaded, and to unload it, before a load can start.
_UNLOAD_S = 0.7
# Part of the engines that may load models of little demand from the store at the same time. The
# others stay free for a model whose demand rises, and for adapters.
_RARE_LOADS_SHARE = 0.4
# Demand up to this part of an engine's mean load is little.
_RARE_DEMAND = 0.5
# A model whose engines carry this much more than the mean is a candidate for another replica.
_HOT_LEVEL = 1.2
# An engine with requests in up to this part of its slots needs no other replica, whatever the mean
# is: tokens are generated hardly slower than for a single request.
_LOW_LOAD_SHARE = 0.15
# Least gain of another replica, in parts of an engine's mean load: an order and a load.
_LEAST_GAIN = 0.15
# Least gain of a missing model, in requests a second at an engine of mean load.
_LEAST_GAIN_RARE = 0.4
# Part of the requests for a model with adapters that need one to be loaded.
_ADAPTER_MISSES = 0.2
# The same where another engine could load the adapter.
_ADAPTER_MISSES_SHARED = 0.02
# An engine that is free within this time is waited for rather than left out.
_SOON_MS = 1500.0
# A replica is not evicted for one with the same gain, since demand fluctuates.
_KEEPING_FACTOR = 1.3
# Models examined in one round; the rest wait for the next decision, a fraction of a second later.
_MAX_MODELS = 12
# Rounds of one decision, each with at most one more replica for every model.
_MAX_ROUNDS = 4
# Engines examined for one model.
_MAX_ENGINES = 12


def decide(view: ModelsView) -> list[Change]:
    """Return the changes to start now, at most one for each engine.

    A few models carry most requests, others rise within seconds and each rare one must stay
    reachable, with fewer places than models. A busy model on too few engines delays most callers,
    a missing one delays its few callers by a whole load. Both are weighed in one measure, so that
    neither starves the other: the square of each engine's load, and the demand that nothing holds.

    A model that rises to a fifth of all requests needs several more replicas; they are begun
    together, since each load takes seconds.
    """
    draft = _Draft(view)
    for _ in range(_MAX_ROUNDS):
        before = len(draft.changes)
        for model in draft.candidates()[:_MAX_MODELS]:
            draft.place(model)
        if len(draft.changes) == before:
            break
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
        self._store_loads = 0
        self._engines = [e for e in view.engines if e.is_staying]
        self._ids = [e.upstream_id for e in self._engines]
        self._changed: set[str] = set()
        self._demand = {
            model: rate
            for model, rate in view.demand.items()
            if model in view.spec.models and rate >= _LEAST_DEMAND
        }
        self._low_load = _LOW_LOAD_SHARE * view.spec.slots / TYPICAL_REQUEST_DURATION_S
        self._reserve_mb = adapter_reserve_mb(view.spec)
        largest = max((m.weights_mb for m in view.spec.models.values()), default=1.0)
        # A larger model takes longer for each token.
        self._work = {
            model: rate * view.spec.models[model].weights_mb / largest
            for model, rate in self._demand.items()
        }
        self._holders: dict[str, set[str]] = {}
        self._arriving = {e.upstream_id: e.arriving for e in self._engines}
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
            load = min(self._loads[i] for i in holders)
            level = load / self._mean if self._mean and load > self._low_load else 0.0
            if level > _HOT_LEVEL and len(holders) < len(self._engines):
                rows.append((-self._work[model] * (level - 1.0), model))
        return [model for _, model in sorted(rows)]

    def place(self, model: str) -> None:
        """Choose an engine for one more replica, and what must leave it first.

        An engine that will be free soon and keeps a copy can be better than one that is free now
        and has to load from the store; then nothing is changed yet.
        """
        engines = [
            e
            for e in self._engines
            if e.upstream_id not in self._changed
            and model not in e.held
            and not (self._holders.get(model) and self._other_holder_free_soon(e))
        ]
        engines.sort(key=lambda e: (self._load_s(model, e), self._loads[e.upstream_id]))
        options = [o for e in engines[:_MAX_ENGINES] if (o := self._option(model, e)) is not None]
        best = max(options, key=lambda o: (o.gain, o.engine.upstream_id), default=None)
        if best is None or best.gain < self._least_gain(model) or not best.engine.is_free:
            return
        self._apply(model, best)

    def _load_s(self, model: str, engine: EngineView) -> float:
        """Return the time until an engine could serve a model that it has room for, in seconds."""
        spec = self.view.spec.models[model]
        load_s = spec.disk_load_s if model in engine.at_hand else spec.load_s
        return load_s + engine.free_in_ms / 1000.0

    def _may_use_store(self, model: str) -> bool:
        if self._starts <= 0:
            return False
        if self._holders.get(model) or self._work[model] > _RARE_DEMAND * self._mean:
            return True
        loading = sum(e.is_loading for e in self._engines) + self._store_loads
        return loading < max(1, int(_RARE_LOADS_SHARE * len(self._engines)))

    def _least_gain(self, model: str) -> float:
        if self._holders.get(model):
            return _LEAST_GAIN * self._mean
        return min(_LEAST_GAIN_RARE, _MISSING_WEIGHT * self._demand[model] / 4.0)

    def _apply(self, model: str, best: _Option) -> None:
        engine_id = best.engine.upstream_id
        self._changed.add(engine_id)
        for victim in best.victims:
            self._holders[victim].discard(engine_id)
            self.changes.append(Change(ChangeKind.UNLOAD, engine_id, victim))
        if not best.victims:
            from_store = model not in best.engine.at_hand
            self._starts -= from_store
            self._store_loads += from_store
            self.changes.append(Change(ChangeKind.LOAD, engine_id, model, from_store))
        self._holders.setdefault(model, set()).add(engine_id)
        self._balance()

    def _option(self, model: str, engine: EngineView) -> _Option | None:
        from_store = model not in engine.at_hand
        if from_store and not self._may_use_store(model):
            return None
        missing_mb = self._size(model) - self._room(engine)
        if missing_mb > 0 and not self.view.is_settled:
            return None
        rows = sorted(
            (self._keeping_value(victim, engine), victim)
            for victim in engine.held
            if victim not in engine.recent
        )
        victims: list[str] = []
        loss = 0.0
        for value, victim in rows:
            if missing_mb <= 0:
                break
            victims.append(victim)
            loss += value
            missing_mb -= self._size(victim)
        if missing_mb > 0:
            return None
        wait_s = self._load_s(model, engine) + (_UNLOAD_S if victims else 0.0)
        gain = self._placing_value(model, engine) * max(_LEAST_SHARE, 1.0 - wait_s / _HORIZON_S)
        loss += self._adapter_miss_cost(engine) * min(1.0, wait_s / _HORIZON_S)
        return _Option(gain - loss, engine, victims)

    # Values, in requests a second at an engine of mean load

    def _placing_value(self, model: str, engine: EngineView) -> float:
        holders = self._holders.get(model)
        if not holders:
            waiting = 1.0 + _WAITING_WEIGHT_PER_S * self.view.missing_s.get(model, 0.0)
            return _MISSING_WEIGHT * self._demand[model] * waiting
        return self._scaled(self._balanced.gain_of_adding(model, engine.upstream_id))

    def _keeping_value(self, victim: str, engine: EngineView) -> float:
        """Return what is lost when an engine gives up a model.

        A replica that is still being loaded replaces none that serves.
        """
        if victim not in self.view.spec.models:
            return 0.0
        loading = {i for i in self._holders.get(victim, ()) if self._arriving[i] == victim}
        holders = self._holders.get(victim, set()) - loading - {engine.upstream_id}
        if not holders:
            lasting = self.view.lasting.get(victim, 0.0) * _IDLE_SHARE
            rate = max(self._demand.get(victim, 0.0), lasting)
            return _MISSING_WEIGHT * rate * _KEEPING_FACTOR
        if victim not in self._demand:
            return 0.0
        loss = self._balanced.loss_of_removing(victim, engine.upstream_id)
        return self._scaled(max(0.0, loss)) * _KEEPING_FACTOR

    def _adapter_miss_cost(self, engine: EngineView) -> float:
        """Return the demand that misses an adapter while an engine accepts no adapters.

        A busy model has more adapters than an engine has places, so its requests need an
        engine that can load one; rare models should come and go where that hurts nobody.
        """
        cost = 0.0
        for model, is_alone in self._adapter_models(engine):
            misses = _ADAPTER_MISSES if is_alone else _ADAPTER_MISSES_SHARED
            cost += _MISSING_WEIGHT * misses * self._demand[model]
        return cost

    def _other_holder_free_soon(self, engine: EngineView) -> bool:
        """Return whether only this holder of a model accepts adapters now, but another soon will.

        A busy model can wait for its next replica until that is so.
        """
        for model, is_alone in self._adapter_models(engine):
            others = self._other_holders(model, engine)
            if is_alone and any(e.free_in_ms <= _SOON_MS for e in others):
                return True
        return False

    def _adapter_models(self, engine: EngineView) -> list[tuple[str, bool]]:
        """Return an engine's models that are requested with adapters.

        Each comes with whether no other engine could take an adapter of it meanwhile.
        """
        found = []
        for model in engine.held:
            spec = self.view.spec.models.get(model)
            if spec is None or not spec.adapters or model not in self._demand:
                continue
            others = self._other_holders(model, engine)
            takes = [e for e in others if e.is_free and e.upstream_id not in self._changed]
            found.append((model, not takes))
        return found

    def _other_holders(self, model: str, engine: EngineView) -> list[EngineView]:
        return [
            e
            for e in self._engines
            if e is not engine and model in e.held and model not in e.leaving
        ]

    def _balance(self) -> None:
        self._balanced = LoadEstimate(self._work, self._holders, self._ids)
        self._loads = self._balanced.loads
        self._mean = sum(self._work.values()) / max(1, len(self._ids))

    def _scaled(self, cost: float) -> float:
        """Return a sum of squares of loads in units of the mean load."""
        return cost / (2.0 * self._mean) if self._mean > 0 else 0.0

    def _size(self, model: str) -> float:
        spec = self.view.spec.models.get(model)
        return spec.weights_mb if spec else 0.0

    def _room(self, engine: EngineView) -> float:
        """Return the memory that a model may use, in megabytes."""
        held_mb = _weights_mb(self.view.spec, engine.held)
        return self.view.spec.weights_mb - held_mb - self._reserve_mb


def committed_mb(spec: EngineSpec, held: Iterable[str]) -> float:
    """Return the memory of models and adapters, with the places that adapters may still take."""
    return _weights_mb(spec, held) + adapter_reserve_mb(spec)


def _weights_mb(spec: EngineSpec, held: Iterable[str]) -> float:
    return sum(spec.models[m].weights_mb for m in held if m in spec.models)


def adapter_reserve_mb(spec: EngineSpec) -> float:
    """Return the memory that stays free for adapters, in megabytes."""
    largest = max((m.adapter_mb for m in spec.models.values() if m.adapters), default=0.0)
    return largest * min(spec.adapter_slots, _SPARE_ADAPTERS)
