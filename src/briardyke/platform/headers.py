"""Translate the platform's request and answer headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.accounts.types import key_digest
from briardyke.gateway.dialect import (
    ForwardingMetadata,
    LoadReport,
    RelayedCall,
    RequestMetadata,
    ResponseMetadata,
)
from briardyke.http.exchange import end_to_end, header

if TYPE_CHECKING:
    from briardyke.http.exchange import Headers, HttpRequest

_REQUEST_ID = b"request-id"
_DEADLINE = b"deadline-ms"
_MODEL = b"model"
_TOKENS = b"token-usage"
_PREFIX = b"prompt-prefix"
_LAST_EVENT = b"last-event-id"
_RESUMES = b"resumes"
_EXPECT_UPSTREAM = b"expect-instance"
_PRIORITY = b"priority-class"
_REFUSAL = b"not-executed"
_KEY = b"authorization"
_KEY_SCHEME = b"bearer"
_ACCOUNT = b"tenant"
# Headers by which a caller identifies itself.
_IDENTITY = frozenset({_KEY, _ACCOUNT})
# Signature of the upstream that answered.
_SIGNATURE = b"server-stamp"
_LOAD = b"instance-load"
_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_BRITTLE = b"server-brittle"
_RETRY_AFTER = b"retry-after"
# Headers between entry instances, which the platform does not know.
_RELAYED_BY = b"briardyke-relayed-by"
_RELAYED_VERSION = b"briardyke-version"
_RELAYED_ATTEMPTS = b"briardyke-attempts"
_ANSWERED_BY = b"briardyke-answered-by"
_RELAY = frozenset({_RELAYED_BY, _RELAYED_VERSION, _RELAYED_ATTEMPTS, _ANSWERED_BY})
_MISDIRECTED = 421
_UNAVAILABLE = 503
_LOWEST_PRIORITY = 9
# Stated slowness of an upstream whose work takes as long as usual.
_USUAL_SLOWNESS = 100.0
_MAX_COUNT = 10**9
_MAX_DIGITS = 12
# Headers that only the system may set; a caller's are dropped.
_RESERVED = frozenset(
    {
        _EXPECT_UPSTREAM,
        _PRIORITY,
        b"expect-version",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        *_RELAY,
    }
)


class PlatformDialect:
    """Implement the gateway's dialect for the platform."""

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Return what a caller's headers say; unreadable ones count as absent."""
        headers = request.headers
        model, _, adapter = _text(headers, _MODEL).partition("/")
        prompt, _, output = _text(headers, _TOKENS).partition(",")
        prompt_tokens, max_output_tokens = _count(prompt), _count(output)
        is_stated = prompt_tokens is not None and max_output_tokens is not None
        parts = [
            (name, tokens)
            for name, _, tokens in (p.partition(":") for p in _text(headers, _PREFIX).split(","))
            if name.strip()
        ]
        return RequestMetadata(
            request_id=_text(headers, _REQUEST_ID),
            deadline_ms=_number(_text(headers, _DEADLINE)),
            model=model,
            adapter=adapter,
            prefix_ids=tuple(name.strip() for name, _ in parts),
            prompt_tokens=prompt_tokens or 0,
            max_output_tokens=max_output_tokens or 0,
            last_event_id=_text(headers, _LAST_EVENT),
            resumed_request_id=_text(headers, _RESUMES),
            prefix_tokens=tuple(_count(tokens) or 0 for _, tokens in parts),
            stated_tokens=((prompt_tokens or 0) + (max_output_tokens or 0) if is_stated else None),
            key_digest=_key_digest(headers),
            relayed_by=_text(headers, _RELAYED_BY),
            relayed_version=_count(_text(headers, _RELAYED_VERSION)) or 0,
            relayed_attempts=_count(_text(headers, _RELAYED_ATTEMPTS)) or 0,
        )

    def upstream_headers(self, request: HttpRequest, call: ForwardingMetadata) -> Headers:
        """Return the caller's headers with what the system sets itself."""
        replaced = {_DEADLINE}
        if call.last_event_id:
            replaced.add(_LAST_EVENT)
        if call.account is not None:
            replaced |= _IDENTITY
        headers = [
            (name, value)
            for name, value in end_to_end(request.headers)
            if name not in _RESERVED and name not in replaced and name != b"expect"
        ]
        headers.append((_DEADLINE, b"%d" % max(1, int(call.remaining_ms))))
        headers.append((_EXPECT_UPSTREAM, call.upstream_id.encode("latin-1")))
        headers.append((_PRIORITY, b"%d" % min(_LOWEST_PRIORITY, max(0, call.priority))))
        if call.last_event_id:
            headers.append((_LAST_EVENT, call.last_event_id.encode("latin-1")))
        if call.account:
            headers.append((_ACCOUNT, call.account.encode()))
        return headers + _body_length(request)

    def relayed_headers(self, request: HttpRequest, call: RelayedCall) -> Headers:
        """Return the caller's headers with those that a relaying instance sets."""
        replaced = {_DEADLINE, b"expect", *_RELAY}
        if call.last_event_id:
            replaced |= {_LAST_EVENT, _RESUMES}
        headers = [pair for pair in end_to_end(request.headers) if pair[0] not in replaced]
        headers.append((_DEADLINE, b"%d" % max(1, int(call.remaining_ms))))
        headers.append((_RELAYED_BY, call.instance_id.encode("latin-1")))
        headers.append((_RELAYED_VERSION, b"%d" % max(0, call.version)))
        headers.append((_RELAYED_ATTEMPTS, b"%d" % call.sent_attempts))
        if call.last_event_id:
            headers.append((_LAST_EVENT, call.last_event_id.encode("latin-1")))
            headers.append((_RESUMES, call.resumed_request_id.encode("latin-1")))
        return headers + _body_length(request)

    def answered_by(self, upstream_id: str) -> Headers:
        """Return the header that names the upstream of a relayed response."""
        return [(_ANSWERED_BY, upstream_id.encode("latin-1"))]

    def without_relay_headers(self, headers: Headers) -> Headers:
        """Return headers without those between entry instances."""
        return [(name, value) for name, value in headers if name not in _RELAY]

    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return what an upstream's headers say."""
        return ResponseMetadata(
            request_id=_text(headers, _REQUEST_ID),
            is_refusal=header(headers, _REFUSAL) is not None or status == _MISDIRECTED,
            lacks_model=status == _MISDIRECTED,
            is_signed=header(headers, _SIGNATURE) is not None,
            load=_load(_text(headers, _LOAD)),
            limit_per_s=_number(_text(headers, _LIMIT)),
            is_leaving=_text(headers, _LEAVING) == "1",
            retry_after_ms=_pause_ms(headers) if status == _UNAVAILABLE else None,
            brittle_per_s=_number(_text(headers, _BRITTLE)),
            answered_by=_text(headers, _ANSWERED_BY),
        )


