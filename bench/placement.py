"""Measure attainment, accelerators and moves of placement, and the time of a decision.

Run from the root of the tree: ``PYTHONPATH=src python bench/placement.py [compare|weights|time]``.
"""

from __future__ import annotations

import random
import statistics
import sys
import time
from typing import TYPE_CHECKING

import attrs
from placement_baselines import POLICIES, Policy

from briardyke.agreed.configuration import Adapter, Configuration, Model, PlacementSettings
from briardyke.agreed.records import Reservation, UpstreamRegistration
from briardyke.placement.coordinator import Coordinator, reservation_of
from briardyke.placement.orders import OrderState
from briardyke.placement.plan import plan
from briardyke.placement.types import ENGINE_TOKENS_PER_SECOND, PlacementView, StepKind
from briardyke.wire.messages import LoadedItem, ModelDemand, UpstreamRow

if TYPE_CHECKING:
    from collections.abc import Callable

SEEDS = (1, 2, 3, 4, 5)
TICK_MS = 5_000.0
TICKS = 360  # half an hour
CAPACITY = 80
LOAD_UNIT = 0.1  # mean demand of a model in engines


@attrs.frozen
class User:
    """Describe one current user by the sizes of the design page."""

    pools: dict[str, int]
    models: int
    settings: PlacementSettings


USERS = {
    "Pecos": User({"sorting": 5, "sales": 4}, 13, PlacementSettings(1.0, 2.0, 1.0, 5, 40)),
    "Dala": User({"member": 6, "ordering": 3}, 15, PlacementSettings(2.0, 1.0, 1.5, 8, 65)),
}


