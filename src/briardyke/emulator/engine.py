"""Emulate an engine: a batch with slots, prompts read in pieces, and orders for models."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.clock import sleep_ms
from briardyke.fleet.records import READY, LoadedModel, Upstream
from briardyke.models.engine_state import EngineReport
from briardyke.models.orders import EngineOrder, OrderOutcome

if TYPE_CHECKING:
    from briardyke.emulator.experiment import EngineModel, WeightsModel

# Time in which a released model's last requests are polled for their end.
_UNLOAD_POLL_MS = 20.0


@attrs.define(eq=False)
class Job:
    """One request in an engine.

    :param model: model that it uses.
    :param prompt_tokens: prompt tokens that are still to be read.
    :param events: events that are still to be produced.
    :param priority: rank; 0 is the most urgent.
    :param ready: events that the caller's connection has not read yet.
    :param tokens: tokens since the last event.
    :param is_over: whether nothing follows.
    :param is_broken: whether it ended with its engine.
    """

    model: str
    prompt_tokens: float
    events: int
    priority: int
    ready: int = 0
    tokens: int = 0
    is_over: bool = False
    is_broken: bool = False
    changed: trio.Event = attrs.field(factory=trio.Event)

    def notify(self) -> None:
        """Wake the reader."""
        self.changed.set()
        self.changed = trio.Event()


class EmulatedEngine:
    """One engine; ``run`` processes its batch."""

    def __init__(
        self,
        upstream_id: str,
        model: EngineModel,
        weights: WeightsModel,
        slowness: float,
        data_centre: str,
    ) -> None:
        """Start with nothing loaded."""
        self.upstream_id = upstream_id
        self.slowness = slowness
        self.held: set[str] = set()
        self.copies: set[str] = set()
        self.withheld = ""
        self.is_lost = False
        self.orders = 0
        self.is_executing = False
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.announced = trio.Event()
        self._model, self._weights, self._data_centre = model, weights, data_centre
        self._wake = trio.Event()
        self._sequence = 0

    def row(self) -> Upstream:
        """Return its announcement."""
        self._sequence += 1
        return Upstream(
            self.upstream_id,
            1,
            self._sequence,
            "pool",
            "10.0.0.1:80",
            self._data_centre,
            READY,
            self._model.slots,
            [LoadedModel(name) for name in sorted(self.held)],
            sorted(self.copies),
        )

    # Requests

    def submit(self, job: Job) -> int:
        """Take a request; return 200, or the status with which it is refused."""
        if job.model not in self.held:
            return 421
        if job.model == self.withheld or len(self.waiting) >= self._model.queue:
            return 503
        self.waiting.append(job)
        self.waiting.sort(key=lambda waiting: waiting.priority)
        self._wake.set()
        return 200

    def cancel(self, job: Job) -> None:
        """Stop work on a request."""
        for jobs in (self.running, self.waiting):
            if job in jobs:
                jobs.remove(job)

    def lose(self) -> None:
        """End with all requests."""
        self.is_lost = True
        for job in [*self.running, *self.waiting]:
            job.is_broken = job.is_over = True
            job.notify()
        self.running.clear()
        self.waiting.clear()

    async def run(self) -> None:
        """Process the batch step by step."""
        while not self.is_lost:
            if not self.running and not self.waiting:
                self._wake = trio.Event()
                await self._wake.wait()
            while self.waiting and len(self.running) < self._model.slots:
                self.running.append(self.waiting.pop(0))
            await self._step()

    async def _step(self) -> None:
        """Read a piece of the prompts, or generate until the next events."""
        model = self._model
        piece = 0.0
        for job in self.running:
            read = min(job.prompt_tokens, model.chunk_tokens - piece)
            job.prompt_tokens -= read
            piece += read
        steps = 1 if piece else model.tokens_per_event
        took_ms = steps * model.step_ms + piece / model.prompt_tokens_per_ms
        await sleep_ms(took_ms * self.slowness)
        for job in list(self.running):
            if job.prompt_tokens > 0:
                continue
            job.tokens += steps
            if job.tokens < model.tokens_per_event and job.ready + job.events > 0:
                continue
            job.tokens = 0
            job.events -= 1
            job.ready += 1
            if job.events <= 0:
                job.is_over = True
                self.cancel(job)
            job.notify()

    # Orders

    async def execute(self, order: EngineOrder, nursery: trio.Nursery) -> OrderOutcome:
        """Accept an order and carry it out in the background."""
        if self.is_lost:
            await sleep_ms(800.0)
            return OrderOutcome.UNKNOWN
        if self.is_executing or order.expected_sequence != self.orders:
            return OrderOutcome.CONFLICT
        if (order.model in self.held) == order.is_load:
            return OrderOutcome.HELD_ALREADY
        self.orders += 1
        self.is_executing = True
        nursery.start_soon(self._load if order.is_load else self._unload, order.model)
        return OrderOutcome.ACCEPTED

    async def _load(self, name: str) -> None:
        is_copied = name in self.copies
        load_s = self._weights.disk_load_s if is_copied else self._weights.load_s
        await sleep_ms(load_s * 1000.0)
        self.held.add(name)
        self.copies.add(name)
        limit = self._model.weights_mb
        if len(self.held) * self._weights.weights_mb > limit:
            raise AssertionError(f"{self.upstream_id} holds more than {limit} MB")
        self._end_order()

    async def _unload(self, name: str) -> None:
        self.withheld = name
        while any(job.model == name for job in [*self.running, *self.waiting]):
            await sleep_ms(_UNLOAD_POLL_MS)
        self.held.discard(name)
        self.withheld = ""
        self._end_order()

    def _end_order(self) -> None:
        self.is_executing = False
        self.announced.set()

    def report(self) -> EngineReport:
        """Return its report."""
        return EngineReport(self.orders, {name: [] for name in self.held}, self.is_executing)
