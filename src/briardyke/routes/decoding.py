"""Decode configurations without delaying the other tasks of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from briardyke.errors import Failure

T = TypeVar("T")

# A smaller document is decoded within a few milliseconds, and a thread takes memory.
_INLINE_BYTES = 64 * 1024


async def decode_configuration_beside(
    decode: Callable[[bytes], Result[T, Failure]], document: bytes
) -> Result[T, Failure]:
    """Decode a document, a large one in a worker thread.

    Load: thousands of routes take a tenth of a second of a whole core. Streams would pause for that
    long, and a leader on a third of a core would miss the heartbeats of its term.

    :param decode: decodes and checks a document.
    :return: what ``decode`` returns.
    """
    if len(document) < _INLINE_BYTES:
        return decode(document)
    return await trio.to_thread.run_sync(decode, document)
