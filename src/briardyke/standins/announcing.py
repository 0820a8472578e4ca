"""Announce an upstream to one entry process after another."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import trio

from briardyke.http.client import HttpClient
from briardyke.logs import log_debug
from briardyke.wire import codec

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from briardyke.addresses import Address
    from briardyke.wire.messages import UpstreamRow

_ANNOUNCE_TIMEOUT_MS = 500.0


class Announcer:
    """Send the current row at an interval, and at once when asked to."""

    def __init__(
        self, row: Callable[[], UpstreamRow], addresses: Sequence[Address], interval_ms: float
    ) -> None:
        """Prepare; :meth:`run` sends.

        :param row: returns the row to announce.
        :param addresses: entry processes; the next is used when one fails.
        :param interval_ms: time between announcements, in milliseconds.
        """
        self._row = row
        self._addresses = addresses
        self._interval_s = interval_ms / 1000.0
        self._current = 0
        self._soon = trio.Event()
        self._client = HttpClient()

    def announce_soon(self) -> None:
        """Send the next announcement without waiting for the interval."""
        self._soon.set()

    async def run(self) -> None:
        """Announce until cancelled."""
        while self._addresses:
            await self.announce()
            with trio.move_on_after(self._interval_s):
                await self._soon.wait()
            self._soon = trio.Event()

    async def announce(self) -> bool:
        """Send one announcement; return whether an entry process accepted it."""
        body = json.dumps(codec.unstructure(self._row())).encode()
        for _ in self._addresses:
            address = self._addresses[self._current % len(self._addresses)]
            answered = await self._client.call(
                "POST",
                address,
                "/v1/upstreams/announce",
                body=body,
                headers={"content-type": "application/json"},
                timeout_ms=_ANNOUNCE_TIMEOUT_MS,
            )
            if answered.is_ok() and answered.unwrap().status < 300:
                return True
            log_debug("announcement_failed", address=address)
            self._current += 1
        return False
