"""Hold the soft tables of a control instance together."""

from __future__ import annotations

import attrs

from briardyke.fleet.records import EntryInstance, Upstream, Withheld
from briardyke.fleet.table import SoftTable


@attrs.define
class Tables:
    """Hold the soft state of a control instance.

    :param upstreams: announced upstreams.
    :param entries: entry instances.
    :param withheld: models that get no new requests.
    """

    upstreams: SoftTable[Upstream] = attrs.field(factory=SoftTable)
    entries: SoftTable[EntryInstance] = attrs.field(factory=SoftTable)
    withheld: SoftTable[Withheld] = attrs.field(factory=SoftTable)
