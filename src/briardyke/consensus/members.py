"""Define the membership of a log group and the allowed membership changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

import attrs
import msgpack
from result import Err, Ok, Result

from briardyke.addresses import Address
from briardyke.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from briardyke.consensus.state import NodeSettings

ID_SEPARATOR = "#"
# Each membership entry contains the removed ids; 1,000 of them take less than 64 KiB.
MAX_REMOVED_IDS = 1000
# Automatic removal keeps at least the initial number of voters, which tolerates the loss of one.
MIN_VOTERS = 3


@attrs.frozen
class Observation:
    """Describe what the leader knows of a member.

    :param is_caught_up: whether the member holds nearly all entries.
    :param is_silent: whether it has not replied to this leader for an election timeout.
    :param silence_ms: how long it has not replied to this or earlier leaders.
    :param observed_ms: how long this leader has sent it messages.
    """

    is_caught_up: bool = True
    is_silent: bool = False
    silence_ms: float = 0.0
    observed_ms: float = 0.0


def instance_id_of(member_id: str) -> str:
    """Return the instance id that a member id contains."""
    return member_id.rpartition(ID_SEPARATOR)[0]


@attrs.frozen
class Member:
    """Describe one member.

    :param member_id: ``<instance_id>#<storage_id>``.
    :param address: peer address.
    :param voter: whether it counts towards majorities; otherwise it is a learner.
    :param replaces_voter: whether the leader promotes this learner once it has caught up.
    """

    member_id: str
    address: Address
    voter: bool = False
    replaces_voter: bool = False


@attrs.frozen
class MemberChange:
    """Describe one change of the membership.

    :param action: kind of change; ``add`` adds a learner, ``readmit`` adds a removed member as one.
    :param member_id: member that is added, promoted or removed.
    :param address: peer address, for ``add`` and ``readmit`` only.
    :param replacement_id: learner that replaces a removed member, or empty.
    """

    action: Literal["add", "readmit", "promote", "remove"]
    member_id: str
    address: Address | None = None
    replacement_id: str = ""


@attrs.frozen
class Membership:
    """Hold the members of a group in the order in which they were added.

    :param members: voters and learners.
    :param removed: ids of removed members, which cannot join again; oldest first.
    """

    members: tuple[Member, ...] = ()
    removed: tuple[str, ...] = ()

    def get(self, member_id: str) -> Member | None:
        """Return a member, or ``None`` when the id is not listed."""
        return next((m for m in self.members if m.member_id == member_id), None)

    @property
    def voters(self) -> list[Member]:
        """Return the members that vote."""
        return [member for member in self.members if member.voter]

    def is_voter(self, member_id: str) -> bool:
        """Return whether an id belongs to a voter."""
        member = self.get(member_id)
        return member is not None and member.voter

    def has_majority(self, member_ids: Iterable[str]) -> bool:
        """Return whether the given member ids include a majority of the voters."""
        agreeing = {m.member_id for m in self.voters} & set(member_ids)
        return len(agreeing) > len(self.voters) // 2

    def majority_value(self, value: Callable[[str], int]) -> int:
        """Return the highest value that a majority of the voters has reached.

        :param value: returns the value that the voter with a given id has reached.
        :return: 0 when there are no voters.
        """
        values = sorted((value(member.member_id) for member in self.voters), reverse=True)
        return values[len(values) // 2] if values else 0

    def encode(self) -> bytes:
        """Return the encoding that log entries and snapshots hold."""
        rows = [
            [m.member_id, m.address.host, m.address.port, m.voter, m.replaces_voter]
            for m in self.members
        ]
        return msgpack.packb([rows, list(self.removed)])

    @staticmethod
    def decode(data: bytes) -> Membership:
        """Decode the output of :meth:`encode`."""
        rows, removed = msgpack.unpackb(data)
        members = tuple(Member(row[0], Address(row[1], row[2]), row[3], row[4]) for row in rows)
        return Membership(members, tuple(removed))

    def with_change(self, change: MemberChange) -> Result[Membership, Failure]:
        """Return the membership after a change.

        :return: ``member_change_refused`` when the change does not fit the current members.
        """
        member = self.get(change.member_id)
        if change.action == "add":
            return self._with_added(change, member)
        if change.action == "readmit":
            others = tuple(i for i in self.removed if i != change.member_id)
            return attrs.evolve(self, removed=others)._with_added(change, member)
        if member is None:
            return _refused(f"{change.member_id} is not a member")
        if change.action == "promote":
            if member.voter:
                return _refused(f"{change.member_id} is already a voter")
            promoted = attrs.evolve(member, voter=True, replaces_voter=False)
            rows = tuple(promoted if m is member else m for m in self.members)
            return Ok(attrs.evolve(self, members=rows))
        if member.voter and len(self.voters) == 1:
            return _refused(f"{change.member_id} is the last voter")
        return Ok(self._with_removed(member, change.replacement_id))

    def _with_added(
        self, change: MemberChange, member: Member | None
    ) -> Result[Membership, Failure]:
        if member is not None:
            return _refused(f"{change.member_id} is already a member")
        if change.member_id in self.removed:
            return _refused(f"{change.member_id} was removed and must use new storage")
        if change.address is None or not instance_id_of(change.member_id):
            return _refused(
                "a new member needs an address and a member id that contains a storage id"
            )
        return Ok(
            attrs.evolve(self, members=(*self.members, Member(change.member_id, change.address)))
        )

    def _with_removed(self, member: Member, replacement_id: str) -> Membership:
        becomes_voter = member.voter or member.replaces_voter
        rows = tuple(
            (
                attrs.evolve(m, replaces_voter=m.replaces_voter or becomes_voter)
                if m.member_id == replacement_id and not m.voter
                else m
            )
            for m in self.members
            if m is not member
        )
        return Membership(rows, (*self.removed, member.member_id)[-MAX_REMOVED_IDS:])


def _refused(reason: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.MEMBER_CHANGE_REFUSED, reason, "member_id"))


def next_replacement(
    membership: Membership,
    is_caught_up: Callable[[str], bool],
    is_silent: Callable[[str], bool],
) -> MemberChange | None:
    """Return the next change that replaces a member which lost its storage.

    A learner replaces an older member of the same instance: the older member is removed first,
    then the learner is promoted if the older one was a voter. Learners of other instances are
    not promoted.

    :param membership: current members.
    :param is_caught_up: returns whether a learner holds nearly all entries.
    :param is_silent: returns whether a member has not replied for an election timeout. A member
        that still replies is not replaced, because then two running processes have the same
        instance id.
    :return: one change, or ``None`` when no change is needed.
    """
    for position, learner in enumerate(membership.members):
        if learner.voter or not is_caught_up(learner.member_id):
            continue
        instance_id = instance_id_of(learner.member_id)
        earlier = membership.members[:position]
        older = [m for m in earlier if instance_id_of(m.member_id) == instance_id]
        if older and is_silent(older[0].member_id):
            return MemberChange("remove", older[0].member_id, None, learner.member_id)
        if not older and learner.replaces_voter:
            return MemberChange("promote", learner.member_id)
    return None


def next_automatic_change(
    membership: Membership, observe: Callable[[str], Observation], settings: NodeSettings
) -> MemberChange | None:
    """Return the next change for a group in which every control instance becomes a voter.

    The number of control instances is not configured, so each learner that has caught up is
    promoted. While a voter is silent, the learner takes its place instead: otherwise each instance
    that is replaced by another one would leave the group with one voter more, and the loss of one
    of the instances that remain could take the majority away. A member that no other instance
    replaces is removed after a longer silence.

    :param membership: current members.
    :param observe: returns what the leader knows of a member.
    :param settings: how long a member may be silent.
    :return: one change, or ``None`` when no change is needed.
    """
    observed = {member.member_id: observe(member.member_id) for member in membership.members}
    replacement = next_replacement(
        membership, lambda i: observed[i].is_caught_up, lambda i: observed[i].is_silent
    )
    if replacement is not None:
        return replacement
    silent = [i for i, observation in observed.items() if observation.is_silent]
    silent.sort(key=lambda i: observed[i].silence_ms, reverse=True)
    silent_voter = next(filter(membership.is_voter, silent), None)
    for learner in membership.members:
        observation = observed[learner.member_id]
        # A voter that was lost before the learner joined has to be known as silent by then.
        is_ready = observation.is_caught_up and observation.observed_ms > settings.election_max_ms
        if learner.voter or not is_ready or _older_members(membership, learner):
            continue
        if silent_voter is None:
            return MemberChange("promote", learner.member_id)
        if observed[silent_voter].silence_ms >= settings.replacement_silence_ms:
            return MemberChange("remove", silent_voter, None, learner.member_id)
    may_lose_voter = len(membership.voters) > MIN_VOTERS
    for member_id in silent:
        if observed[member_id].silence_ms >= settings.removal_silence_ms and (
            may_lose_voter or not membership.is_voter(member_id)
        ):
            return MemberChange("remove", member_id)
    return None


def _older_members(membership: Membership, learner: Member) -> list[Member]:
    position = membership.members.index(learner)
    instance_id = instance_id_of(learner.member_id)
    return [m for m in membership.members[:position] if instance_id_of(m.member_id) == instance_id]
