"""Control instance and dispatcher as a coordinator sees them."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

import attrs

from briardyke.dispatch.messages import (
    DispatchReply,
    DispatchRequest,
    Observation,
    ObservationKind,
    Outcome,
)
from briardyke.fleet.activity import ActivityAggregator
from briardyke.fleet.records import READY, EntryInstance, LoadedModel, Upstream
from briardyke.fleet.tables import SoftTables
from briardyke.routes.configuration import (
    EngineSpec,
    ModelSpec,
    ServiceSpec,
    ServingConfiguration,
)

ENGINE = EngineSpec(8, 100.0, 8, 1.0, 1000, {"m": ModelSpec("m", 40.0, 6.0, 1.2, 0.6, 0, 0.0)})
PLACED, QUEUED, REJECTED = Outcome.PLACED.value, Outcome.QUEUED.value, Outcome.REJECTED.value


def request(request_id: str = "q-1", **changes: Any) -> DispatchRequest:
    """Return a request for an engine."""
    base = DispatchRequest(
        *("i-1", request_id, "pool", "m", "", ["e-1"], [], "dc", 1460, 100),
        *(["system", "user-1"], [1000, 460], "", None, 1, 500.0, 300.0, 1800.0),
    )
    return attrs.evolve(base, **changes)


def load(upstream_id: str = "e-1", slowness: float = 1.0) -> Observation:
    """Return an observed load report."""
    return Observation(
        ObservationKind.LOAD.value, upstream_id, 5.0, running=1, slots=8, slowness=slowness
    )


def ended(request_id: str, upstream_id: str = "e-1") -> Observation:
    """Return the observation that a request has ended."""
    return Observation(ObservationKind.ENDED.value, upstream_id, 5.0, request_id)


@attrs.define
class FakeControl:
    """Control instance with tables and without peers."""

    tables: SoftTables = attrs.field(factory=SoftTables)
    activity: ActivityAggregator = attrs.field(factory=lambda: ActivityAggregator("c"))
    is_complete: bool = True

    @property
    def rows(self) -> Any:
        return self

    def live_upstreams(self) -> list[Upstream]:
        return [r for r, is_silent in self.tables.upstreams.changed_after(0) if not is_silent]

    def add_engine(self, upstream_id: str, slots: int = 8, sequence: int = 1) -> None:
        self.tables.upstreams.merge(
            Upstream(
                *(upstream_id, 1, sequence, "pool", "10.0.0.1:80", "dc", READY, slots),
                [LoadedModel("m")],
            )
        )

    def report(self, instance_id: str, in_flight: dict[str, list[int]]) -> None:
        entry = EntryInstance(*(instance_id, 1, 1, "10.0.1.1:80", "dc", True), in_flight=in_flight)
        self.tables.entries.merge(entry)
        self.activity.record_report(entry)


@attrs.define
class FakeDispatcher:
    """Dispatcher that places requests on the first of their engines with a free slot."""

    slots: dict[str, int] = attrs.field(factory=dict)
    placed: dict[str, str] = attrs.field(factory=dict)
    waiting: dict[str, DispatchRequest] = attrs.field(factory=dict)
    seen: list[DispatchRequest] = attrs.field(factory=list)
    observed: list[tuple[str, Observation]] = attrs.field(factory=list)
    in_flight: dict[str, list[int]] = attrs.field(factory=dict)
    counts: Counter[str] = attrs.field(factory=Counter)
    updates: int = 0
    advances: int = 0
    changed: bool = False
    rejects: bool = False
    cache_tokens: int = 0
    pass_s: float = 0.0
    postponed_ms: float = float("-inf")

    def update_engines(self, rows: list[Upstream], spec: EngineSpec, now_ms: float) -> None:
        self.slots = {row.upstream_id: row.slots for row in rows}
        self.cache_tokens = spec.cache_tokens
        self.updates += 1
        self.changed = True

    def submit(self, request: DispatchRequest, now_ms: float) -> DispatchReply:
        self.seen.append(request)
        self.counts["submitted"] += 1
        if self.rejects:
            return DispatchReply(REJECTED, retry_after_ms=300.0, reason="full")
        self.waiting[request.request_id] = request
        self._place()
        if request.request_id in self.placed:
            return DispatchReply(PLACED, self.placed[request.request_id], 120.0)
        return DispatchReply(QUEUED)

    def observe(self, instance_id: str, observation: Observation, now_ms: float) -> None:
        self.observed.append((instance_id, observation))
        self.changed = True
        if observation.kind == ObservationKind.ENDED.value:
            self.placed.pop(observation.request_id, None)

    def cancel(self, request_id: str, now_ms: float) -> None:
        self.placed.pop(request_id, None)
        self.waiting.pop(request_id, None)

    def advance(self, now_ms: float) -> list[str]:
        self.advances += 1
        end_s = time.thread_time() + self.pass_s
        while time.thread_time() < end_s:
            pass
        self.changed = False
        return self._place()

    def next_change_ms(self, now_ms: float) -> float | None:
        if not self.waiting:
            return None
        return 0.0 if self.changed else 1000.0

    def update_in_flight(self, counts: dict[str, list[int]], age_ms: float, now_ms: float) -> None:
        self.in_flight = counts

    def postpone(self, until_ms: float) -> None:
        self.postponed_ms = until_ms

    def _place(self) -> list[str]:
        decided = []
        for request_id, request in list(self.waiting.items()):
            used = list(self.placed.values())
            free = [i for i in request.upstream_ids if used.count(i) < self.slots.get(i, 0)]
            if free:
                self.placed[request_id] = free[0]
                del self.waiting[request_id]
                decided.append(request_id)
        return decided


def configuration(engine: EngineSpec | None = ENGINE) -> ServingConfiguration:
    """Return a configuration with one service."""
    return ServingConfiguration(1, (), {"pool": ServiceSpec("pool", 10, engine)})
