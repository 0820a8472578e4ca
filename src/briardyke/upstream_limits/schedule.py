"""Schedule the requests to one upstream so that they keep to its limit."""

from __future__ import annotations

import attrs

# Unused permits of this time may be used at once.
_BURST_MS = 1000.0
# An upstream that accepts nothing is still asked this often, to find out whether it has recovered.
_MIN_LIMIT_PER_S = 0.1


@attrs.define
class PermitSchedule:
    """Times at which requests may be sent to one process of an upstream.

    In any span of ``t`` seconds at most ``limit * (t + 1) + 1`` permits become valid.

    :param next_ms: time at which the next permit would become valid without unused ones before it.
    """

    next_ms: float

    @classmethod
    def starting_at(cls, first_ms: float) -> PermitSchedule:
        """Return a schedule without unused permits.

        :param first_ms: time from which permits may be used.
        """
        return cls(first_ms + _BURST_MS)

    def take(self, limit_per_s: float, at_ms: float, max_wait_ms: float) -> tuple[bool, float]:
        """Take the next permit if it becomes valid soon enough.

        :param limit_per_s: present limit of the upstream.
        :param at_ms: present time.
        :param max_wait_ms: longest time to wait for the permit.
        :return: whether a permit was taken, and the time until it, or else the next one, is valid.
        """
        interval_ms = 1000.0 / max(_MIN_LIMIT_PER_S, limit_per_s)
        burst_ms = max(_BURST_MS, interval_ms)
        wait_ms = max(0.0, self.next_ms + interval_ms - burst_ms - at_ms)
        if wait_ms > max_wait_ms:
            return False, wait_ms
        self.next_ms = max(self.next_ms, at_ms) + interval_ms
        return True, wait_ms
