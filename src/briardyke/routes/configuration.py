"""Describe a serving configuration: routes, services, the models of engines, limits."""

from __future__ import annotations

from enum import Enum

import attrs


class RequestKind(Enum):
    """List what may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@attrs.frozen
class Target:
    """Name a service with its weight in a split.

    :param service: name of the service.
    :param weight: relative share of the requests.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """Describe the treatment of the requests below one host and path prefix.

    :param name: name of the route.
    :param host: value of the ``Host`` header, in lower case.
    :param path_prefix: prefix that begins and ends with a slash.
    :param kind: what may be repeated.
    :param timeout_ms: longest time that a caller is kept waiting.
    :param latency_objective_ms: time to the answer, or to a stream's first event, that earns the
        full worth.
    :param priority: rank; 0 is the most urgent.
    :param targets: services that may run the requests.
    :param max_attempts: highest number of upstreams that one request is sent to.
    :param is_resumable: whether a stream may be continued by another upstream.
    :param event_gap_objective_ms: longest pause between events that is still on time; 0 for none.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: float
    latency_objective_ms: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int = 1
    is_resumable: bool = False
    event_gap_objective_ms: float = 0.0

    @property
    def is_retryable(self) -> bool:
        """Return whether a request that may have run can be sent again."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAMING and self.is_resumable
        )


@attrs.frozen
class ModelSpec:
    """Describe a model that engines of a service can hold.

    :param name: name of the model.
    :param weights_mb: memory of its weights, in megabytes.
    :param load_s: time of a load from the weight store.
    :param disk_load_s: time of a load from the engine's own disk.
    :param memory_load_s: time of a load from a copy in the engine's host memory.
    :param adapters: number of its adapters.
    :param adapter_mb: memory of one adapter, in megabytes.
    """

    name: str
    weights_mb: float
    load_s: float
    disk_load_s: float
    memory_load_s: float
    adapters: int
    adapter_mb: float


@attrs.frozen
class EngineSpec:
    """Describe what the engines of a service have room for.

    :param slots: requests in one batch.
    :param weights_mb: memory for weights and adapters of one engine, in megabytes.
    :param adapter_slots: adapters that one engine holds at most.
    :param store_loads_per_s: loads that the weight store starts each second, over all engines.
    :param cache_tokens: memory for running requests and cached prompts, in tokens.
    :param models: models by name.
    """

    slots: int
    weights_mb: float
    adapter_slots: int
    store_loads_per_s: float
    cache_tokens: int
    models: dict[str, ModelSpec]


@attrs.frozen
class ServiceSpec:
    """Describe a service.

    :param name: name of the service.
    :param max_connections: connections that one upstream accepts from all callers.
    :param engine: room and models of its engines; ``None`` for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None


@attrs.frozen
class CallerLimits:
    """Bound what a caller may send and how long it may take.

    :param max_header_bytes: largest request head.
    :param max_body_bytes: largest body.
    :param header_timeout_ms: longest time for the head of a request.
    :param idle_timeout_ms: longest time that a kept connection may rest.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@attrs.frozen
class ServingConfiguration:
    """Hold one numbered configuration.

    :param version: its number.
    :param routes: all routes.
    :param services: services by name.
    :param limits: bounds for callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits = CallerLimits()
