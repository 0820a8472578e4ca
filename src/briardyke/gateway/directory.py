"""Choose the entry instances that callers are told of."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from briardyke.fleet.records import EntryInstance

# Callers leave out addresses that fail them; with two near ones they need no far one meanwhile.
LEAST_NEAR = 2
MAX_ADDRESSES = 64
# Instances that callers of one data centre are told of at least, so that a crash of some of them
# leaves others at once.
LEAST_LISTED = 5
# Capacity that is listed, in multiples of what is carried: traffic of one kind doubles or triples
# within a second.
CAPACITY_FACTOR = 4.0
# Processor time of one request on an entry instance, by docs/platform-rounds.md.
REQUEST_CPU_S = 0.010
# A prompt and the events of an answer, on the way to and from an upstream.
REQUEST_BYTES = 12_000.0


def capacity_per_s(cores: float, link_mbps: float) -> float:
    """Return the requests a second that an instance could carry.

    :param cores: processor time that it may use in a second, in seconds.
    :param link_mbps: bandwidth of its link, 0 when unknown.
    """
    by_processor = cores / REQUEST_CPU_S
    by_link = link_mbps * 1e6 / 8.0 / REQUEST_BYTES
    return min(by_processor, by_link) if link_mbps > 0 else by_processor


def addresses_for(
    data_centre: str, entries: Sequence[EntryInstance], carried_per_s: Mapping[str, float]
) -> list[str]:
    """Return addresses of ready instances, near ones only where they are enough.

    Load: traffic between data centres costs, but a data centre with a single instance would lose
    all its callers' connections with it. Requests that are thinly spread over very many instances
    find no kept connection to their upstream, and each instance knows little of the load; so only
    as many are named as the traffic needs, the largest first.

    :param data_centre: data centre of the caller, or empty when it does not say.
    :param entries: ready instances.
    :param carried_per_s: requests a second by data centre of the instances that carry them.
    """
    return sorted(e.address for e in _listed(data_centre, entries, carried_per_s))[:MAX_ADDRESSES]


def listed_instances(
    entries: Sequence[EntryInstance], carried_per_s: Mapping[str, float]
) -> set[str]:
    """Return the ids of all instances that callers of some data centre are told of."""
    centres = {e.data_centre for e in entries}
    return {e.instance_id for dc in centres for e in _listed(dc, entries, carried_per_s)}


def _listed(
    data_centre: str, entries: Sequence[EntryInstance], carried_per_s: Mapping[str, float]
) -> list[EntryInstance]:
    near = [e for e in entries if e.data_centre == data_centre]
    if len(near) >= LEAST_NEAR:
        return _enough(near, carried_per_s.get(data_centre, 0.0))
    return _enough(entries, sum(carried_per_s.values()))


def _enough(entries: Sequence[EntryInstance], carried_per_s: float) -> list[EntryInstance]:
    listed: list[EntryInstance] = []
    capacity = 0.0
    for entry in sorted(entries, key=_rank):
        if len(listed) >= LEAST_LISTED and capacity >= carried_per_s * CAPACITY_FACTOR:
            break
        listed.append(entry)
        capacity += entry.capacity_per_s
    return listed


def _rank(entry: EntryInstance) -> tuple[float, int]:
    return (-entry.capacity_per_s, xxhash.xxh64_intdigest(entry.instance_id.encode()))
