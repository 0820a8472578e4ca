"""Check that leased shares of a limit never add up to more than the limit."""

from __future__ import annotations

from collections import deque

import attrs
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from briardyke.agreed.configuration import Limit
from briardyke.policy.caller_limits import CallerLimit
from briardyke.policy.fairness import max_min_shares, round_to_total
from briardyke.policy.limits import RequestLimiter
from briardyke.policy.share_bounds import ShareBound
from briardyke.policy.shares import ShareAllocator
from briardyke.policy.types import LimitRequest, Permit
from briardyke.wire.messages import LimitShare, ShareDemand

LEASE_MS = 6000.0
INSTANCES = ("i0", "i1", "i2", "i3")
CALLERS = ("x", "y")
LOAD = st.sampled_from((0.0, 1.0, 4.0, 30.0))


def limit_of(units: int) -> dict[str, Limit]:
    return {"l": Limit("*", "*", "*", float(units), units, units * 100.0)}


# A relay repeats the last report of an instance for this long.
RELAY_REPEAT_MS = 3000.0


@attrs.frozen
class Report:
    """Part of an instance status that concerns shares."""

    number: int
    sent_ms: float
    held: list[LimitShare]
    demand: list[ShareDemand]


class EntryModel:
    """Model of an entry process: a limiter, its lease, and replies in transit."""

    def __init__(self) -> None:
        self.limiter = RequestLimiter()
        self.expires_ms = float("-inf")
        # A relay can forward a status before the reply to the previous one has arrived.
        self.pending: deque[tuple[float, list[LimitShare], dict[str, Limit]]] = deque()
        self.demand: dict[str, float] = {}
        self.last_report: Report | None = None
        self.open: list[tuple[Permit, bool]] = []

    def share(self, caller: str) -> LimitShare | None:
        held = {share.caller: share for share in self.limiter._shares.values()}
        return held.get(caller, held.get("*"))


