"""Group the soft-state tables of a control instance."""

from __future__ import annotations

import attrs

from briardyke.fleet.records import EntryInstance, ModelChanges, Upstream
from briardyke.fleet.table import SoftTable


@attrs.define
class SoftTables:
    """Soft-state tables of a control instance.

    :param upstreams: announced upstreams.
    :param entries: entry instances.
    :param changes: pending changes to the loaded models of upstreams, caused by orders.
    """

    upstreams: SoftTable[Upstream] = attrs.field(factory=SoftTable)
    entries: SoftTable[EntryInstance] = attrs.field(factory=SoftTable)
    changes: SoftTable[ModelChanges] = attrs.field(factory=SoftTable)
