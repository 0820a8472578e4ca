"""Let the coordinator of a service choose the engine of a stream."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, TypeVar

import trio

from briardyke.clock import now_ms
from briardyke.dispatch.messages import DispatchReply, DispatchRequest, Outcome
from briardyke.errors import ErrorKind, Failure
from briardyke.gateway.admission import caller_event_timeout_ms
from briardyke.logs import log_limited
from briardyke.routes.configuration import RequestKind

if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import TracebackType

    from briardyke.addresses import Address
    from briardyke.gateway.dispatch_client import DispatchClient
    from briardyke.gateway.request_context import RequestContext
    from briardyke.gateway.state import GatewayState
    from briardyke.gateway.upstreams import UpstreamState

_T = TypeVar("_T")
# Fraction of the caller's event timeout and of its time limit that the first event may take; the
# rest covers the error of the coordinator's estimate.
_MAX_FIRST_EVENT_FRACTION = 0.75
# Longest pause before a stream that has begun asks again after a rejection.
_REPEAT_MS = 100.0


# Parts of a prompt that are named to the coordinator, the first ones and the last one, which is
# unique to the request. A caller may list thousands.
_MAX_PARTS = 32


class Decision(Enum):
    """What is known of the engine of a stream."""

    PLACED = "placed"
    UNDECIDED = "undecided"
    REJECTED = "rejected"
    LOCAL = "local"


def _bounded(parts: tuple[_T, ...]) -> list[_T]:
    if len(parts) <= _MAX_PARTS:
        return list(parts)
    return [*parts[: _MAX_PARTS - 1], parts[-1]]


def applies_to(state: GatewayState, context: RequestContext) -> bool:
    """Return whether a coordinator chooses the upstreams of a request."""
    return (
        state.dispatch is not None
        and context.route.kind is RequestKind.STREAMING
        and state.is_coordinated(context.service)
    )


class CoordinatedChoice:
    """One search of a stream for an engine.

    Load: the engines of a service receive more prompts than they can process in time. Of the
    requests of all entry instances, those that still meet their objectives are given a place,
    others wait at the coordinator for one, and the rest is rejected while its caller can still
    return.
    A request that leaves the search without a place leaves the queue as well.
    """

    def __init__(self, state: GatewayState, context: RequestContext, *, may_wait: bool) -> None:
        """Use the state of an entry instance.

        :param may_wait: whether the request may wait for a place. A second attempt beside one under
            way may not.
        """
        self._state = state
        self._context = context
        self._may_wait = may_wait
        self._client = state.dispatch if applies_to(state, context) else None
        self._request_id = ""
        self._queued_at: Address | None = None

    def __enter__(self) -> CoordinatedChoice:
        """Return the search."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Leave the queue."""
        if self._queued_at is not None and kind is None and self._context.refusal is None:
            self._reject("no engine was free before the deadline", None)
        self._leave_queue()

    async def choose(
        self, candidates: Sequence[UpstreamState]
    ) -> tuple[Decision, UpstreamState | None]:
        """Ask for one of the candidates, which may take as long as a queued request is held.

        :return: ``PLACED`` with an upstream, or with ``None`` when none can load the adapter now;
            ``LOCAL`` when this instance has to choose.
        """
        client, context = self._client, self._context
        if client is None:
            return Decision.LOCAL, None
        context.end_unsent_dispatches()
        if self._is_stopped():
            return Decision.REJECTED, None
        max_wait_ms = self._max_wait_ms()
        if max_wait_ms <= 0:
            self._reject("no engine was free in time", None)
            return Decision.REJECTED, None
        holders = self._holders(candidates)
        usable = holders or candidates
        request = self._request(client, usable, max_wait_ms)
        started_ms = now_ms()
        try:
            answer = await client.ask(request, max_wait_ms)
        finally:
            waited_ms = now_ms() - started_ms
            context.trace.dispatch_wait_ms += waited_ms
            self._state.counters.count("dispatch_wait_ms", round(waited_ms))
        if answer is None:
            return self._fall_back("no coordinator"), None
        coordinator, reply = answer
        if self._queued_at not in (None, coordinator):
            client.cancel(self._queued_at, context.service, self._request_id)
        if reply.outcome == Outcome.QUEUED.value:
            return self._wait(coordinator), None
        was_queued = self._queued_at is not None
        self._request_id, self._queued_at = "", None
        if reply.outcome == Outcome.REJECTED.value:
            return await self._take_rejection(reply), None
        dispatch = client.placed(coordinator, request, reply)
        chosen = next((c for c in usable if c.row.upstream_id == reply.upstream_id), None)
        if chosen is None:
            dispatch.end()
            if was_queued:
                return Decision.UNDECIDED, None  # the upstream has left meanwhile
            return self._fall_back("unknown upstream"), None
        # Whatever ends the search or the request without sending it ends its place.
        context.unsent_dispatches[reply.upstream_id] = dispatch
        return await self._take_place(chosen, candidates, holders)

    def preview(self, candidates: Sequence[UpstreamState], request_id: str) -> DispatchRequest:
        """Return the request that :meth:`choose` would send, under an id of no request."""
        assert self._client is not None
        self._request_id = request_id
        usable = self._holders(candidates) or candidates
        return self._request(self._client, usable, self._max_wait_ms())

    def _holders(self, candidates: Sequence[UpstreamState]) -> list[UpstreamState]:
        """Return the candidates that have the adapter of the request, if it needs one."""
        metadata = self._context.metadata
        if not metadata.adapter:
            return []
        return [c for c in candidates if c.holds_adapter(metadata.model, metadata.adapter)]

    def _wait(self, coordinator: Address) -> Decision:
        if not self._may_wait:
            self._queued_at = coordinator
            self._leave_queue()
            return Decision.REJECTED
        if self._queued_at is None:
            self._state.counters.count("dispatch_queued")
        self._queued_at = coordinator
        return Decision.UNDECIDED

    async def _take_rejection(self, reply: DispatchReply) -> Decision:
        self._state.counters.count("dispatch_rejected")
        if not self._may_wait:
            return Decision.REJECTED
        if self._context.may_have_run:
            pause_ms = min(max(1.0, reply.retry_after_ms), _REPEAT_MS)
            await trio.sleep(pause_ms / 1000.0)
            return Decision.UNDECIDED
        self._reject(reply.reason or "no engine can serve it in time", reply.retry_after_ms)
        return Decision.REJECTED

    async def _take_place(
        self,
        chosen: UpstreamState,
        candidates: Sequence[UpstreamState],
        holders: Sequence[UpstreamState],
    ) -> tuple[Decision, UpstreamState | None]:
        """Take a place on an engine, which loads the adapter if it lacks it."""
        context, metadata = self._context, self._context.metadata
        if metadata.adapter and chosen not in holders:
            loaded = await self._state.adapters.load_on(metadata, candidates, chosen)
            if loaded is not chosen:
                context.end_unsent_dispatches()
                # If another upstream has the adapter, the next request is for this one only.
                return (Decision.PLACED if loaded is None else Decision.UNDECIDED), None
        self._state.counters.count("dispatch_placed")
        return Decision.PLACED, chosen

    def _fall_back(self, reason: str) -> Decision:
        """Choose without a coordinator, as for other engines."""
        self._leave_queue()
        self._request_id = ""
        self._state.counters.count("dispatch_fallback")
        log_limited(
            "dispatch_fallback",
            is_routine=False,
            request=self._context.metadata.request_id,
            service=self._context.service,
            reason=reason,
        )
        return Decision.LOCAL

    def _request(
        self, client: DispatchClient, usable: Sequence[UpstreamState], max_wait_ms: float
    ) -> DispatchRequest:
        context, metadata = self._context, self._context.metadata
        self._request_id = self._request_id or client.new_request_id()
        waited_ms = now_ms() - context.last_progress_ms
        return DispatchRequest(
            client.instance_id,
            self._request_id,
            context.service,
            metadata.model,
            metadata.adapter,
            [s.row.upstream_id for s in usable],
            [s.row.upstream_id for s in usable if s.pool.has_idle],
            self._state.data_centre,
            metadata.prompt_tokens or sum(metadata.prefix_tokens),
            metadata.max_output_tokens,
            _bounded(metadata.prefix_ids),
            _bounded(metadata.prefix_tokens),
            context.account or "",
            context.identity.priority,
            context.route.priority,
            max(0.0, context.route.latency_objective_ms - waited_ms),
            context.route.event_gap_objective_ms,
            max_wait_ms,
        )

    def _max_wait_ms(self) -> float:
        """Return how long the request may still wait for its next event.

        The caller of a stream that an engine has worked on, or still does, cannot come back, so it
        tries until its caller gives up.
        """
        context = self._context
        waited_ms = now_ms() - context.last_progress_ms
        event_timeout_ms = caller_event_timeout_ms(context.route)
        if context.may_have_run or not self._may_wait:
            return min(max(_REPEAT_MS, event_timeout_ms - waited_ms), context.remaining_ms)
        return min(
            event_timeout_ms * _MAX_FIRST_EVENT_FRACTION - waited_ms,
            (context.deadline_ms - context.last_progress_ms) * _MAX_FIRST_EVENT_FRACTION
            - waited_ms,
        )

    def _is_stopped(self) -> bool:
        """Return whether a planned stop of this instance ends the wait."""
        state, context = self._state, self._context
        if self._queued_at is None or not state.is_stopping:
            return False
        if context.deadline_ms <= state.stop_ms:
            return False
        context.refusal = Failure(ErrorKind.DRAINING, "this instance is shutting down")
        return True

    def _reject(self, reason: str, retry_after_ms: float | None) -> None:
        context = self._context
        if not self._may_wait:
            return
        context.is_overloaded = True
        rounded = None if retry_after_ms is None else round(retry_after_ms)
        context.refusal = Failure(ErrorKind.OVERLOADED, reason, retry_after_ms=rounded)
        log_limited(
            "dispatch_rejected",
            is_routine=True,
            request=context.metadata.request_id,
            service=context.service,
            model=context.metadata.model,
            retry_after_ms=rounded,
            reason=reason,
        )

    def _leave_queue(self) -> None:
        if self._queued_at is not None and self._client is not None:
            self._client.cancel(self._queued_at, self._context.service, self._request_id)
            self._queued_at = None
