"""Run the attempts of a model request and resume a broken stream at its offset."""

from __future__ import annotations

import json
from contextlib import AsyncExitStack, aclosing
from typing import TYPE_CHECKING, Protocol, cast

import trio

from briardyke.clock import now_ms, sleep_ms
from briardyke.entry.reassembly import AnswerAssembler, Piece, Progress
from briardyke.entry.relay_outcomes import AttemptEnd, broken_end, error_end, final_failure
from briardyke.entry.relay_pacing import AttemptPacer
from briardyke.entry.relay_selection import select_upstream
from briardyke.errors import ErrorKind, Failure
from briardyke.http.client import CallError, HttpClient, OpenResponse
from briardyke.http.sse import EventParser
from briardyke.ids import new_id
from briardyke.logs import log_event
from briardyke.policy.types import AttemptOutcome

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from briardyke.entry.interfaces import RelayBudget, RelayTable
    from briardyke.entry.relay_jobs import ModelJob, RelayPolicy

_ERROR_BODY_LIMIT_BYTES = 64 * 1024
_DRAIN_TIMEOUT_S = 0.05
_TRUNCATED = Failure(ErrorKind.UPSTREAM_FAILED, "stream ended without finish reason and [DONE]")
_STALLED = Failure(ErrorKind.UPSTREAM_FAILED, "upstream went silent")
_COMPLETE = AttemptEnd(AttemptOutcome.COMPLETED)


class PieceSink(Protocol):
    """Take the pieces of a response."""

    def put(self, piece: Piece) -> None:
        """Take the next piece."""

    async def wait_for_room(self) -> None:
        """Wait until more pieces are wanted."""


