"""Route HTTP requests to handlers as an ASGI application, with bounds on size and time."""

from __future__ import annotations

import json
import logging
import re
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from functools import singledispatch
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, unquote

import attrs
import trio
from hypercorn.config import Config, Sockets
from hypercorn.trio import serve
from result import Err, Ok, Result

from briardyke.clock import now_ms
from briardyke.errors import ErrorKind, Failure
from briardyke.http.memory_budget import Kind, MemoryBudget
from briardyke.http.memory_queue import MemoryQueue
from briardyke.http.sockets import bound_receive_buffer
from briardyke.logs import log_error, log_warning

if TYPE_CHECKING:
    from briardyke.addresses import Address
    from briardyke.http.memory_budget import Share

DEFAULT_BODY_LIMIT_BYTES = 4 * 1024 * 1024
DEFAULT_BODY_TIMEOUT_S = 10.0
_KEEP_ALIVE_TIMEOUT_S = 30
# A caller that is still sending when the connection closes sees a reset instead of the answer, so
# this much of a body over the limit is read and thrown away.
_DISCARD_LIMIT_BYTES = 16 * 1024 * 1024
# Hypercorn queues this many pieces of a body that is not being read, of up to 64 KiB each.
_QUEUED_PIECES = 1
# Room for a body of unknown length is asked for in steps of this size.
_STEP_BYTES = 64 * 1024
_JSON_HEADERS = {"content-type": "application/json"}

AsgiReceive = Callable[[], Awaitable[Any]]
AsgiSend = Callable[[dict[str, Any]], Awaitable[None]]


@attrs.frozen
class Response:
    """Answer with a complete body.

    :param status: HTTP status code.
    :param body: bytes of the body.
    :param headers: headers by lower-case name.
    """

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class StreamResponse:
    """Answer with a body that is produced piece by piece.

    :param chunks: yields the pieces; it is closed when the caller disconnects.
    :param status: HTTP status code.
    :param headers: headers by lower-case name.
    """

    chunks: AsyncIterator[bytes]
    status: int = 200
    headers: Mapping[str, str] = attrs.field(factory=dict)


AnyResponse = Response | StreamResponse


