"""Select the entry instances whose addresses are returned to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from briardyke.fleet.records import EntryInstance

# Callers skip addresses that fail. With two instances in their own data centre they need no remote
# one in the meantime.
MIN_LOCAL_INSTANCES = 2
MAX_ADDRESSES = 64
# Callers of each data centre get at least this many addresses, if there are as many, so that some
# remain usable when instances crash.
MIN_LISTED_INSTANCES = 5
# Listed capacity as a multiple of the current request rate; the traffic of one kind doubles or
# triples within a second.
CAPACITY_FACTOR = 4.0
# CPU time of one request on an entry instance; see docs/platform-rounds.md.
REQUEST_CPU_S = 0.010
# Size of a prompt and of the events of its response, received and sent.
REQUEST_BYTES = 12_000.0


def capacity_per_s(cores: float, link_mbps: float) -> float:
    """Return the requests per second that an instance could process.

    :param cores: CPU time that it may use per second, in seconds.
    :param link_mbps: bandwidth of its link, 0 when unknown.
    """
    by_cpu = cores / REQUEST_CPU_S
    by_link = link_mbps * 1e6 / 8.0 / REQUEST_BYTES
    return min(by_cpu, by_link) if link_mbps > 0 else by_cpu


def addresses_for(
    data_centre: str, entries: Sequence[EntryInstance], carried_per_s: Mapping[str, float]
) -> list[str]:
    """Return addresses of ready instances, preferably in the caller's own data centre.

    Traffic between data centres is expensive, but if a data centre had a single listed instance,
    its callers would lose all connections when that instance fails. Requests spread over very many
    instances find no idle connection to their upstream, and each instance knows little of the
    load. So only as many instances are listed as the traffic needs, the largest first.

    :param data_centre: data centre of the caller, or empty if not stated.
    :param entries: ready instances.
    :param carried_per_s: requests per second by data centre of the instances that process them.
    """
    listed = _listed_for(data_centre, _with_links(entries), carried_per_s)
    return sorted(e.address for e in listed)[:MAX_ADDRESSES]


def listed_instances(
    entries: Sequence[EntryInstance], carried_per_s: Mapping[str, float]
) -> set[str]:
    """Return the ids of all instances that are listed for callers of any data centre."""
    reaching = _with_links(entries)
    centres = {e.data_centre for e in entries}
    return {e.instance_id for dc in centres for e in _listed_for(dc, reaching, carried_per_s)}


def _with_links(entries: Sequence[EntryInstance]) -> Sequence[EntryInstance]:
    """Return the instances with links to upstreams, all of them if none has any."""
    return [e for e in entries if e.reaches_upstreams] or entries


def _listed_for(
    data_centre: str, entries: Sequence[EntryInstance], carried_per_s: Mapping[str, float]
) -> list[EntryInstance]:
    local = [e for e in entries if e.data_centre == data_centre]
    if len(local) >= MIN_LOCAL_INSTANCES:
        return _select_by_capacity(local, carried_per_s.get(data_centre, 0.0))
    return _select_by_capacity(entries, sum(carried_per_s.values()))


def _select_by_capacity(
    entries: Sequence[EntryInstance], carried_per_s: float
) -> list[EntryInstance]:
    listed: list[EntryInstance] = []
    capacity = 0.0
    for entry in sorted(entries, key=_sort_key):
        if len(listed) >= MIN_LISTED_INSTANCES and capacity >= carried_per_s * CAPACITY_FACTOR:
            break
        listed.append(entry)
        capacity += entry.capacity_per_s
    return listed


def _sort_key(entry: EntryInstance) -> tuple[float, int]:
    return (-entry.capacity_per_s, xxhash.xxh64_intdigest(entry.instance_id.encode()))