class Simulation:
    """Run one policy on engines that load within one tick and obey every order."""

    def __init__(self, user: User, seed: int, policy: Policy) -> None:
        self.random = random.Random(seed)
        self.policy = policy
        pools = [pool for pool, number in user.pools.items() for _ in range(number)]
        models = {
            f"m{i:02}": Model(self.random.randint(10, 30), (f"{pools[i % len(pools)]}-*",))
            for i in range(user.models)
        }
        self.config = Configuration(models=models, placement=user.settings)
        self.engines: dict[str, dict[str, LoadedItem]] = {
            f"{pool}-{i}": {} for pool, number in user.pools.items() for i in range(number)
        }
        self.base = {
            m: LOAD_UNIT * ENGINE_TOKENS_PER_SECOND * self.random.uniform(0.5, 4.0) for m in models
        }
        self.tokens = dict.fromkeys(self.engines, 0)
        self.reservations: dict[tuple[str, str], Reservation] = {}
        self.coordinator = Coordinator()
        self.now_ms = 0.0
        self.moves = 0

    def view(self, rates: dict[str, float]) -> PlacementView:
        """Return the view with the given demand."""
        rows, known = {}, {}
        for name, items in self.engines.items():
            rows[name] = UpstreamRow(
                name,
                "1",
                "engine",
                "127.0.0.1:1",
                "dc",
                loaded=list(items.values()),
                capacity_bytes=CAPACITY,
                highest_fencing_token=self.tokens[name],
            )
            known[name] = UpstreamRegistration(name, "1", "engine", CAPACITY, True)
        demand = {m: ModelDemand(rate / 460.0, rate) for m, rate in rates.items()}
        return PlacementView(1, self.config, known, dict(self.reservations), rows, demand, 1)

    def tick(self, rates: dict[str, float], policy: Policy) -> None:
        """Decide once and carry out what the store admits."""
        self.now_ms += TICK_MS
        for items in self.engines.values():
            for name, item in items.items():
                items[name] = attrs.evolve(item, state="loaded")
        view = self.view(rates)
        asked, outcomes = self.coordinator.observe(view, self.now_ms)
        self.moves += len(outcomes)
        due = self.coordinator.due(view, self.now_ms)
        steps = policy(asked, self.now_ms)
        for order in [*due, *self.coordinator.accept(view, steps, self.now_ms)]:
            step = order.step
            if not self.coordinator.is_current(order, view):
                continue
            if order.state is OrderState.UNLOADED:
                self.reservations.pop(order.key, None)
                self.coordinator.finish(order)
                continue
            if step.kind is StepKind.LOAD:
                self.reservations[order.key] = reservation_of(order)
                item = LoadedItem(step.item, step.size_bytes, order.order_id, "loading")
                self.engines[step.upstream_id][step.item] = item
            else:
                self.engines[step.upstream_id].pop(step.item, None)
            held = self.engines[step.upstream_id].values()
            assert sum(i.size_bytes for i in held) <= CAPACITY
            self.tokens[step.upstream_id] = order.fencing_token
            self.coordinator.mark_sent(order, self.now_ms)

    def served(self, rates: dict[str, float]) -> float:
        """Return the share of demand served; engines split their throughput by demand."""
        holders = {
            m: [e for e, items in self.engines.items() if m in items and items[m].state == "loaded"]
            for m in rates
        }
        pressure = dict.fromkeys(self.engines, 0.0)
        for m, rate in rates.items():
            for e in holders[m]:
                pressure[e] += rate / len(holders[m])
        done = 0.0
        for m, rate in rates.items():
            for e in holders[m]:
                done += rate / len(holders[m]) * min(1.0, ENGINE_TOKENS_PER_SECOND / pressure[e])
        return done / sum(rates.values())

    def run(self, workload: str) -> tuple[float, float, int]:
        """Return attainment, accelerators used and moves after the initial placement."""
        for _ in range(100):
            self.tick(self.base, plan)
        self.moves = 0
        names = sorted(self.base)
        attained, used = [], []
        for number in range(TICKS):
            if workload == "dead worker" and number == 60:
                dead = max(self.engines, key=lambda e: (len(self.engines[e]), e))
                del self.engines[dead]
                self.reservations = {k: r for k, r in self.reservations.items() if k[0] != dead}
            rates = {
                m: rate * WORKLOADS[workload](names.index(m), number) * self.random.gauss(1.0, 0.1)
                for m, rate in self.base.items()
            }
            rates = {m: max(1.0, rate) for m, rate in rates.items()}
            self.tick(rates, self.policy)
            attained.append(self.served(rates))
            used.append(sum(1 for items in self.engines.values() if items))
        return statistics.mean(attained), statistics.mean(used), self.moves


