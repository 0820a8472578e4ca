"""Tests of the order of waiting requests."""

from __future__ import annotations

from test_dispatcher import request

from briardyke.dispatch.choice import Need
from briardyke.dispatch.queue import Waiting, WaitingQueue, rank_of


def waiting(request_id: str, now_ms: float = 0.0, is_batch: bool = False, **changes) -> Waiting:
    asked = request(request_id, "a", **changes)
    rank = rank_of(asked.account_priority, asked.route_priority)
    return Waiting(Need.of(asked, now_ms, is_batch), rank, 50.0, now_ms)


def order(queue: WaitingQueue, now_ms: float = 0.0) -> list[str]:
    return [w.need.request.request_id for w in queue.in_order(now_ms)]


class TestOrder:
    def test_priority_of_the_account_precedes_that_of_the_route_and_the_time_left(self):
        """Guards against an order by time left across priorities."""
        queue = WaitingQueue()
        queue.add(waiting("late", account_priority=1, route_priority=0))
        queue.add(waiting("route", account_priority=0, route_priority=1))
        queue.add(waiting("long", account_priority=0, first_event_objective_ms=900.0))
        queue.add(waiting("short", account_priority=0, first_event_objective_ms=400.0))
        assert order(queue) == ["short", "long", "route", "late"]

    def test_returned_callers_precede_new_ones(self):
        """Guards against callers that are rejected again and again."""
        queue = WaitingQueue()
        queue.add(waiting("new", first_event_objective_ms=300.0))
        queue.add(waiting("returned", has_returned=True))
        assert order(queue) == ["returned", "new"]

    def test_accounts_alternate_by_the_tokens_that_they_were_served(self):
        """Guards against an account that takes the capacity by sending more."""
        queue = WaitingQueue()
        for number in range(4):
            queue.add(waiting(f"hot-{number}", account="hot"))
        queue.add(waiting("other-0", account="other"))
        queue.usage.add("hot", 5_000.0, 0.0)
        assert order(queue)[0] == "other-0"
        queue.usage.add("other", 7_000.0, 0.0)
        assert order(queue)[:3] == ["hot-0", "hot-1", "other-0"]
        assert order(queue, 60_000.0)[1] == "other-0"  # usage is forgotten

    def test_requests_that_are_late_anyway_come_last(self):
        """Guards against a burst after which every stream is a little late."""
        queue = WaitingQueue()
        first = waiting("first")
        queue.add(first)
        queue.add(waiting("second", first_event_objective_ms=900.0))
        queue.mark_late(first)
        assert order(queue) == ["second", "first"]

    def test_batch_stream_gets_the_rank_of_live_ones_in_time(self):
        """Guards against batch streams that starve under steady live load."""
        queue = WaitingQueue()
        batch = {"route_priority": 3, "first_event_objective_ms": 10_000.0}
        queue.add(waiting("batch", is_batch=True, **batch))
        queue.add(waiting("live", first_event_objective_ms=30_000.0))
        assert queue.promote(5_900.0, 0) == 0 and order(queue) == ["live", "batch"]
        assert queue.promote(6_000.0, 0) == 1 and order(queue) == ["batch", "live"]

    def test_removed_request_leaves_nothing(self):
        """Guards against requests that stay in a lane after their end."""
        queue = WaitingQueue()
        queue.add(waiting("1", is_batch=True, first_event_objective_ms=10_000.0))
        assert queue.remove("1") is not None and queue.remove("1") is None
        assert order(queue) == [] and queue.promote(9_000.0, 0) == 0
