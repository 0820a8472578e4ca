"""Remember the placed and the rejected requests of a coordinator for some time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.dispatch.messages import DispatchRequest

# Longest time of a stream after its first event. A longer one is still counted by the summed
# in-flight counts.
_MAX_STREAM_MS = 120_000.0
# Callers return within a few seconds of a rejection, or not at all.
RETURN_TTL_MS = 10_000.0
# At 500 rejections per second, all of the last ten seconds; untrusted clients cannot make it grow.
_MAX_RETURNING = 5000


@attrs.frozen
class PlacedRequest:
    """Request that runs on an engine, as far as the coordinator knows.

    :param service: its service.
    :param request_id: its id.
    :param instance_id: entry instance that it belongs to.
    :param upstream_id: engine that it was placed on.
    :param until_ms: time at which it is forgotten.
    """

    service: str
    request_id: str
    instance_id: str
    upstream_id: str
    until_ms: float


class PlacedRequests:
    """Placed requests by id, to end those of an entry instance that is gone."""

    def __init__(self) -> None:
        self._placed: dict[str, PlacedRequest] = {}

    def add(self, request: DispatchRequest, upstream_id: str, now_ms: float) -> None:
        """Record a placed request."""
        until_ms = now_ms + max(0.0, request.max_wait_ms) + _MAX_STREAM_MS
        self._placed[request.request_id] = PlacedRequest(
            request.service, request.request_id, request.instance_id, upstream_id, until_ms
        )

    def remove(self, request_id: str) -> None:
        """Forget a request that has ended."""
        self._placed.pop(request_id, None)

    def take_lost(self, now_ms: float, is_silent: Callable[[str], bool]) -> list[PlacedRequest]:
        """Remove and return the requests of silent instances and those past their time.

        Load: an entry instance that is lost has tens of streams under way. Counted until their time
        limits, they would keep requests away from engines that are free.

        :param is_silent: returns whether an entry instance has been silent for seconds.
        """
        instances = {placed.instance_id for placed in self._placed.values()}
        silent = {instance_id for instance_id in instances if is_silent(instance_id)}
        lost = [
            placed
            for placed in self._placed.values()
            if placed.instance_id in silent or placed.until_ms <= now_ms
        ]
        for placed in lost:
            del self._placed[placed.request_id]
        return lost


class ReturningRequests:
    """Recognise requests that come back after a rejection.

    The last part of a prompt is unique to the request, and a caller that returns may reach another
    entry instance, so only the coordinator sees both.
    """

    def __init__(self) -> None:
        self._until_ms: dict[tuple[str, str, str], float] = {}

    def add(self, request: DispatchRequest, now_ms: float) -> None:
        """Record a rejected request."""
        key = _key(request)
        if key is None:
            return
        self._until_ms.pop(key, None)  # the order of the keys is the order of their times
        self._until_ms[key] = now_ms + RETURN_TTL_MS
        while self._until_ms:
            oldest = next(iter(self._until_ms))
            if self._until_ms[oldest] > now_ms and len(self._until_ms) <= _MAX_RETURNING:
                return
            del self._until_ms[oldest]

    def is_returning(self, request: DispatchRequest, now_ms: float) -> bool:
        """Return whether the request was rejected a short time ago."""
        key = _key(request)
        return key is not None and self._until_ms.get(key, 0.0) > now_ms


def _key(request: DispatchRequest) -> tuple[str, str, str] | None:
    if not request.prefix_ids:
        return None
    return (request.service, request.account, request.prefix_ids[-1])
