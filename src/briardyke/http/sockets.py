"""Set the options that every TCP connection of a process uses."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import trio

# A peer behind a silent partition is given up within two seconds: shorter than the three seconds
# for which the platform counts a machine as out of contact.
USER_TIMEOUT_MS = 2000
# The kernel counts the time in which a peer reads nothing as well. A caller may read slowly for as
# long as the server waits for it.
CALLER_USER_TIMEOUT_MS = 6000
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Unread bytes that the kernel keeps for a connection; Linux doubles the figure.
_RECEIVE_BUFFER_BYTES = 16 * 1024


def bound_receive_buffer(listener: trio.socket.SocketType | socket.socket) -> None:
    """Bound what the kernel keeps unread for each connection that a listener accepts.

    By default it grows to 6 MiB for a caller whose body is not being read.
    """
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)


def tune(
    stream: trio.SocketStream, *, keepalive: bool = True, user_timeout_ms: int = USER_TIMEOUT_MS
) -> None:
    """Send small writes at once and notice a silent peer.

    :param stream: connected stream.
    :param keepalive: whether an idle connection is probed as well.
    :param user_timeout_ms: time after which unacknowledged or unread data ends the connection.
    """
    with contextlib.suppress(OSError):  # the peer may have reset the connection already
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
        if keepalive:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
