"""Provide the sync responder with the data that depends on whether this process leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms
from briardyke.consensus.state import Role

if TYPE_CHECKING:
    from briardyke.consensus.driver import ReplicatedLog
    from briardyke.control.shares import ShareGranter
    from briardyke.sync.instances import InstanceTable
    from briardyke.sync.view import SyncedView
    from briardyke.wire.messages import InstanceStatus, LimitShare


class ControlLeadershipView:
    """Read from the control group's log while leading, else from the synced view."""

    def __init__(self, log: ReplicatedLog, view: SyncedView, shares: ShareGranter) -> None:
        """Use the control group's log, the synced view and the leader's share granter."""
        self._log = log
        self._view = view
        self._shares = shares
        self.instance_table: InstanceTable | None = None

    def leads(self) -> bool:
        """Return whether this process leads, as a majority has confirmed recently."""
        status = self._log.status()
        return status.role is Role.LEADER and status.ready

    def confirmed_age_ms(self) -> float | None:
        """Return the time since the held version was confirmed as current."""
        if not self.leads():
            return self._view.lease.age_ms(now_ms())
        status = self._log.status()
        if status.applied_index < status.commit_index:
            return None  # a committed version may not be in the document history yet
        return self._log.confirmed_age_ms()

    def instances(self) -> tuple[str, list[InstanceStatus]]:
        """Return the instance list with a tag that changes whenever the list does."""
        if self.leads() and self.instance_table is not None:
            listed = self.instance_table.listed(now_ms())
            return f"leader:{self.instance_table.sequence}", listed
        return f"relay:{self._view.listed_sequence}", self._view.listed

    def shares(self, statuses: list[InstanceStatus]) -> dict[str, list[LimitShare]]:
        """Return the limit shares of the given instances."""
        if self.leads():
            self._shares.start_term(self._log.status().term)
            return self._shares.grant(statuses)
        received = self._view.shares
        return {
            s.instance_id: received[s.instance_id] for s in statuses if s.instance_id in received
        }

    def leader_hint(self) -> str:
        """Return the leader's peer address, empty when unknown."""
        return str(self._log.status().leader_address or "")
