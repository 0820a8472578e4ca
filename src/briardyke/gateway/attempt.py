"""Send one request to one upstream and return the outcome."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.clock import now_ms
from briardyke.gateway.dialect import ResponseMetadata
from briardyke.gateway.dispatch_client import Dispatch
from briardyke.http.exchange import header
from briardyke.http.h11_client import Fault, UpstreamConnection, UpstreamError, UpstreamHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.gateway.dialect import Dialect, ForwardingMetadata
    from briardyke.gateway.upstreams import UpstreamState
    from briardyke.http.buffers import ResponseBuffer
    from briardyke.http.exchange import Headers, HttpRequest

# Largest body of a refusal. The body of any other response that is not an event stream is buffered
# as well, and may be 16 times as long.
MAX_BUFFERED_BYTES = 256 * 1024
# Statuses that tell callers that a request was not executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# The upstream may close a keep-alive connection that has been idle for longer just as a request is
# sent. The outcome of a request that must not run twice is then unknown, so such requests use only
# connections that have been idle for a shorter time.
MAX_IDLE_MS = 10_000.0
MAX_IDLE_NOT_RETRYABLE_MS = 1500.0


class Ending(Enum):
    """Outcome of an attempt before anything is forwarded to the caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_CONNECTED = "not_connected"
    WITHDRAWN = "withdrawn"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


@attrs.define
class AttemptResult:
    """Result of one attempt.

    :param ending: how it ended.
    :param reason: explanation for the log.
    :param head: response head, if one was received.
    :param body: complete body, if it was buffered.
    :param metadata: values from the response headers.
    :param connection: open connection of a streamed response.
    :param is_lost: whether the upstream ended the connection before its response was complete.
    :param dispatch: place of a streamed response on its engine, if the coordinator assigned it.
    """

    ending: Ending
    reason: str = ""
    head: UpstreamHead | None = None
    body: bytes = b""
    metadata: ResponseMetadata | None = None
    connection: UpstreamConnection | None = None
    is_lost: bool = False
    dispatch: Dispatch | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have worked on the request."""
        return self.ending in (Ending.ANSWERED, Ending.FAILED, Ending.TIMED_OUT)


class AttemptRunner:
    """Run attempts over the connection pools of upstreams."""

    def __init__(
        self, dialect: Dialect, on_head: Callable[[UpstreamState, ResponseMetadata, float], None]
    ) -> None:
        """Translate headers with a dialect.

        :param dialect: translates the headers of callers and upstreams.
        :param on_head: called with each response head and the time at which its request was sent.
        """
        self._dialect = dialect
        self._on_head = on_head

    async def run(
        self,
        state: UpstreamState,
        request: HttpRequest,
        request_id: str,
        call: ForwardingMetadata,
        timeout_ms: float,
        *,
        is_retryable: bool,
        buffer: ResponseBuffer,
        nursery: trio.Nursery,
        on_sent: Callable[[], None] | None = None,
        scope: trio.CancelScope | None = None,
    ) -> AttemptResult:
        """Send the request and read the response head, and the body unless it is a stream.

        :param state: the upstream.
        :param request: request as the caller sent it.
        :param request_id: its id, which the response repeats.
        :param call: values for the headers that the gateway sets.
        :param timeout_ms: time limit for the attempt up to the response head, or to the end of a
            buffered body.
        :param is_retryable: whether a request with unknown outcome can be sent again.
        :param buffer: share of the request in what the process may buffer.
        :param nursery: runs the task that writes a long body.
        :param on_sent: called once the upstream may start to work on the request.
        :param scope: ends the attempt when it is cancelled.
        """
        max_idle_ms = MAX_IDLE_MS if is_retryable else MAX_IDLE_NOT_RETRYABLE_MS
        connection = None
        keeps_open = False
        try:
            with scope or trio.CancelScope() as limit:
                limit.deadline = trio.current_time() + timeout_ms / 1000.0
                connection = await state.pool.take(max_idle_ms, request_id)
                if not state.statements.wants_requests:
                    keeps_open = True
                    state.pool.give_back(connection)
                    reason = "it stated meanwhile that it wants no requests"
                    return AttemptResult(Ending.WITHDRAWN, reason)
                headers = self._dialect.upstream_headers(request, call)
                sent_ms = now_ms()
                await connection.send(
                    request.method, request.target, headers, request.body, nursery
                )
                if on_sent is not None:
                    on_sent()
                attempt = await self._read(state, connection, request_id, sent_ms, buffer)
                keeps_open = attempt.connection is not None or self._return_to_pool(
                    state, connection, attempt
                )
                return attempt
            if connection is None:
                return AttemptResult(Ending.NOT_CONNECTED, "no connection before the timeout")
            return AttemptResult(Ending.TIMED_OUT, "no response in time")
        except UpstreamError as error:
            not_connected = error.fault is Fault.NOT_CONNECTED
            if connection is not None and connection.was_dropped_at_rest:
                state.pool.rest_limit.learn(connection.rested_ms)
            ending = Ending.NOT_CONNECTED if not_connected else Ending.FAILED
            is_lost = connection is not None and connection.has_ended
            return AttemptResult(ending, str(error), is_lost=is_lost)
        finally:
            if connection is not None and not keeps_open:
                await connection.aclose()

    def _return_to_pool(
        self, state: UpstreamState, connection: UpstreamConnection, attempt: AttemptResult
    ) -> bool:
        if attempt.head is None or not connection.finish(attempt.head):
            return False
        state.pool.give_back(connection)
        return True

    def _belongs_to(self, headers: Headers, request_id: str) -> bool:
        return self._dialect.read_response(0, headers).request_id in ("", request_id)

    async def _read(
        self,
        state: UpstreamState,
        connection: UpstreamConnection,
        request_id: str,
        sent_ms: float,
        buffer: ResponseBuffer,
    ) -> AttemptResult:
        head = await connection.read_head(lambda headers: self._belongs_to(headers, request_id))
        metadata = self._dialect.read_response(head.status, head.headers)
        if connection.needs_ids and not metadata.request_id:
            # It may be a duplicate of an earlier response, so it proves nothing about this request.
            raise UpstreamError(
                Fault.MALFORMED, "response without a request id after other responses"
            )
        self._on_head(state, metadata, sent_ms)
        if metadata.is_refusal:
            connection.record_refusal(request_id)
            body = await connection.read_body(MAX_BUFFERED_BYTES, buffer)
            return AttemptResult(Ending.REFUSED, f"status {head.status}", head, body, metadata)
        if head.status < 300 and not metadata.is_signed:
            raise UpstreamError(Fault.MALFORMED, "successful response without a signature")
        if head.status < 300 and header(head.headers, b"content-encoding"):
            raise UpstreamError(Fault.MALFORMED, "response body has a content encoding")
        media_type = header(head.headers, b"content-type") or b""
        if head.status < 300 and media_type.startswith(b"text/event-stream"):
            return AttemptResult(Ending.ANSWERED, "", head, b"", metadata, connection)
        body = await connection.read_body(MAX_BUFFERED_BYTES * 16, buffer)
        return AttemptResult(Ending.ANSWERED, "", head, body, metadata)
