"""Group the soft-state tables of a control instance."""

from __future__ import annotations

import attrs

from briardyke.fleet.records import EntryInstance, ModelChanges, Upstream
from briardyke.fleet.table import SoftTable
from briardyke.quarantine.records import PartVerdict


@attrs.define
class SoftTables:
    """Soft-state tables of a control instance.

    :param upstreams: announced upstreams.
    :param entries: entry instances.
    :param changes: pending changes to the loaded models of upstreams, caused by orders.
    :param verdicts: parts of prompts that are suspected to crash engines.
    """

    upstreams: SoftTable[Upstream] = attrs.field(factory=SoftTable)
    entries: SoftTable[EntryInstance] = attrs.field(factory=SoftTable)
    changes: SoftTable[ModelChanges] = attrs.field(factory=SoftTable)
    verdicts: SoftTable[PartVerdict] = attrs.field(factory=SoftTable)
