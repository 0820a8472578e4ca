"""Relay admitted requests to upstreams and their responses to callers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import trio
from result import Err, Ok, Result

from briardyke.clock import now_ms
from briardyke.entry.relay_attempts import ModelAttempts
from briardyke.entry.relay_jobs import (
    ModelJob,
    RelayPolicy,
    ServiceAnswer,
    ServiceJob,
    WholeAnswer,
)
from briardyke.entry.relay_services import ServiceCalls
from briardyke.errors import ErrorKind, Failure
from briardyke.http.app import error_body
from briardyke.http.sse import DONE, ServerSentEvent
from briardyke.logs import log_error

if TYPE_CHECKING:
    from briardyke.entry.interfaces import RelayBudget, RelayClaims, RelayTable
    from briardyke.entry.reassembly import Piece
    from briardyke.http.client import HttpClient

_DONE_EVENT = ServerSentEvent(DONE).encode()
_INTERRUPTED = Failure(ErrorKind.ANSWER_TRUNCATED, "entry process stopped the request")
_OBJECTS = {"chat.completion.chunk": "chat.completion"}


class Relay:
    """Run requests at upstreams; :meth:`run` must be running in a nursery for streams."""

    def __init__(
        self,
        table: RelayTable,
        client: HttpClient,
        budget: RelayBudget,
        claims: RelayClaims,
        policy: RelayPolicy | None = None,
    ) -> None:
        """Name the collaborators.

        :param table: chooses upstreams.
        :param client: connects to upstreams.
        :param budget: bounds retries.
        :param claims: protects non-idempotent calls that have a key.
        :param policy: bounds and times; ``None`` for the defaults.
        """
        self._policy = policy or RelayPolicy()
        self._attempts = ModelAttempts(table, client, budget, self._policy)
        self._services = ServiceCalls(table, client, budget, claims, self._policy)
        self._nursery: trio.Nursery | None = None

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the tasks of open streams until cancelled.

        A response is iterated from the task of its caller, where a nursery cannot stay open between
        two chunks; therefore the attempts run here.
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

    async def complete(self, job: ModelJob) -> Result[WholeAnswer, Failure]:
        """Return the response as one document, or the failure to report."""
        collected = _Collector()
        failure = await self._attempts.run(job, collected)
        if failure is not None:
            return Err(failure)
        return Ok(collected.answer())

    async def call_service(self, job: ServiceJob) -> Result[ServiceAnswer, Failure]:
        """Call a plain service; a call with a key that was granted is finished even when the
        caller disconnects, so that its response can be stored.
        """
        return await self._services.call(job)


class RelayStream:
    """Iterate one response, joining tokens that arrive close together into one chunk.

    :ivar failure: how the response ended; ``None`` once it is complete.
    :ivar tokens: tokens received so far.
    """

    def __init__(
        self, job: ModelJob, attempts: ModelAttempts, policy: RelayPolicy, nursery: trio.Nursery
    ) -> None:
        """Prepare; the first call of :meth:`start` or ``__anext__`` dispatches the request."""
        self._job = job
        self._attempts = attempts
        self._policy = policy
        self._nursery = nursery
        self._scope = trio.CancelScope()
        self._started = False
        self._pieces: list[bytes] = []
        self._held_bytes = 0
        self.failure: Failure | None = _INTERRUPTED
        self.tokens = 0
        self._arrived = trio.Event()
        self._taken = trio.Event()
        self._ended = trio.Event()
        self._written_at_ms: float | None = None
        self._exhausted = False

    async def start(self) -> Result[None, Failure]:
        """Wait for the first token.

        :return: the failure when there will be none; the caller can then still be answered with an
            error status.
        """
        await self._wait()
        if self._pieces or self.failure is None:
            return Ok(None)  # without pieces the attempts have ended
        self._exhausted = True
        return Err(self.failure)

    def __aiter__(self) -> RelayStream:
        """Return the stream itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk of events."""
        if self._exhausted:
            raise StopAsyncIteration
        await self._wait()
        # Waiting only once a token has arrived costs no timer for tokens that come slowly.
        if self._written_at_ms is not None:
            rest_ms = self._written_at_ms + self._policy.coalesce_ms - now_ms()
            if rest_ms > 0:
                with trio.move_on_after(rest_ms / 1000.0):
                    await self._ended.wait()
        chunk = b"".join(self._pieces)
        self._pieces.clear()
        self._held_bytes = 0
        self._taken.set()
        if self._ended.is_set():
            self._exhausted = True
            chunk += self._end_event()
        self._written_at_ms = now_ms()
        return chunk

    async def aclose(self) -> None:
        """Cancel the request at the upstream."""
        self._exhausted = True
        self._scope.cancel()

    def put(self, piece: Piece) -> None:
        """Take the next piece from the attempts."""
        data = piece.encode()
        self.tokens = piece.offset - self._job.offset_tokens
        self._pieces.append(data)
        self._held_bytes += len(data)
        self._arrived.set()

    async def wait_for_room(self) -> None:
        """Wait while the caller is too slow."""
        while self._held_bytes > self._policy.buffer_limit_bytes:
            self._taken = trio.Event()
            await self._taken.wait()

    async def _wait(self) -> None:
        if not self._started:
            self._started = True
            self._nursery.start_soon(self._run)
        try:
            while not self._pieces and not self._ended.is_set():
                self._arrived = trio.Event()
                await self._arrived.wait()
        except trio.Cancelled:
            self._scope.cancel()
            raise

    async def _run(self) -> None:
        try:
            with self._scope:
                self.failure = await self._attempts.run(self._job, self)
        except Exception as error:  # a defect must not end the streams of other callers
            log_error("relay_defect", request_id=self._job.request_id, error=repr(error))
            self.failure = Failure(ErrorKind.INTERNAL, "internal error")
        finally:
            self._ended.set()
            self._arrived.set()

    def _end_event(self) -> bytes:
        if self.failure is None:
            return _DONE_EVENT
        body = json.dumps(error_body(self.failure, self._job.request_id))
        return ServerSentEvent(body, event="error").encode()


class _Collector:
    """Collect the pieces of a response that is not streamed."""

    def __init__(self) -> None:
        self._texts: list[str] = []
        self._last: Piece | None = None

    def put(self, piece: Piece) -> None:
        self._texts.append(piece.text)
        self._last = piece

    async def wait_for_room(self) -> None:
        pass

    def answer(self) -> WholeAnswer:
        assert self._last is not None, "a complete response has a final event"
        document = dict(self._last.document)
        text = "".join(self._texts)
        chat = document["object"] in _OBJECTS
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": document["choices"][0]["finish_reason"],
        }
        choice |= {"message": {"role": "assistant", "content": text}} if chat else {"text": text}
        document["object"] = _OBJECTS.get(document["object"], document["object"])
        document["choices"] = [choice]
        return WholeAnswer(document, self._last.offset)