# Factor of demand by number of the model and of the tick.
WORKLOADS: dict[str, Callable[[int, int], float]] = {
    "steady": lambda model, tick: 1.0,
    "tenfold burst": lambda model, tick: 10.0 if model == 3 and 60 <= tick < 240 else 1.0,
    "many at once": lambda model, tick: 3.0 if model % 3 == 0 and 60 <= tick < 240 else 1.0,
    "dead worker": lambda model, tick: 1.0,
    "rotating": lambda model, tick: 4.0 if (tick // 60) % 4 == model % 4 else 0.5,
}


def median_of(user: User, workload: str, policy: Policy) -> tuple[float, float, float]:
    """Return the medians over all seeds."""
    results = [Simulation(user, seed, policy).run(workload) for seed in SEEDS]
    attained, used, moves = (statistics.median(column) for column in zip(*results, strict=True))
    return attained, used, moves


def compare() -> None:
    """Print all policies on all workloads."""
    print("| user | workload | policy | attainment | accelerators | per accelerator | moves |")
    print("|---|---|---|---|---|---|---|")
    for user_name, user in USERS.items():
        for workload in WORKLOADS:
            for name, policy in POLICIES.items():
                attained, used, moves = median_of(user, workload, policy)
                row = f"{attained:.3f} | {used:.1f} | {attained / used:.4f} | {moves:.0f}"
                print(f"| {user_name} | {workload} | {name} | {row} |", flush=True)


def weights() -> None:
    """Print the effect of the move weight on rotating demand."""
    print("| user | move_weight | attainment | accelerators | moves |\n|---|---|---|---|---|")
    for user_name, user in USERS.items():
        for weight in (0.1, 0.3, 1.0, 3.0, 10.0):
            settings = attrs.evolve(user.settings, move_weight=weight)
            changed = attrs.evolve(user, settings=settings)
            attained, used, moves = median_of(changed, "rotating", plan)
            print(f"| {user_name} | {weight} | {attained:.3f} | {used:.1f} | {moves:.0f} |")


def large_view(engines: int, seed: int, loaded: bool) -> PlacementView:
    """Return a view with 25 data centres, up to 950 models and four items per engine."""
    rng = random.Random(seed)
    number = min(950, engines * 2)
    centres = min(25, engines)
    models = {
        f"m{i:03}": Model(rng.randint(10, 30), (f"dc{i % centres:02}-*",)) for i in range(number)
    }
    adapters = {f"a{i}": Adapter(f"m{i % number:03}", 1) for i in range(4 * number)}
    rows, known, held = {}, {}, {}
    for i in range(engines):
        name = f"dc{i % centres:02}-{i:05}"
        items = []
        local = [f"m{j:03}" for j in range(i % centres, number, centres)]
        for item in (
            {local[(i // centres * 2 + k) % len(local)] for k in range(2)} if loaded else ()
        ):
            size = models[item].size_bytes
            items.append(LoadedItem(item, size, "o", "loaded"))
            held[name, item] = Reservation(name, "1", item, size, "o", 1)
        rows[name] = UpstreamRow(
            name, "1", "engine", "127.0.0.1:1", "dc", loaded=items, capacity_bytes=CAPACITY
        )
        known[name] = UpstreamRegistration(name, "1", "engine", CAPACITY, True)
    total = 0.5 * engines * ENGINE_TOKENS_PER_SECOND
    parts = {m: rng.expovariate(1.0) for m in models}
    whole = sum(parts.values())
    demand = {m: ModelDemand(0.0, part / whole * total) for m, part in parts.items()}
    config = Configuration(models=models, adapters=adapters)
    return PlacementView(1, config, known, held, rows, demand, 1)


def unreachable_view(engines: int, seed: int) -> PlacementView:
    """Return a running view in which no engine holds every tenth model and no memory is free."""
    view = large_view(engines, seed, True)
    rows = {
        name: attrs.evolve(
            row,
            capacity_bytes=sum(item.size_bytes for item in row.loaded if not _lost(item.name)),
            loaded=[item for item in row.loaded if not _lost(item.name)],
        )
        for name, row in view.upstreams.items()
    }
    held = {key: r for key, r in view.reservations.items() if not _lost(key[1])}
    return attrs.evolve(view, upstreams=rows, reservations=held)


def _lost(item: str) -> bool:
    return item.endswith("0")


def decision_time() -> None:
    """Print the time of a decision for growing numbers of engines, the median over seeds."""
    print("| engines | models | cold start ms | running ms | full memory ms | steps when running |")
    print("|---|---|---|---|---|---|")
    for engines in (10, 100, 1000, 10_000):
        columns: list[list[float]] = [[], [], [], []]
        for seed in SEEDS:
            views = (
                large_view(engines, seed, False),
                large_view(engines, seed, True),
                unreachable_view(engines, seed),
            )
            for column, view in zip(columns, views, strict=False):
                started = time.perf_counter()
                steps = plan(view, 0.0)
                column.append((time.perf_counter() - started) * 1000.0)
                if column is columns[1]:
                    columns[3].append(len(steps))
        cold, running, full, decided = (statistics.median(column) for column in columns)
        models = min(950, engines * 2)
        row = f"{cold:.1f} | {running:.1f} | {full:.1f} | {decided:.0f}"
        print(f"| {engines} | {models} | {row} |", flush=True)


if __name__ == "__main__":
    {"compare": compare, "weights": weights, "time": decision_time}[sys.argv[1]]()
