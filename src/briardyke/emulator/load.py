"""Send the requests of an experiment and judge what their callers receive."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.clock import now_ms, sleep_ms
from briardyke.emulator.experiment import RequestModel
from briardyke.emulator.gateway import Call, CallerAnswer
from briardyke.gateway.admission import caller_event_timeout_ms
from briardyke.http.exchange import HttpRequest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from briardyke.emulator.experiment import Event, Experiment
    from briardyke.emulator.fleet import EmulatedEntry
    from briardyke.emulator.gateway import CallDialect

# Time from a caller to an entry instance.
_CALLER_HOP_MS = 3.0
# A caller returns once after a refusal.
_CALLER_ATTEMPTS = 2
# Largest Retry-After that a caller honours, as a fraction of its time.
_MAX_RETRY_AFTER_FRACTION = 1.0 / 3.0
_MAX_PROMPT_FACTOR = 5.0


@attrs.frozen
class Arrival:
    """One request that a caller will send.

    :param at_s: time after the start of the load.
    :param kind: kind of request.
    :param model: model that it asks for.
    :param prompt_tokens: length of its prompt.
    :param events: events of its answer.
    """

    at_s: float
    kind: RequestModel
    model: str
    prompt_tokens: float
    events: int


@attrs.define
class Tally:
    """What callers received.

    :param outcomes: number of requests by kind and outcome.
    :param worth: worth that was served, by kind.
    :param owed: worth that was asked for, by kind.
    :param by_second: requests asked for and served in time, by second.
    """

    outcomes: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    worth: Counter[str] = attrs.field(factory=Counter)
    owed: Counter[str] = attrs.field(factory=Counter)
    by_second: dict[int, list[int]] = attrs.field(factory=dict)

    def add(self, kind: RequestModel, outcome: str, asked_s: float) -> None:
        """Count one request."""
        self.outcomes[kind.name, outcome] += 1
        self.owed[kind.name] += kind.worth  # type: ignore[assignment]
        if outcome == "in_time":
            self.worth[kind.name] += kind.worth  # type: ignore[assignment]
        elif outcome.startswith("late"):
            self.worth[kind.name] += kind.late_worth  # type: ignore[assignment]
        second = self.by_second.setdefault(int(asked_s), [0, 0])
        second[0] += 1
        second[1] += outcome == "in_time"

    def share(self, kind: str | None = None) -> float:
        """Return the share of the worth that was served, of one kind or of all."""
        owed = self.owed[kind] if kind else sum(self.owed.values())
        worth = self.worth[kind] if kind else sum(self.worth.values())
        return worth / owed if owed else 1.0


class Load:
    """Send requests until the end of the experiment.

    All requests are drawn before the start, so that they do not depend on how they are served.
    """

    def __init__(
        self,
        experiment: Experiment,
        seed: int,
        entries: list[EmulatedEntry],
        dialect: CallDialect,
    ) -> None:
        """Draw arrivals, models and sizes from a seed."""
        self.tally = Tally()
        self._experiment, self._entries, self._dialect = experiment, entries, dialect
        self._random = random.Random(seed)
        self._arrivals = [a for kind in experiment.request for a in self._draw(kind)]
        self._count = 0

    async def run(self) -> None:
        """Send all requests and wait for their answers."""
        async with trio.open_nursery() as nursery:
            for arrival in self._arrivals:
                nursery.start_soon(self._request, arrival)

    def _draw(self, kind: RequestModel) -> Iterator[Arrival]:
        at_s = 0.0
        while True:
            at_s += self._random.expovariate(kind.per_s * self._factor(kind, at_s))
            if at_s >= self._experiment.sizes.duration_s:
                return
            size = min(_MAX_PROMPT_FACTOR, self._random.lognormvariate(-0.5, 1.0))
            events = max(1, round(kind.events * self._random.lognormvariate(-0.24, 0.69)))
            yield Arrival(at_s, kind, self._model(kind, at_s), kind.prompt_tokens * size, events)

    def _factor(self, kind: RequestModel, elapsed_s: float) -> float:
        factor = 1.0
        for event in self._experiment.event:
            is_now = event.at_s <= elapsed_s < event.at_s + event.for_s
            if event.kind == "burst" and event.request in ("", kind.name) and is_now:
                factor *= event.factor
        return factor

    def _position(self, elapsed_s: float) -> float:
        """Return by how many places demand has moved on in the lists of models."""
        return sum(_progress(e, elapsed_s) for e in self._experiment.event if e.kind == "shift")

    def _model(self, kind: RequestModel, elapsed_s: float) -> str:
        position = self._position(elapsed_s) if kind.active < kind.models else 0.0
        first = int(position) + (self._random.random() < position % 1.0)
        weights = [(rank + 1.0) ** -kind.skew for rank in range(kind.active)]
        rank = self._random.choices(range(kind.active), weights)[0]
        # The newest of the active models has risen to the top of the list.
        place = (first + kind.active - 1 - rank) % kind.models
        return f"m{kind.first_model + place}"

    async def _request(self, arrival: Arrival) -> None:
        await trio.sleep(arrival.at_s)
        kind, asked_ms = arrival.kind, now_ms()
        outcome = "failed"
        for attempt in range(_CALLER_ATTEMPTS):
            left_ms = kind.timeout_ms - (now_ms() - asked_ms)
            self._count += 1
            call = Call(
                *(f"q{self._count}", kind, arrival.model),
                *(arrival.prompt_tokens, arrival.events, left_ms),
            )
            answer = await self._attempt(call)
            outcome = _outcome(kind, answer, asked_ms)
            if outcome != "refused" or attempt + 1 == _CALLER_ATTEMPTS:
                break
            await sleep_ms(min(answer.retry_after_ms or 0.0, left_ms * _MAX_RETRY_AFTER_FRACTION))
        self.tally.add(kind, outcome, arrival.at_s)

    async def _attempt(self, call: Call) -> CallerAnswer:
        """Send one request; leave when no event comes for too long."""
        entry = self._random.choice(self._entries)
        answer = CallerAnswer()
        self._dialect.calls[call.request_id] = call
        await sleep_ms(_CALLER_HOP_MS)
        headers = [(b"host", b"h"), (b"request-id", call.request_id.encode())]
        request = HttpRequest("POST", f"/{call.kind.name}/", headers, b"")
        assert entry.state.routes is not None
        route = entry.state.routes.find("h", request.path)
        assert route is not None
        patience_s = caller_event_timeout_ms(route) / 1000.0
        async with trio.open_nursery() as nursery:

            async def serve() -> None:
                await entry.forwarder.handle(request, answer)  # type: ignore[arg-type]
                nursery.cancel_scope.cancel()

            nursery.start_soon(serve)
            while True:
                with trio.move_on_after(patience_s) as scope:
                    answer.progressed = trio.Event()
                    await answer.progressed.wait()
                if scope.cancelled_caught:
                    nursery.cancel_scope.cancel()
                    break
        del self._dialect.calls[call.request_id]
        return answer


def _progress(event: Event, elapsed_s: float) -> float:
    if elapsed_s <= event.at_s:
        return 0.0
    return event.count * min(1.0, (elapsed_s - event.at_s) / max(0.001, event.for_s))


def _outcome(kind: RequestModel, answer: CallerAnswer, asked_ms: float) -> str:
    if answer.status in (429, 503):
        return "refused"
    if not answer.is_complete or answer.first_ms is None:
        return "failed"
    if answer.first_ms + _CALLER_HOP_MS - asked_ms > kind.objective_ms:
        return "late_first"
    return "late_pause" if answer.longest_pause_ms > kind.pause_ms else "in_time"
