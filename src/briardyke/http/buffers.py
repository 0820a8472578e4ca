"""Bound the memory that the buffered responses of a process take together."""

from __future__ import annotations

import attrs

from briardyke.http.memory_budget import (
    GUARANTEED_BYTES,
    MAX_RESPONSE_BYTES,
    Kind,
    MemoryBudget,
    Share,
)


@attrs.define
class BufferBudget:
    """Bytes that responses buffer in this process.

    Load: 50 upstreams that send without an end would each fill a buffer of the largest size.

    :param limit_bytes: limit for all responses together, beyond which only the guaranteed part of
        each is buffered.
    :param memory: budget of the process, which counts them too.
    """

    limit_bytes: int = MAX_RESPONSE_BYTES
    used_bytes: int = 0
    memory: MemoryBudget | None = None

    def open(self) -> ResponseBuffer:
        """Return the share of one request."""
        return ResponseBuffer(self, self.memory.open(Kind.RESPONSES) if self.memory else None)


@attrs.define
class ResponseBuffer:
    """Share of one request in the budget, from its first response to the end of its delivery."""

    budget: BufferBudget
    share: Share | None = None
    used_bytes: int = 0

    def grow(self, size_bytes: int) -> bool:
        """Return whether this many more bytes may be buffered, and count them."""
        is_guaranteed = self.used_bytes + size_bytes <= GUARANTEED_BYTES
        if not is_guaranteed and self.budget.used_bytes + size_bytes > self.budget.limit_bytes:
            return False
        if self.share is not None and not self.share.grow(size_bytes):
            return False
        self.used_bytes += size_bytes
        self.budget.used_bytes += size_bytes
        return True

    def release(self) -> None:
        """Return all of the share."""
        if self.share is not None:
            self.share.release()
        self.budget.used_bytes -= self.used_bytes
        self.used_bytes = 0
