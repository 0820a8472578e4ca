"""Forward a request to an upstream of its route and return the response to the caller."""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

import attrs
import trio
from result import Err, Ok, Result

from briardyke.clock import now_ms
from briardyke.connectivity.monitor import ROUND_INTERVAL_MS
from briardyke.errors import ErrorKind, Failure
from briardyke.gateway.attempt import NOT_EXECUTED_STATUSES, AttemptResult, Ending
from briardyke.gateway.authorization import authorize, refusal_event
from briardyke.gateway.charging import charge, refund, refund_unless_run
from briardyke.gateway.fingerprint import request_fingerprint
from briardyke.gateway.hedged_attempts import HedgedAttempts
from briardyke.gateway.refusals import refusal_headers, retry_after_s
from briardyke.gateway.request_context import RequestContext
from briardyke.gateway.stream_relay import StreamRelay
from briardyke.gateway.trace import EndedBy, Trace, interruption
from briardyke.gateway.upstream_attempts import MIN_ATTEMPT_MS, UpstreamAttempts
from briardyke.http.exchange import HttpRequest, end_to_end, header
from briardyke.peer_relay.acceptance import may_hand_over, misdirected, repeat_refusal
from briardyke.routes.configuration import RequestKind
from briardyke.routes.matching import choose_service

if TYPE_CHECKING:
    from briardyke.gateway.authorization import Identity
    from briardyke.gateway.dialect import RequestMetadata
    from briardyke.gateway.state import GatewayState
    from briardyke.gateway.upstreams import UpstreamState
    from briardyke.http.exchange import Answer, Headers
    from briardyke.http.h11_client import UpstreamHead
    from briardyke.routes.configuration import Route

_MAX_CONNECT_FAILURES = 3
# Control instances serve their stored configuration about a second after a power failure. Waiting
# for a quarter of its time leaves a request enough time to be served or retried.
_CONFIGURATION_WAIT_MS = 1500.0
_CONFIGURATION_WAIT_FRACTION = 0.25


