"""Rank requests by the priority of their account, then by that of their route."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardyke.accounts.types import ClientAccount

# Upstreams know this many classes, 0 is the most urgent.
PRIORITY_CLASSES = 10


class PriorityRanks:
    """Priority class of each pair of account and route priority.

    An account's priority goes before that of the route. If it replaced the route's, the batch
    requests of an account would be as urgent as its live ones.
    """

    def __init__(self, accounts: Iterable[ClientAccount], route_priorities: Iterable[int]) -> None:
        """Rank all pairs; without a stated account priority, routes keep their own."""
        priorities = {account.priority for account in accounts}
        levels: list[int | None] = [*sorted(p for p in priorities if p is not None)]
        self._are_stated = bool(levels)
        levels += [None] if None in priorities else []
        pairs = [(account, route) for account in levels for route in sorted(set(route_priorities))]
        last = max(1, len(pairs) - 1)
        step = min(1.0, (PRIORITY_CLASSES - 1) / last)
        self._classes = {pair: int(rank * step) for rank, pair in enumerate(pairs)}

    def priority_class(self, account_priority: int | None, route_priority: int) -> int:
        """Return the class of a request; an account without a priority ranks last."""
        if not self._are_stated:
            return route_priority
        return self._classes.get((account_priority, route_priority), PRIORITY_CLASSES - 1)
