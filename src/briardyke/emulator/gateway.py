"""Connect the gateway's decisions to emulated engines and callers, without HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.clock import now_ms, sleep_ms
from briardyke.emulator.engine import EmulatedEngine, Job
from briardyke.emulator.experiment import RequestModel
from briardyke.gateway.attempt import AttemptResult, AttemptRunner, Ending
from briardyke.gateway.dialect import (
    ForwardingMetadata,
    LoadReport,
    RelayedCall,
    RequestMetadata,
    ResponseMetadata,
)
from briardyke.http.h11_client import Fault, UpstreamConnection, UpstreamError, UpstreamHead

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from briardyke.gateway.upstreams import UpstreamState
    from briardyke.http.buffers import ResponseBuffer
    from briardyke.http.exchange import Headers, HttpRequest

# Time of a message between an entry instance and an engine.
_HOP_MS = 1.5


@attrs.frozen
class Call:
    """A caller's request.

    :param request_id: id of this attempt.
    :param kind: kind of request.
    :param model: model that it asks for.
    :param prompt_tokens: length of its prompt.
    :param events: events of its answer.
    :param deadline_ms: time that the caller still waits.
    """

    request_id: str
    kind: RequestModel
    model: str
    prompt_tokens: float
    events: int
    deadline_ms: float


class CallDialect:
    """Read the metadata of a request from the call with its id."""

    def __init__(self) -> None:
        self.calls: dict[str, Call] = {}

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Return the call's metadata."""
        call = self.calls[request.headers[-1][1].decode()]
        return RequestMetadata(
            call.request_id,
            call.deadline_ms,
            call.model,
            prompt_tokens=int(call.prompt_tokens),
        )

    def upstream_headers(self, request: HttpRequest, call: ForwardingMetadata) -> Headers:
        """Return nothing: emulated engines read the call itself."""
        return []

    def relayed_headers(self, request: HttpRequest, call: RelayedCall) -> Headers:
        """Return nothing: emulated instances do not lose their links."""
        return []

    def answered_by(self, upstream_id: str) -> Headers:
        """Return nothing, for the same reason."""
        return []

    def without_relay_headers(self, headers: Headers) -> Headers:
        """Return the headers as they are."""
        return headers

    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return what an engine answers without a load report."""
        return ResponseMetadata("", status in (421, 503), True, status == 421)


class EmulatedStream(UpstreamConnection):
    """Events of one request in an engine."""

    def __init__(self, engine: EmulatedEngine, job: Job) -> None:
        self._engine, self._job = engine, job
        self._number = 0

    async def read_part(self) -> bytes | None:
        """Return the next events, or ``None`` at the end."""
        while not self._job.ready:
            if self._job.is_broken:
                raise UpstreamError(Fault.BROKEN, "the engine is lost")
            if self._job.is_over:
                return None
            await self._job.changed.wait()
        count, self._job.ready = self._job.ready, 0
        self._number += count
        return b"id: %d\n\n" % self._number * count

    def finish(self, head: UpstreamHead) -> bool:
        """Return that the connection is not kept."""
        return False

    async def aclose(self) -> None:
        """Stop work on the request."""
        self._engine.cancel(self._job)


class EmulatedAttempts(AttemptRunner):
    """Send requests to emulated engines."""

    def __init__(self, dialect: CallDialect, engines: Mapping[str, EmulatedEngine]) -> None:
        """Send to the given engines."""
        super().__init__(dialect, lambda *_: None)
        self._calls, self._engines = dialect.calls, engines

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
        """Submit the request and wait for its first event."""
        await sleep_ms(_HOP_MS)
        engine = self._engines.get(state.row.upstream_id)
        if engine is None or engine.is_lost:
            return AttemptResult(Ending.NOT_CONNECTED, "the engine is lost")
        asked = self._calls[request_id]
        job = Job(asked.model, asked.prompt_tokens, asked.events, call.priority)
        status = engine.submit(job)
        if on_sent is not None:
            on_sent()
        load = LoadReport(len(engine.running), len(engine.waiting), state.row.slots)
        if status != 200:
            refused = ResponseMetadata(request_id, True, True, status == 421, load)
            return AttemptResult(Ending.REFUSED, f"status {status}", metadata=refused)
        is_kept = False
        try:
            with scope or trio.CancelScope() as limit:
                limit.deadline = trio.current_time() + timeout_ms / 1000.0
                while not job.ready and not job.is_over:
                    await job.changed.wait()
                if job.is_broken:
                    return AttemptResult(Ending.FAILED, "the engine is lost")
                load = LoadReport(len(engine.running), len(engine.waiting), state.row.slots)
                is_kept = True
                return AttemptResult(
                    Ending.ANSWERED,
                    head=UpstreamHead(200, []),
                    metadata=ResponseMetadata(request_id, False, True, load=load),
                    connection=EmulatedStream(engine, job),
                )
            return AttemptResult(Ending.TIMED_OUT, "no response in time")
        finally:
            if not is_kept:
                engine.cancel(job)


@attrs.define
class CallerAnswer:
    """What a caller receives.

    :param status: status of the answer, 0 before it.
    :param retry_after_ms: time after which the caller may return, if it was told one.
    :param first_ms: time of the first event.
    :param last_ms: time of the last event.
    :param longest_pause_ms: longest time between two events.
    :param is_complete: whether the answer has ended normally.
    :param is_caller_gone: whether the caller has left.
    :param sent_bytes: size of the events received.
    """

    status: int = 0
    retry_after_ms: float | None = None
    first_ms: float | None = None
    last_ms: float = 0.0
    longest_pause_ms: float = 0.0
    is_complete: bool = False
    is_caller_gone: bool = True  # an emulated request is interrupted only by its caller
    sent_bytes: int = 0
    progressed: trio.Event = attrs.field(factory=trio.Event)

    async def start(self, status: int, headers: Headers) -> None:
        """Record the status."""
        self.status = status

    async def send_part(self, data: bytes) -> None:
        """Record the time of an event."""
        now = now_ms()
        if self.first_ms is None:
            self.first_ms = now
        else:
            self.longest_pause_ms = max(self.longest_pause_ms, now - self.last_ms)
        self.last_ms = now
        self.sent_bytes += len(data)
        self.progressed.set()

    async def finish(self) -> None:
        """Record the end."""
        self.is_complete = True

    async def send_whole(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Record a refusal."""
        self.status = status
        after = next((value for name, value in headers if name == b"retry-after"), None)
        self.retry_after_ms = float(after) * 1000.0 if after else None
