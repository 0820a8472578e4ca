"""Tell an upstream that is silent alone from a silence that most upstreams share."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardyke.gateway.upstreams import UpstreamState

# An upstream that was alive in this last fraction of a silence does not share it.
ALIVE_FRACTION = 0.5


def live_alternatives(
    silent_ms: float,
    current: UpstreamState,
    candidates: Sequence[UpstreamState],
    upstreams: Sequence[UpstreamState],
) -> list[UpstreamState]:
    """Return the candidates to which a request may move from an upstream that is silent to it.

    Load: most engines of a service fall silent for a second. Every entry instance has tens of
    streams on each of them; moved at the same moment, they would start over on engines that are as
    silent or overload the few others, and all prompts would be read twice when the engines go on.
    They go on one after the other, so one that has just revived shows that the others will.

    While more of the other upstreams share the silence than were alive meanwhile, no candidate is
    accepted. Otherwise those that were alive come first, then those that have no requests of this
    instance, of which nothing is known.

    :param silent_ms: time for which the request has received nothing.
    :param current: the upstream that has the request.
    :param candidates: upstreams that could receive it.
    :param upstreams: all usable upstreams of the service.
    """
    limit_ms = silent_ms * ALIVE_FRACTION
    if current.has_revived_within(limit_ms):
        return []
    others = [u for u in upstreams if u is not current]
    silent_count = sum(_shares_silence(u, limit_ms) for u in others)
    if silent_count > sum(u.is_alive_for(limit_ms) for u in others):
        return []
    alive = [c for c in candidates if c.is_alive_for(limit_ms)]
    return alive or [c for c in candidates if not _shares_silence(c, limit_ms)]


def _shares_silence(upstream: UpstreamState, limit_ms: float) -> bool:
    return upstream.is_silent_for(limit_ms) or upstream.has_revived_within(limit_ms)
