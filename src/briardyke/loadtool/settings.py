"""Declare the load tool's settings."""

from __future__ import annotations

import attrs

from briardyke.addresses import Address
from briardyke.settings import parse_addresses, parse_boolean, parse_choice, setting


def parse_weights(text: str) -> dict[str, float]:
    """Parse ``name=weight,...``; a name alone has weight 1.

    :raises ValueError: when a weight is not a number above 0 or no name is given.
    """
    weights: dict[str, float] = {}
    for part in filter(None, (p.strip() for p in text.split(","))):
        name, separator, weight = part.partition("=")
        weights[name] = float(weight) if separator else 1.0
    if not weights or min(weights.values()) <= 0:
        raise ValueError("expected <name>[=<weight>],... with weights above 0")
    return weights


@attrs.frozen
class LoadSettings:
    """Send load and verify every response."""

    entry_addresses: tuple[Address, ...] = setting(
        "Entry processes to ask for addresses, or engines with --direct.", parse=parse_addresses
    )
    direct: bool = setting(
        "Send to the given addresses as engines.", default="false", parse=parse_boolean
    )
    data_centre: str = setting("Data centre of this caller.", default="")
    api_key: str = setting("Key of the caller.", default="")
    models: dict[str, float] = setting(
        "Models or adapters with weights, as name=weight.", default="m1", parse=parse_weights
    )
    loop: str = setting(
        "Open loop (Poisson arrivals) or closed loop.",
        default="open",
        parse=parse_choice("open", "closed"),
    )
    requests_per_second: float = setting(
        "Chat requests in open loop.", default="10", parse=float, minimum=0
    )
    concurrent_requests: int = setting(
        "Chat requests in closed loop.", default="8", parse=int, minimum=1, maximum=10000
    )
    service_calls_per_second: float = setting(
        "Non-idempotent service calls.", default="0", parse=float, minimum=0
    )
    service: str = setting("Service to call.", default="orders")
    service_path: str = setting("Path of the service call.", default="/purchases")
    duration_ms: float = setting(
        "Time to send new requests.", default="10000", parse=float, unit="ms", minimum=1
    )
    request_limit: int = setting("Most requests to send.", default="1000000", parse=int, minimum=1)
    prompt_characters: int = setting("Length of a prompt.", default="600", parse=int, minimum=1)
    shared_prefixes: int = setting(
        "Number of prefixes that prompts share.", default="8", parse=int, minimum=1
    )
    max_tokens: int = setting("Tokens to generate.", default="64", parse=int, minimum=1)
    deadline_ms: float = setting(
        "Latest time of the first token.", default="10000", parse=float, unit="ms", minimum=1
    )
    idle_timeout_ms: float = setting(
        "Longest silence of a started stream.", default="5000", parse=float, unit="ms", minimum=1
    )
    connection_limit: int = setting(
        "Connections for one request, resumptions included.", default="6", parse=int, minimum=1
    )
    require_whole: bool = setting(
        "Exit with code 5 after a wrong or truncated response.",
        default="false",
        parse=parse_boolean,
    )
    seed: int = setting("Seed of arrivals, prompts and request ids.", default="1", parse=int)
    log_level: str = setting(
        "Lowest level logged.",
        default="warning",
        parse=parse_choice("debug", "info", "warning", "error"),
    )
