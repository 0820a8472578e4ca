"""Check that an entry process admits no more than its leased shares allow."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briardyke.agreed.configuration import Limit
from briardyke.errors import ErrorKind
from briardyke.policy.limits import RequestLimiter
from briardyke.policy.types import LimitRequest, Permit
from briardyke.wire.messages import LimitShare

LIMITS = {"l": Limit("*", "*", "*", 20.0, 8, 2000.0)}
LARGEST_REQUEST_TOKENS = 3000


class LimiterMachine(RuleBasedStateMachine):
    """Guards against admissions beyond share times time plus the burst, in any window."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.limiter = RequestLimiter()
        self.share = LimitShare("l", "*", 1, 0.0, 0, 0.0)
        self.expires_ms = float("-inf")
        self.open: list[Permit] = []
        self.allowed = [0.0, 0.0]
        self.used = [0.0, 0.0]
        # Largest earlier value of allowed minus used, for requests and for tokens.
        self.reference = [0.0, 0.0]

    @rule(ms=st.sampled_from((1.0, 30.0, 400.0, 3000.0, 7000.0)))
    def advance(self, ms: float) -> None:
        self.now += ms
        self.allowed[0] += (self.share.requests_per_second or 0.0) * ms / 1000.0
        self.allowed[1] += (self.share.tokens_per_second or 0.0) * ms / 1000.0

    @rule(rate=st.sampled_from((0.0, 0.5, 3.0, 20.0)), concurrent=st.integers(0, 8))
    def apply(self, rate: float, concurrent: int) -> None:
        self.share = LimitShare("l", "*", 1, rate, concurrent, rate * 100.0)
        self.expires_ms = self.now + 6000.0
        self.limiter.apply(LIMITS, [self.share], self.expires_ms)

    @rule(tokens=st.sampled_from((0, 50, 900, LARGEST_REQUEST_TOKENS)))
    def admit(self, tokens: int) -> None:
        result = self.limiter.admit(LimitRequest("x", "m", "a", tokens), self.now)
        if result.is_ok():
            assert self.now < self.expires_ms
            assert len(self.open) < (self.share.concurrent_requests or 0)
            self.open.append(result.unwrap())
            self.used[0] += 1.0
            self.used[1] += tokens
        else:
            failure = result.unwrap_err()
            assert failure.answer.retryable
            assert (failure.retry_after_ms or 0) > 0

    @rule(fraction=st.sampled_from((0.0, 0.5, 1.0)))
    def release(self, fraction: float) -> None:
        if self.open:
            permit = self.open.pop()
            used = int(permit.request.estimated_tokens * fraction)
            self.used[1] += used - permit.request.estimated_tokens
            self.limiter.release(permit, used, self.now)
            self.limiter.release(permit, used, self.now)

    @invariant()
    def within_share_and_burst(self) -> None:
        bursts = (20.0 + 1.0, 2000.0 + 1.0 + LARGEST_REQUEST_TOKENS)
        for index, burst in enumerate(bursts):
            gap = self.used[index] - self.allowed[index]
            assert gap - self.reference[index] <= burst + 1e-6
            # A release lowers the counted tokens later, so windows for tokens start at zero only.
            if index == 0:
                self.reference[index] = min(self.reference[index], gap)


LimiterMachine.TestCase.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=40, deadline=None
)
TestLimiterMachine = LimiterMachine.TestCase


def limiter_with(limits: dict[str, Limit], *shares: LimitShare) -> RequestLimiter:
    limiter = RequestLimiter()
    limiter.apply(limits, shares, 6000.0)
    return limiter


