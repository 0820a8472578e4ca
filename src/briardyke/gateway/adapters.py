"""Find an upstream that has an adapter loaded, or request a load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms
from briardyke.fleet.messages import AdapterRequest
from briardyke.gateway.upstream_selection import AFFINITY_SLACK
from briardyke.logs import log_limited
from briardyke.policy.rendezvous import rendezvous_hash

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from briardyke.fleet.messages import AdapterReply
    from briardyke.gateway.dialect import RequestMetadata
    from briardyke.gateway.state import GatewayState
    from briardyke.gateway.upstreams import UpstreamState

# The leader evicts an adapter no sooner than KEEP_MS after it was last requested; this instance
# assumes that an adapter is present for less than that.
PRESENCE_TTL_MS = 1000.0
# Interval after which a request asks again when no upstream can load its adapter.
ADAPTER_RETRY_MS = 150.0


class AdapterRouter:
    """Route requests for an adapter to few upstreams, to keep the number of loads low.

    Dozens of adapters with evenly distributed demand share eight slots on each upstream. If any
    upstream could load any adapter, most requests would evict one that the next request needs.
    """

    def __init__(
        self,
        state: GatewayState,
        request_adapter: Callable[[AdapterRequest], Awaitable[AdapterReply]],
    ) -> None:
        """Send adapter requests to control instances through ``request_adapter``."""
        self._state = state
        self._request_adapter = request_adapter

    async def find_upstream(
        self,
        metadata: RequestMetadata,
        candidates: Sequence[UpstreamState],
        fallback: UpstreamState,
    ) -> UpstreamState | None:
        """Return an upstream that has the adapter, or ``None`` if none can load it now.

        :param metadata: model and adapter that the caller requests.
        :param candidates: upstreams that have the model loaded.
        :param fallback: the best of them regardless of the adapter.
        """
        name = f"{metadata.model}/{metadata.adapter}"
        ranked = _ranked(name, candidates)
        held = [s for s in candidates if s.holds_adapter(metadata.model, metadata.adapter)]
        limit = fallback.load() + AFFINITY_SLACK * 2
        available = [s for s in held if s.load() <= limit]
        if available:
            return min(available, key=lambda s: s.load())
        first = ranked[0] if ranked[0].load() <= limit else fallback
        return await self.load_on(metadata, candidates, first)

    async def load_on(
        self,
        metadata: RequestMetadata,
        candidates: Sequence[UpstreamState],
        first: UpstreamState,
    ) -> UpstreamState | None:
        """Request a load of the adapter; return the upstream that has it, or ``None``.

        :param candidates: upstreams that have the model loaded.
        :param first: the one that should load it.
        """
        name = f"{metadata.model}/{metadata.adapter}"
        order = [first]
        order += [s for s in _ranked(name, candidates) if s is not first]
        lacking = [s for s in order if s.lacks_adapter(metadata.model, metadata.adapter)]
        request = AdapterRequest(
            metadata.model,
            metadata.adapter,
            [s.row.upstream_id for s in order],
            [s.row.upstream_id for s in lacking],
        )
        reply = await self._request_adapter(request)
        chosen = self._state.upstreams.get(reply.upstream_id) if reply.upstream_id else None
        if chosen is None:
            chosen = self._announcing_upstream(metadata, candidates)
        if chosen is None:
            log_limited(
                "adapter_not_placed",
                is_routine=False,
                request=metadata.request_id,
                adapter=name,
                reason=reply.reason,
            )
            return None
        chosen.adapter_misses.pop((metadata.model, metadata.adapter), None)
        chosen.adapters[(metadata.model, metadata.adapter)] = now_ms() + PRESENCE_TTL_MS
        return chosen

    @staticmethod
    def _announcing_upstream(
        metadata: RequestMetadata, candidates: Sequence[UpstreamState]
    ) -> UpstreamState | None:
        """Return the least loaded upstream whose last announcement lists the adapter.

        No adapter can be loaded for some seconds while a leader is elected, but most requested
        adapters are still present where they were announced.
        """
        holding = [s for s in candidates if s.announces_adapter(metadata.model, metadata.adapter)]
        return min(holding, key=lambda s: s.load(), default=None)


def _ranked(name: str, candidates: Sequence[UpstreamState]) -> list[UpstreamState]:
    return sorted(candidates, key=lambda s: rendezvous_hash(name, s.row.upstream_id), reverse=True)
