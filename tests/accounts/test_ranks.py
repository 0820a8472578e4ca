"""Tests for the priority classes of accounts and routes."""

from __future__ import annotations

from briardyke.accounts.ranks import PriorityRanks
from briardyke.accounts.types import ClientAccount


def account(priority: int | None) -> ClientAccount:
    return ClientAccount("a", (), priority)


class TestPriorityRanks:
    """Covers the order of requests."""

    def test_account_goes_before_route_and_route_decides_within_an_account(self) -> None:
        ranks = PriorityRanks([account(0), account(1)], [2, 0, 1])
        pairs = [(0, 0), (0, 1), (0, 2), (1, 0), (1, 1), (1, 2)]
        assert [ranks.priority_class(*pair) for pair in pairs] == [0, 1, 2, 3, 4, 5]

    def test_accounts_of_one_priority_leave_the_order_of_routes(self) -> None:
        ranks = PriorityRanks([account(1), account(1)], [0, 2])
        assert ranks.priority_class(1, 0) < ranks.priority_class(1, 2)

    def test_routes_keep_their_priority_without_stated_account_priorities(self) -> None:
        ranks = PriorityRanks([account(None)], [0, 7])
        assert ranks.priority_class(None, 7) == 7

    def test_many_priorities_stay_within_the_classes_and_in_order(self) -> None:
        ranks = PriorityRanks([account(p) for p in range(30)], range(4))
        classes = [ranks.priority_class(p, r) for p in range(30) for r in range(4)]
        assert classes == sorted(classes)
        assert (classes[0], classes[-1]) == (0, 9)

    def test_account_without_priority_ranks_last(self) -> None:
        ranks = PriorityRanks([account(0), account(3), account(None)], [1])
        assert ranks.priority_class(None, 1) > ranks.priority_class(3, 1)
