"""Contract tests for the platform's headers."""

from __future__ import annotations

import pytest

from briardyke.accounts.types import key_digest
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


def keyed(*values: bytes) -> HttpRequest:
    return HttpRequest("GET", "/", [(b"authorization", value) for value in values], b"", 0.0)


class TestReadRequest:
    """Covers the headers of callers."""

    def test_fields_are_translated(self) -> None:
        caller = PlatformDialect().read_request(request())
        assert (caller.request_id, caller.deadline_ms) == ("9c41", 15000.0)
        assert (caller.model, caller.adapter) == ("daka", "a3")
        assert (caller.prompt_tokens, caller.max_output_tokens) == (1460, 80)
        assert caller.prefix_ids == ("5c1e07a2", "91bd3f06")
        assert caller.prefix_tokens == (800, 410)
        assert (caller.last_event_id, caller.resumed_request_id) == ("12", "7f00")

    @pytest.mark.parametrize(
        ("value", "tokens"),
        [
            (b"1460,80", 1540),
            (b"0,0", 0),
            (b"", None),
            (b"1460", None),
            (b"-5,80", None),
            (b"nan,80", None),
            (b"1e3,80", None),
            (b"9" * 400 + b",80", 10**9 + 80),
        ],
    )
    def test_unreadable_size_counts_as_not_stated_and_a_huge_one_as_huge(
        self, value: bytes, tokens: int | None
    ) -> None:
        sized = HttpRequest("GET", "/", [(b"token-usage", value)], b"", 0.0)
        assert PlatformDialect().read_request(sized).stated_tokens == tokens

    @pytest.mark.parametrize("value", [b"Bearer k-1", b"bearer  k-1 ", b"BEARER k-1"])
    def test_key_is_read_as_a_digest(self, value: bytes) -> None:
        caller = PlatformDialect().read_request(keyed(value))
        assert caller.key_digest == key_digest(b"k-1")
        assert "k-1" not in repr(caller)

    @pytest.mark.parametrize(
        "values",
        [
            [],
            [b""],
            [b"Bearer"],
            [b"Bearer "],
            [b"Basic k-1"],
            [b"k-1"],
            [b"Bearer k", b"Bearer k"],
        ],
    )
    def test_missing_doubled_or_malformed_key_is_none(self, values: list[bytes]) -> None:
        assert PlatformDialect().read_request(keyed(*values)).key_digest is None

    @pytest.mark.parametrize("key", [b"k" * 16384, "schl\u00fcssel".encode()])
    def test_long_and_non_ascii_keys_are_compared_like_others(self, key: bytes) -> None:
        caller = PlatformDialect().read_request(keyed(b"Bearer " + key))
        assert caller.key_digest == key_digest(key)

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

    def test_account_replaces_the_identity_that_the_caller_states(self) -> None:
        headers = [*HEADERS, (b"authorization", b"Bearer k-1"), (b"tenant", b"someone")]
        caller = HttpRequest("POST", "/", headers, b"x", 0.0)
        sent = PlatformDialect().upstream_headers(
            caller, ForwardingMetadata("i-1", 500.0, 1, account="hule930")
        )
        assert [value for name, value in sent if name == b"tenant"] == [b"hule930"]
        assert b"authorization" not in dict(sent)
        anonymous = PlatformDialect().upstream_headers(
            caller, ForwardingMetadata("i-1", 500.0, 1, account="")
        )
        assert not {b"tenant", b"authorization"} & set(dict(anonymous))

    def test_without_accounts_the_identity_of_the_caller_is_passed_on(self) -> None:
        headers = [(b"authorization", b"Bearer k-1"), (b"tenant", b"someone")]
        caller = HttpRequest("POST", "/", headers, b"x", 0.0)
        sent = dict(PlatformDialect().upstream_headers(caller, ForwardingMetadata("i-1", 500.0, 1)))
        assert (sent[b"authorization"], sent[b"tenant"]) == (b"Bearer k-1", b"someone")


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

    @pytest.mark.parametrize(
        ("value", "load"),
        [
            (b"3,0,8,250", LoadReport(3, 0, 8, 2.5)),
            (b"3, 0, 8, 100, 7, x", LoadReport(3, 0, 8, 1.0)),
            (b"3,0,8,soon", LoadReport(3, 0, 8)),
            (b"3,0,8,0", LoadReport(3, 0, 8)),
        ],
    )
    def test_further_figures_of_a_load_do_not_hide_the_known_ones(
        self, value: bytes, load: LoadReport
    ) -> None:
        facts = PlatformDialect().read_response(200, [(b"instance-load", value)])
        assert facts.load == load

    @pytest.mark.parametrize("value", [b"", b"3,0", b"a,b,c", b"-1,0,8"])
    def test_unreadable_load_counts_as_absent(self, value: bytes) -> None:
        facts = PlatformDialect().read_response(200, [(b"instance-load", value)])
        assert facts.load is None
