"""Tests of the message that explains a decision to an entry instance."""

from __future__ import annotations

import copy
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs
import pytest
from coordinator_fakes import (
    ENGINE,
    PLACED,
    QUEUED,
    REJECTED,
    FakeControl,
    configuration,
    load,
    request,
)
from test_dispatcher import row

from briardyke.clock import now_ms
from briardyke.dispatch.coordinator import DispatchCoordinator
from briardyke.dispatch.dispatcher import Dispatcher
from briardyke.dispatch.explanation import foresee
from briardyke.dispatch.messages import ExplainReply, ExplainRequest
from briardyke.fleet.control import ControlInstance
from briardyke.wire.codec import decode, encode, unstructure

if TYPE_CHECKING:
    import trio

SPEC = attrs.evolve(ENGINE, cache_tokens=20_000)


def state_of(value: Any, seen: set[int] | None = None) -> Any:
    """Return all that an object holds as plain values, to compare it before and after."""
    seen = set() if seen is None else seen
    if isinstance(value, str | bytes | int | float | None):
        return value
    if not type(value).__module__.startswith(("briardyke", "builtins", "coll", "sorted")):
        return type(value).__name__
    if callable(value):
        return "callable"
    if id(value) in seen:
        return "seen"
    seen.add(id(value))
    if isinstance(value, dict):
        return [(state_of(k, seen), state_of(v, seen)) for k, v in value.items()]
    if isinstance(value, list | tuple):
        return [state_of(item, seen) for item in value]
    if isinstance(value, set | frozenset):
        return sorted(repr(item) for item in value)
    if hasattr(value, "__iter__") and type(value).__module__.startswith("sortedcontainers"):
        return [state_of(item, seen) for item in value]
    names = [*getattr(value, "__dict__", {}), *getattr(type(value), "__slots__", ())]
    return [
        (name, state_of(getattr(value, name), seen))
        for name in sorted(set(names) - {"__weakref__", "__orig_class__"})
        if hasattr(value, name)
    ]


class Site:
    """Coordinator with real dispatchers and one engine of two slots."""

    def __init__(self) -> None:
        self.control = FakeControl()
        self.control.add_engine("e-1", slots=2)
        self.dispatchers: list[Dispatcher] = []
        control: Any = self.control
        self.coordinator = DispatchCoordinator(control, lambda: configuration(SPEC), self._create)

    def _create(self) -> Dispatcher:
        self.dispatchers.append(Dispatcher())
        return self.dispatchers[-1]

    async def submit(self, request_id: str, **changes: Any) -> str:
        reply = await self.coordinator.answer(request(request_id, **changes))
        assert reply is not None
        return reply.outcome

    async def explain(self, **changes: Any) -> ExplainReply:
        reply = await self.coordinator.explain(request("i-1/explain", **changes))
        assert reply is not None
        return reply


