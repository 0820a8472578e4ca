"""Track which entry instances may be advertised to callers."""

from __future__ import annotations

from enum import Enum

import attrs

from briardyke.wire.messages import InstanceStatus

INSTANCE_SILENCE_MS = 2000.0
FORWARD_WINDOW_MS = 3000.0


class Lifecycle(Enum):
    """Stage of an entry process."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@attrs.define
class _HeldStatus:
    status: InstanceStatus
    heard_at_ms: float
    listed: bool = False


class InstanceTable:
    """Statuses of entry instances; each change of the list increments the sequence."""

    def __init__(self) -> None:
        """Start empty."""
        self.sequence = 1
        self._held: dict[str, _HeldStatus] = {}

    def observe(self, status: InstanceStatus, now_ms: float) -> None:
        """Merge a status; its ``age_ms`` is its age now."""
        heard_at_ms = now_ms - status.age_ms
        held = self._held.get(status.instance_id)
        if held is not None and heard_at_ms < held.heard_at_ms:
            return
        listed = held.listed if held else False
        if held is not None and _advertised(held.status) != _advertised(status) and listed:
            self.sequence += 1
        self._held[status.instance_id] = _HeldStatus(status, heard_at_ms, listed)
        self.update_listed(now_ms)

    def update_listed(self, now_ms: float) -> None:
        """Remove silent instances from the list and add ready ones."""
        for held in self._held.values():
            silent = now_ms - held.heard_at_ms > INSTANCE_SILENCE_MS
            listed = held.status.lifecycle == Lifecycle.READY.value and not silent
            if listed != held.listed:
                held.listed = listed
                self.sequence += 1

    def listed(self, now_ms: float) -> list[InstanceStatus]:
        """Return the instances that may be advertised to callers, without limit reports."""
        self.update_listed(now_ms)
        statuses = sorted(self._held.items())
        return [_advertised(held.status) for _, held in statuses if held.listed]

    def statuses_to_forward(self, now_ms: float) -> list[InstanceStatus]:
        """Return statuses that were heard recently, with ages and limit reports.

        The leader reserves limit shares for every instance in these statuses. An instance silent
        for :data:`FORWARD_WINDOW_MS` is left out, so that its shares are freed for others.
        """
        return [
            attrs.evolve(held.status, age_ms=max(0.0, now_ms - held.heard_at_ms))
            for held in self._held.values()
            if now_ms - held.heard_at_ms < FORWARD_WINDOW_MS
        ]

    def forget(self, before_ms: float) -> None:
        """Drop statuses last heard before a moment."""
        stale = [i for i, held in self._held.items() if held.heard_at_ms < before_ms]
        for instance_id in stale:
            if self._held.pop(instance_id).listed:
                self.sequence += 1


def _advertised(status: InstanceStatus) -> InstanceStatus:
    return attrs.evolve(status, age_ms=0.0, report_number=0, share_demand=[], held_shares=[])
