"""Track the leader's knowledge of each engine's memory and orders."""

from __future__ import annotations

import attrs
import trio

from briardyke.clock import now_ms
from briardyke.fleet.records import Upstream

# An adapter stays this long after it was last requested; entry instances trust it for less.
ADAPTER_KEEP_MS = 1500.0
# An adapter that was requested within this time counts as in use when engines are compared.
ADAPTER_BUSY_MS = 5000.0
# A model stays this long after its load should have ended, for the callers that waited for it.
RESIDENCE_MS = 2500.0
# Shortest time that an engine with a pending order, or one in doubt, is expected to take.
_LEAST_REST_MS = 400.0
# An order that gets no answer is in doubt. Its sequence is read again after this time, since
# reports lag by some hundred milliseconds.
REPORT_LAG_MS = 600.0
# Placeholder for a model that an earlier leader ordered and that no report names yet.
UNKNOWN_MODEL = ""


@attrs.frozen
class EngineReport:
    """Hold an engine's report of itself.

    :param sequence: orders that it has accepted since its start.
    :param models: adapters by model in its memory.
    :param is_busy: whether it carries out an order for a model.
    :param loading_adapters: adapters being loaded into it, as model and adapter.
    """

    sequence: int
    models: dict[str, list[str]]
    is_busy: bool
    loading_adapters: list[tuple[str, str]] = attrs.field(factory=list)


@attrs.define(eq=False)
class EngineState:
    """Hold the leader's knowledge of one incarnation of an engine.

    :param row: its latest announcement.
    :param sequence: orders that it has accepted, ``None`` before its first report and while an
        order is in doubt.
    :param models: models that it holds or loads.
    :param adapters: time at which each adapter was last requested, by model and name.
    :param pending: model and direction of the order that it carries out.
    :param pending_since_ms: time at which that order was accepted.
    :param pending_until_ms: time at which it should have been carried out.
    :param order_ended_ms: time at which the last order was seen to be carried out.
    :param pending_from_store: whether it loads weights from the weight store.
    :param leaving: models that are being unloaded.
    :param unloading_adapters: adapters that are being unloaded and still occupy their slots.
    :param suspect_adapters: adapters that a refused request did not find. They keep their slots
        and are ordered again when they are requested.
    :param doubt_since_ms: time since which the sequence is unknown.
    :param review_ms: time at which a report is wanted, 0 for none.
    :param loaded_ms: time at which the load of each model should have ended.
    :param ready: set when an adapter that is being loaded has arrived or failed.
    :param lock: orders to one engine go out one after the other.
    """

    row: Upstream
    sequence: int | None = None
    models: set[str] = attrs.field(factory=set)
    adapters: dict[tuple[str, str], float] = attrs.field(factory=dict)
    pending: tuple[str, bool] | None = None
    pending_since_ms: float = 0.0
    pending_until_ms: float = 0.0
    order_ended_ms: float = float("-inf")
    pending_from_store: bool = False
    leaving: set[str] = attrs.field(factory=set)
    unloading_adapters: set[tuple[str, str]] = attrs.field(factory=set)
    suspect_adapters: set[tuple[str, str]] = attrs.field(factory=set)
    doubt_since_ms: float = 0.0
    review_ms: float = 0.0
    lock: trio.Lock = attrs.field(factory=trio.Lock)
    loaded_ms: dict[str, float] = attrs.field(factory=dict)
    ready: dict[tuple[str, str], trio.Event] = attrs.field(factory=dict)

    def adopt_report(self, report: EngineReport) -> None:
        """Take the engine's own report of its memory."""
        self.sequence = report.sequence
        # A model being loaded is not in the report yet, but its memory is in use. An announcement
        # may name a model that the report, which lags, does not.
        self.models = set(report.models) | {held.name for held in self.row.models}
        held = {(m, a) for m, names in report.models.items() for a in names}
        held |= set(report.loading_adapters)
        self.adapters = {key: self.adapters.get(key, 0.0) for key in held}
        self.unloading_adapters &= held
        self.suspect_adapters &= held
        if not report.is_busy:
            self.pending = None
        elif self.pending is None:
            if now_ms() - self.order_ended_ms > REPORT_LAG_MS:
                self.pending = (UNKNOWN_MODEL, True)  # ordered by an earlier leader
                self.pending_until_ms = now_ms()
        elif self.pending[1] and self.pending[0] != UNKNOWN_MODEL:
            self.models.add(self.pending[0])

    def adopt_row(self, row: Upstream) -> None:
        """Apply a new announcement, which shows that a model has been loaded or unloaded."""
        self.row = row
        announced = {held.name for held in row.models}
        self.models |= announced - self.leaving
        if self.pending is None:
            return
        model, is_load = self.pending
        if model == UNKNOWN_MODEL:
            return
        if (model in announced) == is_load:
            self.pending = None
            self.order_ended_ms = now_ms()
            if not is_load:
                self.models.discard(model)
                self.leaving.discard(model)
                self.adapters = {k: t for k, t in self.adapters.items() if k[0] != model}

    def has_adapter(self, key: tuple[str, str]) -> bool:
        """Return whether an adapter is in its memory, as far as known."""
        return key in self.adapters and key not in self.suspect_adapters

    def idle_adapters(self) -> list[tuple[str, str]]:
        """Return adapters that may be evicted, the least recently requested first."""
        limit_ms = now_ms() - ADAPTER_KEEP_MS
        old = [
            key
            for key, used_ms in self.adapters.items()
            if used_ms < limit_ms and key not in self.unloading_adapters
        ]
        return sorted(old, key=lambda key: self.adapters[key])

    def recent_models(self) -> frozenset[str]:
        """Return the models that are being loaded or were loaded recently."""
        limit_ms = now_ms() - RESIDENCE_MS
        return frozenset(m for m, loaded_ms in self.loaded_ms.items() if loaded_ms >= limit_ms)

    def free_in_ms(self) -> float:
        """Return the time until the engine should take orders for models.

        An order that is overdue, such as an unload that waits for long streams, is expected to
        take as long again as it is late.
        """
        if self.pending is not None:
            return max(_LEAST_REST_MS, abs(self.pending_until_ms - now_ms()))
        return _LEAST_REST_MS if self.sequence is None else 0.0

    def arriving_ms(self) -> dict[str, float]:
        """Return the model being loaded and the time until it should be loaded."""
        if self.pending is None or not self.pending[1] or self.pending[0] == UNKNOWN_MODEL:
            return {}
        return {self.pending[0]: self.pending_until_ms - now_ms()}

    def busy_adapters(self) -> list[tuple[str, str]]:
        """Return adapters that were requested recently."""
        limit_ms = now_ms() - ADAPTER_BUSY_MS
        return [key for key, used_ms in self.adapters.items() if used_ms >= limit_ms]
