"""Bound the memory that the buffered responses of a process take together."""

from __future__ import annotations

import attrs

# A response may always buffer this much, so that endless ones cannot displace usual ones.
GUARANTEED_BYTES = 64 * 1024
# All responses together, beyond which only the guaranteed part is buffered. The smallest process
# that carries traffic has 152 MB.
MAX_TOTAL_BYTES = 16 * 1024 * 1024


@attrs.define
class BufferBudget:
    """Bytes that responses buffer in this process.

    Load: 50 upstreams that send without an end would each fill a buffer of the largest size.

    :param limit_bytes: limit for all responses together.
    """

    limit_bytes: int = MAX_TOTAL_BYTES
    used_bytes: int = 0

    def open(self) -> ResponseBuffer:
        """Return the share of one request."""
        return ResponseBuffer(self)


@attrs.define
class ResponseBuffer:
    """Share of one request in the budget, from its first response to the end of its delivery."""

    budget: BufferBudget
    used_bytes: int = 0

    def grow(self, size_bytes: int) -> bool:
        """Return whether this many more bytes may be buffered, and count them."""
        is_guaranteed = self.used_bytes + size_bytes <= GUARANTEED_BYTES
        if not is_guaranteed and self.budget.used_bytes + size_bytes > self.budget.limit_bytes:
            return False
        self.used_bytes += size_bytes
        self.budget.used_bytes += size_bytes
        return True

    def release(self) -> None:
        """Return all of the share."""
        self.budget.used_bytes -= self.used_bytes
        self.used_bytes = 0
