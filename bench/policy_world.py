"""Drive several entry instances and their engines through one workload."""

from __future__ import annotations

import random

import attrs
from policy_engine import MEAN_OUTPUT_TOKENS, Engine, Job, Loop

from briardyke.policy.admission import AdmissionController
from briardyke.policy.retries import RetryBudget
from briardyke.policy.routing import RoutingTable
from briardyke.policy.types import AdmissionRequest, AttemptOutcome, RouteRequest, RoutingPolicy

FIRST_TOKEN_MS = 640.0
BETWEEN_TOKENS_MS = 64.0
# Users of design 1.5: engines of the two groups, models of the two groups, data centres, and
# slowness of the engines (1 is the fastest), which spans a factor of ten.
USERS = {
    "pecos": ((5, 4), (7, 6), 4, (0.6, 1.0, 2.0, 4.0, 6.0, 0.6, 1.5, 3.0, 6.0)),
    "dala": ((6, 3), (9, 6), 3, (0.6, 0.8, 1.5, 3.0, 5.0, 6.0, 0.7, 2.0, 6.0)),
}
ENTRY_WEIGHTS = (1.0, 1.0, 0.8, 1.5, 0.5, 1.2)
WARM_UP_MS = 2000.0
FAULT_MS = 7000.0
HOP_MS = 1.0


@attrs.define
class Workload:
    """Describe one workload.

    :param load: offered load as a part of the capacity.
    :param model_burst: multiple of one model's load during the burst.
    :param all_burst: multiple of every model's load during the burst.
    :param caller_burst: multiple of one caller's load during the burst.
    :param slow: multiple by which one engine becomes slower at the fault.
    :param dead: whether one engine dies at the fault and returns.
    :param lag_ms: usual lag of a report.
    :param cut_off: whether one entry instance gets no reports, only its own probes.
    :param until_ms: end of the arrivals.
    """

    load: float = 0.5
    model_burst: float = 1.0
    all_burst: float = 1.0
    caller_burst: float = 1.0
    slow: float = 1.0
    dead: bool = False
    lag_ms: float = 500.0
    cut_off: bool = False
    until_ms: float = 16000.0


WORKLOADS = {
    "steady": Workload(),
    "burst on one model": Workload(model_burst=10.0),
    "burst on many": Workload(all_burst=4.0),
    "burst of one caller": Workload(caller_burst=10.0),
    "one slow upstream": Workload(slow=8.0),
    "dead worker": Workload(dead=True),
    "stale load reports": Workload(lag_ms=1900.0),
    "one entry cut off": Workload(cut_off=True),
    "all together": Workload(
        model_burst=6.0, all_burst=1.5, slow=8.0, dead=True, lag_ms=1500.0, cut_off=True
    ),
}
BURST_MS = (6000.0, 9000.0)


@attrs.define
class Served:
    """Record one request.

    :param arrived_ms: time of arrival.
    :param caller: number of the caller.
    :param first_ms: time from arrival to the first token.
    :param gap_ms: mean time between tokens.
    :param refused: whether it was refused.
    :param attempts: number of attempts.
    """

    arrived_ms: float
    caller: int
    first_ms: float | None = None
    gap_ms: float | None = None
    refused: bool = False
    attempts: int = 0

    @property
    def good(self) -> bool:
        """Return whether it was served within both targets."""
        return (
            self.gap_ms is not None
            and self.first_ms is not None
            and self.first_ms <= FIRST_TOKEN_MS
            and self.gap_ms <= BETWEEN_TOKENS_MS
        )


class Entry:
    """Hold the product's tables of one entry instance."""

    def __init__(self, policy: RoutingPolicy, data_centre: str, source: random.Random) -> None:
        self.table = RoutingTable(policy, data_centre, source)
        self.admission = AdmissionController(self.table, source)
        self.budget = RetryBudget()


