"""Track which entry instances may be advertised to callers."""

from __future__ import annotations

from enum import Enum

import attrs

from briardyke.wire.messages import InstanceStatus

INSTANCE_SILENCE_MS = 2000.0
FORWARD_WINDOW_MS = 3000.0


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
    """Merge statuses of entry instances; each change of the list increments the sequence."""

    def __init__(self) -> None:
        """Start empty."""
        self.sequence = 1
        self._entries: dict[str, _Entry] = {}

    def observe(self, status: InstanceStatus, now_ms: float) -> None:
        """Merge a status; its ``age_ms`` is its age now."""
        heard_at_ms = now_ms - status.age_ms
        held = self._entries.get(status.instance_id)
        if held is not None and heard_at_ms < held.heard_at_ms:
            return
        listed = held.listed if held else False
        if held is not None and _public(held.status) != _public(status) and listed:
            self.sequence += 1
        self._entries[status.instance_id] = _Entry(status, heard_at_ms, listed)
        self.update_listed(now_ms)

    def update_listed(self, now_ms: float) -> None:
        """Remove silent instances from the list and add ready ones."""
        for entry in self._entries.values():
            silent = now_ms - entry.heard_at_ms > INSTANCE_SILENCE_MS
            listed = entry.status.lifecycle == Lifecycle.READY.value and not silent
            if listed != entry.listed:
                entry.listed = listed
                self.sequence += 1

    def listed(self, now_ms: float) -> list[InstanceStatus]:
        """Return the instances that may be advertised to callers, without limit reports."""
        self.update_listed(now_ms)
        entries = sorted(self._entries.items())
        return [_public(entry.status) for _, entry in entries if entry.listed]

    def statuses_to_forward(self, now_ms: float) -> list[InstanceStatus]:
        """Return statuses that were heard recently, with ages and limit reports.

        The leader reserves limit shares for every instance in these statuses. An instance silent
        for :data:`FORWARD_WINDOW_MS` is left out, so that its shares are freed for others.
        """
        return [
            attrs.evolve(entry.status, age_ms=max(0.0, now_ms - entry.heard_at_ms))
            for entry in self._entries.values()
            if now_ms - entry.heard_at_ms < FORWARD_WINDOW_MS
        ]

    def forget(self, before_ms: float) -> None:
        """Drop statuses last heard before a moment."""
        stale = [i for i, e in self._entries.items() if e.heard_at_ms < before_ms]
        for instance_id in stale:
            if self._entries.pop(instance_id).listed:
                self.sequence += 1


def _public(status: InstanceStatus) -> InstanceStatus:
    return attrs.evolve(status, age_ms=0.0, report_number=0, share_demand=[], held_shares=[])
