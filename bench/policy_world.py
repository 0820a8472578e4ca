"""Simulate several entry instances and engines under one workload."""

from __future__ import annotations

import random

import attrs
from policy_engine import MEAN_OUTPUT_TOKENS, Engine, EventLoop, Job

from briardyke.policy.admission import AdmissionController
from briardyke.policy.retries import RetryBudget
from briardyke.policy.routing import RoutingTable
from briardyke.policy.types import AdmissionRequest, AttemptOutcome, RouteRequest, RoutingPolicy

FIRST_TOKEN_MS = 640.0
BETWEEN_TOKENS_MS = 64.0
# Users of the project: engines of the two groups, models of the two groups, data centres, and the
# slowdown of each engine, which spans a factor of ten (lower is faster).
USERS = {
    "pecos": ((5, 4), (7, 6), 4, (0.6, 1.0, 2.0, 4.0, 6.0, 0.6, 1.5, 3.0, 6.0)),
    "dala": ((6, 3), (9, 6), 3, (0.6, 0.8, 1.5, 3.0, 5.0, 6.0, 0.7, 2.0, 6.0)),
}
ENTRY_WEIGHTS = (1.0, 1.0, 0.8, 1.5, 0.5, 1.2)
WARM_UP_MS = 2000.0
FAULT_MS = 7000.0
NETWORK_DELAY_MS = 1.0


@attrs.define
class Workload:
    """One workload.

    :param load: offered load as a fraction of the capacity.
    :param model_burst: multiple of one model's load during the burst.
    :param all_burst: multiple of every model's load during the burst.
    :param caller_burst: multiple of one caller's load during the burst.
    :param slowdown: factor by which one engine becomes slower at the fault.
    :param crash: whether one engine crashes at the fault and restarts later.
    :param lag_ms: mean lag of a report.
    :param partitioned: whether one entry instance gets no reports except from its own probes.
    :param until_ms: end of the arrivals.
    """

    load: float = 0.5
    model_burst: float = 1.0
    all_burst: float = 1.0
    caller_burst: float = 1.0
    slowdown: float = 1.0
    crash: bool = False
    lag_ms: float = 500.0
    partitioned: bool = False
    until_ms: float = 16000.0


WORKLOADS = {
    "steady": Workload(),
    "burst on one model": Workload(model_burst=10.0),
    "burst on many": Workload(all_burst=4.0),
    "burst of one caller": Workload(caller_burst=10.0),
    "one slow upstream": Workload(slowdown=8.0),
    "dead worker": Workload(crash=True),
    "stale load reports": Workload(lag_ms=1900.0),
    "one entry cut off": Workload(partitioned=True),
    "all together": Workload(
        model_burst=6.0, all_burst=1.5, slowdown=8.0, crash=True, lag_ms=1500.0, partitioned=True
    ),
}
BURST_MS = (6000.0, 9000.0)


