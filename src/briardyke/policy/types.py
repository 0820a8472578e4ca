"""Define the data types that routing, limits and admission share with other packages."""

from __future__ import annotations

from enum import Enum

import attrs


class RoutingPolicy(Enum):
    """Selectable routing policy; all but the last are baselines."""

    ROUND_ROBIN = "round_robin"
    LEAST_OUTSTANDING = "least_outstanding"
    RANDOM_OF_TWO = "random_of_two"
    ADAPTIVE = "adaptive"


class AttemptOutcome(Enum):
    """How an attempt at an upstream ended."""

    COMPLETED = "completed"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.frozen
class RouteRequest:
    """What a request needs from an upstream.

    :param model: model name, empty for a plain service.
    :param adapter: adapter name, empty for none.
    :param service: service name, empty for a model.
    :param prefix_hashes: hashes of the prompt's prefixes, shortest first.
    :param prompt_tokens: length of the prompt in tokens.
    :param priority: higher values go first.
    :param excluded: upstreams that must not be chosen, such as those already tried.
    :param patterns: glob patterns over upstream ids, for plain services.
    """

    model: str = ""
    adapter: str = ""
    service: str = ""
    prefix_hashes: tuple[int, ...] = ()
    prompt_tokens: int = 0
    priority: int = 0
    excluded: frozenset[str] = frozenset()
    patterns: tuple[str, ...] = ()


@attrs.frozen
class LimitRequest:
    """Request to be checked against the limits.

    :param caller: caller name.
    :param model: model name.
    :param adapter: adapter name, empty for none.
    :param estimated_tokens: prompt tokens plus the tokens that may be generated.
    """

    caller: str
    model: str
    adapter: str
    estimated_tokens: int


@attrs.frozen
class Permit:
    """Admitted request that counts against limits until it is released.

    :param permit_id: unique number of the permit.
    :param request: the request as admitted.
    :param limit_ids: limits that it counts against.
    """

    permit_id: int
    request: LimitRequest
    limit_ids: tuple[str, ...]


@attrs.frozen
class AdmissionRequest:
    """Request to be checked by admission control.

    :param caller: caller name.
    :param caller_weight: weight under overload, relative to other callers.
    :param route: what the request needs.
    :param estimated_tokens: tokens that may be generated.
    :param deadline_ms: latest useful time of the first token, on the runtime's clock; infinite for
        none.
    """

    caller: str
    caller_weight: float
    route: RouteRequest
    estimated_tokens: int
    deadline_ms: float
