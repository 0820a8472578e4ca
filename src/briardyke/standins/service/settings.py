"""Declare the service stand-in's settings."""

from __future__ import annotations

import attrs

from briardyke.addresses import Address, parse_address
from briardyke.settings import parse_addresses, parse_boolean, parse_choice, setting


@attrs.frozen
class ServiceSettings:
    """Run a stand-in for a plain service."""

    listen: Address = setting("Address to listen on.", default="127.0.0.1:0", parse=parse_address)
    entry_addresses: tuple[Address, ...] = setting(
        "Entry processes to announce to.", default="", parse=parse_addresses
    )
    upstream_id: str = setting("Name of this upstream.", default="service-1")
    incarnation: str = setting("Identity of this process; empty for a random one.", default="")
    data_centre: str = setting("Where this service runs.", default="dc-1")
    delay_ms: float = setting(
        "Time that each call takes.", default="5", parse=float, unit="ms", minimum=0
    )
    announce_interval_ms: float = setting(
        "Time between announcements.", default="1000", parse=float, unit="ms", minimum=10
    )
    leave_notice_ms: float = setting(
        "Time to refuse new work before exiting.", default="1000", parse=float, unit="ms", minimum=0
    )
    graceful_timeout_ms: float = setting(
        "Longest wait for running requests.", default="600000", parse=float, unit="ms", minimum=0
    )
    allow_faults: bool = setting("Accept POST /v1/faults.", default="false", parse=parse_boolean)
    log_level: str = setting(
        "Lowest level logged.",
        default="info",
        parse=parse_choice("debug", "info", "warning", "error"),
    )
