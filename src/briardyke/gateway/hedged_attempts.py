"""Send a request to a second upstream while the first one is late with its response."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.clock import now_ms
from briardyke.gateway.attempt import AttemptResult, Ending
from briardyke.gateway.silence import ALIVE_FRACTION
from briardyke.gateway.stream_handover import MAX_OVERLAP_S
from briardyke.gateway.upstreams import UpstreamState
from briardyke.routes.configuration import RequestKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.gateway.request_context import RequestContext
    from briardyke.gateway.state import GatewayState
    from briardyke.gateway.upstream_attempts import UpstreamAttempts

# A retryable request is sent to another upstream after this many latency objectives without a
# response, but not before _MIN_ATTEMPT_TIMEOUT_MS.
_ATTEMPT_TIMEOUT_OBJECTIVES = 3.0
_MIN_ATTEMPT_TIMEOUT_MS = 800.0
# Share of the time left that a second attempt needs.
_MIN_RETRY_TIME_FRACTION = 0.4
# Interval at which an attempt without a response looks for a better upstream again.
_ALTERNATIVE_INTERVAL_MS = 250.0
# Another upstream counts as less loaded when its load is below this fraction of the current one's.
_LESS_LOADED_FRACTION = 0.5
_FIRST_ERROR_STATUS = 500


@attrs.define
class _Exchange:
    """Attempts of one request that run at the same time.

    :param upstream: upstream whose result counts: the first sound one, or the last one to fail.
    :param result: its result.
    :param running: attempts without a result.
    :param nursery: runs them.
    """

    upstream: UpstreamState
    result: AttemptResult | None = None
    running: int = 1
    nursery: trio.Nursery = attrs.field(init=False)

    async def settle(self, upstream: UpstreamState, result: AttemptResult) -> None:
        """Take a result, and end the other attempt if this one is sound."""
        self.running -= 1
        if self.result is not None and _is_sound(self.result):
            await _discard(upstream, result)
            return
        self.upstream, self.result = upstream, result
        if _is_sound(result) or not self.running:
            self.nursery.cancel_scope.cancel()

    async def abandon(self) -> None:
        """Close the connection of a result that nobody takes."""
        if self.result is not None:
            await _discard(self.upstream, self.result)


class HedgedAttempts:
    """Attempts whose upstream keeps a request until another one has responded."""

    def __init__(self, state: GatewayState, attempts: UpstreamAttempts) -> None:
        """Send requests by single attempts."""
        self._state = state
        self._attempts = attempts

    async def run(
        self,
        context: RequestContext,
        upstream: UpstreamState,
        nursery: trio.Nursery,
        on_sent: Callable[[], None] | None = None,
    ) -> tuple[UpstreamState, AttemptResult]:
        """Return the upstream that responded first and its result, or the last failure.

        Load: an upstream is silent for a second or its queue is long; the one that seems better may
        refuse or fail. If the first one lost the request then, nobody would respond.

        :param upstream: receives the request first.
        :param nursery: runs the task that writes a long body.
        :param on_sent: called once the first upstream may start to work on the request.
        """
        exchange = _Exchange(upstream)
        try:
            async with trio.open_nursery() as exchange.nursery:
                first = trio.CancelScope()
                if context.route.is_retryable:
                    exchange.nursery.start_soon(self._run_second, context, exchange, first, nursery)
                result = await self._attempts.run(context, upstream, nursery, on_sent, first)
                if first.cancel_called and result.ending is Ending.TIMED_OUT:
                    context.left_upstreams.add(upstream.row.upstream_id)
                await exchange.settle(upstream, result)
        except BaseException:
            await exchange.abandon()
            raise
        assert exchange.result is not None
        return exchange.upstream, exchange.result

    async def _run_second(
        self,
        context: RequestContext,
        exchange: _Exchange,
        first: trio.CancelScope,
        nursery: trio.Nursery,
    ) -> None:
        """Send the request to a second upstream if the first one is late.

        :param first: attempt at the first one.
        """
        late = exchange.upstream
        second = await self._await_second(context, late)
        if second is None:
            return
        exchange.running += 1
        sent = trio.Event()
        overlap = trio.CancelScope()

        async def limit_overlap() -> None:
            with overlap:
                await sent.wait()
                await trio.sleep(MAX_OVERLAP_S)
                first.cancel()

        if context.route.kind is RequestKind.STREAMING:
            exchange.nursery.start_soon(limit_overlap)
        result = await self._attempts.run(context, second, nursery, sent.set)
        overlap.cancel()
        if _is_sound(result):
            late.health.record_failure(now_ms())
        await exchange.settle(second, result)

    async def _await_second(
        self, context: RequestContext, upstream: UpstreamState
    ) -> UpstreamState | None:
        """Wait until the request may be sent to a second upstream; return it, if there is one.

        Without a retry in the budget, the upstream that has the request is the only one that can
        still respond.
        """
        objective_ms = context.route.latency_objective_ms
        wait_ms = max(_MIN_ATTEMPT_TIMEOUT_MS, _ATTEMPT_TIMEOUT_OBJECTIVES * objective_ms)
        if not context.route.is_retryable:
            return None
        started_ms = now_ms()
        limit_ms = context.deadline_ms - context.remaining_ms * _MIN_RETRY_TIME_FRACTION
        while now_ms() + wait_ms < limit_ms:
            await trio.sleep(wait_ms / 1000.0)
            wait_ms = _ALTERNATIVE_INTERVAL_MS
            if not self._may_hedge(context):
                continue
            waited_ms = now_ms() - started_ms
            second = await self._attempts.next_upstream(
                context, partial(self._better_upstreams, context, upstream, waited_ms)
            )
            if second is not None and self._attempts.spend_retry(context, "repeated"):
                return second
            context.end_unsent_dispatches()
        return None

    def _may_hedge(self, context: RequestContext) -> bool:
        """Return whether two upstreams may have the request at the same time."""
        is_last = context.sent_attempts + 1 >= context.route.max_attempts
        if is_last and not context.left_upstreams:
            return False
        return not context.has_trial and not self._state.quarantine.holds_back(context.metadata)

    def _better_upstreams(
        self, context: RequestContext, upstream: UpstreamState, waited_ms: float
    ) -> list[UpstreamState]:
        """Return the upstreams that may respond sooner than the one that has the request.

        If every other one is as loaded, trying a second one adds to the overload. One with a limit
        may have no permit for it.

        :param waited_ms: time for which the request has had no response.
        """
        others = [
            s
            for s in self._attempts.candidates(context)
            if self._state.limits.limit_per_s(s.row) is None
            and self._attempts.late_start_refusal(context, s) is None
        ]
        limit_ms = waited_ms * ALIVE_FRACTION
        is_silent = upstream.is_silent_for(limit_ms)
        if is_silent:
            live = self._attempts.alternatives(context, upstream, waited_ms)
            others = [s for s in others if s in live]
        load = upstream.load() - 1.0  # without this request
        less_loaded = [s for s in others if s.load() < load * _LESS_LOADED_FRACTION]
        if less_loaded or not is_silent:
            return less_loaded
        return [
            s
            for s in others
            if s.is_alive_for(limit_ms) or s.row.upstream_id in context.left_upstreams
        ]


def _is_sound(result: AttemptResult) -> bool:
    return (
        result.ending is Ending.ANSWERED
        and result.head is not None
        and result.head.status < _FIRST_ERROR_STATUS
    )


async def _discard(upstream: UpstreamState, result: AttemptResult) -> None:
    if result.connection is not None:
        upstream.end_request()
        if result.dispatch is not None:
            result.dispatch.end()
        await result.connection.aclose()
