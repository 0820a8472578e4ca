"""Measure the processor time of dispatch decisions.

Run ``python bench/dispatch.py [ENGINES [CANDIDATES [REQUESTS_PER_S]]]``. Requests and what is
observed of them arrive in the order of a simulated clock; times are processor times.
"""

from __future__ import annotations

import random
import sys
import time

from briardyke.dispatch.dispatcher import Dispatcher
from briardyke.dispatch.messages import DispatchRequest, Observation, ObservationKind, Outcome
from briardyke.fleet.records import READY, LoadedModel, Upstream
from briardyke.routes.configuration import EngineSpec

SECONDS = 6.0
OUTPUT_TOKENS = 80
# Models that carry the load; each is held by as many engines as a request has candidates.
MODELS = 10
# Interval of the rows of engines and of summed counts.
ROWS_INTERVAL_MS = 300.0


def request(name: str, model: str, source: random.Random, candidates: list[str]) -> DispatchRequest:
    """Return a request with a prompt of three parts."""
    tokens = 1460 if source.random() < 0.62 else 646
    return DispatchRequest(
        instance_id="entry",
        request_id=name,
        service="pool",
        model=model,
        adapter="",
        upstream_ids=candidates,
        connected_ids=candidates[:5],
        data_centre="a",
        prompt_tokens=tokens,
        output_tokens=OUTPUT_TOKENS,
        prefix_ids=["system", f"talk-{source.randrange(200)}", name],
        prefix_tokens=[300, tokens - 450, 150],
        account=f"account-{source.randrange(16)}",
        account_priority=None,
        route_priority=0,
        first_event_objective_ms=510.0,
        event_gap_objective_ms=300.0,
        max_wait_ms=1400.0,
    )


def run(engines: int, candidates: int, per_s: float) -> str:
    """Return the processor time by entry point."""
    source, dispatcher = random.Random(1), Dispatcher()
    names = [f"engine-{number}" for number in range(engines)]
    rows = [
        Upstream(name, 1, 1, "pool", "10.0.0.1:80", "a", READY, 32, [LoadedModel("m")])
        for name in names
    ]
    spec = EngineSpec(32, 1.0, 1, 1.0, 93_013, {}, 4)
    dispatcher.update_engines(rows, spec, 0.0)
    holders = [source.sample(names, engines) for _ in range(MODELS)]
    spent = dict.fromkeys(("submit", "observe", "advance", "rows"), 0.0)
    events: list[tuple[float, str, object]] = []
    at_ms = 0.0
    while (at_ms := at_ms + source.expovariate(per_s / 1000.0)) < SECONDS * 1000.0:
        events.append((at_ms, "submit", None))
    events += [(n * 2.0, "advance", None) for n in range(int(SECONDS * 500.0))]
    intervals = int(SECONDS * 1000.0 / ROWS_INTERVAL_MS)
    events += [(n * ROWS_INTERVAL_MS, "rows", None) for n in range(intervals)]
    events.sort(key=lambda event: event[0], reverse=True)
    submitted = placed = 0
    while events:
        now_ms, kind, value = events.pop()
        begin = time.process_time()
        if kind == "submit":
            submitted += 1
            group = source.randrange(MODELS) if candidates < engines else 0
            asked = request(str(submitted), f"m{group}", source, holders[group][:candidates])
            begin = time.process_time()
            reply = dispatcher.submit(asked, now_ms)
            spent[kind] += time.process_time() - begin
            if reply.outcome == Outcome.PLACED.value:
                placed += 1
                _answer(events, now_ms, str(submitted), reply.upstream_id, reply.expected_first_ms)
            continue
        if kind == "observe":
            dispatcher.observe("entry", value, now_ms)  # type: ignore[arg-type]
        elif kind == "advance":
            if dispatcher.next_change_ms(now_ms) == 0.0:
                dispatcher.advance(now_ms)
        else:
            dispatcher.update_engines(rows, spec, now_ms)
        spent[kind] += time.process_time() - begin
    total = sum(spent.values())
    parts = ", ".join(f"{kind} {1000.0 * s / submitted:.3f} ms" for kind, s in spent.items())
    return (
        f"{engines} engines, {candidates} candidates, {per_s:.0f} requests per s, {placed} of"
        f" {submitted} placed at once; per request {parts};"
        f" {100.0 * total / SECONDS:.0f}% of a core"
    )


def _answer(
    events: list[tuple[float, str, object]], now_ms: float, name: str, engine: str, took_ms: float
) -> None:
    """Add what is observed of a placed request."""
    first_ms, end_ms = now_ms + took_ms, now_ms + took_ms + OUTPUT_TOKENS * 12.0
    first, load, interval, ended = (
        Observation(kind.value, engine, 60.0, name, took, 8, 2, 32, 1.0)
        for kind, took in (
            (ObservationKind.FIRST_EVENT, took_ms),
            (ObservationKind.LOAD, 0.0),
            (ObservationKind.EVENT_INTERVAL, 30.0),
            (ObservationKind.ENDED, 0.0),
        )
    )
    events += [
        (first_ms + 60.0, "observe", first),
        (first_ms + 60.0, "observe", load),
        (first_ms + 300.0, "observe", interval),
        (end_ms + 60.0, "observe", ended),
    ]
    events.sort(key=lambda event: event[0], reverse=True)


if __name__ == "__main__":
    arguments = [int(argument) for argument in sys.argv[1:]]
    if arguments:
        print(run(*(arguments + [60, 60, 500][len(arguments) :])))
    else:
        for count in (15, 60):
            print(run(60, count, 500))
        print(run(30, 30, 1000))
