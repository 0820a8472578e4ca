"""Choose the upstream of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from briardyke.clock import now_ms
from briardyke.policy.water_filling import water_filling_level

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from briardyke.gateway.dialect import RequestMetadata
    from briardyke.gateway.tables import UpstreamState

# A shared prompt is worth some waiting: reading it anew takes tens of milliseconds, about what
# three more requests in a batch cost every other one.
AFFINITY_SLACK = 2.0
# A shared part below this position is common to most requests of a kind and binds nothing.
_AFFINITY_PARTS = 2
# Beyond this the pace says more about what an upstream happened to run than about its speed.
_MAX_SLOWNESS = 4.0
# An upstream this much slower than the mean is no home for a shared prompt.
_AFFINITY_SLOWNESS = 1.5
# An upstream in the caller's data centre saves traffic between data centres.
_REMOTE_LOAD = 0.5
# With less than this the least busy candidate alone is drawn, or one of those that are as idle.
_LEAST_UNSEEN = 0.05


def choose_upstream(
    candidates: Sequence[UpstreamState],
    request: RequestMetadata,
    data_centre: str,
    random: random.Random,
    unseen: float = 0.0,
) -> UpstreamState | None:
    """Return a candidate that should answer soon.

    Load: many entry instances choose at the same time from reports that lag. If all of them took
    the one that seems least busy, it would be the busiest a moment later. So the requests that
    others have sent since the reports are thought of as poured over the candidates, and each
    candidate is drawn with the part that it would get.

    Requests that share a prompt go to one upstream as long as it is hardly busier than the least
    busy one.

    :param candidates: upstreams that could run the request.
    :param request: what the caller asks for.
    :param data_centre: data centre of this instance.
    :param random: source of the draw.
    :param unseen: requests that other instances have probably sent to these candidates since the
        reports that are known here.
    :return: ``None`` when there are no candidates.
    """
    if not candidates:
        return None
    now = now_ms()
    paces = [state.pace_ms for state in candidates if state.pace_ms > 0]
    mean_pace_ms = sum(paces) / len(paces) if paces else 0.0
    costs, widths = [], []
    for state in candidates:
        remote = 0.0 if state.row.data_centre == data_centre else _REMOTE_LOAD
        # Requests that raise its cost by one unit.
        width = max(1, state.row.slots) / _slowness(state, mean_pace_ms)
        width *= state.gate.weight(now) ** 2
        costs.append((state.load() + 1.0 + remote) / width)
        widths.append(width)
    level = water_filling_level(zip(costs, widths, strict=True), max(_LEAST_UNSEEN, unseen))
    parts = [max(0.0, level - c) * w for c, w in zip(costs, widths, strict=True)]
    if not any(parts):  # rounding has swallowed a very small amount
        parts = [float(cost == min(costs)) for cost in costs]
    best = random.choices(candidates, parts)[0]
    if len(request.prefix_ids) < _AFFINITY_PARTS:
        return best
    shared = ",".join(request.prefix_ids[:_AFFINITY_PARTS])
    home = max(candidates, key=lambda s: _rank(shared, s.row.upstream_id))
    if home.gate.weight(now) < 1.0 or home.load() > best.load() + AFFINITY_SLACK:
        return best
    return home if _slowness(home, mean_pace_ms) <= _AFFINITY_SLOWNESS else best


def _slowness(state: UpstreamState, mean_pace_ms: float) -> float:
    """Return how slow an upstream is against the mean of the candidates.

    Load: upstreams of one service differ in speed several times over, and a slow one holds its
    requests longer, so load in proportion to speed keeps the times to an answer alike.
    """
    if state.pace_ms <= 0 or mean_pace_ms <= 0:
        return 1.0
    return min(_MAX_SLOWNESS, max(1.0 / _MAX_SLOWNESS, state.pace_ms / mean_pace_ms))


def _rank(shared: str, upstream_id: str) -> int:
    return int(xxhash.xxh64_intdigest(f"{shared}|{upstream_id}".encode()))
