"""Detect crashes of upstreams and the requests that were waiting on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.addresses import parse_address
from briardyke.clock import now_ms
from briardyke.http.h11_client import is_refusing_connections
from briardyke.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from briardyke.addresses import Address
    from briardyke.fleet.records import Upstream
    from briardyke.gateway.dialect import RequestMetadata

# Crashes older than this are no longer reported; by then control instances know them.
REPORTED_MS = 10_000.0


@attrs.define
class ObservedCrash:
    """Crash of an upstream and the requests of this instance that were waiting on it.

    :param upstream_id: the upstream.
    :param incarnation: start of its process, in Unix milliseconds.
    :param at_ms: time at which the first connection ended.
    :param depths: shared parts of the prompts of requests without any response, and fingerprints of
        these requests, each with the number of parts before it.
    :param copies: number of these requests by part and fingerprint.
    """

    upstream_id: str
    incarnation: int
    at_ms: float
    depths: dict[str, int] = attrs.field(factory=dict)
    copies: dict[str, int] = attrs.field(factory=dict)

    def add(self, request: RequestMetadata) -> None:
        """Add a request that was waiting."""
        for depth, part in enumerate(request.blamable_ids):
            self.depths[part] = depth
            self.copies[part] = self.copies.get(part, 0) + 1


@attrs.define
class _Check:
    """Check of an upstream; without a result, its request was cancelled."""

    is_refusing: bool | None = None
    ended: trio.Event = attrs.field(factory=trio.Event)


class CrashDetector:
    """Tell the crash of an upstream from the loss of a single connection.

    A connection also ends because it was idle, reset on its way or because the upstream failed one
    request. Only a process that is gone also refuses new connections, unless all links are lost.
    """

    def __init__(
        self, is_refusing: Callable[[Address], Awaitable[bool]] = is_refusing_connections
    ) -> None:
        """Check upstreams with a function that returns whether an address refuses connections."""
        self.has_links: Callable[[], Awaitable[bool]] = _assume_links
        self._is_refusing = is_refusing
        self._checks: dict[tuple[str, int], _Check] = {}
        self._crashes: dict[tuple[str, int], ObservedCrash] = {}

    async def investigate(self, row: Upstream, request: RequestMetadata) -> ObservedCrash | None:
        """Return the crash of an upstream whose connection ended, ``None`` if it still runs.

        :param row: announcement of the upstream.
        :param request: request that was waiting for the response.
        """
        key = (row.upstream_id, row.incarnation)
        crash = self._crashes.get(key)
        if crash is None:
            lost_ms = now_ms()
            if not await self._has_crashed(key, row):
                return None
            crash = self._crashes.setdefault(
                key, ObservedCrash(row.upstream_id, row.incarnation, lost_ms)
            )
        crash.add(request)
        log_event(
            "upstream_crashed",
            upstream=row.upstream_id,
            incarnation=row.incarnation,
            request=request.request_id,
            model=request.model,
            adapter=request.adapter,
            parts=",".join(request.shared_prefix_ids),
            fingerprint=request.fingerprint,
        )
        return crash

    async def _has_crashed(self, key: tuple[str, int], row: Upstream) -> bool:
        """Check an upstream once for all requests that lose their connections together."""
        while (running := self._checks.get(key)) is not None:
            await running.ended.wait()
            if running.is_refusing is not None:
                return running.is_refusing
        self._checks[key] = check = _Check()
        try:
            is_refusing = await self._is_refusing(parse_address(row.address))
            check.is_refusing = is_refusing and await self.has_links()
            return check.is_refusing
        finally:
            del self._checks[key]
            check.ended.set()

    def recent(self) -> Iterable[ObservedCrash]:
        """Return the crashes to report, and forget older ones."""
        limit_ms = now_ms() - REPORTED_MS
        self._crashes = {key: c for key, c in self._crashes.items() if c.at_ms >= limit_ms}
        return self._crashes.values()


async def _assume_links() -> bool:
    return True
