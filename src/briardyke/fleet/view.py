"""Define an entry instance's view of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.addresses import Address, parse_address
from briardyke.clock import now_ms
from briardyke.fleet.records import DRAINING, GONE, EntryInstance, ModelChanges, Upstream
from briardyke.logs import log_limited
from briardyke.quarantine.records import PartState, PartVerdict
from briardyke.routes.configuration import NO_VERSION

if TYPE_CHECKING:
    from briardyke.fleet.messages import FleetReply

# Two heartbeat intervals of 1.2 s: a control instance that has just started may not know an
# upstream until its next heartbeat.
UNLISTED_TTL_MS = 2500.0
# Announcements delayed by a network partition arrive within seconds. Control instances keep
# departures for the same time.
DEPARTED_TTL_MS = 120_000.0


@attrs.define
class FleetView:
    """An entry instance's view of the fleet.

    :param version: number of the configuration held, ``NO_VERSION`` for none.
    :param upstreams: upstreams by id.
    :param entries: entry instances that may be advertised to callers.
    :param changes: pending changes to loaded models by upstream id, with load completion times on
        the runtime's clock.
    :param verdicts: verdicts on parts of prompts, with the times of trials on the runtime's clock.
    :param verdicts_since_ms: time since which each part is known to be in its state.
    :param unlisted_verdicts: verdicts held that the last whole reply did not list.
    :param leader: peer address of the leader of the control instances.
    :param controls: peer addresses of the control instances.
    :param service_versions: software versions that may have begun a stream, by service.
    :param confirmed_ms: time of the last current answer.
    :param as_of_ms: time at which that answer was made or earlier, with the time in which this
        machine was suspended. An answer may have waited here while the process stood still.
    :param proven_as_of_ms: time up to which the configuration held includes every change that was
        confirmed to operators, on the same clock.
    """

    version: int = NO_VERSION
    upstreams: dict[str, Upstream] = attrs.field(factory=dict)
    entries: list[EntryInstance] = attrs.field(factory=list)
    changes: dict[str, ModelChanges] = attrs.field(factory=dict)
    verdicts: dict[str, PartVerdict] = attrs.field(factory=dict)
    verdicts_since_ms: dict[str, float] = attrs.field(factory=dict)
    unlisted_verdicts: list[PartVerdict] = attrs.field(factory=list)
    leader: Address | None = None
    controls: list[Address] = attrs.field(factory=list)
    service_versions: dict[str, list[str]] = attrs.field(factory=dict)
    confirmed_ms: float = float("-inf")
    as_of_ms: float = float("-inf")
    proven_as_of_ms: float = float("-inf")
    _unlisted_ms: dict[str, float] = attrs.field(factory=dict)

    @property
    def is_synced(self) -> bool:
        """Return whether a configuration and a confirmed reply have been received."""
        return self.version > NO_VERSION and self.confirmed_ms > float("-inf")

    def confirm(self, as_of_ms: float) -> None:
        """Record a current answer."""
        self.confirmed_ms = now_ms()
        self.as_of_ms = max(self.as_of_ms, as_of_ms)

    def prove(self, reply: FleetReply, as_of_ms: float) -> bool:
        """Record the proof in a reply whose configuration is held; return whether it is newer.

        A configuration that could not be read leaves the version below that of the reply.

        :param as_of_ms: time at which the reply was made or earlier.
        """
        if reply.proof_age_ms is None or self.version < reply.version:
            return False
        before_ms = self.proven_as_of_ms
        self.proven_as_of_ms = max(before_ms, as_of_ms - max(0.0, reply.proof_age_ms))
        return self.proven_as_of_ms > before_ms

    def apply_members(self, reply: FleetReply) -> None:
        """Apply the addresses of the control instances in a reply."""
        if reply.leader:
            self.leader = parse_address(reply.leader)
        if reply.controls:
            self.controls = [parse_address(text) for text in reply.controls]

    def apply_rows(self, reply: FleetReply) -> None:
        """Apply the rows of a reply; older rows never replace newer ones.

        Restarted control instances do not know past departures, while delayed announcements sent
        before the departure may still reach them. Their reply may also lack upstreams whose next
        heartbeat is not due yet.
        """
        if reply.is_whole:
            listed = {row.upstream_id for row in reply.upstreams}
            for upstream_id in self.upstreams.keys() - listed:
                self._unlisted_ms.setdefault(upstream_id, now_ms())
            self.changes = {}
        for row in reply.upstreams:
            self._apply_row(row)
        for changes in reply.changes:
            self.changes[changes.upstream_id] = changes.aged(-now_ms())
        if reply.entries is not None:
            self.entries = reply.entries
        self.service_versions = reply.service_versions
        self._apply_verdicts(reply)

    def _apply_verdicts(self, reply: FleetReply) -> None:
        """Apply the verdicts of a reply.

        Control instances that all restarted at once know no verdicts; they learn them again from
        the entry instances, so that the count of crashes does not start anew.
        """
        for row in reply.verdicts:
            held = self.verdicts.get(row.part)
            if held is None or row.order >= held.order:
                self.verdicts[row.part] = row.aged(-now_ms())
            if held is None or held.state is not row.state:
                self.verdicts_since_ms[row.part] = now_ms()
        if reply.is_whole:
            listed = {row.part for row in reply.verdicts}
            self.unlisted_verdicts = [r for p, r in self.verdicts.items() if p not in listed]
        else:
            self.unlisted_verdicts = []
        cleared = [p for p, r in self.verdicts.items() if r.state is PartState.CLEARED]
        for part in cleared:
            del self.verdicts[part], self.verdicts_since_ms[part]

    def _apply_row(self, row: Upstream) -> None:
        held = self.upstreams.get(row.upstream_id)
        if held is not None and row.order < held.order:
            log_limited(
                "older_row_ignored",
                is_routine=False,
                upstream=row.upstream_id,
                held=held.lifecycle,
                offered=row.lifecycle,
                sequence=row.sequence,
            )
            return
        self.upstreams[row.upstream_id] = row
        self._unlisted_ms.pop(row.upstream_id, None)

    def expire_unlisted(self) -> bool:
        """Drop upstreams that have been unlisted for too long; return whether any were dropped."""
        dropped = [i for i, since_ms in self._unlisted_ms.items() if self._is_expired(i, since_ms)]
        for upstream_id in dropped:
            del self._unlisted_ms[upstream_id]
            self.upstreams.pop(upstream_id, None)
        return bool(dropped)

    def _is_expired(self, upstream_id: str, since_ms: float) -> bool:
        row = self.upstreams.get(upstream_id)
        has_departed = row is not None and row.lifecycle in (DRAINING, GONE)
        keep_ms = DEPARTED_TTL_MS if has_departed else UNLISTED_TTL_MS
        return now_ms() - since_ms >= keep_ms
