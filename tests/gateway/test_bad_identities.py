"""Tests of requests with unusable identities and sizes, and that keys are shown nowhere."""

from __future__ import annotations

import logging as standard_logging
from typing import TYPE_CHECKING

import pytest
import trio
from absl import logging
from test_accounts import ACCOUNTS, KEY, bearer, respond, use_accounts

from briardyke.accounts.types import key_digest
from briardyke.gateway.configuration_proof import ConfigurationProof
from briardyke.http.exchange import HttpRequest

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from gateway_support import Gateway

KEY_BYTES = KEY.encode()


async def send_raw(gateway: Gateway, headers: Sequence[bytes], path: str = "/buy/x") -> int:
    """Send header lines that a client library would refuse; return the status."""
    lines = [f"GET {path} HTTP/1.1".encode(), b"Host: h", b"Request-Id: r-1", b"Connection: close"]
    stream = await trio.open_tcp_stream("127.0.0.1", gateway.port)
    async with stream:
        await stream.send_all(b"\r\n".join([*lines, *headers, b"", b""]))
        received = b""
        with trio.fail_after(5):
            while b"\r\n" not in received:
                data = await stream.receive_some(65536)
                if not data:
                    return 0
                received += data
    return int(received.split()[1])


class TestKeyHeader:
    """Covers the form of the header with the key; each is answered at once and nothing runs."""

    @pytest.mark.parametrize(
        ("lines", "status"),
        [
            ([], 401),
            ([b"Authorization:"], 401),
            ([b"Authorization: Bearer"], 401),
            ([b"Authorization: Bearer  "], 401),
            ([b"Authorization: " + KEY_BYTES], 401),
            ([b"Authorization: Basic " + KEY_BYTES], 401),
            ([b'Authorization: Digest username="a", response="' + KEY_BYTES + b'"'], 401),
            ([b"Authorization: Bearer " + KEY_BYTES + b", Bearer " + KEY_BYTES], 401),
            ([b"Authorization: Bearer " + KEY_BYTES] * 2, 401),
            ([b"Authorization: Bearer " + KEY_BYTES, b"authorization: Basic x"], 401),
            ([b"Authorization: Bearer " + KEY_BYTES + b" x"], 401),
            ([b"Authorization: Bearer " + KEY_BYTES.upper()], 401),
            ([b"Authorization: Bearer \xc3\xa4\xff" + KEY_BYTES], 401),
            ([b"Authorization: Bearer " + b"k" * 15_000], 401),
            ([b"Authorization: Bearer " + b"k" * 16_384], 431),
            ([b"Authorization: Bearer " + KEY_BYTES + b"\x00"], 400),
            ([b"Authorization : Bearer " + KEY_BYTES], 400),
            ([b"Tenant: hule930"], 401),
            ([b"Proxy-Authorization: Bearer " + KEY_BYTES], 401),
            ([b"Connection: authorization"], 401),
        ],
    )
    async def test_unusable_key_is_answered_and_nothing_runs(
        self, gateway: Gateway, lines: list[bytes], status: int
    ) -> None:
        """Guards against a request without one well-formed known key that runs."""
        use_accounts(gateway)
        upstream = await gateway.add("app", respond)
        assert await send_raw(gateway, lines) == status
        assert upstream.requests == []

    @pytest.mark.parametrize(
        "line",
        [
            b"Authorization: Bearer " + KEY_BYTES,
            b"authorization: bearer " + KEY_BYTES,
            b"AUTHORIZATION:BEARER   " + KEY_BYTES + b"  ",
        ],
    )
    async def test_forms_that_the_protocol_allows_are_accepted(
        self, gateway: Gateway, line: bytes
    ) -> None:
        """Guards against the refusal of a scheme in other letters, or of white space."""
        use_accounts(gateway)
        upstream = await gateway.add("app", respond)
        assert await send_raw(gateway, [line]) == 200
        assert len(upstream.requests) == 1

    async def test_account_named_by_connection_header_is_still_set(self, gateway: Gateway) -> None:
        """Guards against a caller that removes the account's name on the way."""
        use_accounts(gateway)
        upstream = await gateway.add("app", respond)
        lines = [b"Authorization: Bearer " + KEY_BYTES, b"Connection: tenant, authorization"]
        assert await send_raw(gateway, [*lines, b"Tenant: x"]) == 200
        assert [v for n, v in upstream.heads[0] if n == b"tenant"] == [b"hule930"]


