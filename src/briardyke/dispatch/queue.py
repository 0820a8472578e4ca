"""Order the requests that wait for an engine."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

import attrs
from sortedcontainers import SortedKeyList

from briardyke.dispatch.choice import Need
from briardyke.dispatch.decayed_sums import DecayedSums

if TYPE_CHECKING:
    from collections.abc import Iterator

# Time in which the tokens that an account was served count less by a factor of e.
_USAGE_DECAY_MS = 4000.0
# Fraction of its objective after which a batch stream is as urgent as a live one.
_PROMOTION_FRACTION = 0.6
# From then on, it is ordered like a live stream with this much time left. With its own time left it
# would come after all live ones while these exceed the capacity.
_PROMOTED_DUE_MS = 500.0


@attrs.define(eq=False)
class Waiting:
    """Request that waits for an engine.

    :param need: the request.
    :param rank: priority of its account and of its route; the lowest comes first.
    :param work_ms: time to read its prompt on a typical engine.
    :param asked_ms: time at which its entry instance last asked for it.
    :param due_ms: time by which it is ordered among requests of its account and rank.
    :param promotion_ms: time from which it has the rank of live streams.
    :param is_late: whether it can no longer meet its objective.
    """

    need: Need
    rank: tuple[int, int]
    work_ms: float
    asked_ms: float
    due_ms: float = attrs.field(init=False)
    promotion_ms: float = math.inf
    is_late: bool = False

    def __attrs_post_init__(self) -> None:
        """Order it by the time left for its objective."""
        self.due_ms = self.need.objective_ms

    @property
    def account(self) -> str:
        """Return its client account."""
        return self.need.request.account


def rank_of(account_priority: int | None, route_priority: int) -> tuple[int, int]:
    """Return the rank of a request; an account without a priority has that of the route."""
    first = route_priority if account_priority is None else account_priority
    return (first, route_priority)


class _Lane:
    """Waiting requests of one account and rank."""

    def __init__(self) -> None:
        # Callers that come back after a rejection are first: they have waited already.
        self.on_time = SortedKeyList(key=lambda w: (not w.need.request.has_returned, w.due_ms))
        self.late = SortedKeyList(key=lambda w: w.need.limit_ms)

    def list_of(self, waiting: Waiting) -> SortedKeyList:
        return self.late if waiting.is_late else self.on_time


class WaitingQueue:
    """Waiting requests by rank and account.

    Within a rank, requests that can still meet their objective come first: serving late ones before
    them would make all of them late while a burst lasts. Accounts share what is left by max-min
    fairness: the next request is that of the account that was served the fewest tokens recently.
    """

    def __init__(self) -> None:
        """Start empty.

        ``usage`` has the tokens that each account was served recently.
        """
        self.usage = DecayedSums[str](_USAGE_DECAY_MS)
        self._waiting: dict[str, Waiting] = {}
        self._lanes: dict[tuple[int, int], dict[str, _Lane]] = {}
        self._promotions: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def get(self, request_id: str) -> Waiting | None:
        """Return a waiting request."""
        return self._waiting.get(request_id)

    def add(self, waiting: Waiting) -> None:
        """Add a request; a batch stream is promoted after a part of its objective."""
        request_id = waiting.need.request.request_id
        self._waiting[request_id] = waiting
        self._insert(waiting)
        if waiting.need.is_batch:
            objective_ms = waiting.need.objective_ms - waiting.need.arrived_ms
            waiting.promotion_ms = waiting.need.arrived_ms + _PROMOTION_FRACTION * objective_ms
            heapq.heappush(self._promotions, (waiting.promotion_ms, request_id))

    def remove(self, request_id: str) -> Waiting | None:
        """Remove a request."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is not None:
            self._discard(waiting)
        return waiting

    def mark_late(self, waiting: Waiting) -> None:
        """Move a request behind those that can still meet their objective."""
        self._discard(waiting)
        waiting.is_late = True
        waiting.need.objective_ms = -math.inf
        self._insert(waiting)

    def promote(self, now_ms: float, live_priority: int) -> int:
        """Give batch streams that have waited long the rank of live ones; return their number.

        :param live_priority: priority of the most urgent route.
        """
        promoted = 0
        while self._promotions and self._promotions[0][0] <= now_ms:
            waiting = self._waiting.get(heapq.heappop(self._promotions)[1])
            if waiting is None or waiting.promotion_ms > now_ms or not waiting.need.is_batch:
                continue
            promoted += 1
            self._discard(waiting)
            request = waiting.need.request
            waiting.rank = rank_of(request.account_priority, live_priority)
            waiting.need.is_batch = waiting.need.yields = False
            waiting.due_ms = now_ms + _PROMOTED_DUE_MS
            self._insert(waiting)
        return promoted

    def abandoned(self, asked_before_ms: float) -> list[str]:
        """Return the requests that their entry instances have not asked for since a time."""
        return [i for i, w in self._waiting.items() if w.asked_ms < asked_before_ms]

    def in_order(self, now_ms: float) -> Iterator[Waiting]:
        """Return all requests in the order in which they should be placed.

        Requests may be removed or marked as late meanwhile; those marked come again.
        """
        for rank in sorted(self._lanes):
            lanes = self._lanes.get(rank, {})
            yield from self._fair_order(
                {a: list(lane.on_time) for a, lane in lanes.items()}, now_ms
            )
            lanes = self._lanes.get(rank, {})
            yield from self._fair_order({a: list(lane.late) for a, lane in lanes.items()}, now_ms)

    def _fair_order(self, lists: dict[str, list[Waiting]], now_ms: float) -> Iterator[Waiting]:
        heads = [
            (self.usage.recent(account, now_ms), account, 0)
            for account, waiting in lists.items()
            if waiting
        ]
        heapq.heapify(heads)
        while heads:
            used, account, position = heads[0]
            waiting = lists[account][position]
            yield waiting
            if position + 1 < len(lists[account]):
                heapq.heapreplace(heads, (used + waiting.need.tokens, account, position + 1))
            else:
                heapq.heappop(heads)

    def _insert(self, waiting: Waiting) -> None:
        lanes = self._lanes.setdefault(waiting.rank, {})
        lane = lanes.get(waiting.account)
        if lane is None:
            lane = lanes[waiting.account] = _Lane()
        lane.list_of(waiting).add(waiting)

    def _discard(self, waiting: Waiting) -> None:
        lanes = self._lanes[waiting.rank]
        lane = lanes[waiting.account]
        lane.list_of(waiting).remove(waiting)
        if not lane.on_time and not lane.late:
            del lanes[waiting.account]
            if not lanes:
                del self._lanes[waiting.rank]
