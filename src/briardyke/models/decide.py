"""Decide which models each engine loads and unloads."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from briardyke.gateway.demand import TYPICAL_REQUEST_DURATION_S
from briardyke.models.engine_speed import effective_speeds
from briardyke.models.load_estimate import LoadEstimate
from briardyke.models.types import Change, ChangeKind, EngineView, Evidence, ModelsView

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardyke.routes.configuration import EngineSpec

# Memory for this many adapters is kept free in each engine of a service that has adapters.
_RESERVED_ADAPTERS = 8
# Demand below this is what remains of the decaying average some seconds after the last request.
_MIN_DEMAND_PER_S = 0.05
# A request for a model that no engine holds waits for a load or is refused. It is weighted like
# this many requests at an engine with mean load.
_MISSING_MODEL_WEIGHT = 6.0
# The weight of a missing model grows by this fraction per second, so that it is loaded eventually.
_MISSING_GROWTH_PER_S = 0.2
# The expected demand of an idle model is about half of its long-term average.
_IDLE_DEMAND_SHARE = 0.5
# Demand for a model lasts about this long, so a load that ends later has little value.
_DEMAND_HORIZON_S = 12.0
# Fraction of the gain that is left for a load that takes longer than that.
_MIN_GAIN_SHARE = 0.1
# Time to announce that a model will be unloaded, and to unload it, before a load can start.
_UNLOAD_DURATION_S = 0.7
# Fraction of the engines that may load models with low demand from the store at the same time. The
# others stay free for a model whose demand rises, and for adapters.
_RARE_LOAD_ENGINES_SHARE = 0.4
# Demand up to this fraction of an engine's mean load is low.
_RARE_DEMAND_SHARE = 0.5
# A model is a candidate for another replica when the load of all its engines exceeds this many
# times the mean.
_OVERLOAD_FACTOR = 1.2
# A model on an engine with requests in at most this fraction of its slots needs no other replica,
# whatever the mean load is: tokens are generated hardly slower than for a single request.
_LOW_LOAD_SHARE = 0.15
# Smallest gain that is worth an order and a load for another replica, as a fraction of an engine's
# mean load.
_MIN_REPLICA_GAIN = 0.15
# Smallest gain that is worth loading a missing model, in requests per second at an engine with mean
# load.
_MIN_MISSING_GAIN = 0.4
# Fraction of the requests for a model with adapters whose adapter has to be loaded first.
_ADAPTER_MISS_SHARE = 0.2
# The same fraction when another engine could load the adapter.
_SHARED_ADAPTER_MISS_SHARE = 0.02
# Value of a second engine that could continue a stream, relative to that of serving a request.
_CONTINUATION_WEIGHT = 0.5
# An engine that is free within this time is worth waiting for.
_FREE_SOON_MS = 1500.0
# A replica is evicted only for a gain that exceeds the loss by this factor, since demand
# fluctuates.
_HYSTERESIS_FACTOR = 1.3
# The other models wait for the next decision, a fraction of a second later.
_MAX_MODELS_PER_ROUND = 12
# Each round adds at most one replica per model.
_MAX_ROUNDS = 4
_MAX_ENGINES_PER_MODEL = 12


def decide(view: ModelsView) -> list[Change]:
    """Return the changes to start now, at most one for each engine.

    The engines cannot hold all models at once. A few models receive most requests, the demand for
    others rises within seconds, and each rarely requested one must stay reachable. A busy model on
    too few engines delays most callers; a missing one delays its few callers by a whole load. Both
    are measured in one unit, so that neither starves the other: the cost is the sum of the squared
    loads of the engines, plus the weighted demand for models that no engine holds.

    A model that rises to a fifth of all requests needs several more replicas. Their loads are
    started together, since each takes seconds.
    """
    decision = _Decision(view)
    for _ in range(_MAX_ROUNDS):
        before = len(decision.changes)
        for model in decision.candidates()[:_MAX_MODELS_PER_ROUND]:
            decision.place_replica(model)
        if len(decision.changes) == before:
            break
    return decision.changes


@attrs.define
class _Option:
    gain: float
    engine: EngineView
    victims: list[str]


class _Decision:
    """Track the changes chosen so far and the holders of each model that they result in."""

    def __init__(self, view: ModelsView) -> None:
        self.view = view
        self.changes: list[Change] = []
        self._store_loads_left = view.store_loads_left
        self._store_loads_started = 0
        self._engines = [e for e in view.engines if e.is_available]
        self._changed_engines: set[str] = set()
        self._demand = {
            model: rate
            for model, rate in view.demand.items()
            if model in view.spec.models and rate >= _MIN_DEMAND_PER_S
        }
        self._versions = {e.upstream_id: e.software_version for e in self._engines}
        self._engines_by_version = Counter(self._versions.values())
        self._speeds = effective_speeds(self._engines, sum(self._demand.values()))
        self._low_load = _LOW_LOAD_SHARE * view.spec.slots / TYPICAL_REQUEST_DURATION_S
        self._adapter_reserve_mb = adapter_reserve_mb(view.spec)
        largest = max((m.weights_mb for m in view.spec.models.values()), default=1.0)
        # Requests per second, scaled by size: a larger model takes longer for each token.
        self._load_by_model = {
            model: rate * view.spec.models[model].weights_mb / largest
            for model, rate in self._demand.items()
        }
        # Engines that hold a model or will, and those of them that can serve it now.
        self._holders: dict[str, set[str]] = {}
        self._serving: dict[str, set[str]] = {}
        for engine in self._engines:
            for model in engine.held:
                if model in engine.unloading:
                    continue
                self._holders.setdefault(model, set()).add(engine.upstream_id)
                if model != engine.loading:
                    self._serving.setdefault(model, set()).add(engine.upstream_id)
        self._estimate_loads()

    def candidates(self) -> list[str]:
        """Return the models that would gain from another replica, highest priority first."""
        candidates = []
        for model, rate in self._demand.items():
            holders = self._holders.get(model)
            if not holders:
                candidates.append((-_MISSING_MODEL_WEIGHT * rate, model))
                continue
            load = min(self._loads[i] for i in holders)
            load_ratio = (
                load / self._mean_load if self._mean_load and load > self._low_load else 0.0
            )
            gain = self._load_by_model[model] * (load_ratio - 1.0)
            if load_ratio <= _OVERLOAD_FACTOR:
                gain = self._continuation_value(model)
                if gain > 0.0 and not self._lacks_partner(model):
                    gain = 0.0
            if gain > 0.0 and len(holders) < len(self._engines):
                candidates.append((-gain, model))
        return [model for _, model in sorted(candidates)]

    def place_replica(self, model: str) -> None:
        """Choose an engine for one more replica, and the models to unload there first.

        An engine that will be free soon and keeps a copy can be better than one that is free now
        and has to load from the store. In that case nothing is changed until it is free.
        """
        engines = [
            e
            for e in self._engines
            if e.upstream_id not in self._changed_engines
            and model not in e.held
            and not (self._holders.get(model) and self._other_holder_free_soon(e))
        ]
        engines.sort(
            key=lambda e: (self._seconds_until_loaded(model, e), self._loads[e.upstream_id])
        )
        options = [
            o
            for e in engines[:_MAX_ENGINES_PER_MODEL]
            if (o := self._evaluate(model, e)) is not None
        ]
        options.sort(key=lambda o: (o.gain, o.engine.upstream_id), reverse=True)
        if not options:
            return
        best = options[0]
        if best.gain < self._min_gain(model) or not best.engine.is_free:
            return
        self._apply(model, best, options[1] if len(options) > 1 else None)

    def _seconds_until_loaded(self, model: str, engine: EngineView) -> float:
        """Return the time in seconds until an engine with enough memory could serve a model."""
        spec = self.view.spec.models[model]
        load_s = spec.disk_load_s if model in engine.at_hand else spec.load_s
        return load_s + engine.free_in_ms / 1000.0

    def _may_load_from_store(self, model: str) -> bool:
        if self._store_loads_left <= 0:
            return False
        if (
            self._holders.get(model)
            or self._load_by_model[model] > _RARE_DEMAND_SHARE * self._mean_load
        ):
            return True
        loading = sum(e.is_loading_from_store for e in self._engines) + self._store_loads_started
        return loading < max(1, int(_RARE_LOAD_ENGINES_SHARE * len(self._engines)))

    def _min_gain(self, model: str) -> float:
        if self._holders.get(model):
            return _MIN_REPLICA_GAIN * self._mean_load
        return min(_MIN_MISSING_GAIN, _MISSING_MODEL_WEIGHT * self._demand[model] / 4.0)

    def _apply(self, model: str, best: _Option, runner_up: _Option | None) -> None:
        engine_id = best.engine.upstream_id
        evidence = Evidence(
            model, self._demand[model], len(self._holders.get(model, ())), best.gain
        )
        if runner_up is not None:
            evidence = attrs.evolve(
                evidence,
                runner_up=runner_up.engine.upstream_id,
                runner_up_gain=runner_up.gain,
            )
        self._changed_engines.add(engine_id)
        for victim in best.victims:
            self._holders[victim].discard(engine_id)
            self._serving[victim].discard(engine_id)
            self.changes.append(Change(ChangeKind.UNLOAD, engine_id, victim, evidence=evidence))
        if not best.victims:
            from_store = model not in best.engine.at_hand
            self._store_loads_left -= from_store
            self._store_loads_started += from_store
            self.changes.append(Change(ChangeKind.LOAD, engine_id, model, from_store, evidence))
        self._holders.setdefault(model, set()).add(engine_id)
        self._estimate_loads()

    def _evaluate(self, model: str, engine: EngineView) -> _Option | None:
        from_store = model not in engine.at_hand
        if from_store and not self._may_load_from_store(model):
            return None
        missing_mb = self._size_mb(model) - self._free_mb(engine)
        if missing_mb > 0 and not self.view.is_demand_settled:
            return None
        candidates = sorted(
            (self._loss_of_evicting(victim, engine), victim)
            for victim in engine.held
            if victim not in engine.recently_loaded
        )
        victims: list[str] = []
        loss = 0.0
        for victim_loss, victim in candidates:
            if missing_mb <= 0:
                break
            victims.append(victim)
            loss += victim_loss
            missing_mb -= self._size_mb(victim)
        if missing_mb > 0:
            return None
        wait_s = self._seconds_until_loaded(model, engine) + (
            _UNLOAD_DURATION_S if victims else 0.0
        )
        gain = self._gain_of_placing(model, engine) * max(
            _MIN_GAIN_SHARE, 1.0 - wait_s / _DEMAND_HORIZON_S
        )
        loss += self._adapter_miss_cost(engine) * min(1.0, wait_s / _DEMAND_HORIZON_S)
        return _Option(gain - loss, engine, victims)

    # Gains and losses, in requests per second at an engine with mean load

    def _gain_of_placing(self, model: str, engine: EngineView) -> float:
        holders = self._holders.get(model)
        if not holders:
            waiting = 1.0 + _MISSING_GROWTH_PER_S * self.view.missing_s.get(model, 0.0)
            return _MISSING_MODEL_WEIGHT * self._demand[model] * waiting
        gain = self._as_requests_per_s(
            self._load_estimate.gain_of_adding(model, engine.upstream_id)
        )
        return gain + self._continuation_gain(model, engine)

    def _continuation_gain(self, model: str, engine: EngineView) -> float:
        """Return the continuation value where an engine is the only one to provide it."""
        value = self._continuation_value(model)
        return value if value > 0.0 and self._is_only_partner(model, engine) else 0.0

    def _continuation_value(self, model: str) -> float:
        """Return the value of a second engine for the streams that one of a model's engines runs.

        With several versions in service, a model may have many replicas and none that could
        continue the streams of another.
        """
        if len(self._engines_by_version) < 2:
            return 0.0
        holders = self._holders.get(model, ())
        return _CONTINUATION_WEIGHT * self._demand.get(model, 0.0) / max(1, len(holders))

    def _is_only_partner(self, model: str, engine: EngineView) -> bool:
        """Return whether an engine is the only one that could continue another one's streams."""
        others = self._holders.get(model, set()) - {engine.upstream_id}
        return sum(self._versions[i] == engine.software_version for i in others) == 1

    def _lacks_partner(self, model: str) -> bool:
        """Return whether a holder of a model has no partner of its version that could have it."""
        holders = Counter(self._versions[i] for i in self._holders[model])
        return any(n == 1 and self._engines_by_version[v] > 1 for v, n in holders.items())

    def _loss_of_evicting(self, victim: str, engine: EngineView) -> float:
        """Return the loss when an engine unloads a model.

        A replica that is still being loaded, or that this decision has only just added, does not
        count as a substitute: its callers would have nowhere to go for seconds.
        """
        if victim not in self.view.spec.models:
            return 0.0
        if not self._serving.get(victim, set()) - {engine.upstream_id}:
            long_term = self.view.long_term_demand.get(victim, 0.0) * _IDLE_DEMAND_SHARE
            rate = max(self._demand.get(victim, 0.0), long_term)
            return _MISSING_MODEL_WEIGHT * rate * _HYSTERESIS_FACTOR
        if victim not in self._demand:
            return 0.0
        loss = self._serving_estimate.loss_of_removing(victim, engine.upstream_id)
        loss = self._as_requests_per_s(max(0.0, loss))
        loss += self._continuation_gain(victim, engine)
        return loss * _HYSTERESIS_FACTOR

    def _adapter_miss_cost(self, engine: EngineView) -> float:
        """Return the weighted demand that misses an adapter while an engine accepts no adapters.

        A busy model has more adapters than an engine has slots, so its requests need an engine that
        can load one. Rarely requested models should be loaded where that delays no such request.
        """
        cost = 0.0
        for model, is_only_free_holder in self._models_with_adapters(engine):
            misses = _ADAPTER_MISS_SHARE if is_only_free_holder else _SHARED_ADAPTER_MISS_SHARE
            cost += _MISSING_MODEL_WEIGHT * misses * self._demand[model]
        return cost

    def _other_holder_free_soon(self, engine: EngineView) -> bool:
        """Return whether only this holder of some model accepts adapters, but another soon will.

        The next replica of a busy model can wait until then.
        """
        for model, is_only_free_holder in self._models_with_adapters(engine):
            others = self._other_holders(model, engine)
            if is_only_free_holder and any(e.free_in_ms <= _FREE_SOON_MS for e in others):
                return True
        return False

    def _models_with_adapters(self, engine: EngineView) -> list[tuple[str, bool]]:
        """Return the engine's models that have adapters and demand.

        The second value tells whether no other engine could load an adapter of the model meanwhile.
        """
        found = []
        for model in engine.held:
            spec = self.view.spec.models.get(model)
            if spec is None or not spec.adapters or model not in self._demand:
                continue
            others = self._other_holders(model, engine)
            free_others = [
                e for e in others if e.is_free and e.upstream_id not in self._changed_engines
            ]
            found.append((model, not free_others))
        return found

    def _other_holders(self, model: str, engine: EngineView) -> list[EngineView]:
        return [
            e
            for e in self._engines
            if e is not engine and model in e.held and model not in e.unloading
        ]

    def _estimate_loads(self) -> None:
        self._load_estimate = LoadEstimate(self._load_by_model, self._holders, self._speeds)
        self._serving_estimate = LoadEstimate(self._load_by_model, self._serving, self._speeds)
        self._loads = self._load_estimate.loads
        self._mean_load = sum(self._load_by_model.values()) / max(1.0, sum(self._speeds.values()))

    def _as_requests_per_s(self, cost: float) -> float:
        """Convert a change of the cost to requests per second at an engine with mean load."""
        return cost / (2.0 * self._mean_load) if self._mean_load > 0 else 0.0

    def _size_mb(self, model: str) -> float:
        spec = self.view.spec.models.get(model)
        return spec.weights_mb if spec else 0.0

    def _free_mb(self, engine: EngineView) -> float:
        """Return the memory that another model may use, in megabytes."""
        held_mb = _weights_mb(self.view.spec, engine.held)
        return self.view.spec.weights_mb - held_mb - self._adapter_reserve_mb


def committed_mb(spec: EngineSpec, held: Iterable[str]) -> float:
    """Return the memory of the held models plus the reserve for adapters, in megabytes."""
    return _weights_mb(spec, held) + adapter_reserve_mb(spec)


def _weights_mb(spec: EngineSpec, held: Iterable[str]) -> float:
    return sum(spec.models[m].weights_mb for m in held if m in spec.models)


def adapter_reserve_mb(spec: EngineSpec) -> float:
    """Return the memory that is kept free for adapters, in megabytes."""
    largest = max((m.adapter_mb for m in spec.models.values() if m.adapters), default=0.0)
    return largest * min(spec.adapter_slots, _RESERVED_ADAPTERS)
