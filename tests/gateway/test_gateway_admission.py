"""Tests for the admission of requests whose model is not loaded."""

from __future__ import annotations

import attrs
import pytest
import trio

from briardyke.addresses import parse_address
from briardyke.clock import now_ms
from briardyke.errors import ErrorKind
from briardyke.fleet.records import READY, LoadedModel, ModelChanges, Upstream
from briardyke.gateway.admission import Admission, model_available_in_ms
from briardyke.gateway.dialect import RequestMetadata
from briardyke.gateway.forward import Forwarder
from briardyke.gateway.request_context import RequestContext
from briardyke.gateway.state import GatewayState, RetryBounds
from briardyke.gateway.trace import Trace
from briardyke.gateway.upstreams import (
    CONNECT_PROBE_INTERVAL_MS,
    REFUSED_MODEL_TTL_MS,
    UNREACHABLE_REPORT_TTL_MS,
    UpstreamState,
)
from briardyke.http.buffers import BufferBudget
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
    state.upstreams.update(rows, changes)
    return state


def context(route: Route = ROUTE) -> RequestContext:
    request = HttpRequest("POST", "/x", [], b"", now_ms())
    deadline_ms = now_ms() + route.timeout_ms
    metadata = RequestMetadata("q", route.timeout_ms, "m")
    trace = Trace("q", now_ms(), 1)
    return RequestContext(request, metadata, route, "s", deadline_ms, trace, BufferBudget().open())


class TestModelArrival:
    """Covers the expected wait of a request for a missing model."""

    @pytest.mark.parametrize(
        ("remaining_ms", "at_hand", "expected_ms"),
        [
            ({}, [], 6700.0),
            ({}, ["m"], 1900.0),
            ({"m": 900.0}, [], 900.0),
            ({"m": -500.0}, [], 150.0),
            ({"m": -9000.0}, ["m"], 1900.0),
            ({"other": 100.0}, [], 6700.0),
        ],
    )
    async def test_load_in_progress_takes_precedence_over_an_estimate(
        self, remaining_ms: dict[str, float], at_hand: list[str], expected_ms: float
    ) -> None:
        state = upstream(at_hand=at_hand)
        state.available_at_ms = {model: now_ms() + ms for model, ms in remaining_ms.items()}
        assert model_available_in_ms(MODEL, [state]) == pytest.approx(expected_ms, abs=60.0)


class TestRetryingCaller:
    """Covers callers that were rejected while a model was loading and retry."""

    async def test_caller_waits_for_a_load_that_is_about_to_end(self) -> None:
        changes = ModelChanges("e", 3, 1, [], {"m": now_ms() + 800.0})
        state = state_with({"e": ROW}, {"e": changes})
        assert Admission().refusal(context(), state) is None

    async def test_retry_after_matches_the_remaining_load_time(self) -> None:
        changes = ModelChanges("e", 3, 1, [], {"m": now_ms() + 4000.0})
        failure = Admission().refusal(context(), state_with({"e": ROW}, {"e": changes}))
        assert failure is not None
        assert failure.retry_after_ms == pytest.approx(4000.0, abs=60.0)

    async def test_model_change_keeps_its_end_as_it_ages(self) -> None:
        assert ModelChanges("e", 3, 1, [], {"m": 900.0}).aged(400.0).arriving_ms == {"m": 500.0}


class TestWaitingForAModel:
    """Covers requests that wait for a model and were admitted on an estimate."""

    async def test_wait_is_not_ended_early_by_an_estimate(self) -> None:
        state = state_with({"e": attrs.evolve(ROW, at_hand=["m"])}, {})
        waiting = context(attrs.evolve(ROUTE, latency_objective_ms=1000.0))
        assert Admission().remaining_wait_ms(waiting, state) > 0
        assert waiting.refusal is None

    async def test_wait_ends_when_the_load_is_known_to_end_too_late(self) -> None:
        changes = ModelChanges("e", 3, 1, [], {"m": now_ms() + 5000.0})
        waiting = context()
        assert Admission().remaining_wait_ms(waiting, state_with({"e": ROW}, {"e": changes})) == 0.0
        assert waiting.refusal is not None
        assert waiting.refusal.retry_after_ms == pytest.approx(5000.0, abs=60.0)

    async def test_instance_without_any_upstream_waits_for_announcements(self) -> None:
        assert Admission().refusal(context(), state_with({}, {})) is None


