"""Forward admitted requests to upstreams, and their responses to callers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import trio
from result import Err, Ok, Result

from briardyke.clock import now_ms
from briardyke.entry.relay_attempts import ModelAttempts
from briardyke.entry.relay_jobs import (
    ModelJob,
    ModelResponse,
    RelayPolicy,
    ServiceJob,
    ServiceResponse,
)
from briardyke.entry.relay_services import ServiceCalls
from briardyke.errors import ErrorKind, Failure
from briardyke.http.app import error_body
from briardyke.http.sse import DONE, ServerSentEvent
from briardyke.logs import log_error

if TYPE_CHECKING:
    from briardyke.entry.interfaces import RelayClaimClient, RelayRetryBudget, RelayRoutingTable
    from briardyke.entry.reassembly import CallerEvent
    from briardyke.http.client import HttpClient

_DONE_EVENT = ServerSentEvent(DONE).encode()
_INTERRUPTED = Failure(ErrorKind.ANSWER_TRUNCATED, "entry process stopped the request")
_WHOLE_OBJECT_NAMES = {"chat.completion.chunk": "chat.completion"}


class Relay:
    """Forward requests to upstreams; streams need :meth:`run` to be running in a nursery."""

    def __init__(
        self,
        table: RelayRoutingTable,
        client: HttpClient,
        budget: RelayRetryBudget,
        claims: RelayClaimClient,
        policy: RelayPolicy | None = None,
    ) -> None:
        """Set up the relay.

        :param table: selects upstreams.
        :param client: connects to upstreams.
        :param budget: limits retries.
        :param claims: ensures that a non-idempotent call with a key runs at most once.
        :param policy: limits and timeouts; ``None`` for the defaults.
        """
        self._policy = policy or RelayPolicy()
        self._attempts = ModelAttempts(table, client, budget, self._policy)
        self._services = ServiceCalls(table, client, budget, claims, self._policy)
        self._nursery: trio.Nursery | None = None

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the tasks of open streams until cancelled.

        Attempts run in this nursery, because the task that iterates over a response cannot keep a
        nursery open between two chunks.
        """
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    def stream(self, job: ModelJob) -> RelayStream:
        """Return the response as server-sent events.

        :param job: the request.
        :return: an asynchronous iterator of bytes. An incomplete response ends with an ``error``
            event and without ``[DONE]``. Closing it cancels the request at the upstream.
        """
        if self._nursery is None:
            raise RuntimeError("Relay.run is not running")
        return RelayStream(job, self._attempts, self._policy, self._nursery)

    async def complete(self, job: ModelJob) -> Result[ModelResponse, Failure]:
        """Return the response as one document, or the failure to report."""
        collected = _ResponseCollector()
        failure = await self._attempts.run(job, collected)
        if failure is not None:
            return Err(failure)
        return Ok(collected.response())

    async def call_service(self, job: ServiceJob) -> Result[ServiceResponse, Failure]:
        """Call a plain service; a call that holds the claim of its key is finished even when
        the caller disconnects, so that its response can be stored.
        """
        return await self._services.call(job)


class RelayStream:
    """Iterator over one response; tokens that arrive close together are joined into one chunk.

    :ivar failure: how the response ended; ``None`` once it is complete.
    :ivar tokens: tokens received so far.
    """

    def __init__(
        self, job: ModelJob, attempts: ModelAttempts, policy: RelayPolicy, nursery: trio.Nursery
    ) -> None:
        """Set up the stream; the first :meth:`start` or ``__anext__`` dispatches the request."""
        self._job = job
        self._attempts = attempts
        self._policy = policy
        self._nursery = nursery
        self._scope = trio.CancelScope()
        self._started = False
        self._pending: list[bytes] = []
        self._buffered_bytes = 0
        self.failure: Failure | None = _INTERRUPTED
        self.tokens = 0
        self._event_arrived = trio.Event()
        self._buffer_emptied = trio.Event()
        self._ended = trio.Event()
        self._last_write_at_ms: float | None = None
        self._exhausted = False

    async def start(self) -> Result[None, Failure]:
        """Wait for the first token.

        :return: the failure when no token will come; the caller can then still be sent an error
            status.
        """
        await self._wait_for_events()
        if self._pending or self.failure is None:
            return Ok(None)  # without pending events the response is complete
        self._exhausted = True
        return Err(self.failure)

    def __aiter__(self) -> RelayStream:
        """Return the stream itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk of events."""
        if self._exhausted:
            raise StopAsyncIteration
        await self._wait_for_events()
        # The wait starts only after a token has arrived: slow tokens then need no timer.
        if self._last_write_at_ms is not None:
            remaining_ms = self._last_write_at_ms + self._policy.coalesce_ms - now_ms()
            if remaining_ms > 0:
                with trio.move_on_after(remaining_ms / 1000.0):
                    await self._ended.wait()
        chunk = b"".join(self._pending)
        self._pending.clear()
        self._buffered_bytes = 0
        self._buffer_emptied.set()
        if self._ended.is_set():
            self._exhausted = True
            chunk += self._end_event()
        self._last_write_at_ms = now_ms()
        return chunk

    async def aclose(self) -> None:
        """Cancel the request at the upstream."""
        self._exhausted = True
        self._scope.cancel()

    def put(self, caller_event: CallerEvent) -> None:
        """Buffer the next event from the attempts."""
        data = caller_event.encode()
        self.tokens = caller_event.offset - self._job.offset_tokens
        self._pending.append(data)
        self._buffered_bytes += len(data)
        self._event_arrived.set()

    async def wait_for_room(self) -> None:
        """Wait while more than the limit is buffered for a slow caller."""
        while self._buffered_bytes > self._policy.buffer_limit_bytes:
            self._buffer_emptied = trio.Event()
            await self._buffer_emptied.wait()

    async def _wait_for_events(self) -> None:
        if not self._started:
            self._started = True
            self._nursery.start_soon(self._run)
        try:
            while not self._pending and not self._ended.is_set():
                self._event_arrived = trio.Event()
                await self._event_arrived.wait()
        except trio.Cancelled:
            self._scope.cancel()
            raise

    async def _run(self) -> None:
        try:
            with self._scope:
                self.failure = await self._attempts.run(self._job, self)
        except Exception as error:  # one failing stream must not end those of other callers
            log_error("relay_defect", request_id=self._job.request_id, error=repr(error))
            self.failure = Failure(ErrorKind.INTERNAL, "internal error")
        finally:
            self._ended.set()
            self._event_arrived.set()

    def _end_event(self) -> bytes:
        if self.failure is None:
            return _DONE_EVENT
        body = json.dumps(error_body(self.failure, self._job.request_id))
        return ServerSentEvent(body, event="error").encode()


class _ResponseCollector:
    """Join the events of a response that is not streamed."""

    def __init__(self) -> None:
        self._texts: list[str] = []
        self._last: CallerEvent | None = None

    def put(self, caller_event: CallerEvent) -> None:
        self._texts.append(caller_event.text)
        self._last = caller_event

    async def wait_for_room(self) -> None:
        pass

    def response(self) -> ModelResponse:
        assert self._last is not None, "a complete response has a final event"
        document = dict(self._last.document)
        text = "".join(self._texts)
        chat = document["object"] in _WHOLE_OBJECT_NAMES
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": document["choices"][0]["finish_reason"],
        }
        choice |= {"message": {"role": "assistant", "content": text}} if chat else {"text": text}
        document["object"] = _WHOLE_OBJECT_NAMES.get(document["object"], document["object"])
        document["choices"] = [choice]
        return ModelResponse(document, self._last.offset)
