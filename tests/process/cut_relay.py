"""Forward peer connections between processes, and drop their bytes silently when told to."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections import Counter
from typing import Any

import msgpack

_CHUNK_BYTES = 65536
_LENGTH_BYTES = 4


class CutRelay:
    """Listen in front of one process's peer port.

    The first frame of a connection names its sender, so a pair of processes can be cut. Bytes of a
    cut pair are read and thrown away while the connection stays open, as in a network that drops
    packets for longer than TCP retries.
    """

    def __init__(self, name: str, target_port: int, cuts: set[str]) -> None:
        """Start to listen.

        :param name: process behind the relay.
        :param target_port: its peer port on the loopback address.
        :param cuts: names of processes that are cut off, shared by all relays and changed by tests.

        Bytes in both directions are counted by the process that opened the connection.
        """
        self._name = name
        self._target_port = target_port
        self._cuts = cuts
        self.bytes_by_sender: Counter[str] = Counter()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop to listen."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(near,), daemon=True).start()

    def _serve(self, near: socket.socket) -> None:
        try:
            first = _read_frame(near)
            sender = _sender(first)
            if {sender, self._name} & self._cuts:
                while near.recv(_CHUNK_BYTES):
                    pass
                return
            far = socket.create_connection(("127.0.0.1", self._target_port), timeout=2)
            far.settimeout(None)
            far.sendall(first)
        except OSError:
            near.close()
            return
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for source, sink in ((near, far), (far, near)):
            threading.Thread(target=self._copy, args=(source, sink, sender), daemon=True).start()

    def _copy(self, source: socket.socket, sink: socket.socket, sender: str) -> None:
        dropped = False
        try:
            while data := source.recv(_CHUNK_BYTES):
                # A connection that lost bytes cannot carry frames any more, as after a reset.
                dropped = dropped or bool({sender, self._name} & self._cuts)
                if dropped and not {sender, self._name} & self._cuts:
                    break
                if not dropped:
                    self.bytes_by_sender[sender] += len(data)
                    sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


def _read_frame(stream: socket.socket) -> bytes:
    head = _read_exactly(stream, _LENGTH_BYTES)
    return head + _read_exactly(stream, int.from_bytes(head, "big"))


def _read_exactly(stream: socket.socket, count: int) -> bytes:
    data = b""
    while len(data) < count:
        chunk = stream.recv(count - len(data))
        if not chunk:
            raise OSError("closed before the first frame")
        data += chunk
    return data


def _sender(frame: bytes) -> str:
    _, _, body = msgpack.unpackb(frame[_LENGTH_BYTES:])
    fields: Any = msgpack.unpackb(body)[1]
    return fields["sender_id"]
