"""Tests of the dispatcher of a service."""

from __future__ import annotations

import attrs

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

    def test_full_cache_is_never_exceeded(self):
        """Guards against running requests that the engine has to preempt."""
        dispatcher = Dispatcher()
        dispatcher.update_engines([row("a", 8)], SPEC, 0.0)
        for number in range(6):
            dispatcher.submit(request(str(number), "a", prompt_tokens=6000), 0.0)
            dispatcher.advance(400.0 * number)
            assert dispatcher.pool.engines["a"].used_tokens <= SPEC.cache_tokens
        assert dispatcher.counts["placed"] + dispatcher.counts["placed_with_harm"] == 3

    def test_repeated_request_keeps_its_place_and_its_engine(self):
        """Guards against two dispatches of a request whose reply was lost."""
        dispatcher = Dispatcher()
        dispatcher.update_engines([row("a"), row("b")], SPEC, 0.0)
        first = dispatcher.submit(request("1", "a", "b"), 0.0)
        assert dispatcher.submit(request("1", "a", "b"), 200.0) == first
        other = "b" if first.upstream_id == "a" else "a"
        assert dispatcher.submit(request("1", other), 250.0).upstream_id == other
        assert not dispatcher.pool.engines[first.upstream_id].dispatches

    def test_repeated_request_with_other_fields_stays_in_the_queue(self):
        """Guards against a request that is filed under one key and looked up under another."""
        dispatcher = Dispatcher()
        dispatcher.update_engines([row("a", 1), row("b", 1)], SPEC, 0.0)
        dispatcher.submit(request("1", "a"), 0.0)
        assert dispatcher.submit(request("2", "a"), 0.0).outcome == Outcome.QUEUED.value
        changed = request("2", "b", account="x", model="n", has_returned=True, route_priority=2)
        assert dispatcher.submit(changed, 20.0).upstream_id == "b"
        assert len(dispatcher.queue) == 0

    def test_request_for_one_busy_engine_does_not_hold_up_others_of_its_model(self):
        """Guards against requests that wait although their engines are free."""
        dispatcher = Dispatcher()
        dispatcher.update_engines([row("a", 1), row("b", 2)], SPEC, 0.0)
        dispatcher.submit(request("1", "a"), 0.0)
        assert dispatcher.submit(request("2", "a"), 0.0).outcome == Outcome.QUEUED.value
        assert dispatcher.submit(request("3", "a", "b"), 30.0).upstream_id == "b"

    def test_callers_that_leave_do_not_discredit_their_engine(self):
        """Guards against an engine that gets no requests because callers were impatient."""
        dispatcher = Dispatcher()
        dispatcher.update_engines([row("a", 8)], SPEC, 0.0)
        cases = ((0.0, 800.0), (900.0, 810.0), (2000.0, 5.0), (2020.0, 5.0))
        for number, (at_ms, took_ms) in enumerate(cases):
            assert dispatcher.submit(request(str(number), "a"), at_ms).upstream_id == "a"
            ended = Observation(ObservationKind.ENDED.value, "a", 0.0, str(number))
            dispatcher.observe("entry-1", ended, at_ms + took_ms)
            is_avoided = dispatcher.pool.engines["a"].is_avoided(at_ms + took_ms)
            assert is_avoided == (number == 3)  # after two refusals


