"""Tests of the dispatcher of a service."""

from __future__ import annotations

from briardyke.dispatch.dispatcher import Dispatcher
from briardyke.dispatch.messages import DispatchRequest, Observation, ObservationKind, Outcome
from briardyke.fleet.records import READY, LoadedModel, Upstream
from briardyke.routes.configuration import EngineSpec

SPEC = EngineSpec(2, 100.0, 1, 1.0, 20_000, {}, 4)


def row(name: str, slots: int = 2) -> Upstream:
    return Upstream(name, 1, 1, "pool", "10.0.0.1:80", "a", READY, slots, [LoadedModel("m")])


def request(request_id: str, *engines: str, **changes: object) -> DispatchRequest:
    fields: dict[str, object] = {
        "instance_id": "entry-1",
        "request_id": request_id,
        "service": "pool",
        "model": "m",
        "adapter": "",
        "upstream_ids": list(engines),
        "connected_ids": [],
        "data_centre": "a",
        "prompt_tokens": 1000,
        "output_tokens": 64,
        "prefix_ids": [],
        "prefix_tokens": [],
        "account": "",
        "account_priority": None,
        "route_priority": 0,
        "first_event_objective_ms": 500.0,
        "event_gap_objective_ms": 300.0,
        "max_wait_ms": 1400.0,
    }
    return DispatchRequest(**{**fields, **changes})  # type: ignore[arg-type]


class TestPlacement:
    def test_request_is_placed_on_a_listed_engine_with_a_free_slot(self):
        """Guards against a placement on an engine that lacks the model or a slot."""
        dispatcher = Dispatcher()
        dispatcher.update_engines([row("a", 1), row("b", 1), row("c", 1)], SPEC, 0.0)
        assert dispatcher.submit(request("1", "a", "b"), 0.0).outcome == Outcome.PLACED.value
        assert dispatcher.submit(request("2", "a", "b"), 0.0).outcome == Outcome.PLACED.value
        assert dispatcher.submit(request("3", "a", "b"), 0.0).outcome == Outcome.QUEUED.value

    def test_queued_request_is_placed_when_a_slot_is_free(self):
        """Guards against a queued request that stays without a decision."""
        dispatcher = Dispatcher()
        dispatcher.update_engines([row("a", 1)], SPEC, 0.0)
        dispatcher.submit(request("1", "a"), 0.0)
        dispatcher.submit(request("2", "a"), 1.0)
        ended = Observation(ObservationKind.ENDED.value, "a", 0.0, "1")
        dispatcher.observe("entry-1", ended, 500.0)
        assert dispatcher.advance(500.0) == ["2"]
        assert dispatcher.submit(request("2", "a"), 501.0).upstream_id == "a"
