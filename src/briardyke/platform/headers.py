"""Translate the platform's request and answer headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.gateway.dialect import (
    ForwardingMetadata,
    LoadReport,
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
# Signature of the upstream that answered.
_SIGNATURE = b"server-stamp"
_LOAD = b"instance-load"
_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_MISDIRECTED = 421
_UNAVAILABLE = 503
_LOWEST_PRIORITY = 9
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
    }
)


class PlatformDialect:
    """Implement the gateway's dialect for the platform."""

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Return what a caller's headers say; unreadable ones count as absent."""
        headers = request.headers
        model, _, adapter = _text(headers, _MODEL).partition("/")
        prompt, _, output = _text(headers, _TOKENS).partition(",")
        parts = [part.partition(":")[0].strip() for part in _text(headers, _PREFIX).split(",")]
        return RequestMetadata(
            request_id=_text(headers, _REQUEST_ID),
            deadline_ms=_number(_text(headers, _DEADLINE)),
            model=model,
            adapter=adapter,
            prefix_ids=tuple(part for part in parts if part),
            prompt_tokens=int(_number(prompt) or 0),
            max_output_tokens=int(_number(output) or 0),
            last_event_id=_text(headers, _LAST_EVENT),
            resumed_request_id=_text(headers, _RESUMES),
        )

    def upstream_headers(self, request: HttpRequest, call: ForwardingMetadata) -> Headers:
        """Return the caller's headers with what the system sets itself."""
        replaced = {_DEADLINE}
        if call.last_event_id:
            replaced.add(_LAST_EVENT)
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
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        return headers

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
        )


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
    parts = text.split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return LoadReport(running, waiting, slots)
