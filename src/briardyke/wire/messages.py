"""Define the messages between entry processes and control processes."""

from __future__ import annotations

from typing import Any

import attrs

from briardyke.wire.codec import message


@attrs.frozen
class LoadedItem:
    """Describe a model or adapter that occupies accelerator memory.

    :param name: name of the model or adapter.
    :param size_bytes: memory that it occupies.
    :param order_id: order that loaded it, empty when it was loaded at the start.
    :param state: ``loading``, ``loaded`` or ``unloading``.
    """

    name: str
    size_bytes: int
    order_id: str
    state: str


@attrs.frozen
class CacheEvent:
    """Report a change of an engine's prefix cache.

    :param sequence: number of the event; gaps mean lost events.
    :param kind: ``stored`` or ``evicted``.
    :param prefix_hash: hash of the prefix.
    """

    sequence: int
    kind: str
    prefix_hash: int


@message
@attrs.frozen
class UpstreamRow:
    """Describe an upstream as last announced.

    :param upstream_id: name that the upstream announces.
    :param incarnation: identity of the upstream's current process.
    :param kind: ``engine`` or ``service``.
    :param address: ``ip:port`` of its HTTP interface.
    :param data_centre: where it runs.
    :param lifecycle: ``ready`` or ``leaving``.
    :param loaded: items in its memory.
    :param in_flight: requests that it is running.
    :param queued: requests in its queue.
    :param tokens_per_second: recent generation speed, 0 when unknown.
    :param capacity_bytes: accelerator memory for models and adapters.
    :param committed_bytes: memory in use.
    :param checks_fencing: whether it refuses orders with an old fencing token.
    :param highest_fencing_token: highest token that it has accepted.
    :param ended_order_ids: recently completed unload orders.
    :param cache_events: recent prefix cache events.
    :param sequence: number of the announcement within the incarnation.
    :param age_ms: age of this evidence when the message was sent.
    """

    upstream_id: str
    incarnation: str
    kind: str
    address: str
    data_centre: str
    lifecycle: str = "ready"
    loaded: list[LoadedItem] = attrs.field(factory=list)
    in_flight: int = 0
    queued: int = 0
    tokens_per_second: float = 0.0
    capacity_bytes: int = 0
    committed_bytes: int = 0
    checks_fencing: bool = True
    highest_fencing_token: int = 0
    ended_order_ids: list[str] = attrs.field(factory=list)
    cache_events: list[CacheEvent] = attrs.field(factory=list)
    sequence: int = 0
    age_ms: float = 0.0


@attrs.frozen
class ShareDemand:
    """Report one instance's use of one limit.

    :param limit_id: name of the limit in the configuration.
    :param caller: caller that the share belongs to.
    :param requests_per_second: rate of requests that arrived, refused ones included.
    :param concurrent_requests: highest number wanted at one time since the last report.
    :param tokens_per_second: rate of tokens wanted.
    """

    limit_id: str
    caller: str
    requests_per_second: float
    concurrent_requests: float
    tokens_per_second: float


@attrs.frozen
class LimitShare:
    """Grant one instance its part of one limit for one caller.

    :param limit_id: name of the limit in the configuration.
    :param caller: caller that the share belongs to.
    :param version: configuration version that the limit was taken from.
    :param requests_per_second: granted rate; ``None`` when the limit does not set one.
    :param concurrent_requests: granted concurrency; ``None`` when the limit does not set one.
    :param tokens_per_second: granted token rate; ``None`` when the limit does not set one.
    """

    limit_id: str
    caller: str
    version: int
    requests_per_second: float | None
    concurrent_requests: int | None
    tokens_per_second: float | None


@message
@attrs.frozen
class InstanceStatus:
    """Describe an entry instance.

    :param instance_id: name of the instance.
    :param data_centre: where it runs.
    :param address: ``ip:port`` for callers.
    :param weight: relative capacity.
    :param lifecycle: ``starting``, ``ready`` or ``draining``.
    :param age_ms: age of this evidence when the message was sent.
    :param report_number: number of the report; rises with each one, restarts included. A relay
        repeats a report with its number until it receives the next one.
    :param share_demand: use of the limits.
    :param held_shares: shares that the instance held when it sent the report, and, with version
        -1, concurrency in use above a share.
    """

    instance_id: str
    data_centre: str
    address: str
    weight: float
    lifecycle: str
    age_ms: float = 0.0
    report_number: int = 0
    share_demand: list[ShareDemand] = attrs.field(factory=list)
    held_shares: list[LimitShare] = attrs.field(factory=list)


@attrs.frozen
class ModelDemand:
    """Report demand for one model or adapter.

    :param requests_per_second: arrival rate.
    :param tokens_per_second: rate of prompt and generated tokens.
    :param waiting_requests: requests held because no upstream has it loaded.
    """

    requests_per_second: float
    tokens_per_second: float
    waiting_requests: int = 0