class TestRejectedEverywhere:
    """Covers requests that all candidate upstreams have rejected."""

    @pytest.mark.parametrize(
        ("holds", "is_tried", "waits"),
        [(True, True, False), (True, False, True), (False, True, True), (False, False, True)],
    )
    async def test_request_waits_only_for_a_model_that_no_upstream_holds(
        self, holds: bool, is_tried: bool, waits: bool
    ) -> None:
        models = [LoadedModel("m")] if holds else []
        state = state_with({"e": attrs.evolve(ROW, models=models, at_hand=["m"])}, {})
        request = context(attrs.evolve(ROUTE, latency_objective_ms=1000.0))
        if is_tried:
            request.tried_upstreams, request.sent_attempts = {"e"}, 1
        assert (Admission().remaining_wait_ms(request, state) > 0) is waits

    async def test_request_does_not_wait_for_a_full_plain_service(self) -> None:
        state = state_with({"e": ROW}, {})
        request = context()
        request.metadata = attrs.evolve(request.metadata, model="")
        assert Admission().remaining_wait_ms(request, state) > 0
        request.tried_upstreams, request.sent_attempts = {"e"}, 1
        assert Admission().remaining_wait_ms(request, state) == 0.0

    @pytest.mark.parametrize(
        "changes",
        [{"is_resumable": False}, {"kind": RequestKind.NON_IDEMPOTENT}],
        ids=["stream", "non_idempotent"],
    )
    async def test_request_that_may_have_run_and_is_not_retryable_does_not_wait(
        self, changes: dict[str, object]
    ) -> None:
        request = context(attrs.evolve(ROUTE, **changes))  # type: ignore[arg-type]
        request.may_have_run = True
        assert Admission().remaining_wait_ms(request, state_with({"e": ROW}, {})) == 0.0


