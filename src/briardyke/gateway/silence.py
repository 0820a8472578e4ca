"""Tell an upstream that is silent alone from a silence that all upstreams share."""

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

    Load: all engines of a service fall silent for a second. Every entry instance has tens of
    streams on each of them; moved at the same moment, they would start over on engines that are as
    silent, and all prompts would be read twice when the engines go on. They go on one after the
    other, so an upstream that has just revived shows that the others will.

    Candidates that were alive meanwhile come first. Without any, one that has no requests of this
    instance, of which nothing is known, is accepted unless every upstream that is known to have
    requests shares the silence.

    :param silent_ms: time for which the request has received nothing.
    :param current: the upstream that has the request.
    :param candidates: upstreams that could receive it.
    :param upstreams: all usable upstreams of the service.
    """
    limit_ms = silent_ms * ALIVE_FRACTION
    if current.has_revived_within(limit_ms):
        return []
    alive = [c for c in candidates if c.is_alive_for(limit_ms)]
    if alive:
        return alive
    is_shared = any(_shares_silence(u, limit_ms) for u in upstreams if u is not current)
    if is_shared and not any(u.is_alive_for(limit_ms) for u in upstreams):
        return []
    return [c for c in candidates if not _shares_silence(c, limit_ms)]


def _shares_silence(upstream: UpstreamState, limit_ms: float) -> bool:
    return upstream.is_silent_for(limit_ms) or upstream.has_revived_within(limit_ms)
