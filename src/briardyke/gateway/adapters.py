"""Find an upstream that holds an adapter, or have one load it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from briardyke.clock import now_ms
from briardyke.fleet.messages import AdapterRequest
from briardyke.gateway.choice import AFFINITY_SLACK
from briardyke.logs import log_limited

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from briardyke.fleet.messages import AdapterReply
    from briardyke.gateway.dialect import RequestMetadata
    from briardyke.gateway.state import GatewayState
    from briardyke.gateway.tables import UpstreamState

# The leader evicts an adapter no sooner than KEEP_MS after it was last asked for; this instance
# trusts its presence for less than that.
TRUST_MS = 1000.0
# A request whose adapter has no place now asks again after this time.
ASK_AGAIN_MS = 150.0


class AdapterPlaces:
    """Send requests for an adapter to few upstreams, so that its loads stay few.

    Load: dozens of adapters with a flat demand share eight places an upstream. If any upstream
    could get any adapter, most requests would evict one that the next request needs.
    """

    def __init__(
        self,
        state: GatewayState,
        ask: Callable[[AdapterRequest], Awaitable[AdapterReply]],
    ) -> None:
        """Ask control instances through ``ask``."""
        self._state = state
        self._ask = ask

    async def place(
        self, caller: RequestMetadata, candidates: Sequence[UpstreamState], fallback: UpstreamState
    ) -> UpstreamState | None:
        """Return an upstream that holds the adapter, or ``None`` if none can get it now.

        :param caller: what the caller asks for.
        :param candidates: upstreams that hold the model.
        :param fallback: the best of them without regard to the adapter.
        """
        name = f"{caller.model}/{caller.adapter}"
        ranked = sorted(
            candidates,
            key=lambda s: xxhash.xxh64_intdigest(f"{name}|{s.row.upstream_id}".encode()),
            reverse=True,
        )
        held = [s for s in candidates if s.holds_adapter(caller.model, caller.adapter)]
        limit = fallback.load() + AFFINITY_SLACK * 2
        near = [s for s in held if s.load() <= limit]
        if near:
            return min(near, key=lambda s: s.load())
        order = [ranked[0] if ranked[0].load() <= limit else fallback]
        order += [s for s in ranked if s not in order]
        lacking = [s for s in order if s.lacks_adapter(caller.model, caller.adapter)]
        request = AdapterRequest(
            caller.model,
            caller.adapter,
            [s.row.upstream_id for s in order],
            [s.row.upstream_id for s in lacking],
        )
        reply = await self._ask(request)
        chosen = self._state.upstreams.get(reply.upstream_id) if reply.upstream_id else None
        if chosen is None:
            chosen = self._announced(caller, candidates)
        if chosen is None:
            log_limited(
                "adapter_not_placed",
                is_routine=False,
                request=caller.request_id,
                adapter=name,
                reason=reply.reason,
            )
            return None
        chosen.adapter_misses.pop((caller.model, caller.adapter), None)
        chosen.adapters[(caller.model, caller.adapter)] = now_ms() + TRUST_MS
        return chosen

    @staticmethod
    def _announced(
        caller: RequestMetadata, candidates: Sequence[UpstreamState]
    ) -> UpstreamState | None:
        """Return an upstream that named the adapter in its last announcement.

        Load: while leadership changes hands nobody can order adapters for some seconds, but most
        of those that are asked for are still where they were.
        """
        holding = [s for s in candidates if s.announces_adapter(caller.model, caller.adapter)]
        return min(holding, key=lambda s: s.load(), default=None)
