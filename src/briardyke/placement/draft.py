"""Hold the working state of one placement decision."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.placement.candidates import Candidates
from briardyke.placement.reservations import EngineMemory, live_engines
from briardyke.placement.types import Step, StepKind

if TYPE_CHECKING:
    from briardyke.placement.types import PlacementView

# Ten times the order timeout. An engine that announces itself but accepts no order for this long
# has a one-way connection failure, so the model is placed elsewhere.
STUCK_MS = 30_000.0
# The largest supported deployment generates 23 million tokens per second for 50,000 requests per
# second.
TOKENS_PER_REQUEST = 460.0
# A search of all allowed engines for items to evict is slow, so only a few are made per decision.
# The most urgent models come first, and the next decision continues with the others.
MAX_FULL_SEARCHES = 4


class Draft:
    """Track the memory, replicas and assigned demand that result from the steps chosen so far.

    :param engines: live engines by upstream id.
    :param steps: steps decided so far.
    :param loaded: engines with a replica that serves now and is not being unloaded, by item.
    :param arriving: engines on which a load of the item is in progress, by item.
    :param uncertain: engines that hold memory for the item but neither announce it nor have a
        pending order for it, so that it may or may not be loaded, by item.
    :param unloading_bytes: bytes being unloaded by upstream id.
    :param free: bytes that a new reservation may take, by upstream id; may fall below zero when
        memory that is being unloaded is already assigned.
    :param unloading: upstream ids and items that are being unloaded.
    :param stuck: upstream ids and items whose load has been unconfirmed for :data:`STUCK_MS`.
    :param assigned_demand: demand in tokens per second that the replicas on each engine serve.
    """

    def __init__(self, view: PlacementView, now_ms: float) -> None:
        """Build the state from the view in time proportional to its size."""
        self.view = view
        self.now_ms = now_ms
        self.models = view.configuration.models
        self.adapters = view.configuration.adapters
        self.engines = live_engines(view)
        self.steps: list[Step] = []
        self._full_searches = 0
        self.loaded: dict[str, set[str]] = {}
        self.arriving: dict[str, set[str]] = {}
        self.uncertain: dict[str, set[str]] = {}
        self.unloading_bytes: dict[str, int] = {}
        self.unloading: set[tuple[str, str]] = set()
        self.stuck: set[tuple[str, str]] = set()
        self.free = {i: e.free_bytes for i, e in self.engines.items()}
        self.assigned_demand = dict.fromkeys(self.engines, 0.0)
        ready = [i for i, e in self.engines.items() if e.ready]
        self.candidates = Candidates(ready, self.assigned_demand)
        for engine in self.engines.values():
            self._classify_items(engine)
        for name, adapter in self.adapters.items():
            with_model = self.loaded.get(adapter.model, set())
            if name in self.loaded:
                self.loaded[name] &= with_model
        # Sorted, because the rounding of the sums depends on their order.
        for item in sorted(self.loaded.keys() | self.arriving.keys()):
            self._add_demand(item, 1.0)

    def demand(self, item: str) -> float:
        """Return the demand for an item in tokens per second."""
        demand = self.view.demand.get(item)
        if demand is None:
            return 0.0
        requested = (demand.requests_per_second + demand.waiting_requests) * TOKENS_PER_REQUEST
        return demand.tokens_per_second or requested

    def size(self, item: str) -> int:
        """Return the memory in bytes of an item of the current configuration."""
        found = self.models.get(item) or self.adapters[item]
        return found.size_bytes

    def is_configured(self, item: str) -> bool:
        """Return whether the item is in the current configuration."""
        return item in self.models or item in self.adapters

    def replicas(self, item: str) -> set[str]:
        """Return the engines that serve the item now or after their load."""
        return self.loaded.get(item, set()) | self.arriving.get(item, set())

    def allowed(self, item: str, upstream_id: str) -> bool:
        """Return whether a ready engine may hold the item now."""
        adapter = self.adapters.get(item)
        if adapter is not None:
            return upstream_id in self.loaded.get(adapter.model, ())
        return self.candidates.is_allowed(self.models[item].instances, upstream_id)

    def bytes_to_reserve(self, item: str, upstream_id: str) -> int:
        """Return the bytes that a load must reserve in addition to those that are held already."""
        return max(0, self.size(item) - self.engines[upstream_id].sizes.get(item, 0))

    def can_load(self, item: str, upstream_id: str) -> bool:
        """Return whether a load of the item can be ordered without any unload."""
        return self.eligible(item, upstream_id) and self.bytes_to_reserve(item, upstream_id) <= max(
            0, self.free[upstream_id]
        )

    def eligible(self, item: str, upstream_id: str) -> bool:
        """Return whether the engine neither has the item in any state nor refused it recently."""
        return (
            upstream_id not in self.loaded.get(item, ())
            and upstream_id not in self.arriving.get(item, ())
            and (upstream_id, item) not in self.view.blocked
            and (upstream_id, item) not in self.stuck
            and (upstream_id, item) not in self.unloading
        )

    def load(self, item: str, upstream_id: str) -> None:
        """Add a load whose memory is free."""
        to_reserve = self.bytes_to_reserve(item, upstream_id)
        engine = self.engines[upstream_id]
        self._add_demand(item, -1.0)
        self.free[upstream_id] -= to_reserve
        if (upstream_id, item) in self.unloading:
            self.unloading.discard((upstream_id, item))
            self.unloading_bytes[upstream_id] -= engine.sizes[item]
        engine.sizes[item] = engine.sizes.get(item, 0) + to_reserve
        self.arriving.setdefault(item, set()).add(upstream_id)
        self.uncertain.get(item, set()).discard(upstream_id)
        self._add_demand(item, 1.0)
        self._add_step(StepKind.LOAD, item, upstream_id, self.size(item))

    def unload(self, item: str, upstream_id: str) -> None:
        """Add an unload; its memory can be assigned but is not free yet."""
        self._add_demand(item, -1.0)
        self.loaded.get(item, set()).discard(upstream_id)
        self.uncertain.get(item, set()).discard(upstream_id)
        self._add_demand(item, 1.0)
        size = self.engines[upstream_id].sizes[item]
        self.unloading_bytes[upstream_id] = self.unloading_bytes.get(upstream_id, 0) + size
        self.unloading.add((upstream_id, item))
        self._add_step(StepKind.UNLOAD, item, upstream_id, size)

    def assign_memory(self, item: str, upstream_id: str) -> None:
        """Set memory that is being freed aside for an item that a later decision loads."""
        to_reserve = self.bytes_to_reserve(item, upstream_id)
        self.free[upstream_id] -= to_reserve

    def available_bytes(self, upstream_id: str) -> int:
        """Return the free bytes plus those being unloaded, minus those already assigned."""
        return self.free[upstream_id] + self.unloading_bytes.get(upstream_id, 0)

    def may_search_all(self) -> bool:
        """Return whether this decision may search all engines once more, and count the search."""
        self._full_searches += 1
        return self._full_searches <= MAX_FULL_SEARCHES

    def _add_step(self, kind: StepKind, item: str, upstream_id: str, size: int) -> None:
        incarnation = self.engines[upstream_id].incarnation
        self.steps.append(Step(kind, upstream_id, incarnation, item, size))

    def _classify_items(self, engine: EngineMemory) -> None:
        upstream_id = engine.upstream_id
        for item in engine.sizes:
            order = self.view.pending.get((upstream_id, item))
            if order is not None and order.kind is StepKind.UNLOAD:
                self.unloading.add((upstream_id, item))
                if engine.checks_fencing:
                    size = engine.sizes[item]
                    self.unloading_bytes[upstream_id] = (
                        self.unloading_bytes.get(upstream_id, 0) + size
                    )
                continue
            model = self.models.get(item)
            if not engine.ready or not self.is_configured(item):
                continue
            if model is not None and not self.candidates.is_allowed(model.instances, upstream_id):
                continue
            if item in engine.loaded:
                self.loaded.setdefault(item, set()).add(upstream_id)
            elif item in engine.loading:
                self.arriving.setdefault(item, set()).add(upstream_id)
            elif order is None:
                self.uncertain.setdefault(item, set()).add(upstream_id)
            elif self.now_ms - order.since_ms < STUCK_MS:
                self.arriving.setdefault(item, set()).add(upstream_id)
            else:
                self.stuck.add((upstream_id, item))

    def _add_demand(self, item: str, sign: float) -> None:
        replicas = self.replicas(item)
        demand = self.demand(item)
        if not replicas or not demand:
            return
        share = sign * demand / len(replicas)
        for upstream_id in replicas:
            self.assigned_demand[upstream_id] += share
            self.candidates.changed(upstream_id)
