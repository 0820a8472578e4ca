"""Open this control instance's member of the group that agrees on the configuration."""

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
# The state is one document, so a snapshot costs as much as an entry. With each change in one, a
# restarted instance knows a committed configuration before there is a leader.
_SNAPSHOT_ENTRIES = 1
_SETTINGS = NodeSettings(promotes_learners=True)


@attrs.frozen
class MemberSettings:
    """Describe where a member runs and whom it asks.

    :param data_dir: folder for durable files.
    :param own: own peer address.
    :param seeds: peer addresses of some control instances.
    :param is_first_start: whether the whole system starts for the first time.
    """

    data_dir: Path
    own: Address
    seeds: tuple[Address, ...]
    is_first_start: bool


def open_member(
    place: MemberSettings, peers: PeerPool
) -> Result[tuple[ReplicatedLog, ConfigurationMachine], Failure]:
    """Open the member's storage and prepare its log.

    At the first start the seeds found the group, since they are all that every instance knows.
    Any other instance, and any with an empty disk later, joins under a new storage id.

    :return: ``log_corrupt`` or ``storage_failed`` when the data folder cannot be used.
    """
    opened = _open_identity(place)
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
        place.own,
        storage.unwrap(),
        machine,
        lambda address, message: peers.client(address).send(message),
        random.Random(),
        seeds=place.seeds,
        settings=_SETTINGS,
        snapshot_entries=_SNAPSHOT_ENTRIES,
    )
    return Ok((log, machine))


def _open_identity(place: MemberSettings) -> Result[Identity, Failure]:
    instance_id = str(place.own)
    directory = place.data_dir
    is_empty = not directory.exists() or not any(directory.iterdir())
    if place.is_first_start and is_empty and place.own in place.seeds:
        voters = {str(seed): seed for seed in place.seeds}
        return initialise(directory, CLUSTER_ID, instance_id, voters)
    return open_identity(directory, instance_id)