class TestRejection:
    def full(self) -> Dispatcher:
        """Return a dispatcher whose only engine has no free slot."""
        dispatcher = Dispatcher()
        dispatcher.update_engines([row("a")], SPEC, 0.0)
        for number in range(2):
            dispatcher.submit(request(f"run-{number}", "a"), 0.0)
            began = Observation(ObservationKind.FIRST_EVENT.value, "a", 0.0, f"run-{number}")
            dispatcher.observe("entry-1", began, 200.0)
        return dispatcher

    def test_request_that_would_begin_too_late_is_rejected_at_once(self):
        """Guards against requests that are held back until their deadline."""
        dispatcher = self.full()
        replies = [dispatcher.submit(request(str(n), "a"), 1000.0 + 10 * n) for n in range(8)]
        rejected = [reply for reply in replies if reply.outcome == Outcome.REJECTED.value]
        assert len(rejected) >= 5
        assert {reply.outcome for reply in replies} == {"queued", "rejected"}
        times = [reply.retry_after_ms for reply in rejected]
        assert len(set(times)) == len(times) and min(times) > 300.0

    def test_no_rejection_while_engines_are_idle(self):
        """Guards against a refusal of a request that an idle engine could run."""
        dispatcher = Dispatcher()
        dispatcher.update_engines([row("a")], SPEC, 0.0)
        hopeless = request("1", "a", first_event_objective_ms=1.0, max_wait_ms=2.0)
        assert dispatcher.submit(hopeless, 0.0).outcome == Outcome.PLACED.value

    def test_request_that_exceeds_every_cache_is_rejected_at_once(self):
        """Guards against a request that is held until its deadline although it can never start."""
        dispatcher = Dispatcher()
        dispatcher.update_engines([row("a")], SPEC, 0.0)
        reply = dispatcher.submit(request("1", "a", output_tokens=30_000), 0.0)
        assert reply.outcome == Outcome.REJECTED.value and "exceed the cache" in reply.reason

    def test_request_without_known_engines_waits_for_their_rows(self):
        """Guards against rejections by a coordinator that has just started."""
        dispatcher = Dispatcher()
        assert dispatcher.submit(request("1", "a"), 0.0).outcome == Outcome.QUEUED.value
        dispatcher.update_engines([row("a")], SPEC, 50.0)
        assert dispatcher.next_change_ms(50.0) == 0.0
        assert dispatcher.advance(50.0) == ["1"]


class TestForgetting:
    def test_engine_that_returns_empty_has_no_dispatches(self):
        """Guards against slots that stay taken by requests of a crashed engine."""
        dispatcher = Dispatcher()
        dispatcher.update_engines([row("a")], SPEC, 0.0)
        dispatcher.submit(request("1", "a"), 0.0)
        dispatcher.update_engines([attrs.evolve(row("a"), incarnation=2)], SPEC, 100.0)
        assert not dispatcher.pool.engines["a"].dispatches
        assert dispatcher.submit(request("1", "a"), 120.0).outcome == Outcome.PLACED.value

    def test_dispatch_without_an_end_is_forgotten(self):
        """Guards against slots that stay taken when an entry instance dies."""
        dispatcher = Dispatcher()
        dispatcher.update_engines([row("a")], SPEC, 0.0)
        dispatcher.submit(request("1", "a"), 0.0)
        # Nothing waits, so the service does not ask for a pass.
        assert dispatcher.next_change_ms(20_000.0) is None
        dispatcher.submit(request("2", "a"), 20_000.0)
        assert list(dispatcher.pool.engines["a"].dispatches) == ["2"]
        assert dispatcher.counts["forgotten"] == 1

    def test_queued_request_is_forgotten_when_nobody_asks_for_it(self):
        """Guards against a dispatch for an entry instance that has ended."""
        dispatcher = Dispatcher()
        dispatcher.update_engines([row("a", 1)], SPEC, 0.0)
        dispatcher.submit(request("1", "a"), 0.0)
        patient = request("2", "a", first_event_objective_ms=9e3, max_wait_ms=9e3)
        assert dispatcher.submit(patient, 0.0).outcome == Outcome.QUEUED.value
        dispatcher.advance(1500.0)
        assert len(dispatcher.queue) == 0 and dispatcher.next_change_ms(1500.0) is None

    def test_cancelled_request_frees_its_slot(self):
        """Guards against a slot that stays taken when a caller leaves."""
        dispatcher = Dispatcher()
        dispatcher.update_engines([row("a", 1)], SPEC, 0.0)
        dispatcher.submit(request("1", "a"), 0.0)
        dispatcher.cancel("1", 10.0)
        assert dispatcher.submit(request("2", "a"), 20.0).outcome == Outcome.PLACED.value
