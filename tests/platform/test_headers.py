"""Contract tests for the platform's headers."""

from __future__ import annotations

import pytest

from briardyke.gateway.dialect import ForwardingMetadata, LoadReport
from briardyke.http.exchange import HttpRequest
from briardyke.platform.headers import PlatformDialect

HEADERS = [
    (b"host", b"ficu95.example"),
    (b"request-id", b"9c41"),
    (b"last-event-id", b"12"),
    (b"resumes", b"7f00"),
    (b"model", b"daka/a3"),
    (b"token-usage", b"1460,80"),
    (b"prompt-prefix", b"5c1e07a2:800,91bd3f06:410"),
    (b"deadline-ms", b"15000"),
    (b"connection", b"keep-alive, x-hop"),
    (b"x-hop", b"1"),
    (b"transfer-encoding", b"chunked"),
    (b"hold", b"h-1"),
    (b"pin-ms", b"4000"),
    (b"kv-from", b"10.0.0.1:80/3"),
    (b"priority-class", b"0"),
]


def request(body: bytes = b"x") -> HttpRequest:
    return HttpRequest("POST", "/lohu930/2f?a=b", list(HEADERS), body, 0.0)


class TestReadRequest:
    """Covers the headers of callers."""

    def test_fields_are_translated(self) -> None:
        caller = PlatformDialect().read_request(request())
        assert (caller.request_id, caller.deadline_ms) == ("9c41", 15000.0)
        assert (caller.model, caller.adapter) == ("daka", "a3")
        assert (caller.prompt_tokens, caller.max_output_tokens) == (1460, 80)
        assert caller.prefix_ids == ("5c1e07a2", "91bd3f06")
        assert (caller.last_event_id, caller.resumed_request_id) == ("12", "7f00")

    @pytest.mark.parametrize("value", [b"soon", b"-5", b"nan", b"1e99", b""])
    def test_unreadable_deadline_counts_as_absent(self, value: bytes) -> None:
        bare = HttpRequest("GET", "/", [(b"deadline-ms", value)], b"", 0.0)
        assert PlatformDialect().read_request(bare).deadline_ms is None


class TestUpstreamHeaders:
    """Covers what is passed on to upstreams."""

    def test_system_headers_replace_those_of_the_caller(self) -> None:
        call = ForwardingMetadata("i-1", 812.7, 2)
        headers = PlatformDialect().upstream_headers(request(), call)
        sent = dict(headers)
        assert len(sent) == len(headers)
        assert sent[b"deadline-ms"] == b"812"
        assert sent[b"expect-instance"] == b"i-1"
        assert sent[b"priority-class"] == b"2"
        assert sent[b"last-event-id"] == b"12"
        assert sent[b"content-length"] == b"1"
        assert sent[b"model"] == b"daka/a3"
        dropped = {b"hold", b"pin-ms", b"kv-from", b"connection", b"x-hop", b"transfer-encoding"}
        assert dropped & set(sent) == set()

    def test_resumed_stream_goes_on_after_the_last_event_sent(self) -> None:
        call = ForwardingMetadata("i-2", 500.0, 1, "31")
        headers = PlatformDialect().upstream_headers(request(), call)
        assert [value for name, value in headers if name == b"last-event-id"] == [b"31"]


class TestReadAnswer:
    """Covers the headers of upstreams."""

    def test_refusal_signature_and_load_are_read(self) -> None:
        headers = [(b"not-executed", b"1"), (b"instance-load", b"3,0,8"), (b"request-id", b"9")]
        facts = PlatformDialect().read_response(503, headers)
        assert (facts.is_refusal, facts.is_signed, facts.load) == (True, False, LoadReport(3, 0, 8))
        assert facts.request_id == "9"

    def test_misdirected_request_has_not_run(self) -> None:
        assert PlatformDialect().read_response(421, []).is_refusal

    def test_plain_503_promises_nothing(self) -> None:
        assert not PlatformDialect().read_response(503, []).is_refusal

    @pytest.mark.parametrize("value", [b"", b"3,0", b"a,b,c", b"-1,0,8"])
    def test_unreadable_load_counts_as_absent(self, value: bytes) -> None:
        facts = PlatformDialect().read_response(200, [(b"instance-load", value)])
        assert facts.load is None
