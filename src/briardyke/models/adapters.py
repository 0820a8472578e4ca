"""Load and unload adapters within the adapter slots of an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.clock import now_ms
from briardyke.logs import log_limited
from briardyke.models.decide import committed_mb
from briardyke.models.engine_state import REPORT_LAG_MS, EngineState
from briardyke.models.orders import OrderOutcome

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardyke.routes.configuration import EngineSpec

# An adapter is loaded within 14 ms while the weight store is not overloaded.
ADAPTER_ARRIVAL_MS = 15.0
# Adapters that may be loading into one engine at the same time.
_MAX_ADAPTERS_IN_TRANSIT = 4


class AdapterLoader:
    """Load adapters into engines, evicting those that are not requested."""

    def __init__(
        self, order: Callable[[EngineState, bool, str, str], Awaitable[OrderOutcome]]
    ) -> None:
        """Order through ``order``, which takes the engine, whether to load, model and adapter."""
        self._order = order

    async def ensure(self, state: EngineState, spec: EngineSpec, key: tuple[str, str]) -> str:
        """Return an empty text once the engine holds the adapter, else the reason.

        :param key: names of the model and the adapter.
        """
        while True:
            while key in state.ready:
                await state.ready[key].wait()
            if key in state.unloading_adapters:
                return "the adapter is being unloaded"
            if state.has_adapter(key):
                state.adapters[key] = now_ms()
                return ""
            if state.pending is not None or state.sequence is None:
                return "the engine is executing another order"
            if len(state.ready) >= _MAX_ADAPTERS_IN_TRANSIT:
                return "too many adapters are being loaded"
            is_counted = key in state.adapters or len(state.adapters) < spec.adapter_slots
            if is_counted and _fits(state, spec):
                return await self._load(state, key)
            idle = state.idle_adapters()
            if not idle:
                return "all adapter slots are in use"
            # Another request may load the same adapter meanwhile, so the state is checked again.
            failure = await self._unload(state, idle[0])
            if failure:
                return failure

    async def _unload(self, state: EngineState, key: tuple[str, str]) -> str:
        """Return an empty text once the adapter's slot is free, else the reason."""
        state.unloading_adapters.add(key)
        outcome = await self._order(state, False, *key)
        if outcome is OrderOutcome.HELD_ALREADY:
            state.unloading_adapters.discard(key)
            state.adapters.pop(key, None)
            return ""
        if outcome is OrderOutcome.ACCEPTED:
            # Requests still use it; a later report shows when its slot is free.
            state.review_ms = now_ms() + REPORT_LAG_MS
        else:
            state.unloading_adapters.discard(key)
        return f"unload {outcome.value}"

    async def _load(self, state: EngineState, key: tuple[str, str]) -> str:
        event = state.ready[key] = trio.Event()
        state.adapters[key] = now_ms()
        state.suspect_adapters.discard(key)
        try:
            outcome = await self._order(state, True, *key)
            if outcome is OrderOutcome.ACCEPTED:
                await trio.sleep(ADAPTER_ARRIVAL_MS / 1000.0)
            elif outcome is not OrderOutcome.HELD_ALREADY:
                if outcome is not OrderOutcome.UNKNOWN:
                    state.adapters.pop(key, None)
                return f"load {outcome.value}"
            log_limited(
                "adapter_loaded",
                is_routine=True,
                upstream=state.row.upstream_id,
                adapter="/".join(key),
                held=len(state.adapters),
            )
            return ""
        finally:
            event.set()
            del state.ready[key]


def _fits(state: EngineState, spec: EngineSpec) -> bool:
    return committed_mb(spec, state.models) <= spec.weights_mb
