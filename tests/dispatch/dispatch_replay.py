"""Replay streams against modelled engines, with the dispatcher or the choice by reports."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING

from dispatch_engines import EVENT_TOKENS, ModelledEngine, Stream

from briardyke.addresses import parse_address
from briardyke.dispatch.dispatcher import Dispatcher
from briardyke.dispatch.messages import DispatchRequest, Observation, ObservationKind, Outcome
from briardyke.fleet.records import READY, LoadedModel, Upstream
from briardyke.gateway import upstream_selection, upstreams
from briardyke.gateway.dialect import RequestMetadata
from briardyke.http.h11_client import ConnectionPool
from briardyke.routes.configuration import EngineSpec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Time from a decision until the engine has the request, and from an event until the coordinator
# learns of it.
SEND_MS, REPORT_MS = 3.0, 60.0
_SPELL_MS = 600.0


def row(name: str, slots: int, models: Iterable[str] = ("m",)) -> Upstream:
    number = int(name[1:]) + 1
    loaded = [LoadedModel(model) for model in models]
    return Upstream(name, 1, 1, "pool", f"10.0.0.{number}:80", "a", READY, slots, loaded)


class Events:
    """Calls in the order of their time."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._number = itertools.count()

    def at(self, at_ms: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (max(at_ms, self.now_ms), next(self._number), call))

    def run(self, until_ms: float) -> None:
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._heap)
            call()


class Replay:
    """Streams that are sent to engines; subclasses decide where."""

    def __init__(self, engines: list[ModelledEngine], holders: dict[str, list[str]]) -> None:
        self.events = Events()
        self.engines = {engine.name: engine for engine in engines}
        self.holders = holders

    def run(self, streams: list[Stream], until_ms: float) -> list[Stream]:
        for stream in streams:
            self.events.at(stream.at_ms, lambda stream=stream: self.arrive(stream))
        self.events.run(until_ms)
        return streams

    def arrive(self, stream: Stream) -> None:
        raise NotImplementedError

    def on_event(self, engine: ModelledEngine, stream: Stream, at_ms: float) -> None:
        raise NotImplementedError

    def send(self, stream: Stream, name: str) -> None:
        stream.sent_ms = self.events.now_ms
        self.events.at(self.events.now_ms + SEND_MS, lambda: self._receive(stream, name))

    def _receive(self, stream: Stream, name: str) -> None:
        engine = self.engines.get(name)
        if engine is None:
            self.on_refused(stream, name)
            return
        engine.waiting.append(stream)
        if not engine.is_busy:
            engine.is_busy = True
            self._step(engine)

    def on_refused(self, stream: Stream, name: str) -> None:
        raise NotImplementedError

    def _step(self, engine: ModelledEngine) -> None:
        if engine.name not in self.engines:
            return
        if not (engine.waiting or engine.reading or engine.running):
            engine.is_busy = False
            return
        events: list[tuple[Stream, float]] = []
        end_ms = engine.step(self.events.now_ms, lambda s, at_ms: events.append((s, at_ms)))
        for stream, at_ms in events:
            self.on_event(engine, stream, at_ms)
        self.events.at(end_ms, lambda: self._step(engine))


