"""Declare the settings shared by all processes that sync."""

from __future__ import annotations

from typing import Any

from briardyke.settings import parse_boolean, parse_choice, setting


def cluster_id_setting() -> Any:
    """Declare the setting of the deployment's name."""
    return setting("Name of the deployment; peers of another one are refused.", default="briardyke")


def sync_wait_setting() -> Any:
    """Declare the setting of the time between two syncs, in milliseconds."""
    return setting(
        "Time between two syncs while nothing changes.",
        default="250",
        parse=float,
        unit="ms",
        minimum=50,
        maximum=1000,
    )


def load_reports_setting() -> Any:
    """Declare the setting for exchanging load figures of upstreams."""
    return setting(
        "Whether load and cache events of upstreams are exchanged: true or false.",
        default="true",
        parse=parse_boolean,
    )


def log_level_setting() -> Any:
    """Declare the setting of the lowest log level."""
    return setting(
        "Lowest level that is logged: debug, info, warning or error.",
        default="info",
        parse=parse_choice("debug", "info", "warning", "error"),
    )
