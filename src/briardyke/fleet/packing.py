"""Pack configuration documents for their way to entry instances.

Load: a change of a configuration with hundreds of routes goes to 191 entry instances at once, over
links of 3.75 Mbit/s that carry requests as well. Half a megabyte takes longer than a call may last.
"""

from __future__ import annotations

import zlib

from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure

# Largest document that is unpacked, well above the largest body that operators may send.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


def pack(document: bytes) -> bytes:
    """Return the packed form of a document."""
    return zlib.compress(document)


def unpack(packed: bytes) -> Result[bytes, Failure]:
    """Return the document.

    :param packed: output of :func:`pack`, or anything a faulty peer sent.
    :return: ``protocol_violation`` when it cannot be unpacked or is too large.
    """
    reader = zlib.decompressobj()
    try:
        document = reader.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        return Err(Failure(ErrorKind.PROTOCOL_VIOLATION, f"cannot unpack the document: {error}"))
    if not reader.eof:
        return Err(Failure(ErrorKind.PROTOCOL_VIOLATION, "the document is cut or too large"))
    return Ok(document)