class TestExplainMessage:
    """Covers what a coordinator says of a request that nobody sends."""

    async def test_explaining_changes_nothing(self, autojump_clock: trio.testing.MockClock) -> None:
        """Guards against a question that takes a place, a count, a share or a learned value."""
        site = Site()
        for number in range(4):
            await site.submit(f"q-{number}", observations=[load(slowness=1.5)])
        (decides,) = site.dispatchers
        services = site.coordinator._services
        before = state_of(decides), state_of(site.coordinator._returning)
        used_ms, held = services["pool"].used_ms, dict(services["pool"].held)
        for max_wait_ms in (1.0, 300.0, 5000.0):
            for objective_ms in (100.0, 500.0, 4000.0):
                await site.explain(
                    max_wait_ms=max_wait_ms, first_event_objective_ms=objective_ms, account="a"
                )
        assert (state_of(decides), state_of(site.coordinator._returning)) == before
        assert (services["pool"].used_ms, services["pool"].held) == (used_ms, held)
        assert len(site.dispatchers) == 1

    async def test_comparison_of_states_finds_a_change(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against a comparison that sees no change of a dispatcher at all."""
        site = Site()
        await site.submit("q-0")
        (decides,) = site.dispatchers
        before = state_of(decides)
        assert state_of(copy.deepcopy(decides)) == before
        decides.observe("i-1", load(slowness=2.0), now_ms())
        assert state_of(decides) != before

    async def test_service_without_requests_stays_unknown(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against a question that makes a control instance coordinate a service."""
        site = Site()
        explained = await site.explain()
        assert (explained.reply.outcome, explained.reply.upstream_id) == (PLACED, "e-1")
        assert not site.coordinator._services

    async def test_rules_and_unknown_engines_are_named(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        site = Site()
        await site.submit("q-0")
        await site.submit("q-1")
        explained = await site.explain(upstream_ids=["e-1", "e-9"], max_wait_ms=5000.0)
        (candidate,) = explained.candidates
        assert (candidate.upstream_id, candidate.slots) == ("e-1", 2)
        assert candidate.rule and explained.unknown_ids == ["e-9"]

    async def test_instance_that_cannot_coordinate_declines(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        site = Site()
        assert await site.coordinator.explain(request(upstream_ids=["e-9"])) is None
        site.control.is_complete = False
        assert await site.coordinator.explain(request()) is None

    async def test_explanations_are_spaced(
        self, autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against questions that leave a control instance no time for requests."""
        site = Site()
        clock = iter([0.0, 0.03, 1.0, 1.03])
        monkeypatch.setattr("time.thread_time", lambda: next(clock))
        started_ms = now_ms()
        await site.explain()
        await site.explain()
        assert now_ms() - started_ms == pytest.approx(600.0, abs=1.0)


class TestWire:
    """Covers the messages on their way between the instances."""

    async def test_control_instance_answers_a_decoded_message(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against fields that do not survive the codec, as an infinite time."""
        site = Site()
        await site.submit("q-0")
        control = ControlInstance.__new__(ControlInstance)
        control.dispatch = site.coordinator
        question = decode(encode(ExplainRequest(request("x", prompt_tokens=900_000)))).unwrap()
        reply = await control.handle("i-1", question)
        assert decode(encode(reply)).unwrap() == reply
        assert unstructure(reply)["candidates"][0]["upstream_id"] == "e-1"


class TestForeseenReply:
    """Covers the reply that the pure dispatcher is foreseen to give."""

    def test_outcome_is_that_of_the_next_request(self) -> None:
        """Guards against an explanation that a request sent at the same time contradicts."""
        decides = Dispatcher()
        decides.update_engines([row("e-1", 2), row("e-2", 2)], SPEC, 0.0)
        outcomes: Counter[str] = Counter()
        for number in range(24):
            now = number * 40.0
            max_wait_ms = 1.0 if number % 3 == 2 else 1800.0
            asked = request(f"q-{number}", upstream_ids=["e-1", "e-2"], max_wait_ms=max_wait_ms)
            _, foreseen = foresee(decides, asked, now)
            reply = decides.submit(asked, now)
            if reply.outcome == QUEUED:
                decides.advance(now)
                reply = decides.submit(asked, now)
            assert foreseen == reply, number
            outcomes[reply.outcome] += 1
        assert outcomes[PLACED] and outcomes[QUEUED] and outcomes[REJECTED], outcomes

    def test_rejection_names_a_time_to_come_back(self) -> None:
        """Guards against a rejection without the time that the caller would be told."""
        decides = Dispatcher()
        decides.update_engines([row("e-1", 1)], SPEC, 0.0)
        assert decides.submit(request("q-0"), 0.0).outcome == PLACED
        _, reply = foresee(decides, request("x", max_wait_ms=1.0), 1.0)
        assert reply.outcome == REJECTED and reply.retry_after_ms > 0 and reply.reason
        assert not len(decides.queue) and not decides.counts["rejected"]
