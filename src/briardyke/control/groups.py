"""Open the consensus groups that a control process is a member of."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from briardyke.agreed.audit import AuditLog
from briardyke.agreed.machine import ControlMachine
from briardyke.claims.machine import ClaimMachine
from briardyke.claims.shards import shard_group_id
from briardyke.consensus.driver import ReplicatedLog, StateMachine
from briardyke.control.proposer import GroupProposer

if TYPE_CHECKING:
    from briardyke.addresses import Address
    from briardyke.consensus.identity import Identity
    from briardyke.control.settings import ControlSettings
    from briardyke.errors import Failure
    from briardyke.wire.pool import PeerPool

CONTROL_GROUP = "control"


@attrs.frozen
class ConsensusGroup:
    """Hold this process's parts of one consensus group.

    :param log: this process's member of the group.
    :param machine: local state machine.
    :param proposer: commits commands, through the leader where another process leads.
    """

    log: ReplicatedLog
    machine: StateMachine
    proposer: GroupProposer


def open_groups(
    settings: ControlSettings, identity: Identity, own_address: Address, peers: PeerPool
) -> Result[dict[str, ConsensusGroup], Failure]:
    """Open the control group and all claim groups from the data directory.

    :return: groups by id, or a failure of kind ``log_corrupt`` or ``storage_failed``.
    """
    audit = AuditLog(settings.data_dir)
    machines: dict[str, StateMachine] = {CONTROL_GROUP: ControlMachine(audit.append)}
    for index in range(settings.claim_shards):
        machines[shard_group_id(index)] = ClaimMachine()
    groups: dict[str, ConsensusGroup] = {}
    for group_id, machine in machines.items():
        opened = identity.open_group(group_id)
        if opened.is_err():
            return Err(opened.unwrap_err())
        log = ReplicatedLog(
            group_id,
            identity,
            own_address,
            opened.unwrap(),
            machine,
            lambda address, message: peers.client(address).send(message),
            random.Random(),
            seeds=settings.control_addresses,
        )
        groups[group_id] = ConsensusGroup(log, machine, GroupProposer(group_id, log, peers))
    return Ok(groups)
