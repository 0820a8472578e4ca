"""Track what the leader knows of each engine's memory and orders."""

from __future__ import annotations

import attrs
import trio

from briardyke.clock import now_ms
from briardyke.fleet.records import Upstream

# An adapter is kept for this long after it was last requested. Entry instances assume for a shorter
# time that it is still loaded.
ADAPTER_KEEP_MS = 1500.0
# An adapter that was requested within this time counts as in use when engines are compared.
ADAPTER_BUSY_MS = 5000.0
# A model is kept for this long after the expected end of its load, for the callers that waited.
MIN_RESIDENCE_MS = 2500.0
# Minimum expected wait for an engine with a pending order or an unknown sequence.
_MIN_BUSY_MS = 400.0
# After an order without an answer, the engine's sequence is unknown. It is read again after this
# time, since reports lag by some hundred milliseconds.
REPORT_LAG_MS = 600.0
# Placeholder for the model of an earlier leader's order, which no report names yet.
UNKNOWN_MODEL = ""


@attrs.frozen
class EngineReport:
    """Hold the report of an engine on its own state.

    :param sequence: number of orders that it has accepted since its start.
    :param models: loaded adapters by model in its memory.
    :param is_busy: whether it is executing an order for a model.
    :param loading_adapters: adapters that it is loading, as model and adapter.
    """

    sequence: int
    models: dict[str, list[str]]
    is_busy: bool
    loading_adapters: list[tuple[str, str]] = attrs.field(factory=list)


@attrs.define(eq=False)
class KnownEngineState:
    """Hold what the leader knows of one incarnation of an engine.

    :param row: its latest announcement.
    :param sequence: number of orders that it has accepted, ``None`` before its first report and
        while the outcome of an order is unknown.
    :param models: models that it holds or is loading.
    :param adapters: time at which each adapter was last requested, by model and name.
    :param pending: model of the order that it is executing, and whether that order is a load.
    :param pending_since_ms: time at which that order was started or last checked in a report.
    :param pending_expected_end_ms: time at which that order should be complete.
    :param order_ended_ms: time at which an announcement showed that the last order is complete.
    :param pending_from_store: whether that order loads from the weight store.
    :param unloading_models: models that are being unloaded.
    :param unloading_adapters: adapters that are being unloaded and still occupy their slots.
    :param suspect_adapters: adapters that a refused request did not find. They count as using
        their slots and are loaded again when they are requested.
    :param sequence_unknown_since_ms: time at which the sequence became unknown.
    :param is_confirmed: whether a report was read late enough to show the result of every order
        that the engine has accepted.
    :param report_due_ms: time at which to read the next report, 0 for none.
    :param load_end_ms: expected end of the last load of each model.
    :param adapter_load_ended: events that are set when the load of an adapter has ended or failed.
    :param lock: held while an order or a request for a report is in progress, one at a time.
    """

    row: Upstream
    sequence: int | None = None
    models: set[str] = attrs.field(factory=set)
    adapters: dict[tuple[str, str], float] = attrs.field(factory=dict)
    pending: tuple[str, bool] | None = None
    pending_since_ms: float = 0.0
    pending_expected_end_ms: float = 0.0
    order_ended_ms: float = float("-inf")
    pending_from_store: bool = False
    unloading_models: set[str] = attrs.field(factory=set)
    unloading_adapters: set[tuple[str, str]] = attrs.field(factory=set)
    suspect_adapters: set[tuple[str, str]] = attrs.field(factory=set)
    sequence_unknown_since_ms: float = 0.0
    report_due_ms: float = 0.0
    is_confirmed: bool = True
    lock: trio.Lock = attrs.field(factory=trio.Lock)
    load_end_ms: dict[str, float] = attrs.field(factory=dict)
    adapter_load_ended: dict[tuple[str, str], trio.Event] = attrs.field(factory=dict)

    def adopt_report(self, report: EngineReport) -> None:
        """Replace what is known by the engine's own report.

        A load that has just ended shows neither as busy nor among the models of a report that lags,
        so a report that may have missed one needs another.
        """
        may_have_ordered = self.sequence is None and report.sequence > 0
        self.is_confirmed = self.pending is None and not may_have_ordered
        self.sequence = report.sequence
        # The report lags and may lack a model that an announcement names. A model that is being
        # loaded is not in the report either, but its memory is in use.
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
                self.pending = (UNKNOWN_MODEL, True)  # An earlier leader sent the order.
                self.pending_expected_end_ms = now_ms()
        elif self.pending[1] and self.pending[0] != UNKNOWN_MODEL:
            self.models.add(self.pending[0])

    def adopt_row(self, row: Upstream) -> None:
        """Apply a new announcement, which may show that the pending order is complete."""
        self.row = row
        announced = {held.name for held in row.models}
        self.models |= announced - self.unloading_models
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
                self.unloading_models.discard(model)
                self.adapters = {k: t for k, t in self.adapters.items() if k[0] != model}

    def has_adapter(self, key: tuple[str, str]) -> bool:
        """Return whether the adapter is loaded or being loaded, as far as known."""
        return key in self.adapters and key not in self.suspect_adapters

    def idle_adapters(self) -> list[tuple[str, str]]:
        """Return the adapters that may be evicted, least recently requested first."""
        limit_ms = now_ms() - ADAPTER_KEEP_MS
        old = [
            key
            for key, used_ms in self.adapters.items()
            if used_ms < limit_ms and key not in self.unloading_adapters
        ]
        return sorted(old, key=lambda key: self.adapters[key])

    def recently_loaded_models(self) -> frozenset[str]:
        """Return the models that are being loaded or were loaded recently."""
        limit_ms = now_ms() - MIN_RESIDENCE_MS
        return frozenset(m for m, end_ms in self.load_end_ms.items() if end_ms >= limit_ms)

    def free_in_ms(self) -> float:
        """Return the expected time until the engine accepts orders for models.

        An overdue order, such as an unload that waits for long streams to end, is expected to take
        as much longer as it is already late.
        """
        if self.pending is not None:
            return max(_MIN_BUSY_MS, abs(self.pending_expected_end_ms - now_ms()))
        return _MIN_BUSY_MS if self.sequence is None else 0.0

    def arriving_ms(self) -> dict[str, float]:
        """Return the model that is being loaded, with the expected time until it is loaded."""
        if self.pending is None or not self.pending[1] or self.pending[0] == UNKNOWN_MODEL:
            return {}
        return {self.pending[0]: self.pending_expected_end_ms - now_ms()}

    def busy_adapters(self) -> list[tuple[str, str]]:
        """Return the adapters that were requested recently."""
        limit_ms = now_ms() - ADAPTER_BUSY_MS
        return [key for key, used_ms in self.adapters.items() if used_ms >= limit_ms]
