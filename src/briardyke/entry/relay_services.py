"""Call plain services, running a non-idempotent call at most once."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgpack
import trio
from result import Err, Ok, Result

from briardyke.claims.shards import claim_key_hash
from briardyke.clock import now_ms, sleep_ms
from briardyke.entry.relay_jobs import RelayPolicy, ServiceAnswer, ServiceJob
from briardyke.entry.relay_outcomes import AttemptEnd, broken_end, final_failure, refused_end
from briardyke.entry.relay_pacing import AttemptPacer
from briardyke.entry.relay_selection import select_upstream
from briardyke.errors import ErrorKind, Failure
from briardyke.ids import new_id
from briardyke.logs import log_warning
from briardyke.policy.types import AttemptOutcome
from briardyke.wire.messages import ClaimEnd, ClaimReply, ClaimRequest

if TYPE_CHECKING:
    from briardyke.entry.interfaces import RelayBudget, RelayClaims, RelayTable
    from briardyke.http.client import HttpClient, WholeResponse

STORED_RESPONSE_LIMIT_BYTES = 64 * 1024
_HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length", "date", "upgrade", "te")
)
_GATEWAY_ERRORS = frozenset((502, 503, 504))
_CLAIM_FAILURES = {
    "running": Failure(ErrorKind.OUTCOME_UNKNOWN, "a request with this key is still running"),
    "unknown": Failure(
        ErrorKind.OUTCOME_UNKNOWN, "outcome of the request with this key is unknown"
    ),
    "key_reused": Failure(
        ErrorKind.KEY_REUSED, "key belongs to another request", "idempotency-key"
    ),
    "full": Failure(ErrorKind.CLAIMS_FULL, "no more idempotency keys can be stored"),
}
_UNSTORED = Failure(ErrorKind.OUTCOME_UNKNOWN, "request ran; its response was too long to store")


class ServiceCalls:
    """Run calls of plain services."""

    def __init__(
        self,
        table: RelayTable,
        client: HttpClient,
        budget: RelayBudget,
        claims: RelayClaims,
        policy: RelayPolicy,
    ) -> None:
        """Name the collaborators."""
        self._table = table
        self._client = client
        self._budget = budget
        self._claims = claims
        self._policy = policy

    async def call(self, job: ServiceJob) -> Result[ServiceAnswer, Failure]:
        """Call a service.

        :param job: the call.
        :return: the service's response, or the failure to report.
        """
        self._budget.record_request(now_ms())
        if not (job.non_idempotent and job.key):
            return (await self._run(job))[0]
        # A caller that disconnects must not leave a claim open: the call goes on, at most to its
        # deadline, and its response is stored for the caller's next try.
        with trio.CancelScope(shield=True):
            return await self._call_claimed(job, _claim_request(job))
        raise AssertionError("a shielded scope without deadline is not cancelled")

    async def _call_claimed(
        self, job: ServiceJob, claim: ClaimRequest
    ) -> Result[ServiceAnswer, Failure]:
        claimed = await self._claim(claim, job.deadline_ms)
        if claimed.is_err():
            # The claim may have been granted all the same; this attempt did not use it.
            await self._end_claim(claim, Err(claimed.unwrap_err()), may_have_run=False)
            reason = claimed.unwrap_err().message
            return Err(Failure(ErrorKind.CLAIM_UNAVAILABLE, f"key was not claimed: {reason}"))
        reply = claimed.unwrap()
        if reply.state == "completed":
            return _stored(reply.response)
        if reply.state != "granted":
            return Err(_CLAIM_FAILURES.get(reply.state, _CLAIM_FAILURES["unknown"]))
        answer, may_have_run = await self._run(job)
        await self._end_claim(claim, answer, may_have_run=may_have_run)
        return answer

    async def _claim(self, claim: ClaimRequest, deadline_ms: float) -> Result[ClaimReply, Failure]:
        """Claim a key; while another request with it runs, wait for its response."""
        give_up_at_ms = min(deadline_ms, now_ms() + self._policy.running_key_wait_ms)
        while True:
            claimed = await self._claims.claim(claim, self._policy.claim_timeout_ms)
            running = claimed.is_ok() and claimed.unwrap().state == "running"
            if not running or now_ms() + self._policy.claim_poll_ms >= give_up_at_ms:
                return claimed
            await sleep_ms(self._policy.claim_poll_ms)

    async def _end_claim(
        self, claim: ClaimRequest, answer: Result[ServiceAnswer, Failure], *, may_have_run: bool
    ) -> None:
        response = None
        if not may_have_run:
            outcome = "not_run"
        elif answer.is_ok():
            outcome, response = "completed", _to_store(answer.unwrap())
        else:
            outcome = "unknown"
        end = ClaimEnd(claim.key_hash, claim.caller, claim.attempt_id, outcome, response)
        ended = await self._claims.end(end, self._policy.claim_timeout_ms)
        if ended.is_err():
            # The claim stays in state running, which refuses every later call with this key.
            log_warning("claim_end_failed", outcome=outcome, reason=ended.unwrap_err().message)

    async def _run(self, job: ServiceJob) -> tuple[Result[ServiceAnswer, Failure], bool]:
        may_have_run = False
        tried: set[str] = set()
        failure = Failure(ErrorKind.NO_UPSTREAM, "no attempt was made")
        pacer = AttemptPacer(self._budget, self._policy)
        while True:
            chosen = await select_upstream(
                self._table, self._policy, job.route, tried, job.deadline_ms
            )
            if chosen.is_err():
                failure = chosen.unwrap_err()
                break
            if not await pacer.may_start(resumes=False, deadline_ms=job.deadline_ms):
                break
            answer, end = await self._attempt(job, chosen.unwrap())
            may_have_run = may_have_run or end.may_have_run
            if answer is not None and not (end.failure and end.retryable):
                return Ok(answer), may_have_run
            assert end.failure is not None, "an attempt without a response has a failure"
            failure = end.failure
            if job.non_idempotent and end.may_have_run:
                text = f"call may have run: {failure.message}"
                return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, text)), True
            pacer.ended(may_have_run=end.may_have_run)
            tried.add(chosen.unwrap())
        return Err(final_failure(failure, may_have_run=may_have_run)), may_have_run

    async def _attempt(
        self, job: ServiceJob, upstream_id: str
    ) -> tuple[ServiceAnswer | None, AttemptEnd]:
        attempt_id = new_id("att")
        outcome = AttemptOutcome.CANCELLED
        self._table.begin(attempt_id, upstream_id, job.route, now_ms())
        try:
            answer, end = await self._exchange(job, upstream_id, attempt_id)
            outcome = end.outcome
        finally:
            self._table.finish(attempt_id, outcome, 0, now_ms())
        return answer, end

    async def _exchange(
        self, job: ServiceJob, upstream_id: str, attempt_id: str
    ) -> tuple[ServiceAnswer | None, AttemptEnd]:
        left_ms = max(0.0, job.deadline_ms - now_ms())
        headers = {k: v for k, v in job.headers.items() if k not in _HOP_HEADERS}
        headers |= {"x-request-id": job.request_id, "x-attempt-id": attempt_id}
        if job.key:
            headers["idempotency-key"] = job.key
        called: Result[WholeResponse, Failure] | None = None
        with trio.move_on_after(left_ms / 1000.0):
            called = await self._client.call(
                job.method,
                self._table.address(upstream_id),
                job.target,
                body=job.body,
                headers=headers,
                timeout_ms=left_ms,
            )
        if called is None:
            text = "no response before the deadline"
            return None, broken_end(Failure(ErrorKind.DEADLINE_EXCEEDED, text))
        if called.is_err():
            return None, broken_end(called.unwrap_err())
        response = called.unwrap()
        kept = {k: v for k, v in response.headers.items() if k not in _HOP_HEADERS}
        answer = ServiceAnswer(response.status, kept, response.body)
        unrun = refused_end(response.status, response.body)
        if unrun is not None:
            return answer, unrun
        if response.status in _GATEWAY_ERRORS and not job.non_idempotent:
            text = f"service answered with status {response.status}"
            return answer, broken_end(Failure(ErrorKind.UPSTREAM_FAILED, text))
        return answer, AttemptEnd(AttemptOutcome.COMPLETED)


def _claim_request(job: ServiceJob) -> ClaimRequest:
    digest = hashlib.sha256(
        b"\0".join((job.method.encode(), job.target.encode(), job.body))
    ).hexdigest()
    return ClaimRequest(claim_key_hash(job.caller, job.key), job.caller, digest, new_id("att"))


def _to_store(answer: ServiceAnswer) -> bytes | None:
    packed = msgpack.packb([answer.status, dict(answer.headers), answer.body])
    return packed if len(packed) <= STORED_RESPONSE_LIMIT_BYTES else None


def _stored(response: bytes | None) -> Result[ServiceAnswer, Failure]:
    if response is None:
        return Err(_UNSTORED)
    status, headers, body = msgpack.unpackb(response)
    return Ok(ServiceAnswer(status, headers, body, replayed=True))
