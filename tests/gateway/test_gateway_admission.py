"""Tests for refusals of requests whose model is not there, each with the load that it answers."""

from __future__ import annotations

import attrs
import pytest
import trio

from briardyke.addresses import parse_address
from briardyke.clock import now_ms
from briardyke.errors import ErrorKind
from briardyke.fleet.records import READY, LoadedModel, ModelChanges, Upstream
from briardyke.gateway.admission import Admission, model_arrival_ms
from briardyke.gateway.dialect import RequestMetadata
from briardyke.gateway.journey import Journey
from briardyke.gateway.state import GatewayState, RetryBounds
from briardyke.gateway.tables import CONNECT_PROBE_MS, UNREACHABLE_REPORT_MS, UpstreamState
from briardyke.gateway.trace import Trace
from briardyke.http.exchange import HttpRequest
from briardyke.http.h11_client import ConnectionPool
from briardyke.routes.configuration import (
    EngineSpec,
    ModelSpec,
    RequestKind,
    Route,
    ServiceSpec,
    ServingConfiguration,
    Target,
)
from briardyke.routes.matching import RouteTable

ROW = Upstream("e", 1, 7, "s", "10.0.0.1:80", "dc", READY, 8, [LoadedModel("held")])
MODEL = ModelSpec("m", 40.0, 6.0, 1.2, 0.6, 0, 0.0)
ENGINE = EngineSpec(8, 100.0, 8, 1.0, 1000, {"m": MODEL})
ROUTE = Route("r", "h", "/", RequestKind.STREAMING, 15000.0, 500.0, 1, (Target("s", 1),), 2, True)


def upstream(**changes: object) -> UpstreamState:
    row = attrs.evolve(ROW, **changes)  # type: ignore[arg-type]
    return UpstreamState(row, ConnectionPool(parse_address(row.address)))


def state_with(rows: dict[str, Upstream], changes: dict[str, ModelChanges]) -> GatewayState:
    state = GatewayState(None, "dc", RetryBounds(0.2, 50, 10), None)  # type: ignore[arg-type]
    services = {"s": ServiceSpec("s", 10, ENGINE)}
    state.routes = RouteTable(ServingConfiguration(1, (ROUTE,), services))
    state.upstreams.adopt(rows, changes)
    return state


def journey(route: Route = ROUTE) -> Journey:
    request = HttpRequest("POST", "/x", [], b"", now_ms())
    deadline_ms = now_ms() + route.timeout_ms
    caller = RequestMetadata("q", route.timeout_ms, "m")
    return Journey(request, caller, route, "s", deadline_ms, Trace("q", now_ms(), 1))


class TestModelArrival:
    """Covers how long a request for a missing model would wait."""

    @pytest.mark.parametrize(
        ("arrivals_ms", "at_hand", "expected_ms"),
        [
            ({}, [], 6700.0),
            ({}, ["m"], 1900.0),
            ({"m": 900.0}, [], 900.0),
            ({"m": -500.0}, [], 150.0),
            ({"m": -9000.0}, ["m"], 1900.0),
            ({"other": 100.0}, [], 6700.0),
        ],
    )
    async def test_load_under_way_goes_before_an_estimate(
        self, arrivals_ms: dict[str, float], at_hand: list[str], expected_ms: float
    ) -> None:
        state = upstream(at_hand=at_hand)
        state.arrivals_ms = {model: now_ms() + ms for model, ms in arrivals_ms.items()}
        assert model_arrival_ms(MODEL, [state]) == pytest.approx(expected_ms, abs=60.0)


class TestReturningCaller:
    """Covers callers that were sent away while a model was loaded and come back."""

    async def test_caller_waits_for_a_load_that_is_about_to_end(self) -> None:
        changes = ModelChanges("e", 3, 1, [], {"m": now_ms() + 800.0})
        state = state_with({"e": ROW}, {"e": changes})
        assert Admission().refusal(journey(), state) is None

    async def test_caller_is_sent_away_for_as_long_as_the_load_takes(self) -> None:
        changes = ModelChanges("e", 3, 1, [], {"m": now_ms() + 4000.0})
        failure = Admission().refusal(journey(), state_with({"e": ROW}, {"e": changes}))
        assert failure is not None
        assert failure.retry_after_ms == pytest.approx(4000.0, abs=60.0)

    async def test_change_that_ages_on_its_way_keeps_its_end(self) -> None:
        assert ModelChanges("e", 3, 1, [], {"m": 900.0}).aged(400.0).arriving_ms == {"m": 500.0}


class TestWaitingForAModel:
    """Covers requests that wait for a model, which were let in on an estimate."""

    async def test_wait_is_not_cut_short_by_an_estimate(self) -> None:
        state = state_with({"e": attrs.evolve(ROW, at_hand=["m"])}, {})
        waiting = journey(attrs.evolve(ROUTE, latency_objective_ms=1000.0))
        assert Admission().wait_ms(waiting, state) > 0
        assert waiting.refusal is None

    async def test_wait_ends_when_the_load_is_known_to_end_too_late(self) -> None:
        changes = ModelChanges("e", 3, 1, [], {"m": now_ms() + 5000.0})
        waiting = journey()
        assert Admission().wait_ms(waiting, state_with({"e": ROW}, {"e": changes})) == 0.0
        assert waiting.refusal is not None
        assert waiting.refusal.retry_after_ms == pytest.approx(5000.0, abs=60.0)

    async def test_instance_without_any_upstream_waits_for_announcements(self) -> None:
        assert Admission().refusal(journey(), state_with({}, {})) is None


