"""Hold the soft tables of a control instance together."""

from __future__ import annotations

import attrs

from briardyke.fleet.records import EntryInstance, ModelChanges, Upstream
from briardyke.fleet.table import SoftTable


@attrs.define
class Tables:
    """Hold the soft state of a control instance.

    :param upstreams: announced upstreams.
    :param entries: entry instances.
    :param changes: what orders under way change in the memory of upstreams.
    """

    upstreams: SoftTable[Upstream] = attrs.field(factory=SoftTable)
    entries: SoftTable[EntryInstance] = attrs.field(factory=SoftTable)
    changes: SoftTable[ModelChanges] = attrs.field(factory=SoftTable)