class TestRequestLimiter:
    """Guards against limits that match the wrong requests or are charged wrongly."""

    request = LimitRequest("x", "m", "a", 10)

    def test_nothing_is_admitted_without_a_valid_share(self) -> None:
        """Guards against a partitioned instance admitting beyond its lease."""
        limiter = limiter_with(LIMITS, LimitShare("l", "*", 1, 5.0, 5, 500.0))
        assert limiter.admit(self.request, 5999.0).is_ok()
        assert limiter.admit(self.request, 6000.0).is_err()
        assert limiter_with(LIMITS).admit(self.request, 0.0).is_err()

    def test_only_matching_limits_apply(self) -> None:
        """Guards against a limit of one caller, model or adapter refusing another's request."""
        limits = {
            "caller": Limit("y", "*", "*", 1.0),
            "model": Limit("*", "n", "*", 1.0),
            "adapter": Limit("*", "*", "b", 1.0),
        }
        limiter = limiter_with(limits)
        assert limiter.admit(self.request, 0.0).unwrap().limit_ids == ()
        for blocked in (("y", "m", "a"), ("x", "n", "a"), ("x", "m", "b")):
            assert limiter.admit(LimitRequest(*blocked, 0), 0.0).is_err()

    def test_a_refusal_charges_no_limit(self) -> None:
        """Guards against a request that one limit refuses using up another."""
        limits = {"all": Limit("*", "*", "*", None, 1), "one": Limit("x", "*", "*", None, 1)}
        limiter = limiter_with(limits, LimitShare("all", "*", 1, None, 1, None))
        assert limiter.admit(self.request, 0.0).is_err()
        assert limiter.admit(LimitRequest("z", "m", "", 0), 0.0).is_ok()

    def test_a_lowered_limit_reduces_an_older_share(self) -> None:
        """Guards against a share of an earlier version exceeding the limit in force."""
        limiter = limiter_with(
            {"l": Limit("*", "*", "*", None, 1)}, LimitShare("l", "x", 1, 9, 9, 9)
        )
        assert limiter.admit(self.request, 0.0).is_ok()
        failure = limiter.admit(self.request, 0.0).unwrap_err()
        assert failure.kind is ErrorKind.CONCURRENCY_LIMITED

    def test_retry_after_is_when_a_retry_succeeds(self) -> None:
        """Guards against callers being told to return too early or too late."""
        share = LimitShare("l", "*", 1, 2.0, 8, 2000.0)
        limiter = limiter_with(LIMITS, share)
        assert limiter.admit(self.request, 0.0).is_ok()
        wait = limiter.admit(self.request, 0.0).unwrap_err().retry_after_ms
        assert wait == 500
        assert limiter.admit(self.request, wait - 2.0).is_err()
        assert limiter.admit(self.request, float(wait)).is_ok()

    def test_demand_counts_refused_requests(self) -> None:
        """Guards against a refused burst that the leader does not learn of."""
        limiter = limiter_with(LIMITS, LimitShare("l", "*", 1, 0.0, 0, 0.0))
        for _ in range(20):
            limiter.admit(self.request, 0.0)
        (demand,) = limiter.take_demand(0.0)
        assert demand.requests_per_second == 10.0 and demand.caller == "x"

    def test_a_raised_share_gives_no_credit_for_the_time_before(self) -> None:
        """Guards against a burst when a share moves from one instance to another."""
        limiter = limiter_with(LIMITS, LimitShare("l", "*", 1, 1.0, 8, 2000.0))
        limiter.release(limiter.admit(self.request, 0.0).unwrap(), 0, 0.0)
        limiter.apply(LIMITS, [LimitShare("l", "*", 1, 20.0, 8, 2000.0)], 9000.0)
        assert limiter.admit(self.request, 1000.0).is_ok()
        assert limiter.admit(self.request, 1000.0).is_err()

    def test_the_burst_is_one_second_of_the_share(self) -> None:
        """Guards against credit that accumulates while idle."""
        limiter = limiter_with(LIMITS, LimitShare("l", "*", 1, 5.0, 8, 2000.0))
        admitted = 0
        for now_ms in [0.0] + [5000.0] * 20:
            result = limiter.admit(LimitRequest("x", "m", "a", 0), now_ms)
            if result.is_ok():
                admitted += 1
                limiter.release(result.unwrap(), 0, now_ms)
        assert admitted == 6

    def test_estimated_tokens_count_until_a_release_with_the_actual_number(self) -> None:
        """Guards against a large request being free until it ends, or charged twice over."""
        limiter = limiter_with(LIMITS, LimitShare("l", "*", 1, 20.0, 8, 100.0))
        permit = limiter.admit(LimitRequest("x", "m", "a", 500), 0.0).unwrap()
        assert limiter.admit(self.request, 2000.0).unwrap_err().retry_after_ms == 3000
        limiter.release(permit, 100, 2000.0)
        assert limiter.admit(self.request, 2000.0).is_ok()

    def test_a_permit_is_released_once(self) -> None:
        """Guards against admitting too many requests because an end is reported twice."""
        limiter = limiter_with(
            {"l": Limit(concurrent_requests=1)}, LimitShare("l", "*", 1, 9, 1, 9)
        )
        permit = limiter.admit(self.request, 0.0).unwrap()
        limiter.release(permit, 0, 0.0)
        limiter.release(permit, 0, 0.0)
        assert limiter.admit(self.request, 0.0).is_ok()
        assert limiter.admit(self.request, 0.0).is_err()
