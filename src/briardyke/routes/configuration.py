"""Serving configuration: routes, services, engine models and limits."""

from __future__ import annotations

from enum import Enum

import attrs

from briardyke.accounts.types import ClientAccount

# Held version of a process without a configuration; the first one may have any number from 0.
NO_VERSION = -1


class RequestKind(Enum):
    """Which requests may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@attrs.frozen
class Target:
    """A service and its weight in a split.

    :param service: name of the service.
    :param weight: relative share of requests.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """How to handle requests with one host and path prefix.

    :param name: name of the route.
    :param host: value of the ``Host`` header, in lower case.
    :param path_prefix: path prefix; begins and ends with a slash.
    :param kind: whether requests may be retried.
    :param timeout_ms: time limit for a response.
    :param latency_objective_ms: longest time to the response, or to the first event of a stream,
        that meets the service level objective.
    :param priority: priority class; 0 is the most urgent.
    :param targets: services that may handle the requests.
    :param max_attempts: largest number of upstreams that one request is sent to.
    :param is_resumable: whether another upstream may resume a stream.
    :param event_gap_objective_ms: longest time between events that meets the service level
        objective; 0 for none.
    :param is_public: whether requests need no API key.
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
    is_public: bool = False

    @property
    def is_retryable(self) -> bool:
        """Return whether a request that may have run can be sent again."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAMING and self.is_resumable
        )


@attrs.frozen
class ModelSpec:
    """A model that engines of a service can load.

    :param name: name of the model.
    :param weights_mb: size of its weights, in megabytes.
    :param load_s: time to load it from the weight store, in seconds.
    :param disk_load_s: time to load it from the engine's own disk, in seconds.
    :param memory_load_s: time to load it from a copy in the engine's host memory, in seconds.
    :param adapters: number of its adapters.
    :param adapter_mb: size of one adapter, in megabytes.
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
    """Capacity of the engines of a service.

    :param slots: largest number of requests in one batch.
    :param weights_mb: memory for weights and adapters of one engine, in megabytes.
    :param adapter_slots: largest number of adapters loaded on one engine.
    :param store_loads_per_s: loads per second that the weight store starts for all engines.
    :param cache_tokens: cache capacity for running requests and cached prompts, in tokens.
    :param models: models by name.
    :param event_tokens: tokens in one event of a stream.
    """

    slots: int
    weights_mb: float
    adapter_slots: int
    store_loads_per_s: float
    cache_tokens: int
    models: dict[str, ModelSpec]
    event_tokens: int = 1


@attrs.frozen
class ServiceSpec:
    """A service and the capacity of its upstreams.

    :param name: name of the service.
    :param max_connections: largest number of connections that one upstream accepts.
    :param engine: capacity and models of its engines; ``None`` for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None


@attrs.frozen
class CallerLimits:
    """Size and time limits for requests of callers.

    :param max_header_bytes: largest request head, in bytes.
    :param max_body_bytes: largest request body, in bytes.
    :param header_timeout_ms: time limit for receiving the head of a request.
    :param idle_timeout_ms: longest idle time of a keep-alive connection.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@attrs.frozen
class ServingConfiguration:
    """One version of the serving configuration.

    :param version: version number.
    :param routes: all routes.
    :param services: services by name.
    :param limits: limits for callers.
    :param accounts: client accounts; without any, requests need no API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits = CallerLimits()
    accounts: tuple[ClientAccount, ...] = ()
