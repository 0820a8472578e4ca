"""Select the upstream of an attempt, waiting while the model loads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err, Result

from briardyke.clock import now_ms, sleep_ms
from briardyke.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from briardyke.entry.interfaces import RelayRoutingTable
    from briardyke.entry.relay_jobs import RelayPolicy
    from briardyke.policy.types import RouteRequest


async def select_upstream(
    table: RelayRoutingTable,
    policy: RelayPolicy,
    route: RouteRequest,
    tried: set[str],
    deadline_ms: float,
) -> Result[str, Failure]:
    """Return the upstream for the next attempt.

    :param table: the routing table.
    :param policy: delays between two selections.
    :param route: what the request needs.
    :param tried: upstreams that failed; cleared when no other upstream is left.
    :param deadline_ms: latest time to dispatch, on the runtime's clock.
    :return: the upstream's id; ``deadline_unmeetable`` when the deadline has passed; or the
        table's failure, ``model_loading`` after waiting until the deadline.
    """
    loading_failure: Failure | None = None
    while (now := now_ms()) < deadline_ms:
        excluded = route.excluded | tried
        chosen = table.choose(attrs.evolve(route, excluded=excluded), now)
        if chosen.is_ok():
            return chosen
        failure = chosen.unwrap_err()
        if failure.kind is ErrorKind.MODEL_LOADING:
            loading_failure = failure
            delay_ms = policy.loading_poll_ms
        elif tried:
            delay_ms = policy.retry_delay_ms
        else:
            return chosen
        tried.clear()
        await sleep_ms(min(delay_ms, deadline_ms - now))
    passed = Failure(ErrorKind.DEADLINE_UNMEETABLE, "deadline passed before dispatch")
    return Err(loading_failure or passed)
