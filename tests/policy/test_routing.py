"""Check which upstreams attempts are sent to."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from briardyke.errors import ErrorKind
from briardyke.policy.routing import RoutingTable
from briardyke.policy.types import AttemptOutcome, RouteRequest, RoutingPolicy
from briardyke.wire.messages import CacheEvent, LoadedItem, UpstreamRow

REQUEST = RouteRequest("m", prompt_tokens=400)


def row(upstream_id: str, **changes: object) -> UpstreamRow:
    fields = {
        "incarnation": "1",
        "kind": "engine",
        "address": "127.0.0.1:9000",
        "data_centre": "d0",
        "loaded": [LoadedItem("m", 1, "", "loaded")],
    } | changes
    return UpstreamRow(upstream_id, **fields)  # type: ignore[arg-type]


def table_of(*rows: UpstreamRow, policy: RoutingPolicy = RoutingPolicy.ADAPTIVE) -> RoutingTable:
    table = RoutingTable(policy, "d0", random.Random(7))
    for each in rows:
        table.observe(each, 0.0)
    return table


def serve(table: RoutingTable, count: int, first_ms: dict[str, float], now: float = 0.0) -> Counter:
    """Route requests one after the other with the given times to the first token."""
    chosen: Counter[str] = Counter()
    for number in range(count):
        upstream_id = table.choose(REQUEST, now).unwrap()
        chosen[upstream_id] += 1
        attempt = f"{now}/{number}"
        table.begin(attempt, upstream_id, REQUEST, now)
        table.first_token(attempt, now + first_ms[upstream_id])
        end = now + first_ms[upstream_id] * 3
        table.finish(attempt, AttemptOutcome.COMPLETED, 21, end)
        now += 1.0
    return chosen


@pytest.mark.parametrize("policy", list(RoutingPolicy))
class TestEveryPolicy:
    """Guards against a policy choosing an upstream that must not receive work."""

    def test_silent_and_leaving_upstreams_get_no_work(self, policy: RoutingPolicy) -> None:
        """Guards against work for an upstream that is leaving or has sent no recent report."""
        table = table_of(
            row("old", age_ms=2999.0), row("gone", lifecycle="leaving"), row("new"), policy=policy
        )
        assert {table.choose(REQUEST, 1.0).unwrap() for _ in range(40)} == {"new"}
        assert table.choose(REQUEST, 3000.0).unwrap_err().kind is ErrorKind.NO_UPSTREAM

    def test_excluded_upstreams_are_not_chosen(self, policy: RoutingPolicy) -> None:
        """Guards against a retry on the upstream that just failed."""
        table = table_of(row("a"), row("b"), policy=policy)
        request = RouteRequest("m", excluded=frozenset({"a"}))
        assert {table.choose(request, 0.0).unwrap() for _ in range(20)} == {"b"}
        both = RouteRequest("m", excluded=frozenset({"a", "b"}))
        assert table.choose(both, 0.0).unwrap_err().kind is ErrorKind.NO_UPSTREAM

    def test_a_request_for_a_model_that_is_not_loaded_is_held(self, policy: RoutingPolicy) -> None:
        """Guards against failing a request for a model that placement will load."""
        loading = row("a", loaded=[LoadedItem("m", 1, "o", "loading")])
        table = table_of(loading, policy=policy)
        failure = table.choose(REQUEST, 0.0).unwrap_err()
        assert failure.kind is ErrorKind.MODEL_LOADING and failure.answer.retryable
        assert table.choose(RouteRequest("z"), 0.0).unwrap_err().kind is ErrorKind.MODEL_LOADING
        nowhere = RouteRequest("z", patterns=("b*",))
        assert table.choose(nowhere, 0.0).unwrap_err().kind is ErrorKind.NO_UPSTREAM

    def test_plain_services_match_patterns(self, policy: RoutingPolicy) -> None:
        """Guards against a service call reaching an engine or another service."""
        service = {"kind": "service", "loaded": []}
        request = RouteRequest(service="orders", patterns=("orders-*",))
        table = table_of(row("orders-engine"), row("orders-1", **service), policy=policy)
        assert table.choose(request, 0.0).unwrap() == "orders-1"
        table.observe(row("orders-2", **service), 0.0)
        table.observe(row("other-1", **service), 0.0)
        table.remove("orders-1")
        assert {table.choose(request, 0.0).unwrap() for _ in range(20)} == {"orders-2"}

    def test_an_adapter_is_served_only_where_it_is_loaded(self, policy: RoutingPolicy) -> None:
        """Guards against a request for an adapter on an upstream with only its model."""
        both = [LoadedItem("m", 1, "", "loaded"), LoadedItem("a", 1, "", "loaded")]
        table = table_of(row("plain"), row("adapted", loaded=both), policy=policy)
        request = RouteRequest("m", adapter="a")
        assert {table.choose(request, 0.0).unwrap() for _ in range(20)} == {"adapted"}


class TestReports:
    """Guards against errors from late, repeated and reordered reports."""

    def test_an_older_report_changes_nothing(self) -> None:
        """Guards against a delayed report reviving an upstream that left."""
        table = table_of(row("a", sequence=5))
        table.observe(row("a", sequence=6, lifecycle="leaving"), 100.0)
        table.observe(row("a", sequence=4), 150.0)
        table.observe(row("a", sequence=7, age_ms=500.0), 200.0)
        assert table.choose(REQUEST, 200.0).is_err()

    def test_a_restart_ends_attempts_of_the_old_process(self) -> None:
        """Guards against counting attempts of a dead process against its successor."""
        table = table_of(row("a"))
        table.begin("x", "a", REQUEST, 0.0)
        table.observe(row("a", incarnation="2"), 10.0)
        assert table._upstreams["a"].own_in_flight == 0
        table.finish("x", AttemptOutcome.FAILED, 0, 20.0)
        assert table._upstreams["a"].own_in_flight == 0

    def test_own_attempts_count_at_once_and_only_once(self) -> None:
        """Guards against double counting once a report includes an own attempt."""
        table = table_of(row("a"))
        upstream = table._upstreams["a"]
        for number in range(4):
            table.begin(str(number), "a", REQUEST, 10.0)
        assert upstream.estimated_load(1.0) == 4
        table.observe(row("a", in_flight=4), 20.0)
        assert upstream.estimated_load(1.0) == 4
        table.finish("0", AttemptOutcome.COMPLETED, 5, 30.0)
        assert upstream.estimated_load(1.0) == 3
        # Other instances are assumed to have ended attempts as well.
        assert upstream.estimated_load(3.0) < 4


class TestAdaptiveRouting:
    """Guards against slow, broken and overloaded upstreams receiving too much."""

    def test_speed_is_learned_and_forgotten(self) -> None:
        """Guards against equal traffic for unequal upstreams, and against never trying again."""
        table = table_of(row("fast"), row("slow"))
        speeds = {"fast": 50.0, "slow": 900.0}
        serve(table, 30, speeds)
        assert serve(table, 100, speeds, now=100.0)["slow"] <= 5
        for now in range(1000, 60_000, 1000):
            table.observe(row("fast"), float(now))
            table.observe(row("slow"), float(now))
        assert serve(table, 400, {"fast": 50.0, "slow": 50.0}, now=59_500.0)["slow"] >= 100

    def test_instances_spread_over_idle_upstreams(self) -> None:
        """Guards against many instances picking the same idle upstream from one report."""
        chosen = Counter(_choice_of(seed) for seed in range(200))
        assert max(chosen.values()) <= 60

    def test_the_own_data_centre_is_preferred_until_it_is_busy(self) -> None:
        """Guards against needless remote traffic and against overloading the local upstream."""
        table = table_of(row("near"), row("far", data_centre="d1"))
        near = sum(table.choose(REQUEST, 0.0).unwrap() == "near" for _ in range(100))
        assert near >= 70
        table.observe(row("near", in_flight=30, queued=20), 1.0)
        far = sum(table.choose(REQUEST, 1.0).unwrap() == "far" for _ in range(100))
        assert far >= 95

    def test_the_holder_of_a_cached_prefix_is_preferred_until_it_is_busy(self) -> None:
        """Guards against ignoring the cache and against overloading its holder."""
        request = RouteRequest("m", prefix_hashes=(1, 2, 3, 4), prompt_tokens=3000)
        table = table_of(*(row(f"u{i}") for i in range(30)))
        table.begin("first", "u7", request, 0.0)
        table.finish("first", AttemptOutcome.CANCELLED, 0, 1.0)
        assert sum(table.choose(request, 2.0).unwrap() == "u7" for _ in range(50)) >= 45
        table.observe(row("u7", in_flight=16, queued=40), 3.0)
        assert sum(table.choose(request, 3.0).unwrap() == "u7" for _ in range(50)) <= 2

    def test_failures_reduce_traffic_but_never_eject_all(self) -> None:
        """Guards against ejecting every upstream after a fault that they share."""
        table = table_of(*(row(f"u{i}") for i in range(4)))
        for number in range(40):
            table.begin(str(number), "u0", REQUEST, number * 100.0)
            table.finish(str(number), AttemptOutcome.FAILED, 0, number * 100.0)
        for i in range(4):
            table.observe(row(f"u{i}"), 4000.0)
        chosen = Counter(table.choose(REQUEST, 4000.0).unwrap() for _ in range(300))
        assert 0 < chosen["u0"] <= 30
        for i in range(4):
            for number in range(40):
                table.begin(f"{i}/{number}", f"u{i}", REQUEST, 4000.0)
                table.finish(f"{i}/{number}", AttemptOutcome.FAILED, 0, 4000.0 + number * 60)
        assert all(table.choose(REQUEST, 6400.0).is_ok() for _ in range(50))

    def test_an_unanswered_attempt_lowers_the_preference(self) -> None:
        """Guards against sending on to an upstream that hangs without failing."""
        table = table_of(row("hangs"), row("works"))
        serve(table, 20, {"hangs": 50.0, "works": 50.0})
        table.begin("stuck", "hangs", REQUEST, 100.0)
        chosen = Counter(table.choose(REQUEST, 1100.0).unwrap() for _ in range(100))
        assert chosen["works"] >= 90

    def test_a_decision_considers_a_few_upstreams_only(self) -> None:
        """Guards against a cost that grows with the number of upstreams."""
        table = table_of(*(row(f"u{i}") for i in range(2000)))
        considered: list[str] = []
        usable = table._usable
        table._usable = lambda i, now: considered.append(i) or usable(i, now)  # type: ignore
        table.choose(REQUEST, 0.0)
        assert len(considered) <= 14

    def test_a_lost_cache_event_lowers_confidence(self) -> None:
        """Guards against trusting prefixes that may have been evicted without an event."""
        table = table_of(row("a", cache_events=[CacheEvent(1, "stored", 5)]))
        assert table._prefixes.cached_fractions((5,)) == {"a": 1.0}
        table.observe(row("a", cache_events=[CacheEvent(4, "stored", 6)]), 10.0)
        assert table._prefixes.cached_fractions((5,)) == {"a": 0.5}
        table.observe(row("a", cache_events=[CacheEvent(5, "evicted", 5)]), 20.0)
        assert table._prefixes.cached_fractions((5,)) == {}
        table.observe(row("a", incarnation="2"), 30.0)
        assert table._prefixes.cached_fractions((6,)) == {}

    def test_a_high_priority_request_sees_a_shorter_queue(self) -> None:
        """Guards against refusing a request that engines would serve first."""
        table = table_of(row("a", in_flight=8, queued=8))
        for number in range(4):
            table.begin(str(number), "a", REQUEST, 0.0)
        low = table.forecast(REQUEST, 0.0)
        high = table.forecast(RouteRequest("m", prompt_tokens=400, priority=1), 0.0)
        assert high is not None and low is not None
        assert high.first_token_ms < low.first_token_ms


def _choice_of(seed: int) -> str:
    table = RoutingTable(RoutingPolicy.ADAPTIVE, "d0", random.Random(seed))
    for index in range(8):
        table.observe(row(f"u{index}", in_flight=index // 4), 0.0)
    return table.choose(REQUEST, 0.0).unwrap()


class TestMarkAlive:
    """Guards against wrong state when an upstream is known to be alive without a new report."""

    def test_a_silent_upstream_returns_once_it_is_marked_alive(self) -> None:
        table = table_of(row("e1"))
        table.tick(3100.0)
        assert table.choose(REQUEST, 3100.0).is_err()
        table.mark_alive("e1", 2900.0)
        assert table.choose(REQUEST, 3200.0).unwrap() == "e1"
        assert table.choose(REQUEST, 5900.0).is_err()

    def test_a_leaving_upstream_does_not_return(self) -> None:
        table = table_of(row("e1", lifecycle="leaving"))
        table.mark_alive("e1", 1000.0)
        table.mark_alive("unknown", 1000.0)
        assert table.choose(REQUEST, 1001.0).is_err()

    def test_own_dispatches_stay_counted_without_a_new_report(self) -> None:
        table = table_of(row("e1", in_flight=5))
        for number in range(20):
            table.begin(f"a{number}", "e1", REQUEST, 100.0)
        before = table.forecast(REQUEST, 200.0)
        table.mark_alive("e1", 200.0)
        assert table.forecast(REQUEST, 200.0) == before
