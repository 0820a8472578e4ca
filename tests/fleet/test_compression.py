"""Tests for the compression of documents sent to entry instances."""

from __future__ import annotations

import json

import pytest

from briardyke.fleet.compression import MAX_DOCUMENT_BYTES, compress_document, decompress_document

# A quarter of a second on the slowest link, which leaves most of the time in which a change must be
# in force, also with concurrent requests.
_LINK_BYTES_PER_S = 3.75e6 / 8
_MAX_TRANSFER_S = 0.25


def document(routes: int) -> bytes:
    rows = [
        {
            "name": f"r-{n * 7919 % 99991:x}",
            "host": f"h{n * 104729 % 9973:x}.example",
            "path_prefix": f"/{n * 15485863 % 999983:x}/",
            "kind": "streaming",
            "timeout_ms": 25000,
            "target_latency_ms": 5000,
            "priority": 2,
            "service": "pool",
            "max_attempts": 1,
            "sticky": True,
            "resumable": False,
            "gap_target_ms": 250,
        }
        for n in range(routes)
    ]
    return json.dumps({"version": 7, "routes": rows}).encode()


class TestCompression:
    """Covers configurations with hundreds of routes, and bytes that are not valid documents."""

    def test_large_configuration_fits_a_slow_link(self) -> None:
        large = document(2000)
        assert len(large) > _LINK_BYTES_PER_S * _MAX_TRANSFER_S
        assert len(compress_document(large)) <= _LINK_BYTES_PER_S * _MAX_TRANSFER_S
        assert decompress_document(compress_document(large)).unwrap() == large

    @pytest.mark.parametrize(
        "compressed",
        [
            b"",
            b"{}",
            compress_document(document(3))[:-4],
            compress_document(b"x" * (MAX_DOCUMENT_BYTES + 1)),
        ],
    )
    def test_invalid_bytes_are_refused(self, compressed: bytes) -> None:
        assert decompress_document(compressed).is_err()
