"""Tests for reading JSON that another program wrote."""

from __future__ import annotations

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardyke.strict_json import parse_json

ODD = {
    "deeply nested": b"[" * 100_000 + b"]" * 100_000,
    "nested deeper than messages": b"[" * 2000 + b"]" * 2000,
    "number of 400 digits": b"9" * 400,
    "number of 5000 digits": b"9" * 5000,
    "number beyond 64 bits": b'{"a": [18446744073709551616]}',
    "negative number beyond 64 bits": b"-9223372036854775809",
    "number that is infinite": b"1e999",
    "no number": b"NaN",
    "infinity": b"-Infinity",
    "lone surrogate": rb'{"a": "\ud800"}',
    "not UTF-8": b'"\xff"',
    "UTF-16": '{"a": 1}'.encode("utf-16"),
    "name that comes twice": b'{"a": 1, "b": {"c": 1, "c": 2}}',
    "cut off": b'{"a": 1',
    "empty": b"",
}


class TestOddInput:
    """Covers documents that would fail later, in the process that passes them on."""

    @pytest.mark.parametrize("body", ODD.values(), ids=ODD.keys())
    def test_is_refused_as_unreadable(self, body: bytes) -> None:
        with pytest.raises(ValueError):
            parse_json(body)

    @given(st.binary(max_size=200))
    def test_any_bytes_are_read_or_refused(self, body: bytes) -> None:
        try:
            value = parse_json(body)
        except ValueError:
            return
        msgpack.packb(value)


class TestUsualInput:
    """Covers documents that can be passed on."""

    def test_values_are_unchanged(self) -> None:
        body = b'{"a": [1, -2.5, true, null, "\xc3\xa4"], "b": 18446744073709551615}'
        assert parse_json(body) == {"a": [1, -2.5, True, None, "\u00e4"], "b": 2**64 - 1}
