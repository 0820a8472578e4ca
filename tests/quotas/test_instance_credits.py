"""Tests for the credits of one entry instance and the buckets of the leader."""

from __future__ import annotations

import attrs
import pytest
from quota_world import BOUNDS, QUOTA, World

from briardyke.accounts.types import AccountQuota
from briardyke.errors import ErrorKind
from briardyke.quotas.messages import AccountDemand, QuotaReply, QuotaRequest, ReturnedTokens

ALLOWANCE = BOUNDS.allowance(QUOTA)


def world(count: int = 1) -> World:
    """Return a world whose leader's bucket is full."""
    found = World(count, {"a": QUOTA})
    found.now_ms += 60_000.0
    return found


def exhaust(found: World, number: int, tokens: float = 200.0) -> float:
    """Use all that the leader grants; return the tokens."""
    before = found.used("a", 0.0, found.now_ms)
    for _ in range(1000):
        waiter = found.request(number, "a", tokens)
        found.exchange(number)
        if waiter.outcome is None or waiter.outcome.is_err():
            break
    return found.used("a", 0.0, found.now_ms) - before


class TestGrants:
    """Covers requests within and over a quota while the leader replies."""

    def test_request_is_charged_what_it_counts(self) -> None:
        found = world()
        waiter = found.request(0, "a", 1460.0)
        assert waiter.outcome is None
        found.exchange(0)
        assert waiter.outcome is not None
        assert waiter.outcome.unwrap().tokens == 1460.0

    def test_demand_that_arrives_during_a_request_is_batched_into_the_next(self) -> None:
        found = world()
        found.request(0, "a", 200.0)
        assert found.send(0)
        for _ in range(10):
            found.request(0, "a", 200.0)
        assert not found.send(0)
        found.handle(0)
        found.deliver(0)
        found.exchange(0)
        assert (found.messages, len(found.uses)) == (2, 11)

    def test_account_over_its_quota_is_refused_without_a_message_until_the_named_time(
        self,
    ) -> None:
        found = world()
        exhaust(found, 0, 1460.0)
        messages = found.messages
        refused = found.request(0, "a", 1460.0).outcome
        assert refused is not None
        failure = refused.unwrap_err()
        assert failure.kind is ErrorKind.RATE_LIMITED
        assert failure.retry_after_ms is not None
        assert found.messages == messages
        found.now_ms += failure.retry_after_ms + 1.0
        waiter = found.request(0, "a", 1460.0)
        found.exchange(0)
        assert waiter.outcome is not None
        assert waiter.outcome.is_ok()

    def test_refused_instances_are_told_different_times(self) -> None:
        """Guards against instances that all come back for the same tokens."""
        found = world(20)
        exhaust(found, 0)
        waits_ms = []
        for number in range(1, 5):
            waiter = found.request(number, "a", 1460.0)
            found.exchange(number)
            assert waiter.outcome is not None
            waits_ms.append(waiter.outcome.unwrap_err().retry_after_ms or 0)
        assert waits_ms == sorted(waits_ms)
        assert waits_ms[-1] - waits_ms[0] > 2 * 1460.0 / 4.8

    def test_request_larger_than_any_grant_is_refused_and_blocks_no_other(self) -> None:
        found = world()
        refused = found.request(0, "a", 1e9).outcome
        assert refused is not None
        assert refused.unwrap_err().kind is ErrorKind.RATE_LIMITED
        found.request(0, "a", 200.0)
        found.exchange(0)
        assert len(found.uses) == 1

    def test_request_without_tokens_is_admitted(self) -> None:
        outcome = world().request(0, "a", 0.0).outcome
        assert outcome is not None
        assert outcome.is_ok()

    def test_busy_account_gets_tokens_in_advance(self) -> None:
        found = world()
        for _ in range(6):
            found.request(0, "a", 100.0)
            found.exchange(0)
            found.now_ms += 20.0
        assert found.messages < 6

    def test_no_tokens_in_advance_from_the_lower_half_of_the_bucket(self) -> None:
        found = world()
        taken = ALLOWANCE.capacity * 0.6
        demand = AccountDemand("a", [taken], 4000.0)
        grant = found.leader.answer(QuotaRequest("e", [demand]), found.now_ms).grants[0]
        assert grant.tokens == pytest.approx(taken)


