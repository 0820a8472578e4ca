"""Send one request as a caller does, over as many connections as it needs."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs
import trio

from briardyke.clock import now_ms, sleep_ms
from briardyke.errors import ErrorKind
from briardyke.http.client import CallError, HttpClient, OpenResponse
from briardyke.http.sse import EventParser, EventTooLongError
from briardyke.loadtool.summary import Outcome, RequestResult
from briardyke.loadtool.verification import ResponseVerifier
from briardyke.logs import log_limited

if TYPE_CHECKING:
    from briardyke.loadtool.addresses import AddressBook
    from briardyke.loadtool.settings import LoadSettings

_RETRY_DELAY_MS = 50.0
_ERROR_BODY_TIMEOUT_S = 2.0


@attrs.frozen
class ChatRequest:
    """Describe one chat request.

    :param request_id: identity of the request.
    :param model: model name.
    :param content: content of its only message.
    """

    request_id: str
    model: str
    content: str


class Caller:
    """Send requests and verify the responses."""

    def __init__(self, settings: LoadSettings, book: AddressBook, client: HttpClient) -> None:
        """Name the collaborators."""
        self._settings = settings
        self._book = book
        self._client = client

    async def chat(self, request: ChatRequest) -> RequestResult:
        """Send a chat request, continuing a broken response through another address."""
        settings = self._settings
        verifier = ResponseVerifier(
            request.request_id,
            request.model,
            f"user: {request.content}",
            settings.max_tokens,
            one_id=not settings.direct,
        )
        result = RequestResult(Outcome.UNKNOWN)
        sent = False
        for _ in range(settings.connection_limit):
            address = await self._book.pick()
            result.resumptions += verifier.offset > 0
            try:
                async with self._client.open(
                    "POST",
                    address,
                    "/v1/chat/completions",
                    body=self._body(request),
                    headers=self._headers(request, verifier.offset),
                    timeout_ms=settings.deadline_ms + settings.idle_timeout_ms,
                ) as opened:
                    sent = True
                    if opened.status == 200:
                        await self._read(opened, verifier, result)
                    else:
                        error = await _error(opened)
                        if not verifier.offset or not error.get("retryable"):
                            return _failed(result, verifier, error)
            except CallError as failed:
                sent = sent or failed.failure.kind is not ErrorKind.UPSTREAM_UNREACHABLE
                result.detail = failed.failure.message
            if verifier.wrong:
                result.outcome, result.detail = Outcome.WRONG, verifier.wrong
                return result
            if verifier.done:
                result.outcome = Outcome.COMPLETE
                return result
            if verifier.error is not None:
                return _failed(result, verifier, verifier.error)
            self._book.failed(address)
            await sleep_ms(_RETRY_DELAY_MS)
        if verifier.offset:
            result.outcome = Outcome.TRUNCATED
        elif not sent:
            result.outcome, result.kind = Outcome.REFUSED, ErrorKind.UPSTREAM_UNREACHABLE.value
        return result

    async def _read(
        self, opened: OpenResponse, verifier: ResponseVerifier, result: RequestResult
    ) -> None:
        parser = EventParser()
        chunks = opened.chunks()
        while True:
            chunk = b""
            with trio.move_on_after(self._settings.idle_timeout_ms / 1000.0):
                chunk = await anext(chunks, b"")
            if not chunk:
                return
            arrived_ms = now_ms()
            try:
                events = parser.feed(chunk)
            except EventTooLongError as error:
                log_limited("event_too_long", is_routine=False, reason=error)
                return
            for event in events:
                if verifier.take(event):
                    result.token_times_ms.append(arrived_ms)
            if verifier.wrong:
                return

    def _body(self, request: ChatRequest) -> bytes:
        body: dict[str, Any] = {
            "model": request.model,
            "messages": [{"role": "user", "content": request.content}],
            "max_tokens": self._settings.max_tokens,
            "stream": True,
        }
        return json.dumps(body).encode()

    def _headers(self, request: ChatRequest, offset: int) -> dict[str, str]:
        headers = {"content-type": "application/json", "x-request-id": request.request_id}
        if self._settings.direct:
            return headers | {"x-resume-offset-tokens": str(offset)}
        headers |= self._entry_headers()
        if offset:
            headers["last-event-id"] = str(offset)
        return headers

    def _entry_headers(self) -> dict[str, str]:
        headers = {"x-deadline-ms": f"{self._settings.deadline_ms:.0f}"}
        if self._settings.api_key:
            headers["authorization"] = f"Bearer {self._settings.api_key}"
        return headers

    async def service(self, request_id: str) -> RequestResult:
        """Send a non-idempotent call, repeating it with its key when the connection breaks."""
        settings = self._settings
        result, sent = RequestResult(Outcome.UNKNOWN), False
        for _ in range(settings.connection_limit):
            address = await self._book.pick()
            called = await self._client.call(
                "POST",
                address,
                f"/services/{settings.service}{settings.service_path}",
                body=json.dumps({"request": request_id}).encode(),
                headers={
                    "content-type": "application/json",
                    "x-request-id": request_id,
                    "idempotency-key": request_id,
                    **self._entry_headers(),
                },
                timeout_ms=settings.deadline_ms + settings.idle_timeout_ms,
            )
            if called.is_ok():
                response = called.unwrap()
                if response.status < 300:
                    result.outcome = Outcome.COMPLETE
                    if request_id not in response.body.decode("utf-8", "replace"):
                        result.outcome = Outcome.WRONG
                    return result
                error = _error_of(response.body)
                # A refusal of a repeated call says nothing about the first one.
                if error.get("ran") == "no" and not sent:
                    result.outcome, result.kind = Outcome.REFUSED, str(error.get("kind"))
                return result
            sent = sent or called.unwrap_err().kind is not ErrorKind.UPSTREAM_UNREACHABLE
            self._book.failed(address)
            await sleep_ms(_RETRY_DELAY_MS)
        if not sent:
            result.outcome, result.kind = Outcome.REFUSED, ErrorKind.UPSTREAM_UNREACHABLE.value
        return result


def _failed(
    result: RequestResult, verifier: ResponseVerifier, error: dict[str, Any]
) -> RequestResult:
    result.kind, result.detail = str(error.get("kind")), str(error.get("message"))
    if verifier.offset:
        result.outcome = Outcome.TRUNCATED
    elif error.get("ran") == "no":
        result.outcome = Outcome.REFUSED
    return result


async def _error(opened: OpenResponse) -> dict[str, Any]:
    body = b""
    with trio.move_on_after(_ERROR_BODY_TIMEOUT_S):
        async for chunk in opened.chunks():
            body += chunk
    return _error_of(body)


def _error_of(body: bytes) -> dict[str, Any]:
    try:
        error = json.loads(body)["error"]
    except (ValueError, KeyError, TypeError):
        return {}
    return error if isinstance(error, dict) else {}
