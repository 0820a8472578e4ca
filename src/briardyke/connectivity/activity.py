"""Record what an entry instance sees on its connections to upstreams as a whole."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

from briardyke.clock import now_ms

if TYPE_CHECKING:
    from collections.abc import Iterator


@attrs.define
class LinkActivity:
    """Activity on the connections to all upstreams; its size does not grow with them.

    :param opened_ms: time at which a connection was last established.
    :param failed_ms: time at which one last could not be established.
    :param received_ms: time of the last head of a response or event of a stream.
    :param in_flight: requests in progress on upstreams.
    :param busy_since_ms: time since when there have been any.
    """

    opened_ms: float = float("-inf")
    failed_ms: float = float("-inf")
    received_ms: float = float("-inf")
    in_flight: int = 0
    busy_since_ms: float = float("-inf")
    _opening_since_ms: dict[object, float] = attrs.field(factory=dict)

    @contextmanager
    def opening(self) -> Iterator[None]:
        """Record an attempt to establish a connection and its outcome."""
        attempt = object()
        self._opening_since_ms[attempt] = now_ms()
        try:
            yield
        except Exception:
            self.failed_ms = now_ms()
            raise
        else:
            self.opened_ms = now_ms()
        finally:
            del self._opening_since_ms[attempt]

    def begin_request(self, at_ms: float) -> None:
        """Count a request that is about to be sent."""
        if not self.in_flight:
            self.busy_since_ms = at_ms
        self.in_flight += 1

    def end_request(self) -> None:
        """Count the end of a request."""
        self.in_flight -= 1

    def record_sign(self, at_ms: float) -> None:
        """Record a sign of life of any upstream."""
        self.received_ms = at_ms

    @property
    def silent_ms(self) -> float:
        """Return for how long all upstreams together have sent nothing to requests in progress."""
        if not self.in_flight:
            return 0.0
        return now_ms() - max(self.received_ms, self.busy_since_ms)

    @property
    def longest_opening_ms(self) -> float:
        """Return the age of the oldest attempt to establish a connection."""
        return now_ms() - min(self._opening_since_ms.values(), default=now_ms())
