"""Contract tests for what upstreams say of themselves."""

from __future__ import annotations

import json
from typing import Any

import pytest

from briardyke.errors import ErrorKind
from briardyke.fleet.messages import RowsUpdate
from briardyke.fleet.records import DRAINING, READY
from briardyke.platform.announcements import decode_announcement
from briardyke.wire.codec import decode, encode

BODY: dict[str, Any] = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "almaty-a",
    "version": "v1.2",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "stage": "hybrid",
    "models": [{"name": "daka", "version": 1, "adapters": ["a1"]}],
    "at_hand": {"in_memory": ["daka"], "on_disk": ["rada"]},
    "sequence": 4,
    "born": 1774243181000,
}


class TestDecodeAnnouncement:
    """Covers announcements, forged ones included."""

    def test_fields_are_translated(self) -> None:
        row = decode_announcement("i-1", json.dumps(BODY).encode()).unwrap()
        assert (row.upstream_id, row.incarnation, row.sequence) == ("i-1", 1774243181000, 4)
        assert (row.lifecycle, row.data_centre, row.slots) == (READY, "almaty-a", 64)
        assert [(m.name, m.adapters) for m in row.models] == [("daka", ["a1"])]
        assert row.at_hand == ["daka", "rada"]
        assert row.software_version == "v1.2"

    def test_short_notice_is_kept(self) -> None:
        body = json.dumps(BODY | {"state": "draining", "remaining_ms": 2000}).encode()
        row = decode_announcement("i-1", body).unwrap()
        assert (row.lifecycle, row.leaves_in_ms) == (DRAINING, 2000.0)

    @pytest.mark.parametrize(
        "change",
        [
            {"service": None},
            {"service": 7},
            {"address": "nowhere"},
            {"address": ["10.0.0.1:1"]},
            {"state": "resting"},
            {"sequence": "4"},
            {"sequence": None},
            {"born": 17.5},
            {"born": True},
            {"models": "daka"},
            {"models": [3]},
            {"zone": ""},
            {"version": None},
            {"version": 2},
        ],
    )
    def test_forged_announcement_names_no_upstream(self, change: dict[str, Any]) -> None:
        decoded = decode_announcement("i-1", json.dumps(BODY | change).encode())
        assert decoded.unwrap_err().kind is ErrorKind.FIELD_INVALID

    @pytest.mark.parametrize("body", [b"", b"\xff", b"[]", b"{", b'"text"', b"null"])
    def test_unreadable_bytes_are_refused(self, body: bytes) -> None:
        assert decode_announcement("i-1", body).is_err()

    def test_size_is_limited_before_the_bytes_are_parsed(self) -> None:
        """Guards against announcements of megabytes, each of which holds up the event loop."""
        names = [f"adapter-{number:04d}" for number in range(1000)]
        models = [{"name": "daka", "adapters": names}]
        row = decode_announcement("i-1", json.dumps(BODY | {"models": models}).encode()).unwrap()
        assert row.models[0].adapters == names
        long = json.dumps(BODY | {"comment": "x" * 300_000}).encode()
        assert decode_announcement("i-1", long).unwrap_err().kind is ErrorKind.FIELD_INVALID


class TestOddEntries:
    """Covers entries of another writer that no process could pass on or use."""

    @pytest.mark.parametrize("number", [10**30, 2**64, 10**400, float("inf"), float("nan"), -1])
    @pytest.mark.parametrize("field", ["born", "sequence", "slots", "remaining_ms"])
    def test_number_out_of_range_is_refused(self, field: str, number: float) -> None:
        body = json.dumps(BODY | {field: number}).encode()
        assert decode_announcement("i-1", body).unwrap_err().kind is ErrorKind.FIELD_INVALID

    @pytest.mark.parametrize("port", ["0", "65536", "99999", "-1", "", "8080" * 2000])
    def test_port_out_of_range_is_refused(self, port: str) -> None:
        body = json.dumps(BODY | {"address": f"10.128.0.9:{port}"}).encode()
        assert decode_announcement("i-1", body).unwrap_err().kind is ErrorKind.FIELD_INVALID

    def test_deeply_nested_entry_is_refused(self) -> None:
        nested = b"[" * 100_000 + b"]" * 100_000
        body = json.dumps(BODY).encode()[:-1] + b', "extra": ' + nested + b"}"
        assert decode_announcement("i-1", body).unwrap_err().kind is ErrorKind.FIELD_INVALID

    def test_text_without_a_utf_8_form_is_refused(self) -> None:
        body = json.dumps(BODY | {"service": "\ud800"}).encode()
        assert decode_announcement("i-1", body).unwrap_err().kind is ErrorKind.FIELD_INVALID

    @pytest.mark.parametrize("slots", [1, 1_000_000])
    def test_accepted_entry_can_be_passed_on(self, slots: int) -> None:
        row = decode_announcement("i-1", json.dumps(BODY | {"slots": slots}).encode()).unwrap()
        update = RowsUpdate([row], [0.0], [], [])
        assert decode(encode(update)).unwrap() == update
