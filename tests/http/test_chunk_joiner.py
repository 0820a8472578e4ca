"""Tests that joined chunks mean the same to the parser as the chunks that were sent."""

from __future__ import annotations

import itertools

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardyke.http.chunk_joiner import ChunkJoiner
from briardyke.turns import ITEMS_PER_TURN

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
NEXT = b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n"

CHUNK = st.builds(
    lambda data, extension, is_upper: (
        (b"%X" if is_upper else b"%x") % len(data) + extension + b"\r\n" + data + b"\r\n"
    ),
    st.one_of(st.binary(min_size=1, max_size=3), st.binary(min_size=1, max_size=3000)),
    st.sampled_from([b"", b"", b"", b"", b";a=b"]),
    st.booleans(),
)
END = st.sampled_from(
    [
        b"0\r\n\r\n",
        b"00\r\n\r\n",
        b"0;x\r\n\r\n",
        b"0\r\nT: v\r\n\r\n",
        b"1\r\nab\r\n",
        b"zz\r\n",
        b"5 \r\n",
    ]
)


def joined(joiner: ChunkJoiner, part: bytes) -> bytes:
    """Return what the parser receives for a part, over as many turns as it takes."""
    received = []
    while joiner.is_behind:
        received.append(joiner.join(b""))
    received.append(joiner.join(part))
    while joiner.is_behind:
        assert joiner.handled <= ITEMS_PER_TURN
        received.append(joiner.join(b""))
    return b"".join(received)


def parse(parts: list[bytes], is_joined: bool) -> tuple[bytes, str, bytes]:
    """Return the body, how it ended, and the bytes after it; the first part is not joined."""
    protocol = h11.Connection(h11.SERVER)
    protocol.receive_data(HEAD + parts[0])
    assert isinstance(protocol.next_event(), h11.Request)
    joiner = ChunkJoiner(parts[0])
    body = b""
    for part in [b"", *parts[1:]]:
        received = joined(joiner, part) if is_joined else part
        if received:
            protocol.receive_data(received)
        try:
            while (event := protocol.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Data):
                    body += event.data
        except h11.RemoteProtocolError:
            return body, "malformed", b""
    ending = "whole" if protocol.their_state is h11.DONE else "open"
    return body, ending, protocol.trailing_data[0] if ending == "whole" else b""


class TestChunkJoiner:
    """Guards against a body, or a border between requests, that joining would change."""

    @given(st.lists(CHUNK, max_size=40), END, st.lists(st.integers(0, 2000), max_size=12))
    def test_any_split_of_any_chunks(
        self, chunks: list[bytes], end: bytes, sizes: list[int]
    ) -> None:
        data = b"".join(chunks) + end + NEXT
        cuts = [0, *itertools.accumulate(sizes), len(data)]
        parts = [data[a:b] for a, b in itertools.pairwise(cuts)]
        assert parse(parts, is_joined=True) == parse(parts, is_joined=False)

    @given(st.lists(CHUNK, max_size=6), END)
    def test_one_byte_at_a_time(self, chunks: list[bytes], end: bytes) -> None:
        parts = [bytes([byte]) for byte in b"".join(chunks) + end + NEXT]
        assert parse(parts, is_joined=True) == parse(parts, is_joined=False)

    @pytest.mark.parametrize("chunk", [b"1\r\nx\r\n", b"2\r\nxy\r\n", b"001\r\nx\r\n"])
    def test_small_chunks_become_one(self, chunk: bytes) -> None:
        """Guards against the cost of a parser's event for each chunk."""
        received = joined(ChunkJoiner(b""), chunk * 5000)
        turns = -(-5000 // ITEMS_PER_TURN)
        assert received.count(b"\r\n") <= 2 * turns
        assert len(received) <= 5000 * len(chunk.split(b"\r\n")[1]) + 6 * turns