def _body_length(request: HttpRequest) -> Headers:
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        return [(b"content-length", b"%d" % len(request.body))]
    return []


def _text(headers: Headers, name: bytes) -> str:
    return (header(headers, name) or b"").decode("latin-1").strip()


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e9 else None


def _pause_ms(headers: Headers) -> float | None:
    pause_s = _number(_text(headers, _RETRY_AFTER))
    return None if pause_s is None else pause_s * 1000.0


def _load(text: str) -> LoadReport | None:
    """Read the figures of a load; those after the known ones are for later readers."""
    parts = [_count(part) for part in text.split(",")]
    if len(parts) < 3 or None in parts[:3]:
        return None
    running, waiting, slots = (int(part or 0) for part in parts[:3])
    slowness = parts[3] if len(parts) > 3 else None
    return LoadReport(running, waiting, slots, slowness / _USUAL_SLOWNESS if slowness else None)


def _count(text: str) -> int | None:
    """Return a whole number from 0, at most :data:`_MAX_COUNT`, or ``None``."""
    digits = text.strip()
    if not (digits.isascii() and digits.isdigit()):
        return None
    return min(_MAX_COUNT, int(digits[:_MAX_DIGITS])) if len(digits) <= _MAX_DIGITS else _MAX_COUNT


def _key_digest(headers: Headers) -> bytes | None:
    """Return the digest of the only well-formed key among the headers."""
    values = [value for name, value in headers if name == _KEY]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    return key_digest(key) if scheme.lower() == _KEY_SCHEME and key else None
