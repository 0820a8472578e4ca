"""Choose the entry instances that a caller is told of."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardyke.fleet.records import EntryInstance

# Callers leave out addresses that fail them; with two near ones they need no far one meanwhile.
LEAST_NEAR = 2
MAX_ADDRESSES = 64


def addresses_for(data_centre: str, entries: Sequence[EntryInstance]) -> list[str]:
    """Return addresses of ready instances, near ones only where they are enough.

    Load: traffic between data centres costs, but a data centre with a single instance would lose
    all its callers' connections with it.

    :param data_centre: data centre of the caller, or empty when it does not say.
    :param entries: ready instances.
    """
    near = [e.address for e in entries if e.data_centre == data_centre]
    listed = near if len(near) >= LEAST_NEAR else [e.address for e in entries]
    return sorted(listed)[:MAX_ADDRESSES]