class DispatchedReplay(Replay):
    """Replay with one dispatcher, which learns of events after a delay."""

    def __init__(
        self, engines: list[ModelledEngine], holders: dict[str, list[str]], reports: bool = True
    ) -> None:
        super().__init__(engines, holders)
        self.dispatcher = Dispatcher()
        self.reports = reports
        self.spec = EngineSpec(32, 1.0, 1, 1.0, engines[0].cache_tokens, {}, EVENT_TOKENS)
        self.update()
        self.retry_after_ms: dict[str, float] = {}
        self._queued: dict[str, Stream] = {}
        self.events.at(1.0, self._advance)

    def update(self) -> None:
        rows = [row(engine.name, engine.slots) for engine in self.engines.values()]
        self.dispatcher.update_engines(rows, self.spec, self.events.now_ms)

    def arrive(self, stream: Stream) -> None:
        self.submit(stream, self.holders[stream.model])

    def submit(self, stream: Stream, names: list[str]) -> None:
        now_ms = self.events.now_ms
        waited_ms = now_ms - stream.at_ms
        request = DispatchRequest(
            "entry",
            stream.name,
            "pool",
            stream.model,
            "",
            names,
            [],
            "a",
            stream.prompt,
            stream.output,
            [part for part, _ in stream.parts],
            [tokens for _, tokens in stream.parts],
            stream.account,
            None,
            stream.priority,
            stream.objective_ms - waited_ms,
            stream.gap_ms if stream.gap_ms < 1e6 else 0.0,
            max(1400.0, 2.8 * stream.objective_ms) - waited_ms,
        )
        reply = self.dispatcher.submit(request, now_ms)
        if reply.outcome == Outcome.PLACED.value:
            self.send(stream, reply.upstream_id)
        elif reply.outcome == Outcome.QUEUED.value:
            self._queued[stream.name] = stream
            again = lambda: self._ask_again(stream, names)  # noqa: E731
            self.events.at(now_ms + 150.0, again)
        else:
            stream.is_rejected = True
            self.retry_after_ms[stream.name] = reply.retry_after_ms

    def _ask_again(self, stream: Stream, names: list[str]) -> None:
        if self._queued.pop(stream.name, None) is not None:
            self.submit(stream, names)

    def _advance(self) -> None:
        now_ms = self.events.now_ms
        wait_ms = self.dispatcher.next_change_ms(now_ms)
        if wait_ms is not None and wait_ms <= 0:
            for name in self.dispatcher.advance(now_ms):
                stream = self._queued.pop(name, None)
                if stream is not None:
                    self.submit(stream, self.holders[stream.model])
            wait_ms = self.dispatcher.next_change_ms(now_ms)
        self.events.at(now_ms + max(1.0, min(5.0, wait_ms or 5.0)), self._advance)

    def on_refused(self, stream: Stream, name: str) -> None:
        names = [held for held in self.holders[stream.model] if held != name]
        self.submit(stream, names)

    def on_event(self, engine: ModelledEngine, stream: Stream, at_ms: float) -> None:
        if stream.produced <= EVENT_TOKENS:
            took_ms = at_ms - stream.sent_ms
            self._observe(ObservationKind.FIRST_EVENT, engine, stream, at_ms, took_ms)
            if self.reports:
                self._observe(ObservationKind.LOAD, engine, stream, at_ms, 0.0)
        elif stream.produced % (8 * EVENT_TOKENS) == 0:
            took_ms = stream.interval_ms
            self._observe(ObservationKind.EVENT_INTERVAL, engine, stream, at_ms, took_ms)
        if stream.produced >= stream.output:
            self._observe(ObservationKind.ENDED, engine, stream, at_ms, 0.0)

    def _observe(
        self,
        kind: ObservationKind,
        engine: ModelledEngine,
        stream: Stream,
        at_ms: float,
        took_ms: float,
    ) -> None:
        observation = Observation(
            kind.value,
            engine.name,
            REPORT_MS,
            stream.name,
            took_ms,
            len(engine.running),
            len(engine.waiting) + len(engine.reading),
            engine.slots,
            engine.slowness(at_ms),
        )
        now_ms = at_ms + REPORT_MS
        self.events.at(now_ms, lambda: self.dispatcher.observe("entry", observation, now_ms))


