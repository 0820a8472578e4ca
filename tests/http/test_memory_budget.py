"""Tests of the account of bytes that a process holds."""

from __future__ import annotations

import pytest
import trio
import trio.testing
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briardyke.http.memory_budget import (
    DEFAULT_LIMIT_BYTES,
    GUARANTEED_BYTES,
    MIB,
    STALL_MS,
    Kind,
    MemoryBudget,
    Share,
    limit_for_memory,
)
from briardyke.http.memory_queue import MemoryQueue

LIMIT = 16 * MIB
BODY = 4 * MIB


def body(budget: MemoryBudget, size_bytes: int = BODY, received: int = 0) -> Share:
    """Return a share whose body is being read since the time 0."""
    share = budget.open(Kind.REQUESTS)
    assert share.grow(size_bytes)
    share.begin_reading(0.0)
    share.record_progress(received, 0.0)
    return share


class TestLimit:
    """Covers the size of the budget."""

    @pytest.mark.parametrize("memory_mb", [152, 160, 296])
    def test_machines_of_the_deployments_hold_bodies_of_legal_size(self, memory_mb: float) -> None:
        limit = limit_for_memory(memory_mb)
        assert 16 * BODY < limit < (memory_mb - 64) * MIB

    def test_unknown_memory_gives_the_default(self) -> None:
        assert limit_for_memory(0.0) == DEFAULT_LIMIT_BYTES


class TestRoom:
    """Guards against large bodies that displace small requests and responses."""

    def test_large_bodies_leave_room_for_small_requests(self) -> None:
        budget = MemoryBudget(LIMIT)
        while budget.open(Kind.REQUESTS).grow(BODY):
            pass
        assert all(budget.open(Kind.REQUESTS).grow(GUARANTEED_BYTES) for _ in range(50))
        assert budget.open(Kind.RESPONSES).grow(BODY)

    def test_body_over_half_of_the_budget_is_read_alone(self) -> None:
        budget = MemoryBudget(LIMIT)
        first, second = budget.open(Kind.REQUESTS), budget.open(Kind.REQUESTS)
        assert first.grow(12 * MIB)
        assert not second.grow(BODY)
        first.release()
        assert second.grow(BODY)

    def test_requests_leave_room_for_responses(self) -> None:
        budget = MemoryBudget(LIMIT)
        while budget.open(Kind.REQUESTS).grow(GUARANTEED_BYTES):
            pass
        assert budget.open(Kind.RESPONSES).grow(GUARANTEED_BYTES)


