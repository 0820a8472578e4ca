"""Open this control instance's member of the consensus group of the configuration."""

from __future__ import annotations

import random
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from briardyke.addresses import Address
from briardyke.consensus.driver import ReplicatedLog
from briardyke.consensus.identity import Identity, initialise, open_identity
from briardyke.consensus.state import NodeSettings
from briardyke.fleet.cluster import CLUSTER_ID
from briardyke.fleet.machine import ConfigurationMachine

if TYPE_CHECKING:

    from briardyke.errors import Failure
    from briardyke.wire.pool import PeerPool

_GROUP_ID = "fleet"
# The state is one document, so a snapshot costs as much as a log entry. With a snapshot after each
# change, a restarted instance knows a committed configuration before a leader is elected.
_SNAPSHOT_ENTRIES = 1
_NODE_SETTINGS = NodeSettings(promotes_learners=True)


@attrs.frozen
class MemberSettings:
    """Settings of a consensus member.

    :param data_dir: directory for durable files.
    :param own_address: own peer address.
    :param seeds: peer addresses of some control instances.
    :param is_first_start: whether the whole system starts for the first time.
    """

    data_dir: Path
    own_address: Address
    seeds: tuple[Address, ...]
    is_first_start: bool


def open_member(
    settings: MemberSettings, peers: PeerPool
) -> Result[tuple[ReplicatedLog, ConfigurationMachine], Failure]:
    """Open the member's storage and prepare its log.

    At the first start of the system the seeds form the group, since they are the only addresses
    that every instance knows. Any other instance, and any that later starts with an empty disk,
    joins with a new storage id.

    :return: ``log_corrupt`` or ``storage_failed`` when the data folder cannot be used.
    """
    opened = _open_identity(settings)
    if opened.is_err():
        return Err(opened.unwrap_err())
    identity = opened.unwrap()
    storage = identity.open_group(_GROUP_ID)
    if storage.is_err():
        return Err(storage.unwrap_err())
    machine = ConfigurationMachine()
    log = ReplicatedLog(
        _GROUP_ID,
        identity,
        settings.own_address,
        storage.unwrap(),
        machine,
        lambda address, message: peers.client(address).send(message),
        random.Random(),
        seeds=settings.seeds,
        settings=_NODE_SETTINGS,
        snapshot_entries=_SNAPSHOT_ENTRIES,
    )
    return Ok((log, machine))


def _open_identity(settings: MemberSettings) -> Result[Identity, Failure]:
    instance_id = str(settings.own_address)
    directory = settings.data_dir
    is_empty = not directory.exists() or not any(directory.iterdir())
    if settings.is_first_start and is_empty and settings.own_address in settings.seeds:
        voters = {str(seed): seed for seed in settings.seeds}
        return initialise(directory, CLUSTER_ID, instance_id, voters)
    return open_identity(directory, instance_id)
