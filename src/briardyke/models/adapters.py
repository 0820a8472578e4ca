"""Load and unload adapters within the places of an engine."""

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

# An adapter arrives within 14 ms while the store is not crowded.
ADAPTER_ARRIVAL_MS = 15.0
# Adapters that may be on their way to one engine at the same time.
_MAX_ADAPTERS_IN_TRANSIT = 4


class AdapterLoader:
    """Bring adapters into engines, in place of those that are not asked for."""

    def __init__(
        self, order: Callable[[EngineState, bool, str, str], Awaitable[OrderOutcome]]
    ) -> None:
        """Order through ``order``, which takes the engine, whether to load, model and adapter."""
        self._order = order

    async def ensure(self, ledger: EngineState, spec: EngineSpec, key: tuple[str, str]) -> str:
        """Return an empty text once the engine holds the adapter, else the reason.

        :param key: names of the model and the adapter.
        """
        while True:
            while key in ledger.ready:
                await ledger.ready[key].wait()
            if key in ledger.leaving_adapters:
                return "the adapter is being unloaded"
            if ledger.has_adapter(key):
                ledger.adapters[key] = now_ms()
                return ""
            if ledger.pending is not None or ledger.sequence is None:
                return "the engine carries out another order"
            if len(ledger.ready) >= _MAX_ADAPTERS_IN_TRANSIT:
                return "too many adapters are on their way"
            is_counted = key in ledger.adapters or len(ledger.adapters) < spec.adapter_slots
            if is_counted and _fits(ledger, spec):
                return await self._load(ledger, key)
            idle = ledger.idle_adapters()
            if not idle:
                return "all places for adapters are in use"
            # Another request may load the same adapter meanwhile, so all is looked at again.
            failure = await self._unload(ledger, idle[0])
            if failure:
                return failure

    async def _unload(self, ledger: EngineState, key: tuple[str, str]) -> str:
        """Return an empty text once the adapter's place is free, else the reason."""
        ledger.leaving_adapters.add(key)
        outcome = await self._order(ledger, False, *key)
        if outcome is OrderOutcome.HELD_ALREADY:
            ledger.leaving_adapters.discard(key)
            ledger.adapters.pop(key, None)
            return ""
        if outcome is OrderOutcome.ACCEPTED:
            # Requests still use it; a later report tells when its place is free.
            ledger.review_ms = now_ms() + REPORT_LAG_MS
        else:
            ledger.leaving_adapters.discard(key)
        return f"unload {outcome.value}"

    async def _load(self, ledger: EngineState, key: tuple[str, str]) -> str:
        event = ledger.ready[key] = trio.Event()
        ledger.adapters[key] = now_ms()
        ledger.doubted_adapters.discard(key)
        try:
            outcome = await self._order(ledger, True, *key)
            if outcome is OrderOutcome.ACCEPTED:
                await trio.sleep(ADAPTER_ARRIVAL_MS / 1000.0)
            elif outcome is not OrderOutcome.HELD_ALREADY:
                if outcome is not OrderOutcome.UNKNOWN:
                    ledger.adapters.pop(key, None)
                return f"load {outcome.value}"
            log_limited(
                "adapter_loaded",
                is_routine=True,
                upstream=ledger.row.upstream_id,
                adapter="/".join(key),
                held=len(ledger.adapters),
            )
            return ""
        finally:
            event.set()
            del ledger.ready[key]


def _fits(ledger: EngineState, spec: EngineSpec) -> bool:
    return committed_mb(spec, ledger.models) <= spec.weights_mb
