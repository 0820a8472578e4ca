"""Keep open connections by address, so that finding one costs the same for any number of them."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING

import httpcore
import trio

from briardyke.http.paced import PacedBackend

if TYPE_CHECKING:
    from briardyke.addresses import Address

_SWEEP_INTERVAL_S = 1.0


class ConnectionPool:
    """Lend one connection for each request; a free one is reused.

    httpcore's own pool looks at every connection for every request, which cost 9 to 15 ms of
    processor time per request at 256 open streams.
    """

    def __init__(self, connection_limit: int, idle_limit: int, idle_expiry_s: float) -> None:
        """Start without connections.

        :param connection_limit: requests at one time.
        :param idle_limit: free connections that are kept for one address.
        :param idle_expiry_s: time that a free connection is kept, in seconds.
        """
        self._slots = trio.Semaphore(connection_limit)
        self._idle_limit = idle_limit
        self._idle_expiry_s = idle_expiry_s
        self._idle: dict[Address, deque[httpcore.AsyncHTTPConnection]] = {}
        self._lent: set[httpcore.AsyncHTTPConnection] = set()
        self._swept_at_s = time.monotonic()

    async def acquire(
        self, address: Address, origin: httpcore.Origin, timeout_s: float
    ) -> httpcore.AsyncHTTPConnection:
        """Return a free connection, or a new one that connects with its first request.

        :param address: where to connect.
        :param origin: the same in httpcore's form.
        :param timeout_s: longest wait for another request to end, in seconds.
        :raises httpcore.PoolTimeout: when none ended in time.
        """
        with trio.move_on_after(timeout_s) as waiting:
            await self._slots.acquire()
        if waiting.cancelled_caught:
            raise httpcore.PoolTimeout
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_available() and not connection.has_expired():
                self._lent.add(connection)
                return connection
            await _close(connection)
        connection = httpcore.AsyncHTTPConnection(
            origin,
            keepalive_expiry=self._idle_expiry_s,
            network_backend=PacedBackend(),
        )
        self._lent.add(connection)
        return connection

    async def release(self, address: Address, connection: httpcore.AsyncHTTPConnection) -> None:
        """Take a connection back; one whose last response was not read to its end is closed."""
        self._slots.release()
        self._lent.discard(connection)
        idle = self._idle.setdefault(address, deque())
        if connection.is_idle() and len(idle) < self._idle_limit:
            idle.append(connection)
        else:
            await _close(connection)
        if time.monotonic() - self._swept_at_s >= _SWEEP_INTERVAL_S:
            await self._sweep()

    async def aclose(self) -> None:
        """Close all connections."""
        connections = [*self._lent, *(c for idle in self._idle.values() for c in idle)]
        self._idle.clear()
        for connection in connections:
            await _close(connection)

    async def _sweep(self) -> None:
        self._swept_at_s = time.monotonic()
        for address, idle in list(self._idle.items()):
            # The least recently used connection is at the left.
            while idle and idle[0].has_expired():
                await _close(idle.popleft())
            if not idle:
                self._idle.pop(address, None)


async def _close(connection: httpcore.AsyncHTTPConnection) -> None:
    with trio.CancelScope(shield=True):
        await connection.aclose()
