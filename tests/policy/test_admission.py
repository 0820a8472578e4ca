"""Check admission control, the retry budget and the ejection of failing upstreams."""

from __future__ import annotations

import random

from briardyke.errors import ErrorKind
from briardyke.policy.admission import AdmissionController
from briardyke.policy.ejection import MAX_EJECTED_FRACTION, MINIMUM_WEIGHT, UpstreamHealth
from briardyke.policy.retries import RetryBudget
from briardyke.policy.routing import RoutingTable
from briardyke.policy.types import AdmissionRequest, RouteRequest, RoutingPolicy
from briardyke.policy.upstreams import Forecast
from briardyke.wire.messages import LoadedItem, UpstreamRow


def controller(first_ms: float, gap_ms: float = 10.0) -> AdmissionController:
    table = RoutingTable(RoutingPolicy.ADAPTIVE, "d0", random.Random(1))
    loaded = [LoadedItem("m", 1, "", "loaded")]
    table.observe(UpstreamRow("u", "1", "engine", "127.0.0.1:1", "d0", loaded=loaded), 0.0)
    table.forecast = lambda request, now_ms: Forecast(first_ms, gap_ms)  # type: ignore
    return AdmissionController(table, random.Random(1))


def request(caller: str = "a", deadline_ms: float = 640.0, priority: int = 0) -> AdmissionRequest:
    return AdmissionRequest(caller, 1.0, RouteRequest("m", priority=priority), 50, deadline_ms)


class TestAdmissionController:
    """Guards against work that cannot succeed and against one caller starving others."""

    def test_a_deadline_that_cannot_be_met_is_refused_with_a_retry_time(self) -> None:
        """Guards against spending accelerator time on responses that come too late."""
        failure = controller(700.0).admit(request(), 0.0).unwrap_err()
        assert failure.kind is ErrorKind.DEADLINE_UNMEETABLE
        assert 200 <= (failure.retry_after_ms or 0) <= 5000
        assert controller(100.0).admit(request(), 640.0).is_err()
        assert controller(100.0).admit(request(deadline_ms=float("inf")), 640.0).is_ok()

    def test_slow_streams_count_as_overload(self) -> None:
        """Guards against filling batches until every stream misses its target."""
        failure = controller(100.0, gap_ms=63.0).admit(request(), 0.0).unwrap_err()
        assert failure.kind is ErrorKind.OVERLOADED

    def test_a_burst_of_one_caller_does_not_cause_refusals_of_others(self) -> None:
        """Guards against the most active caller taking all capacity of a busy model."""
        admission = controller(450.0)
        admitted = {"busy": 0, "light": 0}
        for step in range(400):
            now = step * 10.0
            callers = ["busy"] * 10 + (["light"] if step % 2 else [])
            for caller in callers:
                ok = admission.admit(request(caller, now + 640.0), now).is_ok()
                admitted[caller] += ok
        assert admitted["light"] >= 195
        assert admitted["busy"] < 1000

    def test_a_higher_priority_is_refused_later(self) -> None:
        """Guards against refusing urgent requests as early as others."""
        assert controller(540.0).admit(request(), 0.0).is_err()
        assert controller(540.0).admit(request(priority=1), 0.0).is_ok()
        assert controller(450.0).admit(request(), 0.0).is_ok()
        assert controller(450.0).admit(request(priority=-2), 0.0).is_err()

    def test_a_model_that_is_not_loaded_is_not_refused(self) -> None:
        """Guards against refusing requests that are to be held while their model loads."""
        table = RoutingTable(RoutingPolicy.ADAPTIVE, "d0", random.Random(1))
        assert AdmissionController(table, random.Random(1)).admit(request(), 0.0).is_ok()


class TestRetryBudget:
    """Guards against retries that amplify an overload."""

    def test_retries_stay_within_a_tenth_of_the_requests_and_three_a_second(self) -> None:
        budget = RetryBudget()
        spent = 0
        for step in range(10_000):
            budget.record_request(step * 1.0)
            spent += budget.try_spend(step * 1.0) + budget.try_spend(step * 1.0)
        assert 900 <= spent <= 0.10 * 10_000 + 3 * 10 + 3

    def test_unused_budget_accrues_for_a_short_time_only(self) -> None:
        budget = RetryBudget()
        for step in range(1000):
            budget.record_request(step * 1.0)
        assert sum(budget.try_spend(120_000.0) for _ in range(100)) <= 4


class TestUpstreamHealth:
    """Guards against ejection at the first failure and against ejection without recovery."""

    def test_traffic_falls_and_recovers_in_steps(self) -> None:
        health = UpstreamHealth()
        health.record_failure(0.0)
        health.record_failure(10.0)
        assert health.weight(10.0) >= 0.5
        for now in range(100, 2000, 100):
            health.record_failure(float(now))
        assert MINIMUM_WEIGHT <= health.weight(1900.0) < 0.1
        assert health.weight(60_000.0) == 1.0

    def test_flapping_slows_the_recovery(self) -> None:
        first, flapping = UpstreamHealth(), UpstreamHealth()
        for now in (0.0, 5000.0, 10_000.0, 15_000.0):
            flapping.record_failure(now)
        first.record_failure(15_000.0)
        assert flapping.weight(16_000.0) < first.weight(16_000.0)

    def test_the_largest_ejected_fraction_is_one_half(self) -> None:
        assert MAX_EJECTED_FRACTION == 0.5
