"""Select an upstream for a request and send the request to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.clock import now_ms
from briardyke.gateway.adapters import ADAPTER_RETRY_MS
from briardyke.gateway.attempt import AttemptResult, AttemptRunner, Ending
from briardyke.gateway.attempt_feedback import record_attempt, record_own_close
from briardyke.gateway.coordinated_choice import CoordinatedChoice, Decision
from briardyke.gateway.dialect import ForwardingMetadata
from briardyke.gateway.silence import live_alternatives
from briardyke.gateway.upstream_selection import choose_upstream
from briardyke.gateway.upstreams import CONNECT_PROBE_INTERVAL_MS, ENGINE_RUNNING_WEIGHT
from briardyke.logs import log_limited

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from briardyke.errors import Failure
    from briardyke.gateway.dialect import ResponseMetadata
    from briardyke.gateway.request_context import RequestContext
    from briardyke.gateway.state import GatewayState
    from briardyke.gateway.upstreams import UpstreamState

# Time reserved for returning the response, since an upstream may respond right at its deadline.
_RESPONSE_MARGIN_MS = 60.0
# Shortest time in which an attempt can still succeed.
MIN_ATTEMPT_MS = 25.0
# A shorter wait is none: one of less than the clock's resolution would be repeated without end.
_MIN_WAIT_MS = 1.0


class UpstreamAttempts:
    """Attempts of requests at the upstreams of their services."""

    def __init__(self, state: GatewayState, random: random.Random) -> None:
        """Use the state of an entry instance."""
        self._state = state
        self._random = random
        self.runner = AttemptRunner(state.dialect, self._record_head)

    async def next_upstream(
        self, context: RequestContext, select: Callable[[], list[UpstreamState]] | None = None
    ) -> UpstreamState | None:
        """Select an upstream, waiting for a model or adapter that is being loaded.

        A stream of a coordinated service is given one by the coordinator of its
        service, and also waits for a place there.

        :param select: returns the upstreams to select from; without any, none is waited for.
        """
        context.end_unsent_dispatches()
        with CoordinatedChoice(self._state, context, may_wait=select is None) as choice:
            return await self._search(context, select, choice)

    async def _search(
        self,
        context: RequestContext,
        select: Callable[[], list[UpstreamState]] | None,
        choice: CoordinatedChoice,
    ) -> UpstreamState | None:
        state = self._state
        while context.remaining_ms > MIN_ATTEMPT_MS:
            candidates = select() if select is not None else self.candidates(context)
            if select is not None and not candidates:
                return None
            if candidates:
                decision, chosen = await choice.choose(candidates)
                if decision is Decision.REJECTED:
                    return None
                if decision is Decision.UNDECIDED:
                    continue
                if decision is Decision.LOCAL:
                    chosen = await self._choose(context, candidates)
                if chosen is not None:
                    if not self.may_send(context, chosen):
                        continue
                    if await self._take_permit(context, chosen) and self.may_send(context, chosen):
                        return chosen
                    continue
                wait_ms = min(ADAPTER_RETRY_MS, state.admission.remaining_wait_ms(context, state))
                if wait_ms < _MIN_WAIT_MS:
                    return None
                await trio.sleep(wait_ms / 1000.0)
                continue
            wait_ms = state.admission.remaining_wait_ms(context, state)
            closed_ms = self.closed_ms(context)
            if closed_ms is not None:
                # What has run already can only go on; anything else can come back.
                if not context.may_have_run or wait_ms < closed_ms:
                    context.refusal = state.admission.limit_refusal(context, state, closed_ms)
                    return None
                await state.changed.wait(max(_MIN_WAIT_MS, closed_ms))
                continue
            if wait_ms < _MIN_WAIT_MS:
                return None
            # An unreachable upstream is tried again after a while even without a notification.
            await state.changed.wait(min(wait_ms, context.remaining_ms, CONNECT_PROBE_INTERVAL_MS))
        return None

    def draw(
        self, context: RequestContext, candidates: Sequence[UpstreamState]
    ) -> UpstreamState | None:
        """Draw an upstream by load, without a coordinator and whatever adapter it has."""
        state, metadata = self._state, context.metadata
        return choose_upstream(
            candidates,
            metadata,
            state.data_centre,
            self._random,
            state.unreported_requests(metadata.model or context.service),
        )

    async def _choose(
        self, context: RequestContext, candidates: Sequence[UpstreamState]
    ) -> UpstreamState | None:
        """Return the upstream to use, ``None`` when none can load the request's adapter now."""
        state, metadata = self._state, context.metadata
        chosen = self.draw(context, candidates)
        if chosen is None or not metadata.adapter:
            return chosen
        return await state.adapters.find_upstream(metadata, candidates, chosen)

    def late_start_refusal(
        self, context: RequestContext, upstream: UpstreamState
    ) -> Failure | None:
        """Return the reason not to start a stream on the selected upstream, or ``None``.

        The coordinator that gave it a place there knows better than this instance.
        """
        if upstream.row.upstream_id in context.unsent_dispatches:
            return None
        return self._state.admission.late_start_refusal(context, upstream)

    async def _take_permit(self, context: RequestContext, upstream: UpstreamState) -> bool:
        """Wait for a permit if the upstream has a limit; return whether the request may be sent."""
        limits = self._state.limits
        if limits.limit_per_s(upstream.row) is None:
            # Without a task switch, so that requests released together see each other's choices.
            return True
        wait_ms = await limits.take_permit(upstream.row, self.open(context))
        if wait_ms is None:
            return False
        await trio.sleep(wait_ms / 1000.0)
        return True

    def closed_ms(self, context: RequestContext) -> float | None:
        """Return the time until an upstream accepts the request, ``None`` if none could run it."""
        limits = self._state.limits
        waits_ms = [max(limits.next_permit_ms(s.row), s.closed_ms) for s in self.able(context)]
        return min(waits_ms, default=None)

    def candidates(self, context: RequestContext) -> list[UpstreamState]:
        """Return the upstreams to which the request may be sent now."""
        return self._state.limits.admitted(self.open(context))

    def may_send(self, context: RequestContext, upstream: UpstreamState) -> bool:
        """Return whether a request may still be sent to an upstream that was selected earlier.

        It may have left, restarted or asked for a pause while the request waited.
        """
        return any(state is upstream for state in self.open(context))

    def open(self, context: RequestContext) -> list[UpstreamState]:
        """Return the upstreams that could run the request and want requests now."""
        return [s for s in self.able(context) if not s.closed_ms]

    def able(self, context: RequestContext) -> list[UpstreamState]:
        """Return the upstreams that could run the request."""
        usable = self._state.upstreams.reachable(context.service, context.software_version)
        model = context.metadata.model
        if model and self._state.is_engine(context.service):
            usable = [s for s in usable if s.holds(model)]
        return [s for s in usable if context.may_use(s.row.upstream_id)]

    def alternatives(
        self, context: RequestContext, current: UpstreamState, silent_ms: float
    ) -> list[UpstreamState]:
        """Return the upstreams to which a request may move from one that is silent to it.

        :param silent_ms: time for which it has received nothing.
        """
        upstreams = self._state.upstreams.usable(context.service)
        return live_alternatives(silent_ms, current, self.candidates(context), upstreams)

    async def run(
        self,
        context: RequestContext,
        upstream: UpstreamState,
        nursery: trio.Nursery,
        on_sent: Callable[[], None] | None = None,
        scope: trio.CancelScope | None = None,
    ) -> AttemptResult:
        """Send a request to an upstream and record the outcome.

        :param nursery: runs the task that writes a long body.
        :param on_sent: called once the upstream may start to work on the request.
        :param scope: ends the attempt as late when it is cancelled.
        """
        upstream_id = upstream.row.upstream_id
        dispatch = context.unsent_dispatches.pop(upstream_id, None)
        context.tried_upstreams.add(upstream_id)
        context.attempts_begun += 1
        was_left = upstream_id in context.left_upstreams
        context.left_upstreams.discard(upstream_id)
        load = upstream.load()
        context.trace.start_attempt(len(self.candidates(context)) + 1)
        call = ForwardingMetadata(
            upstream_id,
            max(1.0, context.remaining_ms - _RESPONSE_MARGIN_MS / 2),
            context.priority,
            context.metadata.last_event_id,
            context.account,
        )
        self._log_limited_send(context, upstream)
        is_engine = self._state.is_engine(context.service)
        upstream.running_weight = ENGINE_RUNNING_WEIGHT if is_engine else 1.0
        upstream.begin_request()
        started_ms = now_ms()
        is_sent = False

        def record_sent() -> None:
            nonlocal is_sent
            is_sent = True
            context.unanswered += 1
            if on_sent is not None:
                on_sent()

        try:
            attempt = await self.runner.run(
                upstream,
                context.request,
                context.metadata.request_id,
                call,
                context.remaining_ms,
                is_retryable=context.route.is_retryable,
                buffer=context.buffer,
                nursery=nursery,
                on_sent=record_sent,
                scope=scope,
            )
        except BaseException:
            upstream.end_request()
            if dispatch is not None:
                dispatch.end()
            if is_sent:
                record_own_close(context)
            else:
                context.tried_upstreams.discard(upstream_id)
                context.left_upstreams.update({upstream_id} if was_left else ())
            raise
        finally:
            upstream.pending -= 1
            context.unanswered -= int(is_sent)
        if attempt.connection is None:
            upstream.end_request()
            if dispatch is not None:
                is_failure = attempt.ending not in (Ending.ANSWERED, Ending.WITHDRAWN)
                dispatch.end(has_failed=is_failure)
        attempt.dispatch = dispatch
        record_attempt(context, upstream, attempt, now_ms() - started_ms, load)
        context.trace.add_attempt(upstream_id, attempt.reason or attempt.ending.value, load)
        if attempt.is_lost:
            await self._state.quarantine.record_loss(upstream.row, context.metadata)
        return attempt

    def _record_head(
        self, upstream: UpstreamState, response: ResponseMetadata, sent_ms: float
    ) -> None:
        upstream.record_sign()
        upstream.statements.record(upstream.row, response, self._state.listed_count)
        self._state.limits.record(upstream.row, response.limit_per_s, sent_ms)
        dispatch, service = self._state.dispatch, upstream.row.service
        if (
            dispatch is not None
            and response.load is not None
            and (response.load.slowness is not None or self._state.is_coordinated(service))
            and self._state.is_engine(service)
        ):
            dispatch.report_load(service, upstream.row.upstream_id, response.load)

    def _log_limited_send(self, context: RequestContext, upstream: UpstreamState) -> None:
        limit_per_s = self._state.limits.limit_per_s(upstream.row)
        if limit_per_s is None:
            return
        self._state.counters.count("limited_upstream_send")
        log_limited(
            "limited_upstream_send",
            is_routine=True,
            request=context.metadata.request_id,
            upstream=upstream.row.upstream_id,
            limit_per_s=limit_per_s,
            attempt=context.sent_attempts + 1,
            resumed=bool(context.metadata.last_event_id),
        )

    def spend_retry(self, context: RequestContext, event: str) -> bool:
        """Charge a retry to the budget of the service; return whether the budget allows it."""
        is_allowed = self._state.budget(context.service).try_spend(now_ms())
        self._state.counters.count(event if is_allowed else "budget_exhausted")
        return is_allowed