class TestUnspentTokens:
    """Covers tokens that are granted and not used."""

    def test_credit_expires_from_the_sending_of_its_request(self) -> None:
        """Guards against an instance that stands still and spends old credits on waking."""
        found = world()
        waiter = found.request(0, "a", 1460.0)
        found.send(0)
        found.handle(0)
        found.now_ms += ALLOWANCE.lifetime_ms + 1.0
        found.deliver(0)
        assert waiter.outcome is None
        assert found.uses == []

    def test_tokens_of_a_request_that_has_not_run_are_used_again(self) -> None:
        found = world()
        found.request(0, "a", 1460.0)
        found.exchange(0)
        found.finish(found.uses[0], has_run=False)
        outcome = found.request(0, "a", 1460.0).outcome
        assert outcome is not None
        assert outcome.is_ok()
        assert found.messages == 1

    @pytest.mark.parametrize("is_returned", [False, True])
    def test_expired_tokens_return_to_the_leader(self, is_returned: bool) -> None:
        found = world()
        exhaust(found, 0)
        uses = list(found.uses)
        found.now_ms += ALLOWANCE.lifetime_ms + 1.0
        if is_returned:
            for use in uses:
                found.finish(use, has_run=False)
        got = exhaust(found, 0)
        refilled = ALLOWANCE.lifetime_ms * ALLOWANCE.rate_per_ms
        assert (got > refilled + 1000.0) is is_returned

    def test_tokens_are_returned_once(self) -> None:
        found = world()
        found.request(0, "a", 1460.0)
        found.exchange(0)
        found.now_ms += 5000.0
        found.finish(found.uses[0], has_run=False)
        found.request(0, "a", ALLOWANCE.capacity)  # more than may be used without a leader
        found.send(0)
        assert len(found.exchanges[0].request.demands[0].returned) == 1
        found.deliver(0, is_lost=True)
        found.now_ms += 200.0
        found.send(0)
        assert found.exchanges[0].request.demands[0].returned == []

    def test_tokens_of_another_leader_are_not_taken_back(self) -> None:
        found = world()
        found.change_leader()
        returned = [ReturnedTokens(1, found.now_ms, 5000.0)]
        demand = AccountDemand("a", [1000.0], 0.0, returned)
        grant = found.leader.answer(QuotaRequest("e", [demand]), found.now_ms).grants[0]
        assert grant.tokens == 0.0

    def test_tokens_that_are_taken_and_returned_again_and_again_do_not_add_up(self) -> None:
        """Guards against requests that hold the whole quota, are all refused, and then all run."""
        found = world()
        for _ in range(30):
            before = len(found.uses)
            exhaust(found, 0)
            found.now_ms += ALLOWANCE.lifetime_ms + 1.0
            for use in found.uses[before:-1]:
                found.finish(use, has_run=False)
        found.now_ms += 1.0
        assert exhaust(found, 0) <= ALLOWANCE.capacity


class TestWithoutLeader:
    """Covers times without a reply of the leader."""

    def unanswered(self, found: World, number: int) -> None:
        if found.send(number):
            found.deliver(number, is_lost=True)

    def test_emergency_allowance_is_divided_by_the_instances(self) -> None:
        found = World(3, {"a": attrs.evolve(QUOTA, plain_tokens=1)})
        found.now_ms += BOUNDS.window_ms
        for number in range(3):
            for _ in range(100):
                found.request(number, "a", 100.0)
                self.unanswered(found, number)
        used = found.used("a", 0.0, found.now_ms)
        assert ALLOWANCE.emergency * 0.7 < used <= ALLOWANCE.emergency / 1.25

    def test_emergency_allowance_is_renewed_after_a_window(self) -> None:
        found = world(3)
        found.request(0, "a", ALLOWANCE.emergency / 4.0)
        self.unanswered(found, 0)
        assert len(found.uses) == 1
        found.now_ms += BOUNDS.window_ms - 1.0
        found.request(0, "a", ALLOWANCE.emergency / 4.0)
        self.unanswered(found, 0)
        assert len(found.uses) == 1
        found.now_ms += 2.0
        found.request(0, "a", ALLOWANCE.emergency / 4.0)
        assert len(found.uses) == 2

    def test_restarted_instance_has_no_emergency_allowance(self) -> None:
        """Guards against a process that uses the allowance again after each restart."""
        found = world()
        found.restart(0)
        found.request(0, "a", 200.0)
        self.unanswered(found, 0)
        assert found.uses == []

    def test_request_ends_its_wait_with_a_promise_that_it_has_not_run(self) -> None:
        found = world()
        found.restart(0)
        waiter = found.request(0, "a", 200.0)
        self.unanswered(found, 0)
        found.instances[0].withdraw(waiter, found.now_ms + 1000.0)
        assert waiter.outcome is not None
        assert waiter.outcome.unwrap_err().kind is ErrorKind.NO_MAJORITY

    def test_instance_that_does_not_lead_counts_as_no_leader(self) -> None:
        found = world()
        found.request(0, "a", 200.0)
        found.send(0)
        found.exchanges[0].reply = QuotaReply(0)
        found.deliver(0)
        assert len(found.uses) == 1
        assert found.uses[0].charge.credits[0].term < 0

    def test_new_leader_grants_no_burst(self) -> None:
        """Guards against a full bucket beside unspent credits of the former leader."""
        found = world()
        exhaust(found, 0)
        found.change_leader()
        found.now_ms += 100.0
        assert exhaust(found, 0) <= 100.0 * ALLOWANCE.rate_per_ms


