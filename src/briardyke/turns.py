"""Bound the work on received bytes that is done in one turn of the event loop.

A read returns at once while bytes are waiting, and its size is chosen by the process that sends.
Whatever loops over the items in these bytes (chunks, events, frames) counts them here.
"""

from __future__ import annotations

import trio

# An item costs some microseconds, so a reader keeps the event loop for less than a millisecond.
ITEMS_PER_TURN = 64

_queue: trio.lowlevel.RunVar[trio.StrictFIFOLock] = trio.lowlevel.RunVar("turns of readers")


class ReaderTurns:
    """Items that one reader has handled since it last let others run.

    Load: some streams that consist of one-byte chunks, 10,900 of them in each read. Readers with
    more than one turn of work queue up, and one of them works in a turn of the event loop; readers
    with less, as of usual responses, are not held up by how many those are.
    """

    def __init__(self) -> None:
        """Start with a whole turn."""
        self._items = 0

    def charge(self, items: int = 1) -> None:
        """Count items that have been handled."""
        self._items += items

    async def wait_if_due(self) -> None:
        """Let others run if a turn is used up; call this before an item is taken.

        A cancelled reader would lose an item that it has taken already.
        """
        if self._items < ITEMS_PER_TURN:
            return
        self._items = 0
        # The lock passes on in the order of arrival, and with it the next turn of the event loop.
        async with _shared_queue():
            pass


def _shared_queue() -> trio.StrictFIFOLock:
    try:
        return _queue.get()
    except LookupError:
        queue = trio.StrictFIFOLock()
        _queue.set(queue)
        return queue