@attrs.define
class RequestRecord:
    """Record the course of one request.

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
        """Return whether both latency targets were met."""
        return (
            self.gap_ms is not None
            and self.first_ms is not None
            and self.first_ms <= FIRST_TOKEN_MS
            and self.gap_ms <= BETWEEN_TOKENS_MS
        )


class Entry:
    """Routing table, admission control and retry budget of one entry instance."""

    def __init__(self, policy: RoutingPolicy, data_centre: str, source: random.Random) -> None:
        self.table = RoutingTable(policy, data_centre, source)
        self.admission = AdmissionController(self.table, source)
        self.budget = RetryBudget()


class Simulation:
    """Simulate one workload for one user, policy and seed."""

    def __init__(self, workload: Workload, user: str, policy: RoutingPolicy, seed: int) -> None:
        self.workload = workload
        self.random = random.Random(seed)
        self.loop = EventLoop()
        groups, models, data_centres, slowdowns = USERS[user]
        self.engines: dict[str, Engine] = {}
        self.rates: dict[str, float] = {}
        for index, slowdown in enumerate(slowdowns):
            name = f"u{index}"
            data_centre = f"d{index % data_centres}"
            self.engines[name] = Engine(
                self.loop, name, slowdown, data_centre, random.Random(f"{seed}/{name}")
            )
        names = list(self.engines)
        for group, (size, count) in enumerate(zip(groups, models, strict=True)):
            members = [self.engines[n] for n in (names[:size], names[-size:])[group]]
            capacity = sum(engine.capacity_per_second() for engine in members)
            weights = [1.0 / (1 + rank) ** 0.5 for rank in range(count)]
            for rank, weight in enumerate(weights):
                model = f"g{group}m{rank}"
                # Every model is on the fastest or second fastest engine of its group, so it has
                # capacity.
                engine_numbers = {rank % 2, *self.random.sample(range(size), 3)}
                for number in engine_numbers:
                    members[number].models.add(model)
                self.rates[model] = workload.load * capacity * weight / sum(weights)
        self.entries = [
            Entry(policy, f"d{i % data_centres}", random.Random(f"{seed}/e{i}"))
            for i in range(len(ENTRY_WEIGHTS))
        ]
        self.records: list[RequestRecord] = []
        self.attempts = 0
        self.retried = 0

    def run(self) -> list[RequestRecord]:
        """Run the workload to its end and return its requests after the warm-up."""
        for engine in self.engines.values():
            self.loop.at(self.random.random() * 500.0, self._announce, engine)
            for entry in self.entries:
                entry.table.observe(engine.row(), 0.0)
        for model in self.rates:
            self.loop.at(self._next_arrival_ms(model), self._arrive, model)
        faulty = [self.engines["u0"], self.engines[list(self.engines)[-3]]]
        if self.workload.slowdown > 1.0:
            self.loop.at(FAULT_MS, self._slow_down, faulty[0], self.workload.slowdown)
        if self.workload.crash:
            self.loop.at(FAULT_MS, faulty[1].crash)
            self.loop.at(FAULT_MS + 6000.0, self._restart, faulty[1])
        self.loop.run(self.workload.until_ms + 20_000.0)
        return [r for r in self.records if r.arrived_ms >= WARM_UP_MS]

    def _slow_down(self, engine: Engine, factor: float) -> None:
        engine.slowdown *= factor

    def _restart(self, engine: Engine) -> None:
        engine.alive = True

    def _announce(self, engine: Engine) -> None:
        now = self.loop.now_ms
        if engine.alive:
            row = engine.row()
            for index, entry in enumerate(self.entries):
                if index == 0 and self.workload.partitioned and now > WARM_UP_MS:
                    # A partitioned instance gets reports from its own probes only, which are rarer.
                    if int(now / 1000.0) % 2 == 0:
                        entry.table.observe(row, now)
                    continue
                lag = self.workload.lag_ms * (0.5 + self.random.random())
                self.loop.at(now + lag, self._deliver_report, entry, row, now)
        if now < self.workload.until_ms + 15_000.0:
            self.loop.at(now + 1000.0, self._announce, engine)

    def _deliver_report(self, entry: Entry, row: object, sent_ms: float) -> None:
        now = self.loop.now_ms
        entry.table.observe(attrs.evolve(row, age_ms=now - sent_ms), now)
        entry.table.tick(now)

    def _next_arrival_ms(self, model: str) -> float:
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
        self.loop.at(self._next_arrival_ms(model), self._arrive, model)
        caller = self.random.randrange(8)
        excess = (self.workload.caller_burst - 1.0) / 8.0
        if self._burst and self.random.random() < excess / (1.0 + excess):
            caller = 0
        group = (list(self.rates).index(model) * 8 + caller) * 3 + self.random.randrange(3)
        unique = len(self.records)
        hashes = (*(group * 16 + i for i in range(6)), -unique * 2 - 1, -unique * 2 - 2)
        priority = int(self.random.random() < 0.1)
        route = RouteRequest(
            model,
            prefix_hashes=hashes,
            prompt_tokens=self.random.randint(200, 1200),
            priority=priority,
        )
        output = 2 + int(self.random.expovariate(1.0 / (MEAN_OUTPUT_TOKENS - 2)))
        record = RequestRecord(now, caller)
        self.records.append(record)
        entry = self.random.choices(self.entries, ENTRY_WEIGHTS)[0]
        entry.budget.record_request(now)
        admitted = entry.admission.admit(
            AdmissionRequest(f"c{caller}", 1.0, route, output, now + FIRST_TOKEN_MS), now
        )
        if admitted.is_err():
            record.refused = True
        else:
            self._dispatch(entry, route, output, record)

    def _dispatch(
        self, entry: Entry, route: RouteRequest, output: int, record: RequestRecord
    ) -> None:
        chosen = entry.table.choose(route, self.loop.now_ms)
        if chosen.is_err():
            record.refused = True
            return
        engine = self.engines[chosen.unwrap()]
        self.attempts += 1
        record.attempts += 1
        attempt = f"a{self.attempts}"
        entry.table.begin(attempt, engine.name, route, self.loop.now_ms)
        first_token_at_ms: list[float] = []

        def first() -> None:
            first_token_at_ms.append(self.loop.now_ms + NETWORK_DELAY_MS)
            record.first_ms = first_token_at_ms[0] - record.arrived_ms
            self.loop.at(
                first_token_at_ms[0], entry.table.first_token, attempt, first_token_at_ms[0]
            )

        def done(completed: bool, outcome: AttemptOutcome = AttemptOutcome.FAILED) -> None:
            if completed:
                outcome = AttemptOutcome.COMPLETED
            self.loop.at(self.loop.now_ms + NETWORK_DELAY_MS, ended, outcome)

        def ended(outcome: AttemptOutcome) -> None:
            now = self.loop.now_ms
            entry.table.finish(attempt, outcome, output, now)
            if outcome is AttemptOutcome.COMPLETED:
                record.gap_ms = (now - first_token_at_ms[0]) / max(1, output - 1)
            elif record.attempts < 4 and entry.budget.try_spend(now):
                self.retried += 1
                record.first_ms = None
                excluded = route.excluded | {engine.name}
                self._dispatch(entry, attrs.evolve(route, excluded=excluded), output, record)

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

        self.loop.at(self.loop.now_ms + NETWORK_DELAY_MS, arrive)
