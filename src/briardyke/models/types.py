"""Define what placement sees of engines and demand, and what it decides."""

from __future__ import annotations

from enum import Enum

import attrs

from briardyke.routes.configuration import EngineSpec


class ChangeKind(Enum):
    """List the changes of an engine's memory."""

    LOAD = "load"
    UNLOAD = "unload"


@attrs.frozen
class Change:
    """Describe one change of an engine's memory.

    :param kind: load or unload.
    :param upstream_id: the engine.
    :param model: name of the model.
    :param is_from_store: whether a load takes the weight store's bandwidth.
    """

    kind: ChangeKind
    upstream_id: str
    model: str
    is_from_store: bool = False


@attrs.frozen
class EngineView:
    """Describe an engine as placement sees it.

    :param upstream_id: the engine.
    :param service: service that it belongs to.
    :param held: models in its memory or being loaded, with the number of their adapters.
    :param at_hand: models of which it keeps a copy.
    :param is_free: whether it can accept an order now.
    :param free_in_ms: time until its present order should end, 0 for an engine that is free.
    :param is_loading: whether it loads a model from the weight store.
    :param is_staying: whether it is ready and has not announced that it shuts down.
    :param leaving: models that are being unloaded.
    :param arriving: model that it is loading, or empty.
    :param recent: models whose load was ordered lately.
    """

    upstream_id: str
    service: str
    held: dict[str, int]
    at_hand: frozenset[str]
    is_free: bool
    is_staying: bool
    leaving: frozenset[str] = frozenset()
    recent: frozenset[str] = frozenset()
    arriving: str = ""
    free_in_ms: float = 0.0
    is_loading: bool = False


@attrs.frozen
class ModelsView:
    """Hold everything that placement decides from for one service.

    :param spec: models and memory of the service's engines.
    :param engines: its engines.
    :param demand: requests a second by model.
    :param store_starts: loads that the weight store may still start now.
    :param lasting: the same demand averaged over a longer time, of which an idle model keeps some.
    :param is_settled: whether demand has been observed for long enough to unload a model for it.
    :param missing_s: time for which each model was requested while no engine held it, in seconds.
    """

    spec: EngineSpec
    engines: list[EngineView]
    demand: dict[str, float]
    store_starts: int
    lasting: dict[str, float] = attrs.field(factory=dict)
    missing_s: dict[str, float] = attrs.field(factory=dict)
    is_settled: bool = True
