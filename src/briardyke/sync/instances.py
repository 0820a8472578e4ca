"""Keep the entry instances that callers may be sent to."""

from __future__ import annotations

from enum import Enum

import attrs

from briardyke.wire.messages import InstanceStatus

INSTANCE_SILENCE_MS = 2000.0
PASS_ON_MS = 3000.0


class Lifecycle(Enum):
    """List the stages of an entry process."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@attrs.define
class _Entry:
    status: InstanceStatus
    heard_at_ms: float
    listed: bool = False


class InstanceTable:
    """Merge the statuses of entry instances and number each change of the list."""

    def __init__(self) -> None:
        """Start empty."""
        self.sequence = 1
        self._entries: dict[str, _Entry] = {}

    def observe(self, status: InstanceStatus, now_ms: float) -> None:
        """Take in a status; its ``age_ms`` is its age now."""
        heard_at_ms = now_ms - status.age_ms
        held = self._entries.get(status.instance_id)
        if held is not None and heard_at_ms < held.heard_at_ms:
            return
        listed = held.listed if held else False
        if held is not None and _public(held.status) != _public(status) and listed:
            self.sequence += 1
        self._entries[status.instance_id] = _Entry(status, heard_at_ms, listed)
        self.tick(now_ms)

    def tick(self, now_ms: float) -> None:
        """Take silent instances off the list and put ready ones on it."""
        for entry in self._entries.values():
            silent = now_ms - entry.heard_at_ms > INSTANCE_SILENCE_MS
            listed = entry.status.lifecycle == Lifecycle.READY.value and not silent
            if listed != entry.listed:
                entry.listed = listed
                self.sequence += 1

    def listed(self, now_ms: float) -> list[InstanceStatus]:
        """Return the instances that callers may be sent to, without their limit reports."""
        self.tick(now_ms)
        entries = sorted(self._entries.items())
        return [_public(entry.status) for _, entry in entries if entry.listed]

    def statuses_to_forward(self, now_ms: float) -> list[InstanceStatus]:
        """Return statuses that were heard recently, with ages and limit reports.

        The leader keeps the shares of an instance that it is told about. One that has been silent
        for :data:`PASS_ON_MS` is left out, so that its shares become free for others.
        """
        return [
            attrs.evolve(entry.status, age_ms=max(0.0, now_ms - entry.heard_at_ms))
            for entry in self._entries.values()
            if now_ms - entry.heard_at_ms < PASS_ON_MS
        ]

    def forget(self, before_ms: float) -> None:
        """Drop statuses whose evidence is older than a moment."""
        stale = [i for i, e in self._entries.items() if e.heard_at_ms < before_ms]
        for instance_id in stale:
            if self._entries.pop(instance_id).listed:
                self.sequence += 1


def _public(status: InstanceStatus) -> InstanceStatus:
    return attrs.evolve(status, age_ms=0.0, report_number=0, share_demand=[], held_shares=[])