class TestChangedQuotas:
    """Covers quotas that change while they are used."""

    def test_lowered_quota_binds_at_once(self) -> None:
        found = world()
        lowered = AccountQuota(480.0, 480.0, True, 200)
        found.leader.update_quotas({"a": lowered}, found.now_ms)
        assert exhaust(found, 0) <= BOUNDS.allowance(lowered).capacity

    def test_changed_quota_does_not_fill_the_bucket(self) -> None:
        found = world()
        exhaust(found, 0)
        found.leader.update_quotas({"a": AccountQuota(4000.0, 4000.0, True)}, found.now_ms)
        found.now_ms += 1000.0
        assert exhaust(found, 0) <= 4000.0

    def test_removed_quota_grants_everything(self) -> None:
        found = world()
        found.leader.update_quotas({"a": AccountQuota()}, found.now_ms)
        for _ in range(100):
            found.request(0, "a", 1460.0)
            found.exchange(0)
        assert len(found.uses) == 100

    def test_account_that_the_leader_does_not_know_yet_waits(self) -> None:
        found = world()
        found.leader.update_quotas({}, found.now_ms)
        waiter = found.request(0, "a", 200.0)
        found.exchange(0)
        assert waiter.outcome is None
        found.leader.update_quotas({"a": QUOTA}, found.now_ms)
        found.now_ms += 100.0
        found.exchange(0)
        assert waiter.outcome is not None
        assert waiter.outcome.is_ok()


class TestBounds:
    """Covers the division of what a quota allows."""

    @pytest.mark.parametrize("rate", [1.0, 100.0, 4800.0, 135_000.0])
    @pytest.mark.parametrize("burst", [0.0, 1.0, 4800.0, 135_000.0])
    @pytest.mark.parametrize("is_in_tokens", [False, True])
    def test_parts_are_within_the_bound(
        self, rate: float, burst: float, is_in_tokens: bool
    ) -> None:
        quota = AccountQuota(rate, burst, is_in_tokens)
        allowance = BOUNDS.allowance(quota)
        duration_ms = BOUNDS.window_ms + allowance.lifetime_ms
        granted = allowance.capacity + allowance.rate_per_ms * duration_ms
        assert allowance.capacity > 0.0
        assert granted + allowance.emergency <= BOUNDS.largest_use(quota)

    def test_largest_prompt_fits_the_smallest_quota(self) -> None:
        assert ALLOWANCE.capacity > 4700.0 + 1000.0
        assert ALLOWANCE.rate_per_ms == 4.8


class TestNewLeader:
    """Covers requests that meet the empty buckets of a new leader."""

    def test_request_within_its_quota_waits_for_the_bucket_to_fill(self) -> None:
        """Guards against 429 for accounts that are far below their quotas."""
        found = world()
        found.change_leader()
        waiter = found.request(0, "a", 1460.0)
        found.exchange(0)
        assert waiter.outcome is None
        found.now_ms += 310.0
        found.exchange(0)
        assert waiter.outcome is not None
        assert waiter.outcome.is_ok()

    def test_request_is_refused_that_would_wait_too_long(self) -> None:
        found = world()
        found.change_leader()
        waiters = [found.request(0, "a", 1460.0) for _ in range(10)]
        found.exchange(0)
        assert all(w.outcome is None for w in waiters)
        for _ in range(20):
            found.now_ms += 100.0
            found.exchange(0)
        kinds = {w.outcome.unwrap_err().kind for w in waiters if w.outcome and w.outcome.is_err()}
        assert kinds == {ErrorKind.RATE_LIMITED}
        assert sum(w.outcome is not None and w.outcome.is_ok() for w in waiters) >= 2

    def test_refusal_is_immediate_again_once_the_bucket_had_time_to_fill(self) -> None:
        found = world()
        found.change_leader()
        found.now_ms += 5000.0
        exhaust(found, 0, 1460.0)
        refused = found.request(0, "a", 1460.0).outcome
        assert refused is not None
        assert refused.unwrap_err().kind is ErrorKind.RATE_LIMITED


class TestRequestsWithoutTokens:
    """Covers requests that count nothing."""

    def test_they_leave_no_record(self) -> None:
        """Guards against memory that grows with requests which never need the leader."""
        found = world()
        for _ in range(1000):
            found.request(0, "a", 0.0)
            found.now_ms += 10.0
        ledger = found.instances[0]._ledgers["a"]
        assert len(ledger._recent) == 0
