"""Store a process's identity as a member of log groups.

The storage id belongs to the storage, not to the process. A vote is valid only as long as the disk
that recorded it exists, so a process with new storage gets a new member id.
"""

from __future__ import annotations

import hashlib
import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok, Result

from briardyke.consensus.members import ID_SEPARATOR, Member, Membership
from briardyke.consensus.storage import GroupStorage, replace_file
from briardyke.errors import ErrorKind, Failure
from briardyke.ids import new_id

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briardyke.addresses import Address
    from briardyke.consensus.log import Recovered

_FILE = "identity.json"


@attrs.define
class Identity:
    """Hold the identity of this process as a member.

    :param directory: directory that holds the identity and one directory per group.
    :param instance_id: name of the instance.
    :param storage_id: id of the storage.
    :param initial_membership: members of a new group; empty for a process that joins.
    :param groups: groups whose storage was created under this identity.
    """

    directory: Path
    instance_id: str
    storage_id: str
    initial_membership: Membership
    groups: tuple[str, ...] = ()

    @property
    def member_id(self) -> str:
        """Return ``<instance_id>#<storage_id>``."""
        return f"{self.instance_id}{ID_SEPARATOR}{self.storage_id}"

    def open_group(self, group_id: str) -> Result[tuple[GroupStorage, Recovered], Failure]:
        """Open a group's storage, and create it on the first call.

        :return: ``log_corrupt`` when the group was created earlier and its directory is missing:
            an empty log under the same identity could lose acknowledged entries.
        """
        directory = self.directory / group_id
        if group_id in self.groups and not directory.exists():
            text = f"directory {directory} is missing although the group was created"
            return Err(Failure(ErrorKind.LOG_CORRUPT, text, str(directory)))
        opened = GroupStorage.open(directory)
        if opened.is_ok() and group_id not in self.groups:
            self.groups = (*self.groups, group_id)
            _save(self)
        return opened


def initial_storage_id(cluster_id: str, instance_id: str) -> str:
    """Return the storage id of an initial voter, which every initial voter can derive."""
    digest = hashlib.sha256(f"{cluster_id}\0{instance_id}".encode()).hexdigest()
    return f"st-{digest[:24]}"


def initialise(
    directory: Path, cluster_id: str, instance_id: str, voters: Mapping[str, Address]
) -> Result[Identity, Failure]:
    """Create the identity of an initial voter; run once per cluster on each of them.

    This must not be used to restore an instance whose disk was lost, because it would get its old
    storage id again. Such an instance is started with an empty directory instead.

    :param directory: empty or missing directory.
    :param cluster_id: name of the deployment.
    :param instance_id: own instance id, one of the voters.
    :param voters: instance ids and peer addresses of all initial voters, including this one.
    :return: ``settings_invalid`` when the directory is not empty or the voters do not fit.
    """
    if directory.exists() and any(directory.iterdir()):
        return _invalid(f"{directory} is not empty", "directory")
    if instance_id not in voters:
        return _invalid(f"{instance_id} is not among the initial voters", "voters")
    if any(ID_SEPARATOR in name for name in voters):
        return _invalid(f"instance ids must not contain {ID_SEPARATOR}", "voters")
    members = tuple(
        Member(f"{name}{ID_SEPARATOR}{initial_storage_id(cluster_id, name)}", address, True)
        for name, address in sorted(voters.items())
    )
    storage_id = initial_storage_id(cluster_id, instance_id)
    identity = Identity(directory, instance_id, storage_id, Membership(members))
    return _create(identity)


def open_identity(directory: Path, instance_id: str) -> Result[Identity, Failure]:
    """Read the identity; an empty directory gets a new one, which must join as a learner.

    :param directory: directory of the identity; created when missing.
    :param instance_id: own instance id.
    :return: ``settings_invalid`` when the directory belongs to another instance; ``log_corrupt``
        when it holds data without a readable identity.
    """
    path = directory / _FILE
    if not path.exists():
        if directory.exists() and any(p.name != f"{_FILE}.tmp" for p in directory.iterdir()):
            text = f"{directory} holds data but no {_FILE}"
            return Err(Failure(ErrorKind.LOG_CORRUPT, text, str(path)))
        if not instance_id or ID_SEPARATOR in instance_id:
            return _invalid(f"instance id must not contain {ID_SEPARATOR}", "instance_id")
        return _create(Identity(directory, instance_id, new_id("st"), Membership()))
    try:
        stored: dict[str, Any] = json.loads(path.read_bytes())
        identity = Identity(
            directory,
            stored["instance_id"],
            stored["storage_id"],
            Membership.decode(bytes.fromhex(stored["founding"])),
            tuple(stored["groups"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        return Err(Failure(ErrorKind.LOG_CORRUPT, f"cannot read {path}: {error}", str(path)))
    if identity.instance_id != instance_id:
        return _invalid(f"{directory} belongs to instance {identity.instance_id}", "instance_id")
    return Ok(identity)


def _create(identity: Identity) -> Result[Identity, Failure]:
    try:
        identity.directory.mkdir(parents=True, exist_ok=True)
        _save(identity)
    except OSError as error:
        text = f"cannot write {identity.directory}: {error}"
        return Err(Failure(ErrorKind.STORAGE_FAILED, text))
    return Ok(identity)


def _save(identity: Identity) -> None:
    stored = {
        "instance_id": identity.instance_id,
        "storage_id": identity.storage_id,
        "founding": identity.initial_membership.encode().hex(),
        "groups": list(identity.groups),
    }
    replace_file(identity.directory / _FILE, json.dumps(stored).encode())


def _invalid(text: str, field: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.SETTINGS_INVALID, text, field))
