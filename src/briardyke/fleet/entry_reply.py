"""Build the replies of a control instance to entry instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.fleet.messages import FleetReply
from briardyke.fleet.records import GONE, SILENT

if TYPE_CHECKING:
    from briardyke.fleet.control import ControlInstance
    from briardyke.fleet.messages import FleetRequest


def build_reply(control: ControlInstance, request: FleetRequest) -> FleetReply:
    """Return what an entry instance lacks of a control instance's state."""
    tables, rows, status = control.tables, control.rows, control.log.status()
    is_known = request.table_id == control.table_id
    upstreams = [
        attrs.evolve(row, lifecycle=SILENT) if is_silent and row.lifecycle != GONE else row
        for row, is_silent in tables.upstreams.changed_after(
            request.held_upstreams if is_known else 0
        )
    ]
    entries = None
    if not is_known or tables.entries.sequence > request.held_entries:
        entries = [
            row
            for row, is_silent in tables.entries.changed_after(0)
            if not is_silent and row.is_ready
        ]
    is_newer = control.machine.version > request.held_version
    return FleetReply(
        is_current=control.can_inform_entries,
        is_starting=control.is_starting,
        version=control.machine.version,
        configuration=control.compressed_document() if is_newer else None,
        table_id=control.table_id,
        upstreams=upstreams,
        upstream_sequence=tables.upstreams.sequence,
        entries=entries,
        entry_sequence=tables.entries.sequence,
        leader=str(status.leader_address or ""),
        controls=[str(m.address) for m in status.members],
        changes=[
            row.aged(age_ms)
            for row, age_ms in tables.changes.changed_with_age(
                request.held_changes if is_known else 0
            )
        ],
        change_sequence=tables.changes.sequence,
        is_whole=not is_known,
        others=(
            rows.activity.in_flight_of_others(request.entry.instance_id)
            if request.entry.carried_per_s
            else {}
        ),
        carried_per_s=rows.activity.carried_per_s(),
        verdicts=[
            row.aged(age_ms)
            for row, age_ms in tables.verdicts.changed_with_age(
                request.held_verdicts if is_known else 0
            )
        ],
        verdict_sequence=tables.verdicts.sequence,
        limits=rows.limits.statements(),
        limit_sequence=rows.limits.sequence,
        service_versions=rows.versions.by_service(),
        proof_age_ms=control.log.proof_age_ms(),
    )
