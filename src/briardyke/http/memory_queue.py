"""Let requests wait for room in the memory budget, the smallest first."""

from __future__ import annotations

from bisect import insort
from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.clock import now_ms
from briardyke.http.memory_budget import GUARANTEED_BYTES
from briardyke.logs import log_limited

if TYPE_CHECKING:
    from briardyke.http.memory_budget import MemoryBudget, Share

# Interval at which the first one looks for bodies that have stopped.
_CHECK_S = 0.25


@attrs.define(eq=False)
class _Waiter:
    size_bytes: int
    rank: tuple[bool, int]
    event: trio.Event = attrs.field(factory=trio.Event)


class MemoryQueue:
    """Requests that wait for room.

    A crowd of large bodies then delays other large ones, but not those of usual size: what stays
    within its guaranteed part never waits behind a step of a larger one.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        """Wait for room in a budget."""
        self.budget = budget
        self._waiting: list[_Waiter] = []
        budget.on_release = self._notify

    async def reserve(self, share: Share, size_bytes: int, timeout_s: float) -> bool:
        """Let a share grow, waiting for room if need be; return whether it has grown."""
        rank = (share.held_bytes + size_bytes > GUARANTEED_BYTES, size_bytes)
        is_next = not self._waiting or rank < self._waiting[0].rank
        if is_next and share.grow(size_bytes):
            return True
        if not self.budget.can_ever_hold(share, size_bytes):
            return False
        waiter = _Waiter(size_bytes, rank)
        insort(self._waiting, waiter, key=lambda other: other.rank)
        try:
            with trio.move_on_after(timeout_s):
                while not await self._is_granted(share, waiter):
                    pass
                return True
        finally:
            self._waiting.remove(waiter)
            self._notify()
        return False

    async def _is_granted(self, share: Share, waiter: _Waiter) -> bool:
        if self._waiting[0] is not waiter:
            await waiter.event.wait()
        elif share.grow(waiter.size_bytes):
            return True
        else:
            if self.budget.displace(share, waiter.size_bytes, now_ms()) is not None:
                self._log_shortage()
            with trio.move_on_after(_CHECK_S):
                await waiter.event.wait()
        waiter.event = trio.Event()
        return False

    def _log_shortage(self) -> None:
        held = {kind.value: size for kind, size in self.budget.held.items()}
        log_limited(
            "memory_short",
            is_routine=True,
            limit_bytes=self.budget.limit_bytes,
            waiting=len(self._waiting),
            **{f"{kind}_bytes": size for kind, size in held.items()},
        )

    def _notify(self) -> None:
        if self._waiting:
            self._waiting[0].event.set()