class World:
    """Hold the simulation of one workload, user, policy and seed."""

    def __init__(self, workload: Workload, user: str, policy: RoutingPolicy, seed: int) -> None:
        self.workload = workload
        self.random = random.Random(seed)
        self.loop = Loop()
        groups, models, data_centres, slowness = USERS[user]
        self.engines: dict[str, Engine] = {}
        self.rates: dict[str, float] = {}
        for index, slow in enumerate(slowness):
            name = f"u{index}"
            place = f"d{index % data_centres}"
            self.engines[name] = Engine(
                self.loop, name, slow, place, random.Random(f"{seed}/{name}")
            )
        names = list(self.engines)
        for group, (size, count) in enumerate(zip(groups, models, strict=True)):
            members = [self.engines[n] for n in (names[:size], names[-size:])[group]]
            capacity = sum(engine.capacity_per_second() for engine in members)
            weights = [1.0 / (1 + rank) ** 0.5 for rank in range(count)]
            for rank, weight in enumerate(weights):
                model = f"g{group}m{rank}"
                # Every model has the fastest or second fastest engine, so that it has capacity.
                homes = {rank % 2, *self.random.sample(range(size), 3)}
                for home in homes:
                    members[home].models.add(model)
                self.rates[model] = workload.load * capacity * weight / sum(weights)
        self.entries = [
            Entry(policy, f"d{i % data_centres}", random.Random(f"{seed}/e{i}"))
            for i in range(len(ENTRY_WEIGHTS))
        ]
        self.served: list[Served] = []
        self.attempts = 0
        self.retried = 0

    def run(self) -> list[Served]:
        """Run the workload to its end and return its requests."""
        for engine in self.engines.values():
            self.loop.at(self.random.random() * 500.0, self._announce, engine)
            for entry in self.entries:
                entry.table.observe(engine.row(), 0.0)
        for model in self.rates:
            self.loop.at(self._gap(model), self._arrive, model)
        victims = [self.engines["u0"], self.engines[list(self.engines)[-3]]]
        if self.workload.slow > 1.0:
            self.loop.at(FAULT_MS, self._set_slow, victims[0], self.workload.slow)
        if self.workload.dead:
            self.loop.at(FAULT_MS, victims[1].die)
            self.loop.at(FAULT_MS + 6000.0, self._revive, victims[1])
        self.loop.run(self.workload.until_ms + 20_000.0)
        return [s for s in self.served if s.arrived_ms >= WARM_UP_MS]

    def _set_slow(self, engine: Engine, multiple: float) -> None:
        engine.slow *= multiple

    def _revive(self, engine: Engine) -> None:
        engine.alive = True

    def _announce(self, engine: Engine) -> None:
        now = self.loop.now_ms
        if engine.alive:
            row = engine.row()
            for index, entry in enumerate(self.entries):
                if index == 0 and self.workload.cut_off and now > WARM_UP_MS:
                    # A cut-off instance probes for itself, less often.
                    if int(now / 1000.0) % 2 == 0:
                        entry.table.observe(row, now)
                    continue
                lag = self.workload.lag_ms * (0.5 + self.random.random())
                self.loop.at(now + lag, self._report, entry, row, now)
        if now < self.workload.until_ms + 15_000.0:
            self.loop.at(now + 1000.0, self._announce, engine)

    def _report(self, entry: Entry, row: object, sent_ms: float) -> None:
        now = self.loop.now_ms
        entry.table.observe(attrs.evolve(row, age_ms=now - sent_ms), now)
        entry.table.tick(now)

    def _gap(self, model: str) -> float:
        rate = self.rates[model]
        burst = BURST_MS[0] <= self.loop.now_ms < BURST_MS[1]
        if burst:
            rate *= self.workload.all_burst
            if model == "g0m0":
                rate *= self.workload.model_burst
            rate *= 1.0 + (self.workload.caller_burst - 1.0) / 8.0
        self._burst = burst
        return self.loop.now_ms + min(250.0, self.random.expovariate(rate / 1000.0))

    def _arrive(self, model: str) -> None:
        now = self.loop.now_ms
        if now >= self.workload.until_ms:
            return
        self.loop.at(self._gap(model), self._arrive, model)
        caller = self.random.randrange(8)
        excess = (self.workload.caller_burst - 1.0) / 8.0
        if self._burst and self.random.random() < excess / (1.0 + excess):
            caller = 0
        group = (list(self.rates).index(model) * 8 + caller) * 3 + self.random.randrange(3)
        unique = len(self.served)
        hashes = (*(group * 16 + i for i in range(6)), -unique * 2 - 1, -unique * 2 - 2)
        priority = int(self.random.random() < 0.1)
        route = RouteRequest(
            model,
            prefix_hashes=hashes,
            prompt_tokens=self.random.randint(200, 1200),
            priority=priority,
        )
        output = 2 + int(self.random.expovariate(1.0 / (MEAN_OUTPUT_TOKENS - 2)))
        served = Served(now, caller)
        self.served.append(served)
        entry = self.random.choices(self.entries, ENTRY_WEIGHTS)[0]
        entry.budget.record_request(now)
        admitted = entry.admission.admit(
            AdmissionRequest(f"c{caller}", 1.0, route, output, now + FIRST_TOKEN_MS), now
        )
        if admitted.is_err():
            served.refused = True
        else:
            self._dispatch(entry, route, output, served)

    def _dispatch(self, entry: Entry, route: RouteRequest, output: int, served: Served) -> None:
        chosen = entry.table.choose(route, self.loop.now_ms)
        if chosen.is_err():
            served.refused = True
            return
        engine = self.engines[chosen.unwrap()]
        self.attempts += 1
        served.attempts += 1
        attempt = f"a{self.attempts}"
        entry.table.begin(attempt, engine.name, route, self.loop.now_ms)
        first_at: list[float] = []

        def first() -> None:
            first_at.append(self.loop.now_ms + HOP_MS)
            served.first_ms = first_at[0] - served.arrived_ms
            self.loop.at(first_at[0], entry.table.first_token, attempt, first_at[0])

        def done(completed: bool, outcome: AttemptOutcome = AttemptOutcome.FAILED) -> None:
            if completed:
                outcome = AttemptOutcome.COMPLETED
            self.loop.at(self.loop.now_ms + HOP_MS, ended, outcome)

        def ended(outcome: AttemptOutcome) -> None:
            now = self.loop.now_ms
            entry.table.finish(attempt, outcome, output, now)
            if outcome is AttemptOutcome.COMPLETED:
                served.gap_ms = (now - first_at[0]) / max(1, output - 1)
            elif served.attempts < 4 and entry.budget.try_spend(now):
                self.retried += 1
                served.first_ms = None
                excluded = route.excluded | {engine.name}
                self._dispatch(entry, attrs.evolve(route, excluded=excluded), output, served)

        def arrive() -> None:
            if engine.alive:
                engine.submit(
                    Job(
                        route.prefix_hashes,
                        route.prompt_tokens,
                        output,
                        route.priority,
                        first,
                        done,
                    )
                )
            else:
                done(False, AttemptOutcome.UNREACHABLE)

        self.loop.at(self.loop.now_ms + HOP_MS, arrive)
