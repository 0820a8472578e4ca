"""Share one connection to each peer among all users in a process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from briardyke.wire import codec
from briardyke.wire.client import PeerClient

if TYPE_CHECKING:
    from collections.abc import Iterable

    import trio

    from briardyke.addresses import Address
    from briardyke.wire.connection import Hello


class PeerPool:
    """Create a :class:`PeerClient` for each address on first use."""

    def __init__(self, nursery: trio.Nursery, hello: Hello) -> None:
        """Create an empty pool.

        :param nursery: runs the connections; must outlive every call.
        :param hello: handshake message of this process.
        """
        self._nursery = nursery
        self._hello = hello
        self._clients: dict[Address, PeerClient] = {}

    def client(self, address: Address) -> PeerClient:
        """Return the client for an address."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = PeerClient(
                address, self._hello, on_silent=self._probe_all
            )
            self._nursery.start_soon(client.run)
        return client

    def _probe_all(self) -> None:
        """Look at all connections when one is silent, since several may be at once."""
        for client in self._clients.values():
            client.probe()

    def broadcast(self, addresses: Iterable[Address], message: Any) -> None:
        """Queue a one-way message to several peers, encoded once."""
        body = codec.encode(message)
        for address in addresses:
            self.client(address).send_encoded(body)