class TestDisplacement:
    """Covers who gives way when memory is short."""

    def test_stopped_body_gives_way_and_one_that_arrives_does_not(self) -> None:
        budget = MemoryBudget(LIMIT)
        stopped, arriving = body(budget, received=BODY - 10), body(budget, BODY - 1)
        arriving.record_progress(BODY // 2, STALL_MS + 1.0)
        new = budget.open(Kind.REQUESTS)
        assert budget.displace(new, BODY, STALL_MS / 2) is None
        assert budget.displace(new, BODY, STALL_MS + 2.0) is stopped
        assert budget.displace(new, BODY, STALL_MS + 2.0) is None  # one is on its way out

    def test_largest_gives_way_first_and_then_the_one_with_least_progress(self) -> None:
        budget = MemoryBudget(LIMIT)
        small, few, many = body(budget, MIB), body(budget, 2 * MIB, 1), body(budget, 2 * MIB, 9)
        new = budget.open(Kind.REQUESTS)
        found = [budget.displace(new, 12 * MIB, 1e6) for _ in range(3)]
        assert found == [few, many, small]

    def test_body_that_drips_is_slow(self) -> None:
        share = body(MemoryBudget(LIMIT))
        for time_ms in range(0, 10_000, 500):
            share.record_progress(1, float(time_ms))
        assert share.is_slow(9_500.0)

    def test_request_that_is_answered_never_gives_way(self) -> None:
        budget = MemoryBudget(LIMIT)
        body(budget).is_reading = False
        assert budget.displace(budget.open(Kind.CONNECTIONS), 1024, 1e6) is None


class TestFigures:
    """Covers what an operator sees of the account."""

    def test_bytes_by_kind_refusals_and_connections_by_age(self) -> None:
        budget = MemoryBudget(LIMIT)
        for opened_ms in (0.0, 95_000.0, 99_500.0):
            share = budget.open(Kind.CONNECTIONS)
            assert share.grow(1024)
            share.started_ms = opened_ms
        budget.count_refusal("no_memory")
        figures = budget.figures(100_000.0)
        assert (3072.0, {"kind": "connections"}) in figures["memory_held_bytes"]
        assert figures["memory_refusals_total"] == [(1.0, {"reason": "no_memory"})]
        counted = {labels["age_s_up_to"]: value for value, labels in figures["caller_connections"]}
        assert counted == {"1": 1.0, "10": 1.0, "60": 0.0, "+Inf": 1.0}


@settings(max_examples=200, stateful_step_count=40, deadline=None)
class BudgetMachine(RuleBasedStateMachine):
    """Grants, ends and displacements in any order.

    Guards against bytes that are counted twice, never returned, or granted beyond the limit.
    """

    def __init__(self) -> None:
        super().__init__()
        self.budget = MemoryBudget(LIMIT)
        self.shares: list[Share] = []
        self.displaced: list[int] = []
        self.now_ms = 0.0

    @rule(kind=st.sampled_from(Kind))
    def open(self, kind: Kind) -> None:
        number = len(self.shares)
        self.shares.append(self.budget.open(kind, lambda: self.displaced.append(number)))

    @rule(data=st.data(), size=st.integers(0, 2 * LIMIT))
    def grow(self, data: st.DataObject, size: int) -> None:
        if self.shares:
            share = data.draw(st.sampled_from(self.shares))
            before = share.held_bytes
            is_granted = share.grow(size)
            assert share.held_bytes == before + (size if is_granted else 0)

    @rule(data=st.data(), size=st.integers(0, LIMIT))
    def shrink(self, data: st.DataObject, size: int) -> None:
        if self.shares:
            data.draw(st.sampled_from(self.shares)).shrink(size)

    @rule(data=st.data())
    def release(self, data: st.DataObject) -> None:
        if self.shares:
            data.draw(st.sampled_from(self.shares)).release()

    @rule(data=st.data())
    def begin(self, data: st.DataObject) -> None:
        readable = [share for share in self.shares if share.kind is Kind.REQUESTS]
        if readable:
            data.draw(st.sampled_from(readable)).begin_reading(self.now_ms)

    @rule(data=st.data(), size=st.integers(1, LIMIT), later_ms=st.floats(0, 3000))
    def displace(self, data: st.DataObject, size: int, later_ms: float) -> None:
        self.now_ms += later_ms
        if self.shares:
            needy = data.draw(st.sampled_from(self.shares))
            found = self.budget.displace(needy, size, self.now_ms)
            assert found is None or (found.is_reading and found is not needy)

    @invariant()
    def account_is_right(self) -> None:
        assert 0 <= self.budget.held_bytes <= LIMIT
        for kind in Kind:
            held = sum(share.held_bytes for share in self.shares if share.kind is kind)
            assert self.budget.held[kind] == held
        assert len(self.displaced) == len(set(self.displaced))

    def teardown(self) -> None:
        for share in self.shares:
            share.release()
        assert self.budget.held_bytes == 0
        full = self.budget.open(Kind.RESPONSES)
        assert full.grow(LIMIT // 4)  # nothing is left in the parts for large ones either


TestAnyOrder = BudgetMachine.TestCase


class TestOrderOfWaiting:
    """Covers requests that wait for room."""

    async def test_usual_requests_do_not_wait_behind_a_step_of_a_large_one(self) -> None:
        """Guards against a large body that blocks every new connection with one byte."""
        budget = MemoryBudget(LIMIT)
        while budget.open(Kind.REQUESTS).grow(BODY):
            pass
        large = budget.open(Kind.REQUESTS)
        assert large.grow(GUARANTEED_BYTES)
        queue = MemoryQueue(budget)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(queue.reserve, large, 1, float("inf"))
            await trio.testing.wait_all_tasks_blocked()
            with trio.fail_after(1.0):
                assert await queue.reserve(budget.open(Kind.CONNECTIONS), 32 * 1024, 1.0)
            nursery.cancel_scope.cancel()