class TestCrashedEngine:
    """Covers an engine to which no connection can be opened."""

    async def test_it_is_excluded_and_tried_again_after_a_while(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        state = upstream()
        state.connect_failed()
        assert state.is_reachable and not state.is_reported_unreachable
        state.connect_failed()
        assert not state.is_reachable and state.is_reported_unreachable
        await trio.sleep(CONNECT_PROBE_INTERVAL_MS / 1000.0)
        assert state.is_reachable and state.is_reported_unreachable
        await trio.sleep(UNREACHABLE_REPORT_TTL_MS / 1000.0)
        assert not state.is_reported_unreachable

    async def test_request_for_its_model_is_rejected_until_another_engine_can_load_it(
        self,
    ) -> None:
        holder = attrs.evolve(ROW, models=[LoadedModel("m")])
        other = attrs.evolve(ROW, upstream_id="f", address="10.0.0.2:80")
        state = state_with({"e": holder, "f": other}, {})
        assert Admission().refusal(context(), state) is None
        for _ in range(2):
            state.upstreams.get("e").connect_failed()  # type: ignore[union-attr]
        assert Admission().refusal(context(), state) is not None


class TestRejectedForMissingModel:
    """Covers upstreams that lack a model that they announced, for example after a restart."""

    async def test_upstream_is_not_selected_again_before_its_next_announcement(self) -> None:
        state = upstream(models=[LoadedModel("m", ["a"])])
        assert state.holds("m") and state.announces_adapter("m", "a")
        state.record_model_miss("m")
        state.record_adapter_miss("m", "a")
        assert not state.holds("m") and not state.announces_adapter("m", "a")
        state.row = attrs.evolve(state.row, sequence=8)
        assert state.holds("m") and state.announces_adapter("m", "a")


class TestEngineThatUnloads:
    """Covers an engine that refuses a model while the order to unload it is in progress.

    An entry instance behind a partition does not learn of the order and would send every request
    for the model there.
    """

    async def test_refused_model_gets_no_requests_for_a_while(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        engine = upstream(models=[LoadedModel("m"), LoadedModel("n")])
        engine.record_refusal("m")
        assert not engine.holds("m") and engine.holds("n")
        await trio.sleep(REFUSED_MODEL_TTL_MS / 1000.0)
        assert engine.holds("m")

    async def test_full_engine_keeps_its_models(self) -> None:
        engine = upstream(models=[LoadedModel("m")])
        engine.in_flight = ROW.slots
        engine.record_refusal("m")
        assert engine.holds("m")

    async def test_caller_returns_at_once_when_another_engine_has_room(self) -> None:
        other = upstream(models=[LoadedModel("m")])
        failure = Admission().upstream_refusal(context(), "status 503", [other])
        assert failure.retry_after_ms is not None and failure.retry_after_ms <= 50
        other.in_flight = ROW.slots
        failure = Admission().upstream_refusal(context(), "status 503", [other])
        assert failure.retry_after_ms is None

    async def test_caller_returns_after_the_pause_that_the_upstream_asked_for(self) -> None:
        failure = Admission().upstream_refusal(context(), "status 503", [], 700.0)
        assert failure.retry_after_ms == 700
        failure = Admission().upstream_refusal(context(), "status 503", [], 60_000.0)
        assert failure.retry_after_ms == pytest.approx(context().remaining_ms / 3.0, abs=50.0)


class TestPlannedShutdown:
    """Covers requests that reach an instance in the last phase of its shutdown."""

    async def test_stream_that_may_outlast_it_is_rejected_at_once(self) -> None:
        state = state_with({"e": attrs.evolve(ROW, models=[LoadedModel("m")])}, {})
        state.is_stopping, state.stop_ms = True, context().deadline_ms + 10.0
        assert Admission().refusal(context(), state) is None
        state.stop_ms = context().deadline_ms - 10.0
        failure = Admission().refusal(context(), state)
        assert failure is not None and failure.kind is ErrorKind.DRAINING

    async def test_short_request_is_still_served(self) -> None:
        state = state_with({"e": ROW}, {})
        state.is_stopping = True
        plain = attrs.evolve(ROUTE, kind=RequestKind.NON_IDEMPOTENT)
        assert Admission().refusal(context(plain), state) is None


class TestBrokenStream:
    """Covers streams whose engine crashed with the only replica of their model."""

    @staticmethod
    def broken_stream(route: Route) -> RequestContext:
        stream = context(route)
        stream.tried_upstreams, stream.may_have_run, stream.sent_attempts = {"e"}, True, 1
        return stream

    async def test_resumable_stream_waits_for_another_replica(self) -> None:
        state = state_with({"e": attrs.evolve(ROW, models=[LoadedModel("m")])}, {})
        stream = self.broken_stream(ROUTE)
        stream.last_progress_ms = now_ms()
        stream.request = attrs.evolve(stream.request, received_ms=now_ms() - 5000.0)
        assert Admission().remaining_wait_ms(stream, state) > 500.0

    async def test_stream_waits_no_longer_than_its_caller(self) -> None:
        state = state_with({"e": attrs.evolve(ROW, models=[LoadedModel("m")])}, {})
        stream = self.broken_stream(ROUTE)
        stream.last_progress_ms = now_ms() - 1500.0
        assert Admission().remaining_wait_ms(stream, state) <= 0.0

    async def test_request_that_is_not_retryable_does_not_wait(self) -> None:
        state = state_with({"e": ROW}, {})
        plain = attrs.evolve(ROUTE, kind=RequestKind.NON_IDEMPOTENT, max_attempts=3)
        assert Admission().remaining_wait_ms(self.broken_stream(plain), state) == 0.0


class TestEndOfAWait:
    """Covers a request whose wait for its model is over but for a rounding error."""

    async def test_it_is_not_repeated_without_end(
        self, autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        state = state_with({"e": ROW}, {})
        monkeypatch.setattr(state.admission, "remaining_wait_ms", lambda *_: 1e-13)
        await trio.sleep(100.0)  # the clock no longer resolves the rest of the wait
        waiting = context()
        assert await Forwarder(state).attempts.next_upstream(waiting) is None
