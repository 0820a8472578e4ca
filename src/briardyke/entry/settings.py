"""Declare the settings of an entry process."""

from __future__ import annotations

import attrs

from briardyke.addresses import Address, parse_address
from briardyke.policy.types import RoutingPolicy
from briardyke.settings import parse_addresses, parse_optional_address, parse_words, setting
from briardyke.sync.settings import (
    cluster_id_setting,
    load_reports_setting,
    log_level_setting,
    sync_wait_setting,
)


@attrs.frozen
class EntrySettings:
    """Serve callers on one entry instance of briardyke."""

    instance_id: str = setting("Name of this instance, unique in the deployment.")
    data_centre: str = setting("Data centre that this instance is in.")
    cluster_id: str = cluster_id_setting()
    listen: Address = setting("Where to accept HTTP requests, ip:port.", parse=parse_address)
    advertise: Address | None = setting(
        "Address that callers are told to use, ip:port; the listening address if empty.",
        default="",
        parse=parse_optional_address,
    )
    control_addresses: tuple[Address, ...] = setting(
        "Peer addresses of control processes, ip:port,...; preferred ones first.",
        parse=parse_addresses,
    )
    weight: float = setting(
        "Capacity of this instance relative to others.",
        default="1.0",
        parse=float,
        minimum=0.01,
        maximum=1000,
    )
    upstream_data_centres: tuple[str, ...] = setting(
        "Data centres whose upstreams this instance uses, comma separated; all if empty.",
        default="",
        parse=parse_words,
    )
    sync_wait_ms: float = sync_wait_setting()
    load_reports: bool = load_reports_setting()
    address_ttl_ms: float = setting(
        "Time for which callers may keep an address response.",
        default="3000",
        parse=float,
        unit="ms",
        minimum=100,
        maximum=60000,
    )
    drain_margin_ms: float = setting(
        "Wait after the address responses have expired, before the listener closes.",
        default="2000",
        parse=float,
        unit="ms",
        minimum=0,
        maximum=60000,
    )
    graceful_timeout_ms: float = setting(
        "Longest wait for requests in flight during a planned stop.",
        default="600000",
        parse=float,
        unit="ms",
        minimum=0,
        maximum=3600000,
    )
    default_deadline_ms: float = setting(
        "Deadline of a request that names none, for its first token or a service response.",
        default="60000",
        parse=float,
        unit="ms",
        minimum=100,
        maximum=3600000,
    )
    body_limit_bytes: int = setting(
        "Largest accepted request body.",
        default="4194304",
        parse=int,
        unit="bytes",
        minimum=1024,
        maximum=268435456,
    )
    body_timeout_ms: float = setting(
        "Longest time to receive a request body.",
        default="10000",
        parse=float,
        unit="ms",
        minimum=100,
        maximum=600000,
    )
    memory_mb: float = setting(
        "Memory of the machine, which bounds the bytes held for requests; 0 when unknown.",
        default="0",
        parse=float,
        unit="MiB",
        minimum=0,
        maximum=16777216,
    )
    coalesce_ms: float = setting(
        "Time for which generated tokens are gathered into one write; the first is sent at once.",
        default="20",
        parse=float,
        unit="ms",
        minimum=0,
        maximum=50,
    )
    claim_timeout_ms: float = setting(
        "Longest wait for a claim before a non-idempotent request is refused.",
        default="5000",
        parse=float,
        unit="ms",
        minimum=100,
        maximum=60000,
    )
    routing_policy: RoutingPolicy = setting(
        "Routing policy: round_robin, least_outstanding, random_of_two or adaptive.",
        default="adaptive",
        parse=RoutingPolicy,
    )
    seed: int = setting(
        "Seed of random choices in routing; 0 takes one from the system.",
        default="0",
        parse=int,
        minimum=0,
    )
    log_level: str = log_level_setting()
