"""Forward connections to a peer, and let open ones go silent for good while new ones work."""

from __future__ import annotations

import trio

from briardyke.addresses import Address

_READ_BYTES = 65536


class SilentProxy:
    """Proxy in front of one peer; it acknowledges what is sent on silent connections."""

    def __init__(self, target: Address) -> None:
        """Forward to an address.

        :param target: listening address of the peer.
        """
        self._target = target
        self._silent_to_peer: set[int] = set()
        self._silent_to_caller: set[int] = set()
        self.accepted = 0
        self.open = 0
        self.silences_new = False

    async def serve(
        self, *, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._forward, listeners)
            task_status.started(Address("127.0.0.1", port))

    def silence(self, *, to_peer: bool = True, to_caller: bool = True) -> None:
        """Pass nothing on any more on the connections that are open now.

        :param to_peer: whether bytes of the caller are lost.
        :param to_caller: whether bytes of the peer are lost.
        """
        numbers = set(range(1, self.accepted + 1))
        if to_peer:
            self._silent_to_peer |= numbers
        if to_caller:
            self._silent_to_caller |= numbers

    async def _forward(self, caller: trio.SocketStream) -> None:
        self.accepted += 1
        number = self.accepted
        if self.silences_new:
            self.silence()
        self.open += 1
        try:
            peer = await trio.open_tcp_stream(self._target.host, self._target.port)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pass, caller, peer, number, self._silent_to_peer)
                nursery.start_soon(self._pass, peer, caller, number, self._silent_to_caller)
        finally:
            self.open -= 1

    async def _pass(
        self, source: trio.SocketStream, sink: trio.SocketStream, number: int, silent: set[int]
    ) -> None:
        try:
            while data := await source.receive_some(_READ_BYTES):
                if number not in silent:
                    await sink.send_all(data)
            if number not in silent:
                await sink.aclose()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await sink.aclose()