@message
@attrs.frozen
class SyncRequest:
    """Send reports to the responder and ask for everything newer than what the sender holds.

    :param sender_id: instance id of the sender.
    :param request_number: rises with each request, restarts included; the reports in one that
        arrives after a later one are ignored.
    :param held_version: configuration version that the sender holds, 0 for none.
    :param digest_id: identity of the responder's tables, empty for none.
    :param held_digest: sequence of the upstream digest that the sender holds, 0 for none.
    :param held_instances: tag of the instance list that the sender holds, empty for none.
    :param data_centres: data centres whose upstreams the sender wants; empty for all.
    :param with_load: whether load figures and cache events of upstreams are wanted and sent.
    :param wait_ms: longest time to hold the reply when nothing is new.
    :param echo_ms: ``replied_at_ms`` of the last reply, 0 for none. The request was sent after
        that moment on the responder's clock, which bounds how long it was in transit.
    :param statuses: the sender's own status, or those of all entry processes behind a relay.
    :param announcements: upstreams that announce through the sender, where changed.
    :param whole_announcements: whether ``announcements`` holds all of them.
    :param departed: upstreams that no longer announce through the sender.
    :param fresh_age_ms: largest age of the evidence for the others that announce through it.
    :param stale_ages_ms: age of the evidence by upstream id, where it is older than usual.
    :param demand: demand by model or adapter name.
    """

    sender_id: str
    request_number: int
    held_version: int
    digest_id: str
    held_digest: int
    held_instances: str
    data_centres: list[str]
    with_load: bool
    wait_ms: float
    echo_ms: float
    statuses: list[InstanceStatus]
    announcements: list[UpstreamRow]
    whole_announcements: bool
    departed: list[str]
    fresh_age_ms: float
    stale_ages_ms: dict[str, float]
    demand: dict[str, ModelDemand]


@message
@attrs.frozen
class SyncReply:
    """Reply to a :class:`SyncRequest`.

    :param replied_at_ms: the responder's clock, for ``echo_ms`` of the next request.
    :param confirmed_age_ms: age of the responder's evidence that the version is current; ``None``
        when it has no evidence, in which case the reply extends no lease.
    :param version: current configuration version.
    :param configuration: whole document of that version; ``None`` when a patch suffices.
    :param configuration_patch: JSON Merge Patch from the held version; ``None`` when the sender
        holds the current version or gets the whole document.
    :param digest_id: identity of the responder's tables.
    :param digest: sequence of the upstream digest.
    :param upstreams: rows that changed after the held digest.
    :param whole_digest: whether ``upstreams`` is everything that the responder knows.
    :param forgotten: upstreams that the responder dropped after the held digest.
    :param fresh_age_ms: largest age of the evidence for upstreams that are not in
        ``stale_ages_ms``.
    :param stale_ages_ms: age of the evidence by upstream id, where it is older than usual.
    :param instances_tag: identifies the contents of the instance list.
    :param instances: entry instances that callers may be sent to; ``None`` when unchanged.
    :param shares: shares by instance id, for the statuses that were sent.
    :param leader_hint: peer address of the leader, empty when unknown.
    """

    replied_at_ms: float
    confirmed_age_ms: float | None
    version: int
    configuration: dict[str, Any] | None
    configuration_patch: dict[str, Any] | None
    digest_id: str
    digest: int
    upstreams: list[UpstreamRow]
    whole_digest: bool
    forgotten: list[str]
    fresh_age_ms: float
    stale_ages_ms: dict[str, float]
    instances_tag: str
    instances: list[InstanceStatus] | None
    shares: dict[str, list[LimitShare]]
    leader_hint: str = ""


@message
@attrs.frozen
class ClaimRequest:
    """Claim the right to run a non-idempotent request.

    :param key_hash: hash of the caller's idempotency key.
    :param caller: name of the caller.
    :param digest: hash of the request's method, path and body.
    :param attempt_id: attempt that would run it.
    """

    key_hash: int
    caller: str
    digest: str
    attempt_id: str


@message
@attrs.frozen
class ClaimReply:
    """Reply to a :class:`ClaimRequest` or :class:`ClaimEnd`.

    :param state: ``granted``, ``running``, ``completed``, ``unknown``, ``key_reused``, ``full`` or
        ``ended``.
    :param response: stored first response, when the state is ``completed``.
    """

    state: str
    response: bytes | None = None


@message
@attrs.frozen
class ClaimEnd:
    """Record how a claimed request ended.

    :param key_hash: hash of the caller's idempotency key.
    :param caller: name of the caller.
    :param attempt_id: attempt that held the claim.
    :param outcome: ``completed``, ``not_run`` or ``unknown``.
    :param response: response to store, at most 64 KiB.
    """

    key_hash: int
    caller: str
    attempt_id: str
    outcome: str
    response: bytes | None = None