class SharesMachine(RuleBasedStateMachine):
    """Guards against an instance using a share that was also granted to another instance."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100_000.0
        self.limits = limit_of(10)
        self.history: deque[tuple[float, int]] = deque([(float("inf"), 10)])
        self.allocator = ShareAllocator(LEASE_MS, 0.0)
        self.leader_since = 0.0
        self.reported: dict[str, int] = {}
        self.last_number = 0
        self.entries = {name: EntryModel() for name in INSTANCES}

    @rule(ms=st.sampled_from((1.0, 40.0, 700.0, 2500.0, 5990.0, 6001.0)))
    def advance(self, ms: float) -> None:
        self.now += ms
        for entry in self.entries.values():
            if self.now >= entry.expires_ms:
                # Requests that outlive the lease of a partitioned instance may exceed the limit.
                entry.open = [(permit, True) for permit, _ in entry.open]

    @rule(name=st.sampled_from(INSTANCES), caller=st.sampled_from(CALLERS), load=LOAD)
    def change_demand(self, name: str, caller: str, load: float) -> None:
        self.entries[name].demand[caller] = load

    @rule(name=st.sampled_from(INSTANCES))
    def send(self, name: str) -> None:
        entry = self.entries[name]
        demand = [
            ShareDemand("l", c, load, load, load * 100.0)
            for c, load in entry.demand.items()
            if load
        ]
        self.last_number += 1
        held = entry.limiter.held_shares(self.now)
        entry.last_report = Report(self.last_number, self.now, held, demand)
        self.answer(name, entry.last_report)

    @rule(name=st.sampled_from(INSTANCES))
    def repeat_report(self, name: str) -> None:
        report = self.entries[name].last_report
        if report is not None and self.now - report.sent_ms < RELAY_REPEAT_MS:
            self.answer(name, report)

    def answer(self, name: str, report: Report) -> None:
        """Handle a status from a relay as the leader does."""
        if report.number > self.reported.get(name, 0):
            self.reported[name] = report.number
            self.allocator.report(name, report.held, report.demand, self.now)
        self.allocator.extend_lease(name, self.now)
        shares = self.allocator.allocate(self.limits, self.now, 1, [name])[name]
        self.entries[name].pending.append((self.now, shares, self.limits))

    @rule(name=st.sampled_from(INSTANCES))
    def deliver(self, name: str) -> None:
        entry = self.entries[name]
        if entry.pending:
            sent_ms, shares, limits = entry.pending.popleft()
            entry.expires_ms = sent_ms + LEASE_MS
            entry.limiter.apply(limits, shares, entry.expires_ms)
            if not limits:
                # Requests that run while a limit is removed and set again are not counted.
                entry.open = [(permit, True) for permit, _ in entry.open]
            self.advance(0.0)

    @rule(name=st.sampled_from(INSTANCES), caller=st.sampled_from(CALLERS))
    def move_demand(self, name: str, caller: str) -> None:
        for other, entry in self.entries.items():
            entry.demand[caller] = 30.0 if other == name else 0.0
        self.sync_all()
        self.sync_all()

    @rule()
    def sync_all(self) -> None:
        for name in INSTANCES:
            self.send(name)
            self.deliver(name)

    @rule(name=st.sampled_from(INSTANCES))
    def lose_reply(self, name: str) -> None:
        if self.entries[name].pending:
            self.entries[name].pending.pop()

    @rule(name=st.sampled_from(INSTANCES))
    def restart(self, name: str) -> None:
        self.entries[name] = EntryModel()

    @rule()
    def change_leader(self) -> None:
        self.allocator = ShareAllocator(LEASE_MS, self.now)
        self.leader_since = self.now
        self.reported = {}

    @rule(units=st.integers(1, 14))
    def change_limit(self, units: int) -> None:
        self.history[-1] = (self.now, self.history[-1][1])
        self.history.append((float("inf"), units))
        self.limits = limit_of(units)

    @rule()
    def remove_limit(self) -> None:
        # The shares of a removed limit stay valid while their lease runs, so its value stays in the
        # history until it is set again.
        self.limits = {}

    @rule(name=st.sampled_from(INSTANCES), caller=st.sampled_from(CALLERS))
    def admit(self, name: str, caller: str) -> None:
        entry = self.entries[name]
        result = entry.limiter.admit(LimitRequest(caller, "m", "", 10), self.now)
        if result.is_ok():
            permit = result.unwrap()
            # An instance whose version has no limit is not bound by a share lease.
            assert self.now < entry.expires_ms or not permit.limit_ids
            entry.open.append((permit, not permit.limit_ids))

    @precondition(lambda self: any(entry.open for entry in self.entries.values()))
    @rule()
    def release_oldest(self) -> None:
        for entry in self.entries.values():
            if entry.open:
                permit, _ = entry.open.pop(0)
                entry.limiter.release(permit, 5, self.now)

    @invariant()
    def shares_stay_within_the_limit(self) -> None:
        # A lowered limit holds at every instance only once older leases have ended and, when the
        # leader changed meanwhile, once the first lease of the new leader has ended.
        since = self.now - LEASE_MS
        if since < self.leader_since:
            since = self.leader_since - LEASE_MS
        while self.history[0][0] <= since:
            self.history.popleft()
        allowed = max(units for _, units in self.history)
        for caller in (*CALLERS, "unseen"):
            rate = tokens = concurrent = 0.0
            for entry in self.entries.values():
                share = entry.share(caller)
                if share is None or self.now >= entry.expires_ms:
                    continue
                values = attrs.astuple(share)[3:]
                assert all(value is None or value >= 0.0 for value in values)
                rate += share.requests_per_second or 0.0
                tokens += share.tokens_per_second or 0.0
                running = [p for p, late in entry.open if p.request.caller == caller and not late]
                concurrent += max(share.concurrent_requests or 0, len(running))
            assert rate <= allowed * (1 + 1e-9)
            assert tokens <= allowed * 100.0 * (1 + 1e-9)
            assert concurrent <= allowed


SharesMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestSharesMachine = SharesMachine.TestCase


class Leader:
    """Drives an allocator and instances that receive every reply."""

    def __init__(self, became_ms: float = -10_000.0) -> None:
        self.allocator = ShareAllocator(LEASE_MS, became_ms)
        self.held: dict[str, list[LimitShare]] = {}

    def sync(
        self, limits: dict[str, Limit], loads: dict[str, float], now_ms: float
    ) -> dict[str, LimitShare]:
        for name, load in loads.items():
            demand = [ShareDemand("l", "x", load, load, load)] if load else []
            self.allocator.report(name, self.held.get(name, []), demand, now_ms)
        self.held.update(self.allocator.allocate(limits, now_ms))
        return {
            name: next((s for s in self.held[name] if s.caller == "x"), self.held[name][0])
            for name in loads
        }


class TestShareAllocator:
    """Guards against unfair, late or fractional shares."""

    limits = {"l": Limit("*", "*", "*", 12.0, 12)}

    def test_shares_follow_demand_by_max_min(self) -> None:
        """Guards against a small demand being cut because another instance wants everything."""
        leader = Leader()
        loads = {"a": 2.0, "b": 50.0, "c": 0.0}
        for step in range(4):
            shares = leader.sync(self.limits, loads, step * 100.0)
        assert shares["a"].requests_per_second >= 2.0
        assert shares["b"].requests_per_second >= 8.5
        assert shares["c"].requests_per_second > 0.0
        assert shares["b"].concurrent_requests >= 8 and shares["c"].concurrent_requests >= 1
        assert sum(s.concurrent_requests for s in shares.values()) == 12

    def test_a_silent_instance_keeps_its_share_for_one_lease_only(self) -> None:
        """Guards against reassigning a share that is in use and against never reassigning it."""
        leader = Leader()
        leader.sync(self.limits, {"a": 50.0, "b": 0.0}, 0.0)
        held = leader.sync(self.limits, {"a": 50.0, "b": 0.0}, 100.0)["a"].requests_per_second
        for now_ms in range(200, 6100, 1000):
            share = leader.sync(self.limits, {"b": 50.0}, float(now_ms))["b"]
            assert share.requests_per_second <= 12.0 - held + 1e-9
        assert leader.sync(self.limits, {"b": 50.0}, 6100.0)["b"].requests_per_second > 11.9

    def test_a_single_grant_counts_for_a_whole_lease(self) -> None:
        """Guards against reassigning a grant whose receipt was never reported."""
        leader = Leader()
        leader.sync(self.limits, {"a": 50.0}, 0.0)
        assert leader.sync(self.limits, {"b": 50.0}, 5990.0)["b"].requests_per_second == 0.0

    def test_a_caller_without_demand_returns_to_default_shares_safely(self) -> None:
        """Guards against default shares overlapping a share that one caller still holds."""
        leader = Leader()
        for now_ms in (0.0, 100.0, 200.0):
            leader.sync(self.limits, {"a": 50.0, "b": 0.0}, now_ms)
        held = next(s for s in leader.held["a"] if s.caller == "x").requests_per_second
        leader.allocator.report("a", leader.held["a"], [], 300.0)
        share = leader.sync(self.limits, {"b": 0.0}, 300.0)["b"].requests_per_second
        assert held > 11.0 and share <= 12.0 - held + 1e-9

    def test_a_report_does_not_rule_out_grants_that_are_in_transit(self) -> None:
        """Guards against forgetting a grant because older reports arrive after it."""
        bound = ShareBound()
        bound.record_report(5.0, 0.0)
        bound.record_grant(8.0, 10.0)
        bound.record_grant(3.0, 10.0)
        bound.record_report(5.0, 0.0)
        assert bound.upper_bound() == 8.0
        bound.record_report(3.0, 0.0)
        assert bound.upper_bound() == 3.0

    def test_an_expired_share_is_not_confirmed_by_a_new_leader(self) -> None:
        """Guards against a returning instance reclaiming a share that others have held since."""
        limiter = RequestLimiter()
        limiter.apply(self.limits, [LimitShare("l", "*", 1, 12.0, 12, None)], 6000.0)
        allocator = ShareAllocator(LEASE_MS, 7000.0)
        allocator.report("a", limiter.held_shares(8000.0), [], 8000.0)
        assert allocator.allocate(self.limits, 8000.0)["a"][0].requests_per_second == 0.0

    def test_a_new_leader_only_confirms_for_one_lease(self) -> None:
        """Guards against a new leader granting what the previous one granted to others."""
        leader = Leader()
        leader.sync(self.limits, {"a": 50.0}, 0.0)
        leader.allocator = ShareAllocator(LEASE_MS, 1000.0)
        assert leader.sync(self.limits, {"a": 50.0}, 1500.0)["a"].requests_per_second == 12.0
        assert leader.sync(self.limits, {"b": 50.0}, 6900.0)["b"].requests_per_second == 0.0
        assert leader.sync(self.limits, {"b": 50.0}, 7600.0)["b"].requests_per_second > 11.9

    def test_a_lowered_limit_shrinks_shares_in_the_next_sync(self) -> None:
        """Guards against an old, higher limit staying in force."""
        leader = Leader()
        leader.sync(self.limits, {"a": 50.0, "b": 50.0}, 0.0)
        lowered = {"l": Limit("*", "*", "*", 4.0, 3)}
        shares = leader.sync(lowered, {"a": 50.0, "b": 50.0}, 100.0).values()
        assert sum(s.requests_per_second for s in shares) <= 4.0
        assert sum(s.concurrent_requests for s in shares) <= 3

    def test_a_new_leader_reduces_confirmed_shares_to_a_lowered_limit(self) -> None:
        """Guards against confirming one by one more than the lowered limit allows together."""
        held = [LimitShare("l", "*", 1, 4.0, 4, None)]
        lowered = {"l": Limit("*", "*", "*", 4.0, 4)}
        allocator = ShareAllocator(LEASE_MS, 0.0)
        rate = concurrent = 0.0
        for now_ms, name in enumerate("abc"):
            allocator.report(name, held, [], float(now_ms))
            (share,) = allocator.allocate(lowered, float(now_ms))[name]
            rate += share.requests_per_second
            concurrent += share.concurrent_requests
        assert rate <= 4.0 and concurrent <= 4

    def test_a_reply_to_a_repeated_report_extends_the_lease(self) -> None:
        """Guards against reassigning a share whose lease a relay has extended."""
        leader = Leader()
        held = leader.sync(self.limits, {"a": 50.0}, 0.0)["a"].requests_per_second
        leader.allocator.extend_lease("a", 5000.0)
        for now_ms in (7000.0, 7100.0):
            share = leader.sync(self.limits, {"b": 50.0}, now_ms)["b"].requests_per_second
            assert held > 11.0 and share <= 12.0 - held + 1e-9

    def test_a_new_instance_does_not_use_its_default_share_for_busy_callers(self) -> None:
        """Guards against a default share on top of shares that have not been divided again yet."""
        callers = [f"c{number:02}" for number in range(30)]
        demand = [ShareDemand("l", caller, 50.0, 50.0, 0.0) for caller in callers]
        allocator = ShareAllocator(LEASE_MS, -10_000.0)
        held: list[LimitShare] = []
        for now_ms in (0.0, 100.0, 200.0):
            allocator.report("a", held, demand, now_ms)
            held = allocator.allocate(self.limits, now_ms)["a"]
        for now_ms in (300.0, 400.0, 500.0):
            allocator.report("a", held, demand, now_ms)
            allocator.report("b", [], [], now_ms)
            shares = allocator.allocate(self.limits, now_ms)
            # The first instance may use its previous shares until the reply arrives.
            given = {share.caller: share.requests_per_second for share in held}
            held = shares["a"]
            new = {share.caller: share.requests_per_second for share in shares["b"]}
            for caller in callers:
                assert new.get(caller, new["*"]) <= 12.0 - given[caller] + 1e-9
            if now_ms == 400.0:
                assert new["*"] > 5.0

    def test_a_removed_limit_counts_for_a_whole_lease(self) -> None:
        """Guards against granting twice when a limit is removed and set again."""
        leader = Leader()
        held = leader.sync(self.limits, {"a": 50.0}, 0.0)["a"].requests_per_second
        leader.allocator.allocate({}, 100.0)
        leader.allocator.allocate({}, 200.0)
        share = leader.sync(self.limits, {"b": 50.0}, 300.0)["b"].requests_per_second
        assert held > 11.0 and share <= 12.0 - held + 1e-9

    def test_a_limit_that_is_narrowed_to_one_caller_keeps_its_shares(self) -> None:
        """Guards against dropping the only caller of a limit that once applied to each caller."""
        leader = Leader()
        leader.sync(self.limits, {"a": 50.0}, 0.0)
        leader.sync(self.limits, {"a": 0.0}, 100.0)
        own = {"l": Limit("x", "*", "*", 12.0, 12)}
        for now_ms in (200.0, 300.0, 400.0):
            assert leader.sync(own, {"a": 0.0}, now_ms)["a"].caller == "x"
            assert [share.caller for share in leader.held["a"]] == ["x"]

    def test_a_reported_default_share_counts_for_every_caller(self) -> None:
        """Guards against granting a caller what another instance lets it use by default."""
        allocator = ShareAllocator(LEASE_MS, 0.0)
        demand = [ShareDemand("l", "x", 50.0, 50.0, 0.0)]
        allocator.report("b", [], demand, 10.0)
        allocator.allocate(self.limits, 10.0)
        allocator.report("a", [LimitShare("l", "*", 1, 12.0, 12, None)], [], 20.0)
        for now_ms in (30.0, 3000.0, 5900.0):
            allocator.extend_lease("a", now_ms)
            allocator.extend_lease("b", now_ms)
        shares = allocator.allocate(self.limits, 6100.0)["b"]
        assert [s.requests_per_second for s in shares if s.caller == "x"] == [0.0]

    def test_a_report_from_before_the_first_grant_rules_out_no_grant(self) -> None:
        """Guards against reading a report without a share as the receipt of a later zero grant."""
        limit_state = CallerLimit()
        limit_state.record_grants("concurrent_requests", {"a": 5.0}, 10.0)
        limit_state.record_grants("concurrent_requests", {"a": 0.0}, 10.0)
        limit_state.report_held("a", None, 2.0)
        assert limit_state.bounds["concurrent_requests"]["a"].upper_bound() == 5.0

    def test_small_changes_of_demand_keep_grants(self) -> None:
        """Guards against dividing every limit again for each report of a busy instance."""
        limit_state = CallerLimit()
        assert limit_state.report_demand("a", ShareDemand("l", "x", 10.0, 4.0, 100.0))
        assert not limit_state.report_demand("a", ShareDemand("l", "x", 10.4, 4.0, 101.0))
        assert limit_state.report_demand("a", ShareDemand("l", "x", 10.4, 5.0, 101.0))
        assert limit_state.report_demand("a", ShareDemand("l", "x", 11.0, 5.0, 101.0))

    def test_running_requests_above_a_shrunken_share_are_not_granted_twice(self) -> None:
        """Guards against granting concurrency that is still in use elsewhere."""
        leader = Leader()
        leader.sync(self.limits, {"a": 50.0, "b": 0.0}, 0.0)
        limiter = RequestLimiter()
        limiter.apply(self.limits, leader.held["a"], 6000.0)
        shares = leader.held["a"]
        granted = next(s for s in shares if s.caller == "x").concurrent_requests
        for use in range(granted):
            limiter._use("l", "x").requests.charge(-1.0)
            assert limiter.admit(LimitRequest("x", "m", "", 0), 10.0 + use).is_ok()
        for step in range(1, 4):
            shrunk = leader.sync(self.limits, {"a": 0.0, "b": 50.0}, step * 100.0)
            limiter.apply(self.limits, leader.held["a"], 6000.0 + step * 100.0)
            leader.held["a"] = limiter.held_shares(step * 100.0)
            assert shrunk["b"].concurrent_requests <= 12 - granted
        leader.held["a"] = [s for s in leader.held["a"] if s.version >= 0]
        assert leader.sync(self.limits, {"a": 0.0, "b": 50.0}, 400.0)["b"].concurrent_requests == 11


class TestFairness:
    """Guards against divisions whose sum differs from the capacity."""

    def test_max_min_shares_satisfy_small_demands_first(self) -> None:
        assert max_min_shares({"a": 1.0, "b": 9.0, "c": 9.0}, 9.0) == {"a": 1.0, "b": 4.0, "c": 4.0}

    def test_capacity_beyond_the_demand_is_divided_evenly(self) -> None:
        assert max_min_shares({"a": 1.0, "b": 0.0}, 5.0) == {"a": 3.0, "b": 2.0}

    def test_whole_numbers_keep_the_total(self) -> None:
        assert round_to_total({"a": 1.5, "b": 1.5, "c": 1.0}, 4) == {"a": 2, "b": 1, "c": 1}
