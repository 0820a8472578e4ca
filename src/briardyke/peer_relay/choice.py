"""Choose the entry instance that forwards a request for one without links to upstreams.

Load: all callers of several instances, up to most of a data centre, within a second or two, until
the callers have fetched new addresses.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Sequence

    from briardyke.fleet.records import EntryInstance

# Weight of an instance of the own data centre. Traffic between data centres is expensive, but what
# is left of a data centre must not carry all requests of the rest.
_LOCAL_WEIGHT = 2.0
# Capacity of an instance that states none.
_UNKNOWN_CAPACITY_PER_S = 1.0


def choose_peer(
    entries: Sequence[EntryInstance],
    data_centre: str,
    excluded: Collection[str],
    random: random.Random,
) -> EntryInstance | None:
    """Return an instance that reaches upstreams, drawn by capacity, or ``None``.

    :param entries: ready instances.
    :param data_centre: data centre of this instance.
    :param excluded: ids of this instance and of those that were tried.
    """
    candidates = [e for e in entries if e.reaches_upstreams and e.instance_id not in excluded]
    if not candidates:
        return None
    weights = [
        (entry.capacity_per_s or _UNKNOWN_CAPACITY_PER_S)
        * (_LOCAL_WEIGHT if entry.data_centre == data_centre else 1.0)
        for entry in candidates
    ]
    return random.choices(candidates, weights)[0]
