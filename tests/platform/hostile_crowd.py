"""Play crowds of clients that a server must not trust, from the process of a test."""

from __future__ import annotations

import itertools
import socket
from contextlib import aclosing
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.addresses import Address

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Awaitable, Callable, Iterable

_SHORT_BY = 10
_ONE_BYTE_CHUNK = b"1\r\nx\r\n"
_PIECE_BYTES = 16 * 1024
_BLOCK = b"x" * 65536
_NUMBERS = itertools.count(1)


@attrs.frozen
class Target:
    """Place that a crowd sends to.

    :param address: where it listens.
    :param method: method of the requests.
    :param path: path of the requests.
    :param body_bytes: largest body that the server accepts.
    """

    address: Address
    method: str
    path: str
    body_bytes: int

    def head(self, *fields: str) -> bytes:
        """Return a request head with a request id of its own."""
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            "host: h.example",
            f"request-id: crowd-{next(_NUMBERS)}",
            "deadline-ms: 8000",
            *fields,
        ]
        return "\r\n".join([*lines, "", ""]).encode()


async def body_short_of_end(target: Target) -> AsyncGenerator[bytes, None]:
    """Send an announced body of legal size at once except for its last bytes."""
    yield target.head(f"content-length: {target.body_bytes}")
    left = target.body_bytes - _SHORT_BY
    while left > 0:
        yield _BLOCK[:left]
        left -= len(_BLOCK)


async def body_in_pieces(target: Target) -> AsyncGenerator[bytes, None]:
    """Send an announced body of legal size in small pieces except for its last bytes."""
    yield target.head(f"content-length: {target.body_bytes}")
    left = target.body_bytes - _SHORT_BY
    while left > 0:
        yield _BLOCK[: min(left, _PIECE_BYTES)]
        left -= _PIECE_BYTES
        await trio.sleep(0.002)


async def complete_body(target: Target) -> AsyncGenerator[bytes, None]:
    """Send a complete body of legal size; the response is not read."""
    yield target.head(f"content-length: {target.body_bytes}")
    for left in range(target.body_bytes, 0, -len(_BLOCK)):
        yield _BLOCK[:left]


async def chunks_short_of_end(target: Target) -> AsyncGenerator[bytes, None]:
    """Send a body of legal size in large chunks without the end."""
    yield target.head("transfer-encoding: chunked")
    for _ in range(target.body_bytes // len(_BLOCK) - 1):
        yield b"%x\r\n" % len(_BLOCK) + _BLOCK + b"\r\n"


async def one_byte_chunks(target: Target) -> AsyncGenerator[bytes, None]:
    """Send chunks of one byte without the end."""
    yield target.head("transfer-encoding: chunked")
    for _ in range(16):
        yield _ONE_BYTE_CHUNK * 1024


async def announced_over_limit(target: Target) -> AsyncGenerator[bytes, None]:
    """Announce a body far over the limit and send a part of it, whatever is answered."""
    yield target.head(f"content-length: {target.body_bytes * 64}")
    for _ in range(target.body_bytes * 4 // len(_BLOCK)):
        yield _BLOCK


async def sent_over_limit(target: Target) -> AsyncGenerator[bytes, None]:
    """Send chunks far over the limit without an announcement."""
    yield target.head("transfer-encoding: chunked")
    for _ in range(target.body_bytes * 4 // len(_BLOCK)):
        yield b"%x\r\n" % len(_BLOCK) + _BLOCK + b"\r\n"


async def one_large_chunk(target: Target) -> AsyncGenerator[bytes, None]:
    """Announce one chunk far over the limit and send a part of it."""
    yield target.head("transfer-encoding: chunked") + b"%x\r\n" % (target.body_bytes * 64)
    for _ in range(target.body_bytes * 4 // len(_BLOCK)):
        yield _BLOCK


async def early_requests(target: Target) -> AsyncGenerator[bytes, None]:
    """Send many requests one after the other without reading a response."""
    for _ in range(64):
        yield target.head("content-length: 16384") + _BLOCK[:16384]


async def slow_head(target: Target) -> AsyncGenerator[bytes, None]:
    """Send a request head one byte at a time."""
    for byte in target.head("a: " + "b" * 8000):
        yield bytes([byte])
        await trio.sleep(0.01)


async def idle(target: Target) -> AsyncGenerator[bytes, None]:
    """Open a connection and send nothing."""
    parts: tuple[bytes, ...] = ()
    for part in parts:
        yield part


async def play(
    address: Address,
    parts: Callable[[], AsyncGenerator[bytes, None]],
    hold: Callable[[], Awaitable[None]],
) -> None:
    """Send the parts on a connection of its own, and keep it open without reading."""
    try:
        stream = await trio.open_tcp_stream(address.host, address.port)
    except OSError:
        return
    async with stream:
        try:
            async with aclosing(parts()) as sent:
                async for part in sent:
                    await stream.send_all(part)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        await hold()


class Watched:
    """Process whose memory and descriptors are checked."""

    def __init__(self, process_id: int, addresses: Iterable[Address] = ()) -> None:
        """Read the figures of a process from the proc file system.

        :param addresses: where the process listens.
        """
        self._folder = Path(f"/proc/{process_id}")
        self._addresses = {
            f"{socket.inet_aton(a.host)[::-1].hex().upper()}:{a.port:04X}" for a in addresses
        }
        self.peak_descriptors = 0
        self.peak_with_kernel_mb = 0.0

    def peak_mb(self) -> float:
        """Return the largest resident size since the process started, in MB of 2**20 bytes."""
        return self._status_mb("VmHWM:")

    def descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(list((self._folder / "fd").iterdir()))

    async def sample(self) -> None:
        """Record descriptors, and memory with unread bytes in the kernel, until cancelled."""
        while True:
            self.peak_descriptors = max(self.peak_descriptors, self.descriptors())
            memory_mb = self._status_mb("VmRSS:") + self._unread_mb()
            self.peak_with_kernel_mb = max(self.peak_with_kernel_mb, memory_mb)
            await trio.sleep(0.05)

    def _status_mb(self, name: str) -> float:
        for line in (self._folder / "status").read_text(encoding="ascii").splitlines():
            if line.startswith(name):
                return int(line.split()[1]) / 1024.0
        raise AssertionError("the process has ended")

    def _unread_mb(self) -> float:
        """Return the bytes that the kernel has received on connections to the process."""
        unread = 0
        for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
            fields = line.split()
            if fields[1] in self._addresses and fields[3] != "0A":  # 0A is a listening socket
                unread += int(fields[4].split(":")[1], 16)
        return unread / 1024.0 / 1024.0
