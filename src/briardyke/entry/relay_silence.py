"""End an attempt whose upstream is silent, once the next attempt may start."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from briardyke.clock import now_ms, sleep_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

_NOT_WAITING = float("inf")


class SilenceLimit:
    """Limit the waits for what an upstream sends.

    Load: an upstream falls silent for a second while the retry budget is spent. An attempt that
    ends for a retry that cannot start cuts a stream that would have gone on.
    """

    def __init__(self, may_leave: Callable[[], bool], poll_ms: float, idle_ms: float) -> None:
        """Set up the limit of one attempt.

        :param may_leave: returns whether the next attempt may start, and reserves it then.
        :param poll_ms: time between two questions to it.
        :param idle_ms: shortest time limit of a wait.
        """
        self._may_leave = may_leave
        self._poll_ms = poll_ms
        self._idle_ms = idle_ms
        self._until_ms = self._final_ms = _NOT_WAITING
        self._scope = trio.CancelScope()

    @contextmanager
    def wait(self, until_ms: float, final_ms: float) -> Iterator[None]:
        """Cancel the wait in this context when it takes too long.

        :param until_ms: time from which the wait ends when the next attempt may start.
        :param final_ms: time at which it ends in any case.
        """
        self._until_ms, self._final_ms = until_ms, final_ms
        try:
            with trio.CancelScope() as self._scope:
                yield
        finally:
            self._until_ms = self._final_ms = _NOT_WAITING

    async def watch(self) -> None:
        """Enforce the limit until cancelled."""
        while True:
            await sleep_ms(min(self._until_ms - now_ms(), self._idle_ms))
            while now_ms() >= self._until_ms:
                if now_ms() >= self._final_ms or self._may_leave():
                    self._scope.cancel()
                await sleep_ms(self._poll_ms)
