"""Decide whether a connection still carries bytes, from what is sent and received on it.

A connection may go silent for good, without an error, while new ones work. Where something between
the two processes still acknowledges the bytes, no option of the kernel shows it.
"""

from __future__ import annotations

import attrs

# Time without any byte from the peer, after something was sent, before a probe is sent.
PROBE_AFTER_MS = 250.0
# The same before the connection counts as silent. A leader sends every 150 ms and reaches a member
# on a new connection within the shortest election timeout of 1000 ms.
SILENT_AFTER_MS = 550.0
# Limit for peers that answer slowly, or that have not answered on several connections in a row.
MAX_SILENT_AFTER_MS = 2200.0
# A loaded peer answers unevenly; it may take this many times its longest recent delay.
_DELAY_FACTOR = 4.0
# Time in which the longest delay counts half.
_DELAY_HALF_LIFE_MS = 5000.0
# Throughput of a slow link: large messages before a probe delay its answer.
_LEAST_THROUGHPUT_BYTES_PER_MS = 1000.0
# The process itself stood still when it notices a time limit this late: answers may have arrived.
MAX_LATENESS_MS = 50.0
_MAX_EXCUSES = 4


@attrs.define
class Patience:
    """Time that a peer gets to answer; it is kept over its connections.

    A slow peer and a silent connection look alike at first. Without it, a loaded peer would get new
    connections at every pause, which load it further.
    """

    _longest_delay_ms: float = 0.0
    _delayed_at_ms: float = 0.0
    _silent_in_a_row: int = 0

    def limit_ms(self, now_ms: float) -> float:
        """Return the time without an answer after which a connection counts as silent."""
        limit_ms = max(SILENT_AFTER_MS, _DELAY_FACTOR * self._recent_delay_ms(now_ms))
        # One silent connection is no sign of a slow peer, several in a row are.
        return min(MAX_SILENT_AFTER_MS, limit_ms * 2.0 ** max(0, self._silent_in_a_row - 1))

    def record_answer(self, delay_ms: float, now_ms: float) -> None:
        """Record how long the answer to a probe took."""
        self._longest_delay_ms = max(delay_ms, self._recent_delay_ms(now_ms))
        self._delayed_at_ms = now_ms

    def record_use(self) -> None:
        """Record that a connection has brought something since its handshake."""
        self._silent_in_a_row = 0

    def record_silence(self) -> None:
        """Record that a connection was closed because it was silent."""
        self._silent_in_a_row += 1

    def _recent_delay_ms(self, now_ms: float) -> float:
        age_ms = now_ms - self._delayed_at_ms
        return self._longest_delay_ms * 0.5 ** (age_ms / _DELAY_HALF_LIFE_MS)


@attrs.define
class Liveness:
    """What is unanswered on one connection.

    :param patience: time that the peer gets.
    """

    patience: Patience
    _unanswered_since_ms: float | None = None
    _unanswered_bytes: int = 0
    _probed_at_ms: float | None = None
    _excuses: int = 0

    @property
    def is_watched(self) -> bool:
        """Return whether something is unanswered."""
        return self._unanswered_since_ms is not None

    def record_sent(self, size_bytes: int, now_ms: float) -> None:
        """Record a message that is being sent."""
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = now_ms
        if self._probed_at_ms is None:
            self._unanswered_bytes += size_bytes

    def record_received(self, now_ms: float) -> float:
        """Record bytes of any kind from the peer; return the delay of a probe, or 0."""
        delay_ms = now_ms - self._probed_at_ms if self._probed_at_ms is not None else 0.0
        if self._probed_at_ms is not None:
            self.patience.record_answer(delay_ms, now_ms)
        self.patience.record_use()
        self._unanswered_since_ms = self._probed_at_ms = None
        self._unanswered_bytes = self._excuses = 0
        return delay_ms

    def record_probe(self, now_ms: float) -> None:
        """Record that a probe is sent."""
        self.record_sent(0, now_ms)
        self._probed_at_ms = now_ms

    def check_at_ms(self, now_ms: float) -> float | None:
        """Return when to look at the connection again, ``None`` while nothing is unanswered."""
        if self._unanswered_since_ms is None:
            return None
        if self._probed_at_ms is None:
            return self._unanswered_since_ms + PROBE_AFTER_MS
        return self._unanswered_since_ms + self._limit_ms(now_ms)

    def needs_probe(self, now_ms: float) -> bool:
        """Return whether a probe is due."""
        since_ms = self._unanswered_since_ms
        if since_ms is None or self._probed_at_ms is not None:
            return False
        return now_ms >= since_ms + PROBE_AFTER_MS

    def is_silent(self, now_ms: float) -> bool:
        """Return whether the peer has not answered a probe in time."""
        if self._unanswered_since_ms is None or self._probed_at_ms is None:
            return False
        return now_ms >= self._unanswered_since_ms + self._limit_ms(now_ms)

    def unanswered_ms(self, now_ms: float) -> float:
        """Return for how long something has been unanswered."""
        return now_ms - self._unanswered_since_ms if self._unanswered_since_ms is not None else 0.0

    def excuse(self, lateness_ms: float) -> bool:
        """Leave out a time in which the own process stood still; return whether that is possible.

        A process that is late at every check must come to a decision all the same.
        """
        if self._unanswered_since_ms is None or self._excuses >= _MAX_EXCUSES:
            return False
        self._excuses += 1
        self._unanswered_since_ms += lateness_ms
        if self._probed_at_ms is not None:
            self._probed_at_ms += lateness_ms
        return True

    def _limit_ms(self, now_ms: float) -> float:
        transfer_ms = self._unanswered_bytes / _LEAST_THROUGHPUT_BYTES_PER_MS
        return self.patience.limit_ms(now_ms) + transfer_ms