class TestTokenUsage:
    """Covers the size that a request states."""

    @pytest.mark.parametrize(
        "lines",
        [
            [],
            [b"Token-Usage:"],
            [b"Token-Usage: -5,10"],
            [b"Token-Usage: 10,-5"],
            [b"Token-Usage: ten,5"],
            [b"Token-Usage: 10"],
            [b"Token-Usage: 1e3,5"],
            [b"Token-Usage: 99999999999999999999999999999999,5"],
            [b"Token-Usage: " + b"9" * 10_000 + b",5"],
            [b"Token-Usage: \xb2,\xb9"],
            [b"Token-Usage: 1,2,3"],
            [b"Token-Usage: 1,2", b"Token-Usage: 3,4"],
        ],
    )
    async def test_unreadable_size_ends_no_request_with_a_defect(
        self, gateway: Gateway, lines: list[bytes]
    ) -> None:
        """Guards against a request that fails because of its stated size."""
        use_accounts(gateway)
        await gateway.add("app", respond)
        assert await send_raw(gateway, [b"Authorization: Bearer " + KEY_BYTES, *lines]) == 200


class _Lines(standard_logging.Handler):
    """Collects the text of all log records, with their arguments and tracebacks."""

    def __init__(self) -> None:
        super().__init__()
        self.text = ""
        self.setFormatter(standard_logging.Formatter())

    def emit(self, record: standard_logging.LogRecord) -> None:
        self.text += self.format(record) + repr(record.args)


@pytest.fixture
def lines() -> Iterator[_Lines]:
    handler = _Lines()
    logger = logging.get_absl_logger()
    verbosity = logging.get_verbosity()
    logging.set_verbosity(logging.DEBUG)
    logger.addHandler(handler)
    yield handler
    logger.removeHandler(handler)
    logging.set_verbosity(verbosity)


class TestSecrecy:
    """Covers requirement 2: the key never leaves the entry instance."""

    async def test_key_is_in_no_line_metric_trace_or_report(
        self, gateway: Gateway, lines: _Lines
    ) -> None:
        """Guards against a key, or its digest, in what operators and other processes receive."""
        use_accounts(gateway)

        async def fail(upstream: object, stream: trio.SocketStream, request_id: bytes) -> None:
            await trio.aclose_forcefully(stream)

        keys = [KEY, "u1-not-known-to-anyone"]
        broken = await gateway.add("app", fail)
        for key in keys:
            for number, path in enumerate(("/see/x", "/buy/x", "/chat/x", "/open/x", "/none/x")):
                await gateway.send(path, f"f-{key[0]}-{number}", "m", more_headers=[bearer(key)])
        sound = await gateway.add("app", respond)
        for key in keys:
            await gateway.send("/see/x", f"s-{key[0]}", more_headers=[bearer(key)])
            await send_raw(gateway, [b"Authorization : Bearer " + key.encode()])
            await send_raw(gateway, [b"Authorization: Bearer " + key.encode() + b"\x00"])
        gateway.state.proof = ConfigurationProof(5000.0)
        await gateway.send("/buy/x", "p", more_headers=[bearer(KEY), ("Deadline-Ms", "100")])
        state = gateway.state
        shown = [
            lines.text,
            state.counters.prometheus_text().decode(),
            repr(state.counters),
            repr(state.demand.demand()),
            repr(state.quarantine.crash_reports()),
            repr(state.limits.reported()),
            repr(state.upstreams.unreachable()),
            repr((broken.heads, sound.heads)),
            repr(ACCOUNTS),
        ]
        assert "request_finished" in lines.text
        assert sound.requests
        for key in keys:
            digest = key_digest(key.encode())
            for text in shown:
                assert key not in text
                assert digest.hex() not in text
                assert repr(digest)[2:-1] not in text

    async def test_key_is_in_no_error_text_of_a_defect(
        self, gateway: Gateway, lines: _Lines, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a defect whose error shows the request or its context."""
        use_accounts(gateway)
        await gateway.add("app", respond)

        def fail(context: object, state: object) -> None:
            raise RuntimeError(repr(context))

        monkeypatch.setattr(gateway.state.admission, "refusal", fail)
        reply = await gateway.send("/see/x", "r-1", more_headers=[bearer(KEY)])
        assert reply.status == 500
        assert "request_handler_failed" in lines.text
        assert KEY not in lines.text

    def test_request_shows_no_headers(self) -> None:
        """Guards against headers in the text of a request."""
        request = HttpRequest("GET", "/", [(b"authorization", b"Bearer " + KEY_BYTES)], b"", 0.0)
        assert KEY not in repr(request)
