"""Select the upstream of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms
from briardyke.policy.rendezvous import rendezvous_hash
from briardyke.policy.water_filling import water_filling_level

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from briardyke.gateway.dialect import RequestMetadata
    from briardyke.gateway.upstreams import UpstreamState

# Additional load that is accepted for a cached prompt. Processing the prompt again takes tens of
# milliseconds, about as much as three more requests in a batch delay every other one.
AFFINITY_SLACK = 2.0
# A prompt with fewer parts shares only what is common to most requests of a kind.
_MIN_SHARED_PARTS = 2
# Beyond this factor, the service time depends more on the requests that an upstream happened to run
# than on its speed.
_MAX_SLOWNESS = 4.0
# An upstream that is slower than the mean by more than this factor is not selected for affinity.
_MAX_AFFINITY_SLOWNESS = 1.5
# A stated slowness far below the usual one is an error of the upstream.
_MIN_STATED_SLOWNESS = 0.25
# Load added to upstreams in other data centres, to avoid traffic between data centres.
_REMOTE_PENALTY = 0.5
# With this little, only the least loaded candidate, or one of several equal ones, is selected.
_MIN_UNREPORTED = 0.05


def choose_upstream(
    candidates: Sequence[UpstreamState],
    request: RequestMetadata,
    data_centre: str,
    random: random.Random,
    unreported: float = 0.0,
) -> UpstreamState | None:
    """Return a candidate that should respond soon.

    Many entry instances select at the same time from delayed reports. If all of them selected the
    least loaded candidate, it would become the most loaded one. So the requests that other
    instances have sent since the reports are distributed over the candidates by water-filling, and
    each candidate is drawn with a probability in proportion to the share that it would receive.

    Requests that share a prompt prefix go to one upstream, unless it is considerably more loaded
    than the candidate drawn, recently failed or slow.

    :param candidates: upstreams that could run the request.
    :param request: metadata of the request.
    :param data_centre: data centre of this instance.
    :param random: random number generator for the draw.
    :param unreported: estimated number of requests that other instances have sent to these
        candidates since their last known reports.
    :return: ``None`` when there are no candidates.
    """
    if not candidates:
        return None
    now = now_ms()
    service_times = [state.service_time_ms for state in candidates if state.service_time_ms > 0]
    mean_service_time_ms = sum(service_times) / len(service_times) if service_times else 0.0
    costs, capacities = [], []
    for state in candidates:
        penalty = 0.0 if state.row.data_centre == data_centre else _REMOTE_PENALTY
        # Number of requests that increase its cost by one.
        capacity = max(1, state.row.slots) / _slowness(state, mean_service_time_ms)
        # A spell of slowness is too short to show in the mean service time.
        capacity /= max(_MIN_STATED_SLOWNESS, state.current_slowness())
        capacity *= state.health.weight(now) ** 2
        costs.append((state.load() + 1.0 + penalty) / capacity)
        capacities.append(capacity)
    fill_level = water_filling_level(
        zip(costs, capacities, strict=True), max(_MIN_UNREPORTED, unreported)
    )
    shares = [
        max(0.0, fill_level - own_cost) * own_capacity
        for own_cost, own_capacity in zip(costs, capacities, strict=True)
    ]
    if not any(shares):  # a very small amount was lost to rounding
        shares = [float(cost == min(costs)) for cost in costs]
    best = random.choices(candidates, shares)[0]
    if len(request.prefix_ids) < _MIN_SHARED_PARTS:
        return best
    shared = ",".join(request.prefix_ids[:_MIN_SHARED_PARTS])
    preferred = max(candidates, key=lambda s: rendezvous_hash(shared, s.row.upstream_id))
    if preferred.health.weight(now) < 1.0 or preferred.load() > best.load() + AFFINITY_SLACK:
        return best
    slowness = _slowness(preferred, mean_service_time_ms) * preferred.current_slowness()
    return preferred if slowness <= _MAX_AFFINITY_SLOWNESS else best


def _slowness(state: UpstreamState, mean_service_time_ms: float) -> float:
    """Return the service time of an upstream relative to the mean of the candidates.

    The speeds of upstreams of one service differ by a factor of several, and a slow one holds its
    requests for longer. Load in proportion to speed equalizes the response times.
    """
    if state.service_time_ms <= 0 or mean_service_time_ms <= 0:
        return 1.0
    return min(
        _MAX_SLOWNESS, max(1.0 / _MAX_SLOWNESS, state.service_time_ms / mean_service_time_ms)
    )
