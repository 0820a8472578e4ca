"""Define the serving configuration, which operators change in numbered versions."""

from __future__ import annotations

from fnmatch import fnmatchcase

import attrs

ANY = "*"


@attrs.frozen
class Model:
    """Describe a model.

    :param size_bytes: accelerator memory of its weights.
    :param instances: glob patterns over the ids of upstreams that may serve it.
    :param minimum_replicas: number of upstreams that must have it loaded.
    :param priority: higher values are placed first.
    """

    size_bytes: int
    instances: tuple[str, ...]
    minimum_replicas: int = 1
    priority: int = 0


@attrs.frozen
class Adapter:
    """Describe an adapter, which is loaded beside its model.

    :param model: name of the model.
    :param size_bytes: accelerator memory of its weights.
    """

    model: str
    size_bytes: int


@attrs.frozen
class Service:
    """Describe a plain service, which is called without a model.

    :param instances: glob patterns over the ids of upstreams that provide it.
    :param non_idempotent_paths: path prefixes of calls that must not be repeated.
    """

    instances: tuple[str, ...]
    non_idempotent_paths: tuple[str, ...] = ()


@attrs.frozen
class Caller:
    """Describe a caller.

    :param api_key_sha256: hexadecimal SHA-256 of its API key.
    :param weight: share under overload, relative to other callers.
    """

    api_key_sha256: str
    weight: float = 1.0


@attrs.frozen
class Limit:
    """Limit requests to models over all entry instances together.

    :param caller: caller name; ``*`` applies the limit to each caller separately.
    :param model: model name or ``*``.
    :param adapter: adapter name or ``*``.
    :param requests_per_second: rate of requests; ``None`` sets no limit.
    :param concurrent_requests: number of requests in progress; ``None`` sets no limit.
    :param tokens_per_second: rate of prompt and generated tokens; ``None`` sets no limit.
    """

    caller: str = ANY
    model: str = ANY
    adapter: str = ANY
    requests_per_second: float | None = None
    concurrent_requests: int | None = None
    tokens_per_second: float | None = None


@attrs.frozen
class PlacementSettings:
    """Configure how placement weighs attainment against moves, and the weight store's limits.

    :param attainment_weight: weight of requests served within their latency targets.
    :param move_weight: weight of each load, unload or role change.
    :param store_loads_per_second: rate at which the store starts loads.
    :param store_concurrent_loads: number of loads that can run concurrently at full speed.
    :param adapters_in_transit: number of adapters that can load concurrently at full speed, on all
        upstreams together.
    """

    attainment_weight: float = 1.0
    move_weight: float = 1.0
    store_loads_per_second: float = 1.0
    store_concurrent_loads: int = 5
    adapters_in_transit: int = 40


@attrs.frozen
class Targets:
    """Define the latency targets that attainment is measured against.

    :param first_token_ms: time to the first token, in milliseconds.
    :param between_tokens_ms: time between tokens, in milliseconds.
    """

    first_token_ms: float = 640.0
    between_tokens_ms: float = 64.0


@attrs.frozen
class Configuration:
    """Hold one version of the serving configuration.

    :param models: models by name.
    :param adapters: adapters by name; an adapter and a model cannot have the same name.
    :param services: plain services by name.
    :param callers: callers by name.
    :param limits: limits by id.
    :param placement: placement settings.
    :param targets: latency targets.
    """

    models: dict[str, Model] = attrs.field(factory=dict)
    adapters: dict[str, Adapter] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    callers: dict[str, Caller] = attrs.field(factory=dict)
    limits: dict[str, Limit] = attrs.field(factory=dict)
    placement: PlacementSettings = attrs.field(factory=PlacementSettings)
    targets: Targets = attrs.field(factory=Targets)


def matches_any_pattern(patterns: tuple[str, ...], upstream_id: str) -> bool:
    """Return whether any glob pattern matches the upstream id."""
    return any(fnmatchcase(upstream_id, pattern) for pattern in patterns)
