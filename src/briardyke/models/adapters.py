"""Load and unload adapters within the adapter slots of an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.clock import now_ms
from briardyke.logs import log_limited
from briardyke.models.decide import committed_mb
from briardyke.models.engine_state import REPORT_LAG_MS, KnownEngineState
from briardyke.models.orders import OrderOutcome

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardyke.routes.configuration import EngineSpec

# Loading an adapter takes up to 14 ms while the weight store is not overloaded.
ADAPTER_LOAD_MS = 15.0
# Maximum number of concurrent adapter loads per engine.
_MAX_CONCURRENT_ADAPTER_LOADS = 4


class AdapterLoader:
    """Load adapters into engines, evicting those that were not requested recently."""

    def __init__(
        self, send_order: Callable[[KnownEngineState, bool, str, str], Awaitable[OrderOutcome]]
    ) -> None:
        """Create a loader.

        :param send_order: sends an order for the given engine, direction (whether to load), model
            and adapter.
        """
        self._send_order = send_order

    async def ensure(self, state: KnownEngineState, spec: EngineSpec, key: tuple[str, str]) -> str:
        """Load an adapter; return an empty string once the engine holds it, else the reason.

        :param key: names of the model and the adapter.
        """
        while True:
            while key in state.adapter_load_ended:
                await state.adapter_load_ended[key].wait()
            if key in state.unloading_adapters:
                return "the adapter is being unloaded"
            if state.has_adapter(key):
                state.adapters[key] = now_ms()
                return ""
            if state.pending is not None or state.sequence is None or not state.is_confirmed:
                return "the engine is executing another order"
            if len(state.adapter_load_ended) >= _MAX_CONCURRENT_ADAPTER_LOADS:
                return "the engine is already loading the maximum number of adapters"
            has_slot = key in state.adapters or len(state.adapters) < spec.adapter_slots
            if has_slot and _models_fit(state, spec):
                return await self._load(state, key)
            idle = state.idle_adapters()
            if not idle:
                return "all adapter slots are in use"
            # Another request may load the same adapter meanwhile, so the state is checked again.
            failure = await self._unload(state, idle[0])
            if failure:
                return failure

    async def _unload(self, state: KnownEngineState, key: tuple[str, str]) -> str:
        """Unload an adapter; return an empty string once its slot is free, else the reason."""
        state.unloading_adapters.add(key)
        outcome = await self._send_order(state, False, *key)
        if outcome is OrderOutcome.HELD_ALREADY:
            state.unloading_adapters.discard(key)
            state.adapters.pop(key, None)
            return ""
        if outcome is OrderOutcome.ACCEPTED:
            # Requests still use the adapter; a later report shows when its slot is free.
            state.report_due_ms = now_ms() + REPORT_LAG_MS
        else:
            state.unloading_adapters.discard(key)
        return f"outcome of the unload order: {outcome.value}"

    async def _load(self, state: KnownEngineState, key: tuple[str, str]) -> str:
        event = state.adapter_load_ended[key] = trio.Event()
        state.adapters[key] = now_ms()
        state.suspect_adapters.discard(key)
        try:
            outcome = await self._send_order(state, True, *key)
            if outcome is OrderOutcome.ACCEPTED:
                await trio.sleep(ADAPTER_LOAD_MS / 1000.0)
            elif outcome is not OrderOutcome.HELD_ALREADY:
                if outcome is not OrderOutcome.UNKNOWN:
                    state.adapters.pop(key, None)
                return f"outcome of the load order: {outcome.value}"
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
            del state.adapter_load_ended[key]


def _models_fit(state: KnownEngineState, spec: EngineSpec) -> bool:
    return committed_mb(spec, state.models) <= spec.weights_mb
