"""Declare the settings of a control process."""

from __future__ import annotations

from pathlib import Path

import attrs

from briardyke.addresses import Address, parse_address
from briardyke.settings import (
    parse_addresses,
    parse_boolean,
    parse_members,
    parse_optional_address,
    setting,
)
from briardyke.sync.settings import (
    cluster_id_setting,
    load_reports_setting,
    log_level_setting,
    sync_wait_setting,
)


def _instance_id() -> str:
    return setting("Name of this instance, unique in the deployment.")


def _data_dir() -> Path:
    return setting("Directory for the state of this process; it must be on a disk.", parse=Path)


def _claim_shards() -> int:
    return setting(
        "Number of consensus groups that claims are spread over; the same on all instances.",
        default="1",
        parse=int,
        minimum=1,
        maximum=64,
    )


@attrs.frozen
class InitSettings:
    """Prepare an empty data directory of one of the first voters."""

    instance_id: str = _instance_id()
    cluster_id: str = cluster_id_setting()
    data_dir: Path = _data_dir()
    voters: dict[str, Address] = setting(
        "Peer addresses of all first voters, id=ip:port,...; the same on each of them.",
        parse=parse_members,
    )
    claim_shards: int = _claim_shards()


@attrs.frozen
class ControlSettings:
    """Run a control process of briardyke."""

    instance_id: str = _instance_id()
    data_centre: str = setting("Data centre that this instance is in.")
    cluster_id: str = cluster_id_setting()
    data_dir: Path = _data_dir()
    peer_listen: Address = setting(
        "Where to accept connections of other processes, ip:port.", parse=parse_address
    )
    peer_advertise: Address | None = setting(
        "Address under which other processes reach the peer port; the listening one if empty.",
        default="",
        parse=parse_optional_address,
    )
    http_listen: Address = setting(
        "Where to accept operator requests, ip:port.", parse=parse_address
    )
    control_addresses: tuple[Address, ...] = setting(
        "Peer addresses of other control processes, ip:port,...; used to join and to sync.",
        default="",
        parse=parse_addresses,
    )
    claim_shards: int = _claim_shards()
    sync_wait_ms: float = sync_wait_setting()
    load_reports: bool = load_reports_setting()
    placement: bool = setting(
        "Whether this process places models while it leads: true or false.",
        default="true",
        parse=parse_boolean,
    )
    log_level: str = log_level_setting()
