"""Run an experiment with several seeds and report medians and quartiles."""

from __future__ import annotations

import multiprocessing
import statistics
from functools import partial
from typing import TYPE_CHECKING

import attrs
import trio
import trio.testing

from briardyke.clock import sleep_ms
from briardyke.emulator.engine import EmulatedEngine
from briardyke.emulator.fleet import EmulatedControl, EmulatedEntry, EmulatedOrders, announce
from briardyke.emulator.gateway import CallDialect, EmulatedAttempts
from briardyke.emulator.load import Load, Tally
from briardyke.emulator.switches import switch_off
from briardyke.logs import configure_logs
from briardyke.models.runner import ModelPlacementRunner
from briardyke.routes.configuration import (
    EngineSpec,
    ModelSpec,
    RequestKind,
    Route,
    ServiceSpec,
    ServingConfiguration,
    Target,
)
from briardyke.routes.matching import RouteTable

if TYPE_CHECKING:
    from collections.abc import Iterator

    from briardyke.emulator.experiment import Event, Experiment

_DATA_CENTRES = ("a", "b", "c", "d")
# Time for which placement runs before the load starts.
_WARM_UP_S = 5.0
_STORE_WINDOW_S = 5.0


@attrs.define
class Result:
    """Result of one seed.

    :param tally: what callers received.
    :param loads: loads of models that were ordered.
    :param store_loads: those of them from the weight store.
    """

    tally: Tally
    loads: int
    store_loads: int


def run_seeds(experiment: Experiment, seeds: list[int], off: list[str], jobs: int) -> list[Result]:
    """Run an experiment with each seed, some at the same time.

    :param off: mechanisms that are switched off.
    :param jobs: processes to use.
    """
    task = partial(run_seed, experiment, off=tuple(off))
    if jobs <= 1:
        return [task(seed) for seed in seeds]
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        return pool.map(task, seeds)


def run_seed(experiment: Experiment, seed: int, off: tuple[str, ...] = ()) -> Result:
    """Run an experiment with one seed, in virtual time."""
    configure_logs("error")
    with switch_off(off):
        clock = trio.testing.MockClock(autojump_threshold=0.0)
        return trio.run(_Emulation(experiment, seed).run, clock=clock)


def report_lines(experiment: Experiment, results: list[Result]) -> Iterator[str]:
    """Return the lines of a report: shares of worth by kind, then outcomes by kind."""
    names = [kind.name for kind in experiment.request]
    for name in (None, *names):
        shares = [result.tally.share(name) for result in results]
        yield f"{name or 'all':14} worth {_quartiles(shares)}"
    for name in names:
        outcomes = sorted({o for r in results for k, o in r.tally.outcomes if k == name})
        for outcome in outcomes:
            counts = [r.tally.outcomes[name, outcome] for r in results]
            yield f"{name:14} {outcome:12} {_quartiles(counts)}"
    yield f"{'loads':14} {_quartiles([r.loads for r in results])}"
    yield f"{'store loads':14} {_quartiles([r.store_loads for r in results])}"


def _quartiles(values: list[float] | list[int]) -> str:
    if len(values) < 2:
        return f"{values[0]:.3f}"
    low, middle, high = statistics.quantiles(values, n=4, method="inclusive")
    return f"{middle:.3f} ({low:.3f} to {high:.3f})"


class _Emulation:
    """One run of an experiment."""

    def __init__(self, experiment: Experiment, seed: int) -> None:
        self._experiment, self._seed = experiment, seed
        self._configuration = _configuration(experiment)
        self._control: EmulatedControl
        self._engines: dict[str, EmulatedEngine] = {}
        self._nursery: trio.Nursery

    async def run(self) -> Result:
        experiment = self._experiment
        self._control = EmulatedControl()
        dialect = CallDialect()
        attempts = EmulatedAttempts(dialect, self._engines)
        routes = RouteTable(self._configuration)
        count = experiment.sizes.entries
        entries = [
            EmulatedEntry(
                *(str(n), _DATA_CENTRES[n % len(_DATA_CENTRES)], routes),
                *(dialect, attempts, self._control),
            )
            for n in range(count)
        ]
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            orders = EmulatedOrders(self._engines, nursery)
            runner = ModelPlacementRunner(
                self._control,  # type: ignore[arg-type]
                orders,
                lambda: self._configuration,
                "control",
                0.0,
                _STORE_WINDOW_S,
                engines_check_fencing=True,
            )
            for _ in range(experiment.sizes.engines):
                self._add_engine()
            self._place_first_models()
            for number, entry in enumerate(entries):
                nursery.start_soon(entry.run, count, 40.0 * (number % 7))
            nursery.start_soon(runner.run)
            await trio.sleep(_WARM_UP_S)
            load = Load(experiment, self._seed, entries, dialect)
            for event in experiment.event:
                nursery.start_soon(self._cause, event)
            await load.run()
            nursery.cancel_scope.cancel()
        return Result(load.tally, orders.loads, orders.store_loads)

    def _add_engine(self) -> None:
        number = len(self._engines)
        model = self._experiment.engine
        is_slow = (number + 1) * model.slow_share % 1.0 < model.slow_share - 1e-9
        engine = EmulatedEngine(
            f"e{number}",
            model,
            self._experiment.weights,
            model.slow_factor if is_slow else 1.0,
            _DATA_CENTRES[number % len(_DATA_CENTRES)],
        )
        self._engines[engine.upstream_id] = engine
        self._nursery.start_soon(engine.run)
        self._nursery.start_soon(announce, engine, self._control, 100.0 * (number % 12))

    def _place_first_models(self) -> None:
        """Place each model on one engine, as far as there is room."""
        places = int(self._experiment.engine.weights_mb / self._experiment.weights.weights_mb)
        engines = list(self._engines.values())
        for number in range(min(self._experiment.sizes.models, places * len(engines))):
            engine = engines[number % len(engines)]
            engine.held.add(f"m{number}")
            engine.copies.add(f"m{number}")

    async def _cause(self, event: Event) -> None:
        await trio.sleep(event.at_s)
        if event.kind == "engine_lost":
            running = [e for e in self._engines.values() if not e.is_lost]
            for engine in running[: event.count]:
                engine.lose()
        elif event.kind == "engine_added":
            for _ in range(event.count):
                self._add_engine()
        elif event.kind == "leader_lost":
            term, self._control.term = self._control.term or 1, None
            await sleep_ms(event.for_s * 1000.0)
            self._control.term = term + 1


def _configuration(experiment: Experiment) -> ServingConfiguration:
    weights, engine = experiment.weights, experiment.engine
    models = {
        f"m{n}": ModelSpec(
            f"m{n}", weights.weights_mb, weights.load_s, weights.disk_load_s, 0.5, 0, 0.0
        )
        for n in range(experiment.sizes.models)
    }
    spec = EngineSpec(engine.slots, engine.weights_mb, 8, engine.store_loads_per_s, 100_000, models)
    routes = tuple(
        Route(
            *(kind.name, "h", f"/{kind.name}/", RequestKind.STREAMING),
            *(kind.timeout_ms, kind.objective_ms, kind.priority, (Target("pool"),)),
            event_gap_objective_ms=kind.pause_ms,
        )
        for kind in experiment.request
    )
    return ServingConfiguration(1, routes, {"pool": ServiceSpec("pool", 100, spec)})
