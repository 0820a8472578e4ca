"""Describe an experiment: sizes, engines, kinds of requests and events."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any

import attrs

from briardyke.wire.codec import structure

if TYPE_CHECKING:
    from pathlib import Path


@attrs.frozen
class Sizes:
    """Sizes of the fleet.

    :param entries: number of entry instances.
    :param engines: number of engines at the start.
    :param models: number of models; model 0 is the first in the lists of the kinds of requests.
    :param duration_s: time for which callers send requests.
    """

    entries: int = 7
    engines: int = 9
    models: int = 26
    duration_s: float = 30.0


@attrs.frozen
class EngineModel:
    """Behaviour of an engine.

    :param slots: requests in one batch.
    :param queue: requests that may wait.
    :param weights_mb: memory for weights, in megabytes.
    :param step_ms: time of one step of the batch without prompts.
    :param tokens_per_event: tokens of one event of a stream.
    :param prompt_tokens_per_ms: speed at which prompts are read.
    :param chunk_tokens: prompt tokens that one step reads at most.
    :param slow_share: fraction of the engines that are slow.
    :param slow_factor: how many times as long a slow engine takes.
    :param store_loads_per_s: loads per second that the weight store starts for all engines.
    """

    slots: int = 24
    queue: int = 50
    weights_mb: float = 200_000.0
    step_ms: float = 5.2
    tokens_per_event: int = 6
    prompt_tokens_per_ms: float = 38.0
    chunk_tokens: int = 4096
    slow_share: float = 0.33
    slow_factor: float = 2.4
    store_loads_per_s: float = 2.4


@attrs.frozen
class WeightsModel:
    """Size and load times of a model's weights.

    :param weights_mb: size, in megabytes.
    :param load_s: time of a load from the weight store.
    :param disk_load_s: time of a load from the engine's own copy.
    """

    weights_mb: float = 57_000.0
    load_s: float = 3.4
    disk_load_s: float = 1.0


@attrs.frozen
class RequestModel:
    """One kind of request.

    :param name: name of the kind.
    :param per_s: requests per second.
    :param objective_ms: time to the first event that is in time.
    :param timeout_ms: time that a caller gives a request.
    :param first_model: first model of its list.
    :param models: number of models in its list.
    :param active: number of models of the list that are requested at one time.
    :param skew: exponent by which demand falls from one active model to the next.
    :param prompt_tokens: mean length of a prompt.
    :param events: mean number of events.
    :param pause_ms: longest pause between events that is in time.
    :param priority: rank; 0 is the most urgent.
    :param worth: worth of a request in time.
    :param late_worth: worth of a late one.
    """

    name: str
    per_s: float
    objective_ms: float
    timeout_ms: float
    first_model: int
    models: int
    active: int
    skew: float = 0.4
    prompt_tokens: float = 628.0
    events: float = 48.0
    pause_ms: float = 250.0
    priority: int = 1
    worth: float = 1.0
    late_worth: float = 0.3


@attrs.frozen
class Event:
    """Something that happens at a set time.

    :param kind: ``shift``, ``burst``, ``engine_lost``, ``engine_added`` or ``leader_lost``.
    :param at_s: time after the start of the load.
    :param for_s: duration.
    :param count: how many models, or engines.
    :param request: kind of request of a burst.
    :param factor: factor of a burst.
    """

    kind: str
    at_s: float
    for_s: float = 0.0
    count: int = 1
    request: str = ""
    factor: float = 1.0


@attrs.frozen
class Experiment:
    """An experiment, as read from a file.

    :param request: kinds of requests.
    :param sizes: sizes of the fleet.
    :param engine: behaviour of the engines.
    :param weights: models' weights.
    :param event: events during the load.
    """

    request: list[RequestModel]
    sizes: Sizes = Sizes()
    engine: EngineModel = EngineModel()
    weights: WeightsModel = WeightsModel()
    event: list[Event] = attrs.field(factory=list)


def read_experiment(path: Path) -> Experiment:
    """Read an experiment.

    :raises OSError: when the file cannot be read.
    :raises Exception: when it is no experiment, any error of tomllib or cattrs.
    """
    value: dict[str, Any] = tomllib.loads(path.read_text())
    return structure(value, Experiment)
