"""Run the attempts of a model request and resume an interrupted stream at its offset."""

from __future__ import annotations

import json
from contextlib import AsyncExitStack, aclosing
from functools import partial
from typing import TYPE_CHECKING, Protocol, cast

import trio

from briardyke.clock import now_ms, sleep_ms
from briardyke.entry.reassembly import CallerEvent, Progress, ResponseAssembler
from briardyke.entry.relay_outcomes import (
    AttemptResult,
    error_status_result,
    final_failure,
    interrupted_result,
)
from briardyke.entry.relay_retries import RetryController
from briardyke.entry.relay_selection import select_upstream
from briardyke.entry.relay_silence import SilenceLimit
from briardyke.errors import ErrorKind, Failure
from briardyke.http.client import CallError, HttpClient, OpenResponse
from briardyke.http.sse import EventParser, EventTooLongError
from briardyke.ids import new_id
from briardyke.logs import log_event
from briardyke.policy.types import AttemptOutcome

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from briardyke.entry.interfaces import RelayRetryBudget, RelayRoutingTable
    from briardyke.entry.relay_jobs import ModelJob, RelayPolicy

_ERROR_BODY_LIMIT_BYTES = 64 * 1024
_READ_TO_END_TIMEOUT_S = 0.05
_TRUNCATED = Failure(ErrorKind.UPSTREAM_FAILED, "stream ended before a finish reason and [DONE]")
_STALLED = Failure(ErrorKind.UPSTREAM_FAILED, "upstream sent nothing before the timeout")
_COMPLETE = AttemptResult(AttemptOutcome.COMPLETED)


class CallerEventSink(Protocol):
    """Receive the events of a response."""

    def put(self, caller_event: CallerEvent) -> None:
        """Receive the next event."""

    async def wait_for_room(self) -> None:
        """Wait until the sink can receive more events."""


