"""Choose the upstream of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from briardyke.clock import now_ms

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from briardyke.gateway.dialect import CallerRequest
    from briardyke.gateway.tables import UpstreamState

# A shared prompt is worth some waiting: reading it anew takes tens of milliseconds, about what
# three more requests in a batch cost every other one.
AFFINITY_SLACK = 3.0
# A shared part below this position is common to most requests of a kind and binds nothing.
_AFFINITY_PARTS = 2
# An upstream in the caller's data centre saves traffic between data centres.
_REMOTE_LOAD = 0.5


def choose_upstream(
    candidates: Sequence[UpstreamState],
    request: CallerRequest,
    data_centre: str,
    random: random.Random,
) -> UpstreamState | None:
    """Return the candidate that should answer soonest.

    Load: many entry instances choose at the same time from reports that lag, so a candidate's own
    requests count in full and those of others with their age. Requests that share a prompt go to
    one upstream as long as it is hardly busier than the least busy one.

    :param candidates: upstreams that could run the request.
    :param request: what the caller asks for.
    :param data_centre: data centre of this instance.
    :return: ``None`` when there are no candidates.
    """
    if not candidates:
        return None
    now = now_ms()
    costs = {}
    for state in candidates:
        slots = max(1, state.row.slots)
        remote = 0.0 if state.row.data_centre == data_centre else _REMOTE_LOAD
        relative = (state.load() + 1.0 + remote) / slots
        weight = state.gate.weight(now)
        costs[state.row.upstream_id] = relative / weight**2 * random.uniform(1.0, 1.05)
    best = min(candidates, key=lambda s: costs[s.row.upstream_id])
    if len(request.prefix_ids) < _AFFINITY_PARTS:
        return best
    shared = ",".join(request.prefix_ids[:_AFFINITY_PARTS])
    home = max(candidates, key=lambda s: _rank(shared, s.row.upstream_id))
    if home.gate.weight(now) >= 1.0 and home.load() <= best.load() + AFFINITY_SLACK:
        return home
    return best


def _rank(shared: str, upstream_id: str) -> int:
    return int(xxhash.xxh64_intdigest(f"{shared}|{upstream_id}".encode()))
