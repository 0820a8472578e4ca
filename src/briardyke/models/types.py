"""Define the inputs and the results of placement decisions."""

from __future__ import annotations

from enum import Enum

import attrs

from briardyke.routes.configuration import EngineSpec


class ChangeKind(Enum):
    """List the kinds of changes to an engine's memory."""

    LOAD = "load"
    UNLOAD = "unload"


@attrs.frozen
class Evidence:
    """Say why a change was chosen, for the log.

    :param wanted_model: model that the change makes room for or loads.
    :param demand_per_s: requests per second for that model.
    :param holders: engines that held it before or were loading it.
    :param gain: estimated gain, in requests per second at an engine with mean load.
    :param runner_up: engine of the next best option, or empty.
    :param runner_up_gain: gain of that option.
    """

    wanted_model: str
    demand_per_s: float
    holders: int
    gain: float
    runner_up: str = ""
    runner_up_gain: float = 0.0

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return {
            "wanted": self.wanted_model,
            "demand_per_s": round(self.demand_per_s, 2),
            "holders": self.holders,
            "gain": round(self.gain, 2),
            "runner_up": self.runner_up,
            "runner_up_gain": round(self.runner_up_gain, 2),
        }


@attrs.frozen
class Change:
    """Describe one change to an engine's memory.

    :param kind: load or unload.
    :param upstream_id: the engine.
    :param model: name of the model.
    :param is_from_store: whether a load reads from the weight store rather than from a local copy.
    :param evidence: why it was chosen.
    """

    kind: ChangeKind
    upstream_id: str
    model: str
    is_from_store: bool = False
    evidence: Evidence | None = attrs.field(default=None, eq=False)


@attrs.frozen
class EngineView:
    """Describe an engine as an input of placement.

    :param upstream_id: the engine.
    :param service: service that it belongs to.
    :param held: models in its memory or being loaded, with the number of their adapters that were
        requested recently.
    :param at_hand: models of which it keeps a local copy.
    :param is_free: whether it can accept an order for a model now.
    :param free_in_ms: time until its current order should end, 0 for an engine that is free.
    :param is_loading_from_store: whether it loads a model from the weight store.
    :param speed: its speed relative to a typical engine of its service.
    :param software_version: version of its software; only engines of one version continue each
        other's streams.
    :param limit_per_s: requests per second that it accepts, or ``None`` if it has stated no limit.
    :param is_available: whether it is ready, reachable and has not announced that it shuts down.
    :param unloading: models that are being unloaded.
    :param loading: model that it is loading, or empty.
    :param recently_loaded: models that are being loaded or were loaded recently.
    """

    upstream_id: str
    service: str
    held: dict[str, int]
    at_hand: frozenset[str]
    is_free: bool
    is_available: bool
    unloading: frozenset[str] = frozenset()
    recently_loaded: frozenset[str] = frozenset()
    loading: str = ""
    free_in_ms: float = 0.0
    is_loading_from_store: bool = False
    speed: float = 1.0
    limit_per_s: float | None = None
    software_version: str = ""


@attrs.frozen
class ModelsView:
    """Hold the inputs of a placement decision for one service.

    :param spec: models and memory of the service's engines.
    :param engines: its engines.
    :param demand: requests per second by model.
    :param store_loads_left: number of loads from the weight store that may start now.
    :param long_term_demand: demand averaged over a longer time, so that an idle model keeps some.
    :param is_demand_settled: whether demand has been observed for long enough to unload models
        because of it.
    :param missing_s: time in seconds for which each model has been requested while no engine held
        it.
    """

    spec: EngineSpec
    engines: list[EngineView]
    demand: dict[str, float]
    store_loads_left: int
    long_term_demand: dict[str, float] = attrs.field(factory=dict)
    missing_s: dict[str, float] = attrs.field(factory=dict)
    is_demand_settled: bool = True
