"""Compress configuration documents that are sent to entry instances.

A change to a configuration with hundreds of routes is sent to 191 entry instances at once, over
links of 3.75 Mbit/s that also carry requests. Half a megabyte would exceed the call timeout.
"""

from __future__ import annotations

import zlib

from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure

# Limit on the decompressed size, well above the largest body that operators may send.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


def compress_document(document: bytes) -> bytes:
    """Return the compressed form of a document."""
    return zlib.compress(document)


def decompress_document(compressed: bytes) -> Result[bytes, Failure]:
    """Return the decompressed document.

    :param compressed: output of :func:`compress_document`, or arbitrary bytes from a faulty peer.
    :return: ``protocol_violation`` when it cannot be decompressed or is too large.
    """
    reader = zlib.decompressobj()
    try:
        document = reader.decompress(compressed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        return Err(
            Failure(ErrorKind.PROTOCOL_VIOLATION, f"cannot decompress the document: {error}")
        )
    if not reader.eof:
        return Err(Failure(ErrorKind.PROTOCOL_VIOLATION, "the document is truncated or too large"))
    return Ok(document)
