"""Decide from connections and probes whether an instance has lost its links to all upstreams.

Load: an entry instance is partitioned from every upstream while callers and control instances reach
it. One upstream that restarts, one service that is down, a link that loses packets and engines that
are all silent for a second look the same to a single request.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardyke.connectivity.activity import LinkActivity

# A connection within a region is established in a few milliseconds; its first packet is sent again
# after a second.
_SLOW_OPENING_MS = 250.0
# Engines send events to some of their requests more often than this.
_SILENCE_MS = 600.0
# A single upstream that cannot be reached says nothing about the links.
_MIN_PROBES = 2


class Suspicion(Enum):
    """Observation that may have the loss of all links as its cause."""

    CONNECTION_FAILED = "connection_failed"
    CONNECTION_SLOW = "connection_slow"
    UPSTREAMS_SILENT = "upstreams_silent"


class ProbeResult(Enum):
    """Outcome of an attempt to establish a connection to an upstream."""

    OPENED = "opened"
    REFUSED = "refused"
    SILENT = "silent"


@attrs.frozen
class Probe:
    """Probe of one upstream.

    :param upstream_id: the upstream.
    :param service: its service.
    :param result: outcome.
    """

    upstream_id: str
    service: str
    result: ProbeResult


def find_suspicion(activity: LinkActivity, checked_ms: float) -> Suspicion | None:
    """Return why the links should be probed, ``None`` without a reason.

    Failures before the last established connection do not count, nor does a silence while anything
    arrives from any upstream.

    :param checked_ms: time of the last probes; failures before them are explained.
    """
    if activity.failed_ms > max(activity.opened_ms, checked_ms):
        return Suspicion.CONNECTION_FAILED
    if activity.longest_opening_ms > _SLOW_OPENING_MS:
        return Suspicion.CONNECTION_SLOW
    if activity.silent_ms > _SILENCE_MS:
        return Suspicion.UPSTREAMS_SILENT
    return None


def are_links_lost(probes: Sequence[Probe], *, has_received: bool) -> bool:
    """Return whether probes show that no upstream can be reached.

    Probes that time out beside data that arrives on older connections show a congested link; ones
    that are refused show a partition that leaves the older connections alone.

    :param probes: probes of upstreams of several services, made at the same time.
    :param has_received: whether anything arrived from an upstream meanwhile.
    """
    if len(probes) < _MIN_PROBES or any(p.result is ProbeResult.OPENED for p in probes):
        return False
    return not has_received or are_refused(probes)


def are_refused(probes: Sequence[Probe]) -> bool:
    """Return whether most probes were refused; connections that are open may live on then."""
    return sum(probe.result is ProbeResult.REFUSED for probe in probes) * 2 > len(probes)