class ReportedReplay(Replay):
    """Replay with the choice of many entry instances by summed load that is 0.4 s old."""

    def __init__(
        self,
        engines: list[ModelledEngine],
        holders: dict[str, list[str]],
        instances: int = 88,
        seed: int = 1,
    ) -> None:
        super().__init__(engines, holders)
        self._random = random.Random(seed)
        self._instances: list[dict[str, upstreams.UpstreamState]] = []
        for _ in range(instances):
            rows = [row(engine.name, engine.slots) for engine in engines]
            states = {
                r.upstream_id: upstreams.UpstreamState(r, ConnectionPool(parse_address(r.address)))
                for r in rows
            }
            for state in states.values():
                state.running_weight = upstreams.ENGINE_RUNNING_WEIGHT
            self._instances.append(states)
        self._owner: dict[str, upstreams.UpstreamState] = {}
        self._counts: dict[str, tuple[int, int]] = {}
        self.events.at(0.0, self._count)

    def arrive(self, stream: Stream) -> None:
        states = self._random.choice(self._instances)
        metadata = RequestMetadata("r", 1000.0, prefix_ids=tuple(p for p, _ in stream.parts[:-1]))
        names = [name for name in self.holders[stream.model] if name in self.engines]
        candidates = [states[name] for name in names]
        unreported = len(self._owner) * 0.05
        chosen = upstream_selection.choose_upstream(
            candidates, metadata, "a", self._random, unreported
        )
        assert chosen is not None
        chosen.begin_request()
        self._owner[stream.name] = chosen
        self.send(stream, chosen.row.upstream_id)

    def _count(self) -> None:
        """Apply the counts of 0.4 s ago, and take new ones."""
        counts = {name: [0, 0] for name in self.engines}
        for state in self._owner.values():
            if state.row.upstream_id in counts:
                counts[state.row.upstream_id][0] += 1
        for engine in self.engines.values():
            counts[engine.name][1] = len(engine.waiting) + len(engine.reading)
        self.events.at(self.events.now_ms + 400.0, lambda: self._apply(counts))
        self.events.at(self.events.now_ms + 100.0, self._count)

    def _apply(self, counts: dict[str, list[int]]) -> None:
        for states in self._instances:
            for name, (count, pending) in counts.items():
                state = states[name]
                own, own_pending = state.in_flight, state.pending
                state.update_other_load(max(0, count - own), max(0, pending - own_pending))

    def on_event(self, engine: ModelledEngine, stream: Stream, at_ms: float) -> None:
        state = self._owner[stream.name]
        if stream.produced <= EVENT_TOKENS:
            state.pending -= 1
        else:
            state.observe_event_interval(stream.interval_ms)
            state.observe_service_time(stream.interval_ms, 0.05)
        if stream.produced >= stream.output:
            state.in_flight -= 1
            del self._owner[stream.name]


def spells(source: random.Random, until_ms: float) -> tuple[tuple[float, float], ...]:
    """Return spells that take 15% of the time."""
    found, at_ms = [], source.expovariate(1 / 3400.0)
    while at_ms < until_ms:
        found.append((at_ms, at_ms + _SPELL_MS))
        at_ms += _SPELL_MS + source.expovariate(1 / 3400.0)
    return tuple(found)


def pool(
    count: int = 30, seed: int = 1, with_spells: bool = False, until_ms: float = 20_000.0
) -> list[ModelledEngine]:
    """Return engines of three speeds."""
    source = random.Random(seed)
    return [
        ModelledEngine(
            f"e{number}",
            (0.6, 1.0, 1.6)[number % 3],
            spells=spells(source, until_ms) if with_spells else (),
        )
        for number in range(count)
    ]


def live_streams(
    per_s: float,
    until_ms: float,
    seed: int = 2,
    long_fraction: float = 0.0,
    start_ms: float = 0.0,
    prefix: str = "r",
) -> list[Stream]:
    """Return prompts of 1,460 and 646 tokens, and long ones of 4,700, at random times."""
    source, at_ms = random.Random(seed), start_ms
    streams: list[Stream] = []
    while (at_ms := at_ms + source.expovariate(per_s / 1000.0)) < until_ms:
        kind = source.random()
        prompt, objective_ms = (1460, 510.0) if kind < 0.62 else (646, 607.0)
        if source.random() < long_fraction:
            prompt, objective_ms = 4700, 900.0
        output = source.randint(40, 120)
        streams.append(Stream(f"{prefix}{len(streams)}", at_ms, prompt, output, objective_ms))
    return streams


def late_fraction(streams: Iterable[Stream], from_ms: float = 2000.0) -> float:
    """Return the fraction of streams that were late or rejected, after a start of 2 s."""
    counted = [stream for stream in streams if stream.at_ms >= from_ms]
    return sum(stream.is_late() for stream in counted) / len(counted)


def use_clock(monkeypatch, replay: Replay) -> None:
    """Let the choice by reports read the time of a replay."""
    for module in (upstreams, upstream_selection):
        monkeypatch.setattr(module, "now_ms", lambda: replay.events.now_ms)
    health = upstreams.UpstreamHealth
    monkeypatch.setattr(health, "weight", lambda self, now_ms: 1.0)
