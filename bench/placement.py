"""Measure the attainment, accelerators and moves of placement, and the duration of a decision.

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
CAPACITY_BYTES = 80
# Multiplied by 0.5 to 4, the mean demand of a model as a fraction of one engine's throughput.
MEAN_DEMAND_UNIT = 0.1


@attrs.frozen
class Deployment:
    """Describe the engines, models and settings of one user, with the sizes of the design page."""

    pools: dict[str, int]
    models: int
    settings: PlacementSettings


DEPLOYMENTS = {
    "Pecos": Deployment({"sorting": 5, "sales": 4}, 13, PlacementSettings(1.0, 2.0, 1.0, 5, 40)),
    "Dala": Deployment({"member": 6, "ordering": 3}, 15, PlacementSettings(2.0, 1.0, 1.5, 8, 65)),
}


class Simulation:
    """Run one policy on engines that load within one tick and execute every order."""

    def __init__(self, deployment: Deployment, seed: int, policy: Policy) -> None:
        self.random = random.Random(seed)
        self.policy = policy
        pools = [
            pool for pool, engine_count in deployment.pools.items() for _ in range(engine_count)
        ]
        models = {
            f"m{i:02}": Model(self.random.randint(10, 30), (f"{pools[i % len(pools)]}-*",))
            for i in range(deployment.models)
        }
        self.config = Configuration(models=models, placement=deployment.settings)
        self.engines: dict[str, dict[str, LoadedItem]] = {
            f"{pool}-{i}": {}
            for pool, engine_count in deployment.pools.items()
            for i in range(engine_count)
        }
        self.mean_demand = {
            m: MEAN_DEMAND_UNIT * ENGINE_TOKENS_PER_SECOND * self.random.uniform(0.5, 4.0)
            for m in models
        }
        self.fencing_tokens = dict.fromkeys(self.engines, 0)
        self.reservations: dict[tuple[str, str], Reservation] = {}
        self.coordinator = Coordinator()
        self.now_ms = 0.0
        self.moves = 0

    def view(self, rates: dict[str, float]) -> PlacementView:
        """Return the inputs of a decision with the given demand."""
        rows, registrations = {}, {}
        for name, items in self.engines.items():
            rows[name] = UpstreamRow(
                name,
                "1",
                "engine",
                "127.0.0.1:1",
                "dc",
                loaded=list(items.values()),
                capacity_bytes=CAPACITY_BYTES,
                highest_fencing_token=self.fencing_tokens[name],
            )
            registrations[name] = UpstreamRegistration(name, "1", "engine", CAPACITY_BYTES, True)
        demand = {m: ModelDemand(rate / 460.0, rate) for m, rate in rates.items()}
        return PlacementView(
            1, self.config, registrations, dict(self.reservations), rows, demand, 1
        )

    def tick(self, rates: dict[str, float], policy: Policy) -> None:
        """Decide once and execute the orders that the limits of the weight store allow."""
        self.now_ms += TICK_MS
        for items in self.engines.values():
            for name, item in items.items():
                items[name] = attrs.evolve(item, state="loaded")
        view = self.view(rates)
        planning_view, outcomes = self.coordinator.observe(view, self.now_ms)
        self.moves += len(outcomes)
        due = self.coordinator.due(view, self.now_ms)
        steps = policy(planning_view, self.now_ms)
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
            loaded = self.engines[step.upstream_id].values()
            assert sum(i.size_bytes for i in loaded) <= CAPACITY_BYTES
            self.fencing_tokens[step.upstream_id] = order.fencing_token
            self.coordinator.mark_sent(order, self.now_ms)

    def served_share(self, rates: dict[str, float]) -> float:
        """Return the share of demand served when engines split their throughput by demand."""
        holders = {
            m: [e for e, items in self.engines.items() if m in items and items[m].state == "loaded"]
            for m in rates
        }
        assigned_demand = dict.fromkeys(self.engines, 0.0)
        for m, rate in rates.items():
            for e in holders[m]:
                assigned_demand[e] += rate / len(holders[m])
        served = 0.0
        for m, rate in rates.items():
            for e in holders[m]:
                served += (
                    rate / len(holders[m]) * min(1.0, ENGINE_TOKENS_PER_SECOND / assigned_demand[e])
                )
        return served / sum(rates.values())

    def run(self, workload: str) -> tuple[float, float, int]:
        """Return attainment, accelerators used and moves after the initial placement."""
        for _ in range(100):
            self.tick(self.mean_demand, plan)
        self.moves = 0
        names = sorted(self.mean_demand)
        attainments, engines_used = [], []
        for tick in range(TICKS):
            if workload == "dead worker" and tick == 60:
                dead = max(self.engines, key=lambda e: (len(self.engines[e]), e))
                del self.engines[dead]
                self.reservations = {k: r for k, r in self.reservations.items() if k[0] != dead}
            rates = {
                m: rate * WORKLOADS[workload](names.index(m), tick) * self.random.gauss(1.0, 0.1)
                for m, rate in self.mean_demand.items()
            }
            rates = {m: max(1.0, rate) for m, rate in rates.items()}
            self.tick(rates, self.policy)
            attainments.append(self.served_share(rates))
            engines_used.append(sum(1 for items in self.engines.values() if items))
        return statistics.mean(attainments), statistics.mean(engines_used), self.moves


# Factors of the mean demand, by the numbers of the model and the tick.
WORKLOADS: dict[str, Callable[[int, int], float]] = {
    "steady": lambda model, tick: 1.0,
    "tenfold burst": lambda model, tick: 10.0 if model == 3 and 60 <= tick < 240 else 1.0,
    "many at once": lambda model, tick: 3.0 if model % 3 == 0 and 60 <= tick < 240 else 1.0,
    "dead worker": lambda model, tick: 1.0,
    "rotating": lambda model, tick: 4.0 if (tick // 60) % 4 == model % 4 else 0.5,
}


def median_of(deployment: Deployment, workload: str, policy: Policy) -> tuple[float, float, float]:
    """Return the medians over all seeds."""
    results = [Simulation(deployment, seed, policy).run(workload) for seed in SEEDS]
    attainment, engines, moves = (
        statistics.median(column) for column in zip(*results, strict=True)
    )
    return attainment, engines, moves


def compare() -> None:
    """Print the results of all policies on all workloads."""
    print("| user | workload | policy | attainment | accelerators | per accelerator | moves |")
    print("|---|---|---|---|---|---|---|")
    for user_name, deployment in DEPLOYMENTS.items():
        for workload in WORKLOADS:
            for name, policy in POLICIES.items():
                attainment, engines, moves = median_of(deployment, workload, policy)
                row = f"{attainment:.3f} | {engines:.1f} | {attainment / engines:.4f} | {moves:.0f}"
                print(f"| {user_name} | {workload} | {name} | {row} |", flush=True)


def weights() -> None:
    """Print the effect of the move weight on rotating demand."""
    print("| user | move_weight | attainment | accelerators | moves |\n|---|---|---|---|---|")
    for user_name, deployment in DEPLOYMENTS.items():
        for weight in (0.1, 0.3, 1.0, 3.0, 10.0):
            settings = attrs.evolve(deployment.settings, move_weight=weight)
            changed = attrs.evolve(deployment, settings=settings)
            attainment, engines, moves = median_of(changed, "rotating", plan)
            print(f"| {user_name} | {weight} | {attainment:.3f} | {engines:.1f} | {moves:.0f} |")


def large_view(engines: int, seed: int, loaded: bool) -> PlacementView:
    """Return a view with 25 data centres, up to 950 models and four items per engine."""
    generator = random.Random(seed)
    model_count = min(950, engines * 2)
    data_centres = min(25, engines)
    models = {
        f"m{i:03}": Model(generator.randint(10, 30), (f"dc{i % data_centres:02}-*",))
        for i in range(model_count)
    }
    adapters = {f"a{i}": Adapter(f"m{i % model_count:03}", 1) for i in range(4 * model_count)}
    rows, registrations, reservations = {}, {}, {}
    for i in range(engines):
        name = f"dc{i % data_centres:02}-{i:05}"
        items = []
        local = [f"m{j:03}" for j in range(i % data_centres, model_count, data_centres)]
        for item in (
            {local[(i // data_centres * 2 + k) % len(local)] for k in range(2)} if loaded else ()
        ):
            size = models[item].size_bytes
            items.append(LoadedItem(item, size, "o", "loaded"))
            reservations[name, item] = Reservation(name, "1", item, size, "o", 1)
        rows[name] = UpstreamRow(
            name, "1", "engine", "127.0.0.1:1", "dc", loaded=items, capacity_bytes=CAPACITY_BYTES
        )
        registrations[name] = UpstreamRegistration(name, "1", "engine", CAPACITY_BYTES, True)
    total = 0.5 * engines * ENGINE_TOKENS_PER_SECOND
    parts = {m: generator.expovariate(1.0) for m in models}
    whole = sum(parts.values())
    demand = {m: ModelDemand(0.0, part / whole * total) for m, part in parts.items()}
    config = Configuration(models=models, adapters=adapters)
    return PlacementView(1, config, registrations, reservations, rows, demand, 1)


def unreachable_view(engines: int, seed: int) -> PlacementView:
    """Return a view in which no engine holds every tenth model and no memory is free."""
    view = large_view(engines, seed, True)
    rows = {
        name: attrs.evolve(
            row,
            capacity_bytes=sum(
                item.size_bytes for item in row.loaded if not _is_removed(item.name)
            ),
            loaded=[item for item in row.loaded if not _is_removed(item.name)],
        )
        for name, row in view.upstreams.items()
    }
    reservations = {key: r for key, r in view.reservations.items() if not _is_removed(key[1])}
    return attrs.evolve(view, upstreams=rows, reservations=reservations)


def _is_removed(item: str) -> bool:
    return item.endswith("0")


def decision_time() -> None:
    """Print the duration of a decision by number of engines, as the median over all seeds."""
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