class ModelAttempts:
    """Run one request at one upstream after another until the response is complete."""

    def __init__(
        self, table: RelayTable, client: HttpClient, budget: RelayBudget, policy: RelayPolicy
    ) -> None:
        """Name the collaborators."""
        self._table = table
        self._client = client
        self._budget = budget
        self._policy = policy

    async def run(self, job: ModelJob, sink: PieceSink) -> Failure | None:
        """Deliver a response.

        :param job: the request.
        :param sink: gets each token once and in order, then the final event.
        :return: ``None`` after a complete response, else the failure to report.
        """
        self._budget.record_request(now_ms())
        assembler = AnswerAssembler(job.completion_id, job.offset_tokens)
        # Earlier attempts of a resumed request ran under another entry process.
        may_have_run = job.offset_tokens > 0
        deadline_ms = job.deadline_ms
        tried: set[str] = set()
        failure = Failure(ErrorKind.NO_UPSTREAM, "no attempt was made")
        pacer = AttemptPacer(self._budget, self._policy)
        while True:
            chosen = await select_upstream(self._table, self._policy, job.route, tried, deadline_ms)
            resumes = assembler.offset > job.offset_tokens
            if chosen.is_err():
                failure = chosen.unwrap_err()
                if resumes and failure.kind is ErrorKind.NO_UPSTREAM:
                    # A process that was suspended finds all its evidence expired until it syncs.
                    await sleep_ms(self._policy.loading_poll_ms)
                    continue
                break
            if not await pacer.may_start(resumes=resumes, deadline_ms=deadline_ms):
                break
            end = await self._attempt(job, chosen.unwrap(), assembler, sink, deadline_ms)
            if end.failure is None:
                return None
            failure, may_have_run = end.failure, may_have_run or end.may_have_run
            if not end.retryable:
                break
            pacer.ended(may_have_run=end.may_have_run)
            tried.add(chosen.unwrap())
            if assembler.offset > job.offset_tokens:
                # The deadline bounds the first token; a started stream has its own bound.
                deadline_ms = now_ms() + self._policy.resume_timeout_ms
        tokens = assembler.offset - job.offset_tokens
        return final_failure(failure, may_have_run=may_have_run, tokens=tokens)

    async def _attempt(
        self,
        job: ModelJob,
        upstream_id: str,
        assembler: AnswerAssembler,
        sink: PieceSink,
        deadline_ms: float,
    ) -> AttemptEnd:
        attempt_id = new_id("att")
        assembler.begin(attempt_id)
        offset, outcome = assembler.offset, AttemptOutcome.CANCELLED
        self._table.begin(attempt_id, upstream_id, job.route, now_ms())
        try:
            end = await self._exchange(job, upstream_id, attempt_id, assembler, sink, deadline_ms)
            outcome = end.outcome
        finally:
            self._table.finish(attempt_id, outcome, assembler.offset - offset, now_ms())
        if end.failure is not None:
            log_event(
                "attempt_failed",
                request_id=job.request_id,
                attempt_id=attempt_id,
                upstream=upstream_id,
                outcome=outcome.value,
                offset=assembler.offset,
                reason=end.failure.message,
            )
        return end

    async def _exchange(
        self,
        job: ModelJob,
        upstream_id: str,
        attempt_id: str,
        assembler: AnswerAssembler,
        sink: PieceSink,
        deadline_ms: float,
    ) -> AttemptEnd:
        policy = self._policy
        latest_ms = min(now_ms() + policy.first_token_timeout_ms, deadline_ms)
        headers = {
            "content-type": "application/json",
            "x-request-id": job.request_id,
            "x-attempt-id": attempt_id,
            "x-resume-offset-tokens": str(assembler.offset),
            "x-priority": str(job.route.priority),
        }
        try:
            async with AsyncExitStack() as stack:
                opened: OpenResponse | None = None
                with trio.move_on_at(latest_ms / 1000.0):
                    opened = await stack.enter_async_context(
                        self._client.open(
                            "POST",
                            self._table.address(upstream_id),
                            job.path,
                            body=json.dumps({**job.body, "stream": True}).encode(),
                            headers=headers,
                            timeout_ms=max(policy.first_token_timeout_ms, policy.idle_timeout_ms),
                        )
                    )
                if opened is None:
                    return broken_end(_STALLED)
                if opened.status != 200:
                    return error_end(opened.status, await self._error_body(opened))
                return await self._read(opened, attempt_id, assembler, sink, latest_ms)
        except CallError as error:
            return broken_end(error.failure)

    async def _error_body(self, opened: OpenResponse) -> bytes:
        body = bytearray()
        with trio.move_on_after(self._policy.idle_timeout_ms / 1000.0):
            async with aclosing(_chunks(opened)) as chunks:
                async for chunk in chunks:
                    body += chunk
                    if len(body) > _ERROR_BODY_LIMIT_BYTES:
                        break
        return bytes(body)

    async def _read(
        self,
        opened: OpenResponse,
        attempt_id: str,
        assembler: AnswerAssembler,
        sink: PieceSink,
        latest_ms: float,
    ) -> AttemptEnd:
        parser = EventParser()
        first = True
        async with aclosing(_chunks(opened)) as chunks:
            while True:
                chunk: bytes | None = None
                with trio.move_on_at(latest_ms / 1000.0):
                    chunk = await anext(chunks, b"")
                if chunk is None:
                    return broken_end(_STALLED)
                if not chunk:
                    return broken_end(_TRUNCATED)
                for event in parser.feed(chunk):
                    progress, piece = assembler.take(event)
                    if piece is not None:
                        if first:
                            self._table.first_token(attempt_id, now_ms())
                            opened.pace_reads(self._policy.coalesce_ms)
                            first = False
                        sink.put(piece)
                    if progress is Progress.COMPLETE:
                        await _drain(chunks)
                        return _COMPLETE
                    if progress is Progress.BROKEN:
                        return broken_end(_TRUNCATED)
                await sink.wait_for_room()
                latest_ms = now_ms() + self._policy.idle_timeout_ms


async def _drain(chunks: AsyncGenerator[bytes, None]) -> None:
    # A connection whose body was read to its end is kept for the next request.
    with trio.move_on_after(_DRAIN_TIMEOUT_S):
        while await anext(chunks, b""):
            pass


def _chunks(opened: OpenResponse) -> AsyncGenerator[bytes, None]:
    return cast("AsyncGenerator[bytes, None]", opened.chunks())
