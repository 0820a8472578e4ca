"""Call plain services; a non-idempotent call runs at most once."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgpack
import trio
from result import Err, Ok, Result

from briardyke.claims.shards import claim_key_hash
from briardyke.clock import now_ms, sleep_ms
from briardyke.entry.relay_jobs import RelayPolicy, ServiceJob, ServiceResponse
from briardyke.entry.relay_outcomes import (
    AttemptResult,
    final_failure,
    interrupted_result,
    refusal_result,
)
from briardyke.entry.relay_retries import RetryController
from briardyke.entry.relay_selection import select_upstream
from briardyke.errors import ErrorKind, Failure
from briardyke.ids import new_id
from briardyke.logs import log_warning
from briardyke.policy.types import AttemptOutcome
from briardyke.wire.messages import ClaimEnd, ClaimReply, ClaimRequest

if TYPE_CHECKING:
    from briardyke.entry.interfaces import RelayClaimClient, RelayRetryBudget, RelayRoutingTable
    from briardyke.http.client import HttpClient, WholeResponse

STORED_RESPONSE_LIMIT_BYTES = 64 * 1024
_HOP_BY_HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length", "date", "upgrade", "te")
)
_GATEWAY_ERROR_STATUSES = frozenset((502, 503, 504))
_CLAIM_FAILURES = {
    "running": Failure(
        ErrorKind.OUTCOME_UNKNOWN, "a request with this idempotency key is still running"
    ),
    "unknown": Failure(
        ErrorKind.OUTCOME_UNKNOWN, "outcome of the request with this idempotency key is unknown"
    ),
    "key_reused": Failure(
        ErrorKind.KEY_REUSED, "idempotency key was used for a different request", "idempotency-key"
    ),
    "full": Failure(ErrorKind.CLAIMS_FULL, "no more idempotency keys can be stored"),
}
_RESPONSE_NOT_STORED = Failure(
    ErrorKind.OUTCOME_UNKNOWN, "the request has run, but its response was too long to store"
)


class ServiceCalls:
    """Run calls of plain services."""

    def __init__(
        self,
        table: RelayRoutingTable,
        client: HttpClient,
        budget: RelayRetryBudget,
        claims: RelayClaimClient,
        policy: RelayPolicy,
    ) -> None:
        """Set up calls with the routing table, clients and retry budget to use."""
        self._table = table
        self._client = client
        self._budget = budget
        self._claims = claims
        self._policy = policy

    async def call(self, job: ServiceJob) -> Result[ServiceResponse, Failure]:
        """Call a service.

        :param job: the call.
        :return: the service's response, or the failure to report.
        """
        self._budget.record_request(now_ms())
        if not (job.non_idempotent and job.key):
            return (await self._run(job))[0]
        # A caller that disconnects must not leave a claim open: the call continues, until its
        # deadline at most, and its response is stored for the caller's next attempt.
        with trio.CancelScope(shield=True):
            return await self._call_claimed(job, _claim_request(job))
        raise AssertionError("a shielded scope without deadline is not cancelled")

    async def _call_claimed(
        self, job: ServiceJob, claim: ClaimRequest
    ) -> Result[ServiceResponse, Failure]:
        claimed = await self._claim(claim, job.deadline_ms)
        if claimed.is_err():
            # The claim may have been granted although its reply was lost; nothing ran under it.
            await self._end_claim(claim, Err(claimed.unwrap_err()), may_have_run=False)
            reason = claimed.unwrap_err().message
            return Err(
                Failure(ErrorKind.CLAIM_UNAVAILABLE, f"idempotency key was not claimed: {reason}")
            )
        reply = claimed.unwrap()
        if reply.state == "completed":
            return _decode_response(reply.response)
        if reply.state != "granted":
            return Err(_CLAIM_FAILURES.get(reply.state, _CLAIM_FAILURES["unknown"]))
        result, may_have_run = await self._run(job)
        await self._end_claim(claim, result, may_have_run=may_have_run)
        return result

    async def _claim(self, claim: ClaimRequest, deadline_ms: float) -> Result[ClaimReply, Failure]:
        """Claim a key; while another request with this key runs, wait for its response."""
        give_up_at_ms = min(deadline_ms, now_ms() + self._policy.running_key_wait_ms)
        while True:
            claimed = await self._claims.claim(claim, self._policy.claim_timeout_ms)
            running = claimed.is_ok() and claimed.unwrap().state == "running"
            if not running or now_ms() + self._policy.claim_poll_ms >= give_up_at_ms:
                return claimed
            await sleep_ms(self._policy.claim_poll_ms)

    async def _end_claim(
        self, claim: ClaimRequest, result: Result[ServiceResponse, Failure], *, may_have_run: bool
    ) -> None:
        response = None
        if not may_have_run:
            outcome = "not_run"
        elif result.is_ok():
            outcome, response = "completed", _encode_response(result.unwrap())
        else:
            outcome = "unknown"
        end = ClaimEnd(claim.key_hash, claim.caller, claim.attempt_id, outcome, response)
        ended = await self._claims.end(end, self._policy.claim_timeout_ms)
        if ended.is_err():
            # The claim stays in the state "running", so later calls with this key are refused.
            log_warning("claim_end_failed", outcome=outcome, reason=ended.unwrap_err().message)

    async def _run(self, job: ServiceJob) -> tuple[Result[ServiceResponse, Failure], bool]:
        may_have_run = False
        tried: set[str] = set()
        failure = Failure(ErrorKind.NO_UPSTREAM, "no attempt was made")
        retries = RetryController(self._budget, self._policy)
        while True:
            selected = await select_upstream(
                self._table, self._policy, job.route, tried, job.deadline_ms
            )
            if selected.is_err():
                failure = selected.unwrap_err()
                break
            if not await retries.wait_to_start(resumes=False, deadline_ms=job.deadline_ms):
                break
            response, result = await self._attempt(job, selected.unwrap())
            may_have_run = may_have_run or result.may_have_run
            if response is not None and not (result.failure and result.retryable):
                return Ok(response), may_have_run
            assert result.failure is not None, "an attempt without a response has a failure"
            failure = result.failure
            if job.non_idempotent and result.may_have_run:
                text = f"the call may have run: {failure.message}"
                return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, text)), True
            retries.record_failure(may_have_run=result.may_have_run)
            tried.add(selected.unwrap())
        return Err(final_failure(failure, may_have_run=may_have_run)), may_have_run

    async def _attempt(
        self, job: ServiceJob, upstream_id: str
    ) -> tuple[ServiceResponse | None, AttemptResult]:
        attempt_id = new_id("att")
        outcome = AttemptOutcome.CANCELLED
        self._table.begin(attempt_id, upstream_id, job.route, now_ms())
        try:
            response, result = await self._exchange(job, upstream_id, attempt_id)
            outcome = result.outcome
        finally:
            self._table.finish(attempt_id, outcome, 0, now_ms())
        return response, result

    async def _exchange(
        self, job: ServiceJob, upstream_id: str, attempt_id: str
    ) -> tuple[ServiceResponse | None, AttemptResult]:
        remaining_ms = max(0.0, job.deadline_ms - now_ms())
        headers = {k: v for k, v in job.headers.items() if k not in _HOP_BY_HOP_HEADERS}
        headers |= {"x-request-id": job.request_id, "x-attempt-id": attempt_id}
        if job.key:
            headers["idempotency-key"] = job.key
        called: Result[WholeResponse, Failure] | None = None
        with trio.move_on_after(remaining_ms / 1000.0):
            called = await self._client.call(
                job.method,
                self._table.address(upstream_id),
                job.target,
                body=job.body,
                headers=headers,
                timeout_ms=remaining_ms,
            )
        if called is None:
            text = "no response before the deadline"
            return None, interrupted_result(Failure(ErrorKind.DEADLINE_EXCEEDED, text))
        if called.is_err():
            return None, interrupted_result(called.unwrap_err())
        received = called.unwrap()
        kept = {k: v for k, v in received.headers.items() if k not in _HOP_BY_HOP_HEADERS}
        response = ServiceResponse(received.status, kept, received.body)
        refusal = refusal_result(received.status, received.body)
        if refusal is not None:
            return response, refusal
        if received.status in _GATEWAY_ERROR_STATUSES and not job.non_idempotent:
            text = f"service responded with status {received.status}"
            return response, interrupted_result(Failure(ErrorKind.UPSTREAM_FAILED, text))
        return response, AttemptResult(AttemptOutcome.COMPLETED)


def _claim_request(job: ServiceJob) -> ClaimRequest:
    digest = hashlib.sha256(
        b"\0".join((job.method.encode(), job.target.encode(), job.body))
    ).hexdigest()
    return ClaimRequest(claim_key_hash(job.caller, job.key), job.caller, digest, new_id("att"))


def _encode_response(response: ServiceResponse) -> bytes | None:
    packed = msgpack.packb([response.status, dict(response.headers), response.body])
    return packed if len(packed) <= STORED_RESPONSE_LIMIT_BYTES else None


def _decode_response(response: bytes | None) -> Result[ServiceResponse, Failure]:
    if response is None:
        return Err(_RESPONSE_NOT_STORED)
    status, headers, body = msgpack.unpackb(response)
    return Ok(ServiceResponse(status, headers, body, replayed=True))