class Forwarder:
    """Forward requests of callers to upstreams."""

    def __init__(self, state: GatewayState) -> None:
        """Use the state of an entry instance."""
        self._state = state
        self._random = random.Random()
        self.attempts = UpstreamAttempts(state, self._random)
        self._hedged = HedgedAttempts(state, self.attempts)
        self._streams = StreamRelay(state, self.attempts, self._hedged)

    async def handle(self, request: HttpRequest, answer: Answer) -> None:
        """Handle one request of a caller."""
        metadata = self._state.dialect.read_request(request)
        trace = Trace(metadata.request_id, request.received_ms, self._state.version)
        trace.model, trace.resumes = metadata.model, metadata.resumed_request_id
        try:
            await self._handle(request, metadata, trace, answer)
        except BaseException as error:
            if not trace.is_finished:
                ended_by = interruption(error, answer)
                outcome = "caller_gone" if ended_by is EndedBy.CALLER else "interrupted"
                trace.finish(self._state.counters, 0, outcome, ended_by, answer.sent_bytes)
            raise

    async def _handle(
        self, request: HttpRequest, metadata: RequestMetadata, trace: Trace, answer: Answer
    ) -> None:
        state = self._state
        deadline_ms = metadata.deadline_ms or _CONFIGURATION_WAIT_MS
        until_ms = now_ms() + min(
            _CONFIGURATION_WAIT_MS, deadline_ms * _CONFIGURATION_WAIT_FRACTION
        )
        await self._await_configuration(until_ms)
        refusal = await misdirected(metadata, state)
        if refusal is not None:
            await self._send_failure(answer, trace, refusal)
            return
        found = await self._authorize(request, metadata, trace, until_ms)
        if found.is_err():
            await self._send_failure(answer, trace, found.unwrap_err())
            return
        route, identity = found.unwrap()
        trace.account = identity.account or ""
        metadata = attrs.evolve(metadata, fingerprint=request_fingerprint(request, metadata))
        service = self.select_service(route)
        trace.service = service
        timeout_ms = min(metadata.deadline_ms or route.timeout_ms, route.timeout_ms)
        deadline_ms = request.received_ms + timeout_ms
        buffer = state.response_buffers.open()
        context = RequestContext(
            request, metadata, route, service, deadline_ms, trace, buffer, identity=identity
        )
        try:
            if await self._relay(context, answer):
                return
            refusal = (
                repeat_refusal(context, state, self.attempts)
                or await self._admission_refusal(context)
                or await charge(context, state)
            )
            if refusal is not None:
                await self._send_failure(answer, trace, refusal)
                return
            with state.connectivity.interrupting(partial(may_hand_over, context, state)):
                await self._forward_counted(context, answer)
            if not context.is_delivering and not await self._relay(context, answer):
                await self._finish_unserved(context, answer)
        finally:
            buffer.release()
            if not context.attempts_begun:  # its caller may have left while it waited
                refund_unless_run(context, state)
            context.end_unsent_dispatches()

    async def _relay(self, context: RequestContext, answer: Answer) -> bool:
        """Let another entry instance serve the request if this one has no links to upstreams.

        It decides on admission, charges the account and sends the request. Return whether the
        request has been answered.
        """
        peers = self._state.peers
        if peers is None or not peers.is_due(context):
            return False
        refund(context, self._state)
        if await peers.run(context, answer):
            return True
        if context.may_have_run:
            await self._finish_unserved(context, answer)
        return context.may_have_run

    async def _forward_counted(self, context: RequestContext, answer: Answer) -> None:
        """Forward a request that counts as in progress meanwhile."""
        demand, name = self._state.demand, context.metadata.model or context.service
        demand.request_started(name)
        try:
            await self._forward(context, answer)
        finally:
            demand.request_finished(name)

    async def _admission_refusal(self, context: RequestContext) -> Failure | None:
        """Return the reason to reject a new request, or ``None``."""
        state = self._state
        refusal = await self._take_up_refusal(context)
        if refusal is not None:
            return refusal
        part = state.quarantine.quarantined_part(context.metadata)
        if part is not None and not state.quarantine.is_trial_due(part):
            return state.quarantine.failure(part)
        state.demand.record(context.metadata.model or context.service)
        refusal = state.admission.refusal(context, state)
        if refusal is not None or part is None:
            return refusal
        other = state.quarantine.quarantined_part(context.metadata, part)
        if other is not None:
            return state.quarantine.failure(other)
        context.trial_part = part
        return None

    async def _take_up_refusal(self, context: RequestContext) -> Failure | None:
        """Return the reason not to continue a stream that broke off before, or ``None``.

        Upstreams do not check which version began it.
        """
        state, metadata = self._state, context.metadata
        if context.route.kind is not RequestKind.STREAMING or not metadata.last_event_id:
            return None
        found = await state.streams.version_of(metadata, context.service)
        if found.is_err():
            return found.unwrap_err()
        context.software_version = found.unwrap()
        if not state.upstreams.serves_only_others(context.service, context.software_version):
            return None
        reason = f"no upstream of version {context.software_version} serves"
        return Failure(ErrorKind.STREAM_NOT_RESUMABLE, reason)

    async def _authorize(
        self, request: HttpRequest, metadata: RequestMetadata, trace: Trace, until_ms: float
    ) -> Result[tuple[Route, Identity], Failure]:
        """Return the route and the sender of a request, or the reason to reject it.

        The proof of a configuration's age may return within a fraction of the caller's time, as
        after a change of the leader. What is in force may have changed then.
        """
        state = self._state
        while True:
            trace.version = state.version
            if state.routes is None:
                return Err(Failure(ErrorKind.VERSION_UNCONFIRMED, "no configuration is known"))
            route = self.find_route(request)
            if route is None:
                return Err(Failure(ErrorKind.NOT_FOUND, "no route"))
            trace.route = route.name
            authorized = authorize(
                state.routes, route, metadata.key_digest, is_proven=state.proof.is_valid
            )
            left_ms = until_ms - now_ms()
            if authorized.is_ok():
                return Ok((route, authorized.unwrap()))
            failure = authorized.unwrap_err()
            if failure.kind is not ErrorKind.VERSION_UNCONFIRMED or left_ms <= 0:
                state.counters.count(refusal_event(failure, metadata.key_digest))
                return Err(failure)
            await state.proof.wait(left_ms)

    async def _await_configuration(self, until_ms: float) -> None:
        """Wait for the first configuration after a start, for a fraction of the caller's time.

        After a power failure callers still know the addresses and send requests before a
        configuration is available, which takes about a second. Most of them can wait that long.
        """
        while self._state.routes is None and (left_ms := until_ms - now_ms()) > 0:
            await self._state.changed.wait(left_ms)

    def select_service(self, route: Route) -> str:
        """Select the service of a request, among several at random by weight."""
        upstreams = self._state.upstreams
        usable = {t.service for t in route.targets if upstreams.usable(t.service)}
        return choose_service(route, usable, self._random)

    def find_route(self, request: HttpRequest) -> Route | None:
        """Return the route of a request, ``None`` without one or without a configuration."""
        host = (header(request.headers, b"host") or b"").decode("latin-1")
        return self._state.routes.find(host, request.path) if self._state.routes else None

    async def _forward(self, context: RequestContext, answer: Answer) -> None:
        """Try upstreams until one responds or no further attempt is allowed.

        A request that another instance can serve is left without an answer.
        """
        async with trio.open_nursery() as nursery:
            while (
                not may_hand_over(context, self._state)
                and (upstream := await self.attempts.next_upstream(context)) is not None
            ):
                context.refusal = self.attempts.late_start_refusal(
                    context, upstream
                ) or await self._quarantine_refusal(context)
                if context.refusal is not None:
                    break
                if not self.attempts.may_send(context, upstream):
                    continue
                upstream, attempt = await self._hedged.run(context, upstream, nursery)
                if attempt.ending is Ending.ANSWERED and not self._should_retry_response(
                    context, attempt
                ):
                    await self._deliver(context, upstream, attempt, answer, nursery)
                    nursery.cancel_scope.cancel()
                    return
                context.last_attempt = attempt
                if not self._may_retry(context, attempt):
                    break
            nursery.cancel_scope.cancel()
        if context.connect_failures:
            await self._state.connectivity.has_links(ROUND_INTERVAL_MS)
        if not may_hand_over(context, self._state):
            await self._finish_unserved(context, answer)

    async def _quarantine_refusal(self, context: RequestContext) -> Failure | None:
        """Return the reason not to send a request, or ``None``.

        A part may have been quarantined while the request waited. The leader is asked for a trial
        only now: one whose request finds no upstream would put off the next one by minutes.
        """
        gate = self._state.quarantine
        part = gate.quarantined_part(context.metadata, context.trial_part)
        if part is not None:
            return gate.failure(part)
        part = gate.quarantined_part(context.metadata)
        if part is not None and not context.has_trial:
            context.has_trial = await gate.request_trial(part)
            return None if context.has_trial else gate.failure(part)
        return None

    def _should_retry_response(self, context: RequestContext, attempt: AttemptResult) -> bool:
        assert attempt.head is not None
        return attempt.head.status >= 500 and context.route.is_retryable

    def _may_retry(self, context: RequestContext, attempt: AttemptResult) -> bool:
        """Return whether another upstream may be tried after a failed attempt.

        Retries must not add to the load of an overloaded or failing service, so every retry that
        reaches an upstream is charged to the retry budget.
        """
        if context.remaining_ms < MIN_ATTEMPT_MS:
            return False
        if attempt.ending is Ending.WITHDRAWN:
            return True
        if attempt.ending is Ending.NOT_CONNECTED:
            return context.connect_failures <= _MAX_CONNECT_FAILURES
        if attempt.may_have_run and not context.route.is_retryable:
            return False
        if attempt.may_have_run and context.has_trial:
            return False
        if attempt.ending is Ending.FAILED and self._state.quarantine.holds_back(context.metadata):
            return False
        if not context.has_attempt:
            return False
        return self.attempts.spend_retry(context, "repeated")

    # Responses

    async def _deliver(
        self,
        context: RequestContext,
        upstream: UpstreamState,
        attempt: AttemptResult,
        answer: Answer,
        nursery: trio.Nursery,
    ) -> None:
        assert attempt.head is not None
        context.is_delivering = True
        status, headers = attempt.head.status, self._end_to_end(context, upstream, attempt.head)
        if status in NOT_EXECUTED_STATUSES and not context.route.is_retryable:
            # The status would tell the caller that the request was not executed. Only an explicit
            # statement of the upstream proves that, and its outcome is Ending.REFUSED.
            reason = f"status {status} without a statement that the request was not run"
            await self._send_failure(
                answer, context.trace, Failure(ErrorKind.UPSTREAM_FAILED, reason)
            )
            return
        if attempt.connection is None:
            if status < 300:
                self._state.quarantine.record_response(context.metadata)
            await answer.send_whole(status, headers, attempt.body)
            outcome = "served" if status < 500 else "upstream_failed"
            context.trace.finish(self._state.counters, status, outcome)
            return
        await self._streams.deliver(context, upstream, attempt, answer, headers, nursery)
        if not context.trace.is_finished:
            is_late = context.remaining_ms <= MIN_ATTEMPT_MS
            kind = ErrorKind.DEADLINE_EXCEEDED if is_late else ErrorKind.UPSTREAM_FAILED
            failure = Failure(kind, "the stream ended before its first event")
            await self._send_failure(answer, context.trace, failure)

    def _end_to_end(
        self, context: RequestContext, upstream: UpstreamState, head: UpstreamHead
    ) -> Headers:
        headers = end_to_end(head.headers)
        if context.metadata.relayed_by:
            headers += self._state.dialect.answered_by(upstream.row.upstream_id)
        return headers

    async def _finish_unserved(self, context: RequestContext, answer: Answer) -> None:
        """Respond to a request that no upstream has served."""
        context.is_delivering = True
        refund_unless_run(context, self._state)
        last = context.last_attempt
        if last is not None and last.ending is Ending.ANSWERED and last.head is not None:
            headers = end_to_end(last.head.headers)
            await answer.send_whole(last.head.status, headers, last.body)
            context.trace.finish(self._state.counters, last.head.status, "upstream_failed")
            return
        if context.may_have_run:
            is_late = context.remaining_ms <= MIN_ATTEMPT_MS
            kind = ErrorKind.DEADLINE_EXCEEDED if is_late else ErrorKind.UPSTREAM_FAILED
        elif last is not None and last.ending is Ending.REFUSED and not context.is_overloaded:
            failure = self._state.admission.upstream_refusal(
                context,
                last.reason,
                self.attempts.candidates(context),
                last.metadata.retry_after_ms if last.metadata else None,
            )
            await self._send_failure(answer, context.trace, failure)
            return
        elif context.refusal is not None:
            await self._send_failure(answer, context.trace, context.refusal)
            return
        else:
            kind = ErrorKind.NO_UPSTREAM
        reason = last.reason if last else "no upstream"
        await self._send_failure(answer, context.trace, Failure(kind, reason))

    async def _send_failure(self, answer: Answer, trace: Trace, failure: Failure) -> None:
        status = failure.answer.http_status
        headers = refusal_headers(trace.request_id, failure, retry_after_s(failure, self._random))
        trace.attempts.append(failure.message)
        await answer.send_whole(status, headers)
        trace.finish(self._state.counters, status, failure.kind.value)
