"""Call HTTP interfaces through httpcore and tell whether any byte was sent."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import attrs
import httpcore
import trio
from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure
from briardyke.http.buffers import BufferBudget
from briardyke.http.exchange import LAST_STATUS
from briardyke.http.paced import PacedStream
from briardyke.http.pool import ConnectionPool
from briardyke.turns import ReaderTurns

if TYPE_CHECKING:
    from briardyke.addresses import Address

CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# All responses that are being read together.
_MAX_BUFFERED_BYTES = 64 * 1024 * 1024
# Interim responses without an end break the silence, so the time to a response is limited as well.
_HEAD_TIMEOUTS = 2.0
_MAX_CONNECTIONS = 2000
_MAX_IDLE_CONNECTIONS = 200
_IDLE_EXPIRY_S = 10.0


class CallError(Exception):
    """Report a call that broke, with a failure that says whether it can have run.

    :param failure: ``upstream_unreachable`` when no byte was sent, else ``upstream_failed``.
    """

    def __init__(self, failure: Failure) -> None:
        """Keep the failure."""
        super().__init__(failure.message)
        self.failure = failure


@attrs.frozen
class WholeResponse:
    """Carry a complete HTTP response.

    :param status: HTTP status code.
    :param headers: headers by lower-case name.
    :param body: bytes of the body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the parsed body.

        :raises ValueError: when the body is not JSON.
        """
        return json.loads(self.body)


@attrs.define
class OpenResponse:
    """Carry a response whose body is still arriving.

    :param status: HTTP status code.
    :param headers: headers by lower-case name.
    """

    status: int
    headers: Mapping[str, str]
    _response: httpcore.Response = attrs.field(alias="response")

    def pace_reads(self, interval_ms: float) -> None:
        """Read the rest of the body at most once per interval.

        While an interval is set, the reader bounds the silence on the connection itself.

        :param interval_ms: the interval, in milliseconds; 0 to read as data arrives.
        """
        stream = self._response.extensions["network_stream"]
        if isinstance(stream, PacedStream):
            stream.interval_s = interval_ms / 1000.0

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        :raises CallError: of kind ``upstream_failed`` when the connection breaks.
        """
        turns = ReaderTurns()
        try:
            async for chunk in self._response.aiter_stream():
                turns.charge()
                yield chunk
                await turns.wait_if_due()
        except _BROKEN as error:
            raise CallError(_failure(error, bytes_sent=True)) from error


_BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, OSError)


class HttpClient:
    """Keep a pool of connections to any number of addresses."""

    def __init__(self) -> None:
        """Create the pool; connections open on demand."""
        self._buffers = BufferBudget(_MAX_BUFFERED_BYTES)
        self._pool = ConnectionPool(_MAX_CONNECTIONS, _MAX_IDLE_CONNECTIONS, _IDLE_EXPIRY_S)

    @asynccontextmanager
    async def open(
        self,
        method: str,
        address: Address,
        target: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_ms: float,
    ) -> AsyncIterator[OpenResponse]:
        """Send a request and yield the response before its body is read.

        :param method: HTTP method.
        :param address: where to connect.
        :param target: path with query.
        :param body: request body.
        :param headers: request headers.
        :param timeout_ms: longest silence on the connection, in milliseconds.
        :raises CallError: when the call breaks before the response starts.
        """
        sent = _SentTracker()
        timeout_s = timeout_ms / 1000.0
        extensions = {
            "timeout": {
                "connect": min(CONNECT_TIMEOUT_S, timeout_s),
                "read": timeout_s,
                "write": timeout_s,
                "pool": timeout_s,
            },
            "trace": sent.trace,
        }
        encoded = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in (headers or {}).items()]
        encoded.append((b"host", str(address).encode()))
        if body or method in ("POST", "PUT", "PATCH"):
            encoded.append((b"content-length", str(len(body)).encode()))
        request = httpcore.Request(
            method,
            f"http://{address}{target}",
            headers=encoded,
            content=body,
            extensions=extensions,
        )
        try:
            connection = await self._pool.acquire(address, request.url.origin, timeout_s)
        except _BROKEN as error:
            raise CallError(_failure(error, bytes_sent=False)) from error
        try:
            try:
                with trio.fail_after(_HEAD_TIMEOUTS * timeout_s):
                    response = await connection.handle_async_request(request)
            except (*_BROKEN, trio.TooSlowError) as error:
                raise CallError(_failure(error, sent.bytes_sent)) from error
            if response.status > LAST_STATUS:
                await response.aclose()
                text = f"status {response.status}"
                raise CallError(Failure(ErrorKind.UPSTREAM_FAILED, text))
            received = {
                k.decode("latin-1").lower(): v.decode("latin-1") for k, v in response.headers
            }
            opened = OpenResponse(response.status, received, response)
            try:
                yield opened
            finally:
                opened.pace_reads(0.0)
                await response.aclose()
        finally:
            await self._pool.release(address, connection)

    async def call(
        self,
        method: str,
        address: Address,
        target: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_ms: float,
    ) -> Result[WholeResponse, Failure]:
        """Send a request and read the whole response; parameters as for :meth:`open`."""
        buffer = self._buffers.open()
        try:
            async with self.open(
                method, address, target, body=body, headers=headers, timeout_ms=timeout_ms
            ) as opened:
                received = bytearray()
                async for chunk in opened.chunks():
                    received += chunk
                    if not buffer.grow(len(chunk)):
                        text = "no memory is left for long responses"
                        return Err(Failure(ErrorKind.UPSTREAM_FAILED, text))
                    if len(received) > MAX_RESPONSE_BYTES:
                        text = f"response is over {MAX_RESPONSE_BYTES} bytes"
                        return Err(Failure(ErrorKind.UPSTREAM_FAILED, text))
                return Ok(WholeResponse(opened.status, opened.headers, bytes(received)))
        except CallError as error:
            return Err(error.failure)
        finally:
            buffer.release()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


class _SentTracker:
    """Remember whether a request's first byte may have left."""

    def __init__(self) -> None:
        self.bytes_sent = False

    async def trace(self, name: str, info: Any) -> None:
        if name.endswith("send_request_headers.started"):
            self.bytes_sent = True


def _failure(error: BaseException, bytes_sent: bool) -> Failure:
    kind = ErrorKind.UPSTREAM_FAILED if bytes_sent else ErrorKind.UPSTREAM_UNREACHABLE
    return Failure(kind, f"call failed: {type(error).__name__}")
