"""Define the messages between entry instances and the coordinator of a service."""

from __future__ import annotations

from enum import Enum

import attrs

from briardyke.wire.codec import message


class ObservationKind(Enum):
    """What an entry instance observed of a dispatched request or of an engine."""

    FIRST_EVENT = "first_event"
    ENDED = "ended"
    LOAD = "load"
    EVENT_INTERVAL = "event_interval"


class Outcome(Enum):
    """State of a request for an engine."""

    PLACED = "placed"
    QUEUED = "queued"
    REJECTED = "rejected"


@message
@attrs.frozen
class Observation:
    """Observation of an entry instance.

    :param kind: value of an :class:`ObservationKind`.
    :param upstream_id: engine that it is about.
    :param age_ms: time since it was made.
    :param request_id: request that it is about, or empty.
    :param took_ms: time to the first event, or between two events.
    :param running: requests that the engine reported as running.
    :param waiting: requests that it reported as waiting.
    :param slots: requests that it can run at the same time.
    :param slowness: time that its work takes, relative to the usual time; 0 when not stated.
    """

    kind: str
    upstream_id: str
    age_ms: float
    request_id: str = ""
    took_ms: float = 0.0
    running: int = 0
    waiting: int = 0
    slots: int = 0
    slowness: float = 0.0


@message
@attrs.frozen
class DispatchRequest:
    """Request for an engine.

    A repeated request for one that is queued keeps its place in the queue.

    :param instance_id: entry instance that asks.
    :param request_id: id of the caller's attempt.
    :param service: service of the engines.
    :param model: model that the request needs.
    :param adapter: its adapter, or empty.
    :param upstream_ids: engines that may run the request, as far as the entry instance knows.
    :param connected_ids: those of them to which it has an idle connection.
    :param data_centre: data centre of the entry instance.
    :param prompt_tokens: tokens of the prompt.
    :param output_tokens: largest number of tokens of the response.
    :param prefix_ids: ids of the parts of the prompt, in order.
    :param prefix_tokens: tokens of each part.
    :param account: client account, or empty.
    :param account_priority: rank of the account, ``None`` without one.
    :param route_priority: rank of the route; 0 is the most urgent.
    :param first_event_objective_ms: time left to the first event that meets the objective.
    :param event_gap_objective_ms: longest time between events that meets it; 0 for none.
    :param max_wait_ms: longest time that the request may still wait for its first event.
    :param has_returned: whether its caller returns after a rejection.
    :param observations: observations since the last message.
    """

    instance_id: str
    request_id: str
    service: str
    model: str
    adapter: str
    upstream_ids: list[str]
    connected_ids: list[str]
    data_centre: str
    prompt_tokens: int
    output_tokens: int
    prefix_ids: list[str]
    prefix_tokens: list[int]
    account: str
    account_priority: int | None
    route_priority: int
    first_event_objective_ms: float
    event_gap_objective_ms: float
    max_wait_ms: float
    has_returned: bool = False
    observations: list[Observation] = attrs.field(factory=list)


@message
@attrs.frozen
class DispatchReply:
    """Reply to a :class:`DispatchRequest`.

    :param outcome: value of an :class:`Outcome`.
    :param upstream_id: engine of a placed request, or empty.
    :param expected_first_ms: expected time to its first event.
    :param retry_after_ms: time after which a rejected request should return.
    :param reason: why it was rejected.
    """

    outcome: str
    upstream_id: str = ""
    expected_first_ms: float = 0.0
    retry_after_ms: float = 0.0
    reason: str = ""


@message
@attrs.frozen
class DispatchReport:
    """Observations without a request; one-way.

    :param instance_id: entry instance that observed.
    :param service: service of the engines.
    :param observations: observations since the last message.
    :param cancelled_ids: queued requests whose callers have left.
    """

    instance_id: str
    service: str
    observations: list[Observation]
    cancelled_ids: list[str] = attrs.field(factory=list)


@message
@attrs.frozen
class ExplainRequest:
    """Question what would become of a request now; nothing is placed, queued or counted.

    :param request: the request, without observations.
    """

    request: DispatchRequest


@message
@attrs.frozen
class Candidate:
    """Figures of one engine for a request.

    :param upstream_id: the engine.
    :param rule: why it is not fit, empty if it is.
    :param cost: expected number of streams that become late, and smaller costs.
    :param cached_tokens: prompt tokens that it has cached.
    :param wait_ms: time until the prompt is read.
    :param first_ms: time to the first event.
    :param pause_ms: longest time between events of its running streams.
    :param ready_ms: time until it should be fit; infinite if only the end of its streams helps.
    :param requests: requests that it holds.
    :param slots: requests that it can run.
    :param unread: those of its requests whose prompts are not known to be read.
    :param free_tokens: cache tokens that its requests do not take.
    :param speed: time that it takes, relative to a typical engine.
    :param slowness: time that its work takes now, relative to the usual time.
    """

    upstream_id: str
    rule: str
    cost: float
    cached_tokens: int
    wait_ms: float
    first_ms: float
    pause_ms: float
    ready_ms: float
    requests: int
    slots: int
    unread: int
    free_tokens: int
    speed: float
    slowness: float


@message
@attrs.frozen
class ExplainReply:
    """Reply to an :class:`ExplainRequest`.

    :param reply: what a request would be answered now.
    :param decision: the decision in words, with the engine that a queued one would wait for.
    :param yields: whether it leaves engines that read prompts to others.
    :param waiting: requests in the queue.
    :param candidates: engines that may run it, fit ones first, by cost.
    :param unknown_ids: engines that its entry instance names and that are not known here.
    """

    reply: DispatchReply
    decision: str
    yields: bool
    waiting: int
    candidates: list[Candidate]
    unknown_ids: list[str]