@attrs.define
class Request:
    """Carry one HTTP request.

    :param method: upper-case method.
    :param path: decoded path.
    :param query: query parameters.
    :param headers: headers by lower-case name.
    :param path_values: values of the route's placeholders.
    :param body: complete body, read by the application before the handler runs.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    path_values: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""

    def json_object(self) -> Result[dict[str, Any], Failure]:
        """Return the body as a JSON object, or a failure that names the position."""
        try:
            value = json.loads(self.body)
        except (ValueError, RecursionError) as error:
            text = f"body is not valid JSON: {error}"
            return Err(Failure(ErrorKind.MALFORMED_REQUEST, text, "body"))
        if not isinstance(value, dict):
            return Err(Failure(ErrorKind.MALFORMED_REQUEST, "body is not a JSON object", "body"))
        return Ok(value)


HttpHandler = Callable[[Request], Awaitable[AnyResponse]]


def json_response(value: Any, status: int = 200, headers: Mapping[str, str] = {}) -> Response:
    """Return a response with a JSON body."""
    return Response(status, json.dumps(value).encode(), {**_JSON_HEADERS, **headers})


def error_body(failure: Failure, request_id: str = "") -> dict[str, Any]:
    """Return the JSON body that reports a failure."""
    answer = failure.answer
    body: dict[str, Any] = {
        "kind": failure.kind.value,
        "message": failure.message,
        "field": failure.field,
        "retryable": answer.retryable,
        "ran": answer.ran.value,
        "request_id": request_id,
    }
    if failure.reasons:
        body["reasons"] = list(failure.reasons)
    return {"error": body}


def error_response(failure: Failure, request_id: str = "") -> Response:
    """Return the response that reports a failure, with ``Retry-After`` when it is known."""
    headers = {"x-request-id": request_id} if request_id else {}
    if failure.retry_after_ms is not None:
        headers["retry-after"] = str(max(1, -(-failure.retry_after_ms // 1000)))
    return json_response(error_body(failure, request_id), failure.answer.http_status, headers)


@attrs.frozen
class _Route:
    method: str
    pattern: re.Pattern[str]
    handler: HttpHandler
    cancel_on_disconnect: bool


class HttpApp:
    """Dispatch requests by method and path."""

    def __init__(
        self,
        body_limit_bytes: int = DEFAULT_BODY_LIMIT_BYTES,
        body_timeout_s: float = DEFAULT_BODY_TIMEOUT_S,
        memory: MemoryQueue | None = None,
    ) -> None:
        """Set the bounds on request bodies.

        :param body_limit_bytes: largest accepted body.
        :param body_timeout_s: longest time to receive a body, in seconds.
        :param memory: memory budget of the process; by default one of its own.
        """
        self.memory = memory or MemoryQueue(MemoryBudget())
        self._routes: list[_Route] = []
        self._body_limit_bytes = body_limit_bytes
        self._body_timeout_s = body_timeout_s

    def route(
        self, method: str, path: str, handler: HttpHandler, *, cancel_on_disconnect: bool = False
    ) -> None:
        """Register a handler.

        :param method: upper-case method, or ``*`` for any.
        :param path: path with ``{name}`` for one segment or ``{name*}`` for the rest.
        :param handler: called with the request after its body was read.
        :param cancel_on_disconnect: cancel the handler when the caller disconnects; for handlers
            whose work is wanted only by that caller.
        """
        escaped = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.*)", path)
        pattern = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", escaped)
        self._routes.append(_Route(method, re.compile(pattern), handler, cancel_on_disconnect))

    async def __call__(self, scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        share = self.memory.budget.open(Kind.REQUESTS)
        try:
            response = await self._respond(scope, receive, share)
            if response is not None:
                await send_response(response, receive, send)
        finally:
            share.release()

    async def _respond(
        self, scope: dict[str, Any], receive: AsgiReceive, share: Share
    ) -> AnyResponse | None:
        request = _request(scope)
        found = self._find(request)
        if found.is_err():
            return error_response(found.unwrap_err())
        body = await self._read_body(request, receive, share)
        share.is_reading = False
        if body.is_err():
            return error_response(body.unwrap_err())
        request.body = body.unwrap()
        try:
            route = found.unwrap()
            if route.cancel_on_disconnect:
                return await _handle_while_connected(route.handler, request, receive)
            return await route.handler(request)
        except Exception as error:  # a defect in one handler must not end the process
            log_error("handler_defect", path=request.path, error=repr(error))
            return error_response(Failure(ErrorKind.INTERNAL, "internal error"))

    def _find(self, request: Request) -> Result[_Route, Failure]:
        path_known = False
        for route in self._routes:
            match = route.pattern.fullmatch(request.path)
            if match is None:
                continue
            path_known = True
            if route.method in ("*", request.method):
                request.path_values = match.groupdict()
                return Ok(route)
        if path_known:
            text = f"method {request.method} is not allowed here"
            return Err(Failure(ErrorKind.METHOD_NOT_ALLOWED, text, "method"))
        return Err(Failure(ErrorKind.NOT_FOUND, f"no resource at {request.path}", "path"))

    async def _read_body(
        self, request: Request, receive: AsgiReceive, share: Share
    ) -> Result[bytes, Failure]:
        limit = self._body_limit_bytes
        too_large = Err(Failure(ErrorKind.BODY_TOO_LARGE, f"body is over {limit} bytes", "body"))
        no_memory = Err(Failure(ErrorKind.OVERLOADED, "no memory is left for large bodies"))
        size_bytes, room_bytes, body = 0, 0, bytearray()
        announced = request.headers.get("content-length", "")
        is_announced = announced.isascii() and announced.isdigit()
        is_over = is_announced and int(announced) > limit
        # The time limit for the body starts when there is room for it.
        if is_announced and not is_over:
            room_bytes = int(announced)
            growth = room_bytes + room_bytes // 8
            if not await self.memory.reserve(share, growth, self._body_timeout_s):
                return no_memory
        with trio.move_on_after(self._body_timeout_s) as scope:
            share.on_displaced = scope.cancel
            share.begin_reading(now_ms())
            while True:
                event = await receive()
                if event["type"] == "http.disconnect":
                    text = "caller disconnected before the end of the body"
                    return Err(Failure(ErrorKind.MALFORMED_REQUEST, text, "body"))
                piece = event.get("body", b"")
                size_bytes += len(piece)
                if is_over or size_bytes > limit:
                    body.clear()
                    share.shrink(share.held_bytes)
                    if size_bytes > limit + _DISCARD_LIMIT_BYTES:
                        return too_large
                else:
                    while room_bytes < size_bytes:
                        step = _STEP_BYTES + _STEP_BYTES // 8
                        if not await self.memory.reserve(share, step, self._body_timeout_s):
                            return no_memory
                        room_bytes += _STEP_BYTES
                    body += piece
                    share.record_progress(len(piece), now_ms())
                if not event.get("more_body", False):
                    return too_large if is_over or size_bytes > limit else Ok(bytes(body))
        if share.is_displaced:
            return no_memory
        if is_over or size_bytes > limit:
            return too_large
        text = f"body was not complete within {self._body_timeout_s:g} s"
        return Err(Failure(ErrorKind.BODY_TIMEOUT, text, "body"))


def _request(scope: dict[str, Any]) -> Request:
    headers = {k.decode("latin-1").lower(): v.decode("latin-1") for k, v in scope["headers"]}
    query = dict(parse_qsl(scope["query_string"].decode("latin-1"), keep_blank_values=True))
    return Request(scope["method"], unquote(scope["path"]), query, headers)


@singledispatch
async def send_response(response: AnyResponse, receive: AsgiReceive, send: AsgiSend) -> None:
    """Send a response to the ASGI server."""
    raise TypeError(f"not a response: {type(response).__name__}")


@send_response.register
async def _send_whole(response: Response, receive: AsgiReceive, send: AsgiSend) -> None:
    headers = {**response.headers, "content-length": str(len(response.body))}
    await send(_start(response.status, headers))
    await send({"type": "http.response.body", "body": response.body})


@send_response.register
async def _send_stream(response: StreamResponse, receive: AsgiReceive, send: AsgiSend) -> None:
    await send(_start(response.status, response.headers))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
        try:
            async for chunk in response.chunks:
                await send({"type": "http.response.body", "body": chunk, "more_body": True})
            await send({"type": "http.response.body", "body": b"", "more_body": False})
        finally:
            close = getattr(response.chunks, "aclose", None)
            if close is not None:
                with trio.CancelScope(shield=True):
                    await close()
        nursery.cancel_scope.cancel()


async def _handle_while_connected(
    handler: HttpHandler, request: Request, receive: AsgiReceive
) -> AnyResponse | None:
    response: AnyResponse | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
        response = await handler(request)
        disconnected = nursery.cancel_scope.cancel_called
        nursery.cancel_scope.cancel()
        if not disconnected:
            return response
    if isinstance(response, StreamResponse) and hasattr(response.chunks, "aclose"):
        await response.chunks.aclose()
    return None


async def _cancel_on_disconnect(receive: AsgiReceive, scope: trio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


def _start(status: int, headers: Mapping[str, str]) -> dict[str, Any]:
    encoded = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers.items()]
    return {"type": "http.response.start", "status": status, "headers": encoded}


async def _serve_lifespan(receive: AsgiReceive, send: AsgiSend) -> None:
    while True:
        event = await receive()
        await send({"type": event["type"] + ".complete"})
        if event["type"] == "lifespan.shutdown":
            return


class _BoundedConfig(Config):
    """Bound what the kernel keeps unread for a connection."""

    def create_sockets(self) -> Sockets:
        created = super().create_sockets()
        for listener in created.insecure_sockets:
            bound_receive_buffer(listener)
        return created


async def serve_http(
    app: HttpApp,
    address: Address,
    stop: trio.Event,
    graceful_timeout_s: float,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until ``stop`` is set, then finish the requests in flight.

    :param app: the application.
    :param address: where to listen; port 0 picks a free port.
    :param stop: set to stop accepting.
    :param graceful_timeout_s: longest wait for requests in flight, in seconds.
    :param task_status: reports ``ip:port`` once the socket listens.
    :raises OSError: when the address cannot be bound.
    """
    config = _BoundedConfig() if app.memory.budget.bounds_kernel_buffers else Config()
    config.bind = [str(address)]
    config.graceful_timeout = graceful_timeout_s
    config.keep_alive_timeout = _KEEP_ALIVE_TIMEOUT_S
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn")  # keeps the key=value format of the logs
    config.include_server_header = False
    config.max_app_queue_size = _QUEUED_PIECES
    async with trio.open_nursery() as nursery:

        async def wait_for_stop() -> None:
            await stop.wait()

        binds: list[str] = await nursery.start(
            lambda task_status: serve(
                app, config, shutdown_trigger=wait_for_stop, task_status=task_status  # type: ignore
            )
        )
        bound = binds[0].removeprefix("http://")
        if not bound:
            log_warning("listen_address_unknown", requested=address)
        task_status.started(bound or str(address))