class TestRefusedEverywhere:
    """Covers requests that every upstream which could run them has refused."""

    @pytest.mark.parametrize(
        ("holds", "is_tried", "waits"),
        [(True, True, False), (True, False, True), (False, True, True), (False, False, True)],
    )
    async def test_only_a_model_that_is_nowhere_is_waited_for(
        self, holds: bool, is_tried: bool, waits: bool
    ) -> None:
        models = [LoadedModel("m")] if holds else []
        state = state_with({"e": attrs.evolve(ROW, models=models, at_hand=["m"])}, {})
        request = journey(attrs.evolve(ROUTE, latency_objective_ms=1000.0))
        if is_tried:
            request.tried, request.sent = {"e"}, 1
        assert (Admission().wait_ms(request, state) > 0) is waits

    async def test_plain_service_that_is_full_is_not_waited_for(self) -> None:
        state = state_with({"e": ROW}, {})
        request = journey()
        request.caller = attrs.evolve(request.caller, model="")
        assert Admission().wait_ms(request, state) > 0
        request.tried, request.sent = {"e"}, 1
        assert Admission().wait_ms(request, state) == 0.0

    @pytest.mark.parametrize(
        "changes",
        [{"is_resumable": False}, {"kind": RequestKind.NON_IDEMPOTENT}],
        ids=["stream", "non_idempotent"],
    )
    async def test_request_that_may_have_run_and_must_not_again_is_not_waited_for(
        self, changes: dict[str, object]
    ) -> None:
        request = journey(attrs.evolve(ROUTE, **changes))  # type: ignore[arg-type]
        request.may_have_run = True
        assert Admission().wait_ms(request, state_with({"e": ROW}, {})) == 0.0


class TestCrashedEngine:
    """Covers an engine to which no connection can be opened."""

    async def test_it_is_left_out_and_tried_again_after_a_while(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        state = upstream()
        state.connect_failed()
        assert state.is_reachable and not state.is_reported_unreachable
        state.connect_failed()
        assert not state.is_reachable and state.is_reported_unreachable
        await trio.sleep(CONNECT_PROBE_MS / 1000.0)
        assert state.is_reachable and state.is_reported_unreachable
        await trio.sleep(UNREACHABLE_REPORT_MS / 1000.0)
        assert not state.is_reported_unreachable

    async def test_request_for_its_model_is_sent_away_until_another_engine_can_load_it(
        self,
    ) -> None:
        holder = attrs.evolve(ROW, models=[LoadedModel("m")])
        other = attrs.evolve(ROW, upstream_id="f", address="10.0.0.2:80")
        state = state_with({"e": holder, "f": other}, {})
        assert Admission().refusal(journey(), state) is None
        for _ in range(2):
            state.upstreams.get("e").connect_failed()  # type: ignore[union-attr]
        assert Admission().refusal(journey(), state) is not None


class TestRefusedForWantOfAModel:
    """Covers upstreams that do not hold what they announced, such as one that has restarted."""

    async def test_upstream_is_not_asked_again_before_its_next_announcement(self) -> None:
        state = upstream(models=[LoadedModel("m", ["a"])])
        assert state.holds("m") and state.announces_adapter("m", "a")
        state.missed("m")
        state.adapter_missed("m", "a")
        assert not state.holds("m") and not state.announces_adapter("m", "a")
        state.row = attrs.evolve(state.row, sequence=8)
        assert state.holds("m") and state.announces_adapter("m", "a")


class TestPlannedStop:
    """Covers requests that reach an instance in the last part of its stop."""

    async def test_stream_is_sent_away_at_once(self) -> None:
        state = state_with({"e": attrs.evolve(ROW, models=[LoadedModel("m")])}, {})
        assert Admission().refusal(journey(), state) is None
        state.is_stopping = True
        refused = Admission().refusal(journey(), state)
        assert refused is not None and refused.kind is ErrorKind.DRAINING

    async def test_short_request_is_still_served(self) -> None:
        state = state_with({"e": ROW}, {})
        state.is_stopping = True
        plain = attrs.evolve(ROUTE, kind=RequestKind.NON_IDEMPOTENT)
        assert Admission().refusal(journey(plain), state) is None


class TestBrokenStream:
    """Covers streams whose engine crashed with the only replica of their model."""

    @staticmethod
    def broken(route: Route) -> Journey:
        found = journey(route)
        found.tried, found.may_have_run, found.sent = {"e"}, True, 1
        return found

    async def test_stream_that_may_be_resumed_waits_for_another_replica(self) -> None:
        state = state_with({"e": attrs.evolve(ROW, models=[LoadedModel("m")])}, {})
        stream = self.broken(ROUTE)
        stream.progress_ms = now_ms()
        stream.request = attrs.evolve(stream.request, received_ms=now_ms() - 5000.0)
        assert Admission().wait_ms(stream, state) > 500.0

    async def test_it_waits_no_longer_than_its_caller(self) -> None:
        state = state_with({"e": attrs.evolve(ROW, models=[LoadedModel("m")])}, {})
        stream = self.broken(ROUTE)
        stream.progress_ms = now_ms() - 1500.0
        assert Admission().wait_ms(stream, state) <= 0.0

    async def test_request_that_must_not_run_twice_ends(self) -> None:
        state = state_with({"e": ROW}, {})
        plain = attrs.evolve(ROUTE, kind=RequestKind.NON_IDEMPOTENT, max_attempts=3)
        assert Admission().wait_ms(self.broken(plain), state) == 0.0