class ModelAttempts:
    """Send a request to one upstream after another until the response is complete."""

    def __init__(
        self,
        table: RelayRoutingTable,
        client: HttpClient,
        budget: RelayRetryBudget,
        policy: RelayPolicy,
    ) -> None:
        """Set up attempts with the routing table, client and retry budget to use."""
        self._table = table
        self._client = client
        self._budget = budget
        self._policy = policy

    async def run(self, job: ModelJob, sink: CallerEventSink) -> Failure | None:
        """Deliver a response.

        :param job: the request.
        :param sink: receives each token once and in order, then the final event.
        :return: ``None`` after a complete response, else the failure to report.
        """
        self._budget.record_request(now_ms())
        assembler = ResponseAssembler(job.completion_id, job.offset_tokens)
        # A resumed request has already run, through this or another entry process.
        may_have_run = job.offset_tokens > 0
        deadline_ms = job.deadline_ms
        tried: set[str] = set()
        failure = Failure(ErrorKind.NO_UPSTREAM, "no attempt was made")
        retries = RetryController(self._budget, self._policy)
        while True:
            selected = await select_upstream(
                self._table, self._policy, job.route, tried, deadline_ms
            )
            resumes = assembler.offset > job.offset_tokens
            if selected.is_err():
                failure = selected.unwrap_err()
                if resumes and failure.kind is ErrorKind.NO_UPSTREAM:
                    # After this process was suspended, all evidence is expired until the next sync.
                    await sleep_ms(self._policy.loading_poll_ms)
                    continue
                break
            if not await retries.wait_to_start(resumes=resumes, deadline_ms=deadline_ms):
                break
            limit = SilenceLimit(
                partial(self._may_leave, job, assembler, retries),
                self._policy.retry_delay_ms,
                min(self._policy.idle_timeout_ms, self._policy.first_token_timeout_ms),
            )
            result = await self._attempt(
                job, selected.unwrap(), assembler, sink, deadline_ms, limit
            )
            if result.failure is None:
                return None
            failure, may_have_run = result.failure, may_have_run or result.may_have_run
            if not result.retryable:
                break
            retries.record_failure(may_have_run=result.may_have_run)
            tried.add(selected.unwrap())
            if assembler.offset > job.offset_tokens:
                # The deadline is for the first token; a started stream has its own time limit.
                deadline_ms = now_ms() + self._policy.resume_timeout_ms
        tokens = assembler.offset - job.offset_tokens
        return final_failure(failure, may_have_run=may_have_run, tokens=tokens)

    @staticmethod
    def _may_leave(job: ModelJob, assembler: ResponseAssembler, retries: RetryController) -> bool:
        return retries.reserve(resumes=assembler.offset > job.offset_tokens)

    async def _attempt(
        self,
        job: ModelJob,
        upstream_id: str,
        assembler: ResponseAssembler,
        sink: CallerEventSink,
        deadline_ms: float,
        limit: SilenceLimit,
    ) -> AttemptResult:
        attempt_id = new_id("att")
        assembler.begin(attempt_id)
        offset, outcome = assembler.offset, AttemptOutcome.CANCELLED
        self._table.begin(attempt_id, upstream_id, job.route, now_ms())
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(limit.watch)
                result = await self._exchange(
                    job, upstream_id, attempt_id, assembler, sink, deadline_ms, limit
                )
                nursery.cancel_scope.cancel()
            outcome = result.outcome
        finally:
            self._table.finish(attempt_id, outcome, assembler.offset - offset, now_ms())
        if result.failure is not None:
            log_event(
                "attempt_failed",
                request_id=job.request_id,
                attempt_id=attempt_id,
                upstream=upstream_id,
                outcome=outcome.value,
                offset=assembler.offset,
                reason=result.failure.message,
            )
        return result

    async def _exchange(
        self,
        job: ModelJob,
        upstream_id: str,
        attempt_id: str,
        assembler: ResponseAssembler,
        sink: CallerEventSink,
        deadline_ms: float,
        limit: SilenceLimit,
    ) -> AttemptResult:
        policy = self._policy
        first_until_ms = min(now_ms() + policy.first_token_timeout_ms, deadline_ms)
        longest_wait_ms = max(deadline_ms - now_ms(), policy.resume_timeout_ms)
        headers = {
            "content-type": "application/json",
            "x-request-id": job.request_id,
            "x-attempt-id": attempt_id,
            "x-resume-offset-tokens": str(assembler.offset),
            "x-priority": str(job.route.priority),
        }
        try:
            async with AsyncExitStack() as stack:
                response: OpenResponse | None = None
                with limit.wait(first_until_ms, deadline_ms):
                    response = await stack.enter_async_context(
                        self._client.open(
                            "POST",
                            self._table.address(upstream_id),
                            job.path,
                            body=json.dumps({**job.body, "stream": True}).encode(),
                            headers=headers,
                            timeout_ms=longest_wait_ms,
                        )
                    )
                if response is None:
                    return interrupted_result(_STALLED)
                if response.status != 200:
                    return error_status_result(response.status, await self._error_body(response))
                return await self._read(
                    response, attempt_id, assembler, sink, limit, (first_until_ms, deadline_ms)
                )
        except CallError as error:
            return interrupted_result(error.failure)
        except EventTooLongError as error:
            return interrupted_result(Failure(ErrorKind.UPSTREAM_FAILED, str(error)))

    async def _error_body(self, response: OpenResponse) -> bytes:
        body = bytearray()
        with trio.move_on_after(self._policy.idle_timeout_ms / 1000.0):
            async with aclosing(_chunks(response)) as chunks:
                async for chunk in chunks:
                    body += chunk
                    if len(body) > _ERROR_BODY_LIMIT_BYTES:
                        break
        return bytes(body)

    async def _read(
        self,
        response: OpenResponse,
        attempt_id: str,
        assembler: ResponseAssembler,
        sink: CallerEventSink,
        limit: SilenceLimit,
        wait_ms: tuple[float, float],
    ) -> AttemptResult:
        policy, parser = self._policy, EventParser()
        first = True
        async with aclosing(_chunks(response)) as chunks:
            while True:
                chunk: bytes | None = None
                with limit.wait(*wait_ms):
                    chunk = await anext(chunks, b"")
                if chunk is None:
                    return interrupted_result(_STALLED)
                if not chunk:
                    return interrupted_result(_TRUNCATED)
                for event in parser.feed(chunk):
                    progress, caller_event = assembler.accept(event)
                    if caller_event is not None:
                        if first:
                            self._table.first_token(attempt_id, now_ms())
                            response.pace_reads(policy.coalesce_ms)
                            first = False
                        sink.put(caller_event)
                    if progress is Progress.COMPLETE:
                        await _read_to_end(chunks)
                        return _COMPLETE
                    if progress is Progress.BROKEN:
                        return interrupted_result(_TRUNCATED)
                await sink.wait_for_room()
                now = now_ms()
                wait_ms = now + policy.idle_timeout_ms, now + policy.resume_timeout_ms


async def _read_to_end(chunks: AsyncGenerator[bytes, None]) -> None:
    # The connection can be reused only when the response body was read to its end.
    with trio.move_on_after(_READ_TO_END_TIMEOUT_S):
        while await anext(chunks, b""):
            pass


def _chunks(response: OpenResponse) -> AsyncGenerator[bytes, None]:
    return cast("AsyncGenerator[bytes, None]", response.chunks())
