"""Send one request to one upstream and report how that ended."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.gateway.dialect import ResponseMetadata
from briardyke.http.exchange import header
from briardyke.http.h11_client import Fault, UpstreamConnection, UpstreamError, UpstreamHead

if TYPE_CHECKING:
    from briardyke.gateway.dialect import Dialect, ForwardingMetadata
    from briardyke.gateway.tables import UpstreamState
    from briardyke.http.exchange import Headers, HttpRequest

# Answers of plain services are held until they are whole; longer ones are passed on as they come.
MAX_HELD_BYTES = 256 * 1024
# A kept connection that has rested longer may be closed by the upstream at the same moment; a
# request that must not run twice then has an unknown outcome, so it uses only fresher ones.
LONGEST_REST_MS = 10_000.0
LONGEST_REST_ONCE_MS = 1500.0


class Ending(Enum):
    """List how an attempt ends before anything is passed on to the caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_CONNECTED = "not_connected"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


@attrs.define
class Attempt:
    """Hold one attempt.

    :param ending: how it ended.
    :param reason: explanation for the log.
    :param head: head of the answer, if it was answered.
    :param body: whole body, if it was held.
    :param facts: what the answer's headers say.
    :param connection: open connection of a streamed answer.
    """

    ending: Ending
    reason: str = ""
    head: UpstreamHead | None = None
    body: bytes = b""
    facts: ResponseMetadata | None = None
    connection: UpstreamConnection | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have worked on the request."""
        return self.ending in (Ending.ANSWERED, Ending.FAILED, Ending.TIMED_OUT)


class AttemptRunner:
    """Run attempts with the connections and the dialect of an entry instance."""

    def __init__(self, dialect: Dialect) -> None:
        """Speak a dialect."""
        self._dialect = dialect

    async def run(
        self,
        state: UpstreamState,
        request: HttpRequest,
        request_id: str,
        call: ForwardingMetadata,
        timeout_ms: float,
        *,
        is_retryable: bool,
        nursery: trio.Nursery,
    ) -> Attempt:
        """Send the request and read the head, and the body unless it is a stream.

        :param state: the upstream.
        :param request: what the caller sent.
        :param request_id: its id, which the answer repeats.
        :param call: what the gateway adds.
        :param timeout_ms: longest wait for the head, in milliseconds.
        :param is_retryable: whether a request with unknown outcome can be sent again.
        :param nursery: runs the writing of long bodies.
        """
        rest_ms = LONGEST_REST_MS if is_retryable else LONGEST_REST_ONCE_MS
        connection = None
        is_kept = False
        try:
            with trio.move_on_after(timeout_ms / 1000.0):
                connection = await state.pool.take(rest_ms)
                headers = self._dialect.upstream_headers(request, call)
                await connection.send(
                    request.method, request.target, headers, request.body, nursery
                )
                attempt = await self._read(connection, request_id)
                is_kept = attempt.connection is not None or self._keep(state, connection, attempt)
                return attempt
            if connection is None:
                return Attempt(Ending.NOT_CONNECTED, "no connection before the timeout")
            return Attempt(Ending.TIMED_OUT, f"no answer within {timeout_ms:.0f} ms")
        except UpstreamError as error:
            not_connected = error.fault is Fault.NOT_CONNECTED
            if connection is not None and connection.was_dropped_at_rest:
                state.pool.rest_limit.learn(connection.rested_ms)
            ending = Ending.NOT_CONNECTED if not_connected else Ending.FAILED
            return Attempt(ending, str(error))
        finally:
            if connection is not None and not is_kept:
                await connection.aclose()

    def _keep(self, state: UpstreamState, connection: UpstreamConnection, attempt: Attempt) -> bool:
        if attempt.head is None or not connection.finish(attempt.head):
            return False
        state.pool.give_back(connection)
        return True

    def _is_own(self, headers: Headers, request_id: str) -> bool:
        return self._dialect.read_response(0, headers).request_id in ("", request_id)

    async def _read(self, connection: UpstreamConnection, request_id: str) -> Attempt:
        head = await connection.read_head(lambda headers: self._is_own(headers, request_id))
        facts = self._dialect.read_response(head.status, head.headers)
        if connection.is_reused and not facts.request_id:
            # It may be a second copy of an earlier answer, so it proves nothing about this one.
            raise UpstreamError(Fault.MALFORMED, "answer without an id on a kept connection")
        if facts.is_refusal:
            body = await connection.read_body(MAX_HELD_BYTES)
            return Attempt(Ending.REFUSED, f"status {head.status}", head, body, facts)
        if head.status < 300 and not facts.is_signed:
            raise UpstreamError(Fault.MALFORMED, "success without a signature")
        if head.status < 300 and header(head.headers, b"content-encoding"):
            raise UpstreamError(Fault.MALFORMED, "encoded body")
        kind = header(head.headers, b"content-type") or b""
        if head.status < 300 and kind.startswith(b"text/event-stream"):
            return Attempt(Ending.ANSWERED, "", head, b"", facts, connection)
        body = await connection.read_body(MAX_HELD_BYTES * 16)
        return Attempt(Ending.ANSWERED, "", head, body, facts)
