"""Ask the coordinator of a service for engines, and report what becomes of the requests."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any, Protocol

import attrs

from briardyke.addresses import Address
from briardyke.clock import now_ms, wall_unix_ms
from briardyke.dispatch.coordinator import HOLD_MS
from briardyke.dispatch.messages import (
    DispatchReply,
    ExplainReply,
    ExplainRequest,
    Observation,
    ObservationKind,
    Outcome,
)
from briardyke.errors import ErrorKind
from briardyke.gateway.coordinators import Coordinators
from briardyke.gateway.dispatch_observations import DispatchObservations
from briardyke.logs import log_limited
from briardyke.sync.notifier import Notifier

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from result import Result

    from briardyke.dispatch.messages import DispatchRequest
    from briardyke.errors import Failure
    from briardyke.gateway.counters import Counters
    from briardyke.gateway.dialect import LoadReport

# Time beyond the longest hold after which a coordinator counts as silent.
REPLY_MARGIN_MS = 100.0
CALL_TIMEOUT_MS = HOLD_MS + REPLY_MARGIN_MS
# Coordinators that one request asks in turn: two control instances may be lost at once. Two silent
# ones take as long as a live stream may take to its first event.
_MAX_COORDINATORS = 3
_MAX_ASK_MS = 2 * CALL_TIMEOUT_MS
# Coordinators space explanations by their cost, so one may wait for others.
EXPLAIN_TIMEOUT_MS = 2000.0


class Peer(Protocol):
    """Connection to a control instance."""

    async def call(self, message: Any, timeout_ms: float) -> Result[Any, Failure]:
        """Send a message and wait for its reply."""

    def send(self, message: Any) -> None:
        """Send a one-way message."""


class Peers(Protocol):
    """Connections to control instances."""

    def client(self, address: Address) -> Peer:
        """Return the connection to an address."""


@attrs.define
class Dispatch:
    """Request that a coordinator has placed, until its end is reported.

    :param client: reports about it.
    :param coordinator: control instance that placed it.
    :param service: its service.
    :param request_id: its id at the coordinator.
    :param upstream_id: engine that it was placed on.
    :param expected_first_ms: expected time to its first event.
    :param placed_ms: time at which it was placed.
    """

    client: DispatchClient
    coordinator: Address
    service: str
    request_id: str
    upstream_id: str
    expected_first_ms: float
    placed_ms: float = attrs.field(factory=now_ms)
    _has_event: bool = False
    _has_ended: bool = False

    def record_first_event(self) -> float:
        """Report the first event; return the time from the placement to it."""
        took_ms = now_ms() - self.placed_ms
        if not self._has_event:
            self._has_event = True
            self._report(ObservationKind.FIRST_EVENT, took_ms)
        return took_ms

    def record_interval(self, interval_ms: float) -> None:
        """Report the time between two events, at a limited rate for each engine."""
        if self.client.takes_interval(self.upstream_id):
            self._report(ObservationKind.EVENT_INTERVAL, interval_ms)

    def end(self, *, has_failed: bool = False) -> None:
        """Report that the engine no longer has the request.

        A request that ends before its first event and was neither refused nor lost says nothing
        about the engine, which is avoided after a few failures.

        :param has_failed: whether the engine refused it, lost it or could not be reached.
        """
        if self._has_ended:
            return
        self._has_ended = True
        if self._has_event or has_failed:
            self._report(ObservationKind.ENDED, 0.0)
        else:
            self.client.cancel(self.coordinator, self.service, self.request_id)

    def _report(self, kind: ObservationKind, took_ms: float) -> None:
        seen = Observation(kind.value, self.upstream_id, 0.0, self.request_id, took_ms)
        self.client.report(self.coordinator, self.service, seen)


class DispatchClient:
    """Requests of this entry instance for engines."""

    def __init__(
        self,
        instance_id: str,
        peers: Peers,
        controls: Callable[[], Sequence[Address]],
        counters: Counters,
    ) -> None:
        """Start without requests; :meth:`run` sends reports.

        :param instance_id: this entry instance.
        :param peers: connections to control instances.
        :param controls: returns the listed control instances.
        :param counters: counts requests and reports.
        """
        self.instance_id = instance_id
        self._peers = peers
        self._controls = controls
        self._counters = counters
        self._coordinators = Coordinators()
        self._observations = DispatchObservations(instance_id)
        self._due_ms = float("inf")
        self._changed = Notifier()
        # Callers choose the ids of their requests, and several attempts of one are under way.
        self._prefix = f"{instance_id}/{wall_unix_ms():x}"
        self._numbers = itertools.count(1)

    def new_request_id(self) -> str:
        """Return an id that no other request of any instance has."""
        return f"{self._prefix}/{next(self._numbers)}"

    async def ask(
        self, request: DispatchRequest, max_wait_ms: float
    ) -> tuple[Address, DispatchReply] | None:
        """Ask the coordinators of a service in order.

        :param max_wait_ms: longest time that the request may still wait.
        :return: the first reply and its sender, ``None`` without one.
        """
        # A rejection at the end of its wait is still on its way then.
        until_ms = now_ms() + min(max_wait_ms + REPLY_MARGIN_MS, _MAX_ASK_MS)
        order = self._coordinators.order(request.service, self._controls(), now_ms())
        for address in order[:_MAX_COORDINATORS]:
            left_ms = until_ms - now_ms()
            if left_ms <= 0:
                break
            reply = await self._call(address, request, min(CALL_TIMEOUT_MS, left_ms))
            if reply is not None:
                return address, reply
        return None

    async def _call(
        self, address: Address, request: DispatchRequest, timeout_ms: float
    ) -> DispatchReply | None:
        service, started_ms = request.service, now_ms()
        self._coordinators.begin(address, service, started_ms)
        seen = self._observations.take(address, service, started_ms)
        reply = failure = None
        try:
            result = await self._peers.client(address).call(
                attrs.evolve(request, observations=seen), timeout_ms
            )
            reply, failure = result.ok(), result.err()
        finally:
            if not isinstance(reply, DispatchReply):
                # It may have placed or queued the request all the same.
                self.cancel(address, service, request.request_id)
        waited_ms = now_ms() - started_ms
        # An instance that does not know the engines of the service yet says so at once.
        is_declined = failure is not None and failure.kind is ErrorKind.PROTOCOL_VIOLATION
        if isinstance(reply, DispatchReply) or is_declined:
            self._coordinators.record_answer(address, service)
        elif waited_ms < timeout_ms - 1.0 or timeout_ms >= CALL_TIMEOUT_MS - 1.0:
            # A shorter time-out than usual says nothing about the instance.
            self._coordinators.record_silence(address, service, now_ms())
        if isinstance(reply, DispatchReply):
            return reply
        self._counters.count("dispatch_unanswered")
        log_limited(
            "dispatch_unanswered",
            is_routine=False,
            control=address,
            service=service,
            request=request.request_id,
            waited_ms=round(waited_ms),
            reason=failure.kind.value if failure else "unexpected_reply",
        )
        return None

    async def explain(self, request: DispatchRequest) -> tuple[Address, ExplainReply] | None:
        """Ask the coordinators in the order of :meth:`ask` what would become of a request now.

        Nothing is counted, and a silent coordinator stays the first one to ask.

        :return: the first reply and its sender, ``None`` without one.
        """
        order = self._coordinators.order(request.service, self._controls(), now_ms())
        for address in order[:_MAX_COORDINATORS]:
            call = self._peers.client(address).call(ExplainRequest(request), EXPLAIN_TIMEOUT_MS)
            reply = (await call).ok()
            if isinstance(reply, ExplainReply):
                return address, reply
        return None

    def placed(
        self, coordinator: Address, request: DispatchRequest, reply: DispatchReply
    ) -> Dispatch:
        """Return the dispatch of a placed request, which the caller must end."""
        assert reply.outcome == Outcome.PLACED.value
        return Dispatch(
            self,
            coordinator,
            request.service,
            request.request_id,
            reply.upstream_id,
            reply.expected_first_ms,
        )

    def cancel(self, coordinator: Address, service: str, request_id: str) -> None:
        """Withdraw a request that has not been placed as far as this instance knows."""
        self._observations.cancel(coordinator, service, request_id, now_ms())
        self._wake()

    # Reports

    def report(self, coordinator: Address, service: str, seen: Observation) -> None:
        """Report an observation of now."""
        self._observations.add(coordinator, service, seen, now_ms())
        self._wake()

    def report_load(self, service: str, upstream_id: str, load: LoadReport) -> None:
        """Report the load that an engine has stated in a response."""
        coordinator = self._coordinator(service)
        if coordinator is not None:
            seen = Observation(
                ObservationKind.LOAD.value,
                upstream_id,
                0.0,
                running=load.running,
                waiting=load.waiting,
                slots=load.slots,
                slowness=load.slowness or 0.0,
            )
            self.report(coordinator, service, seen)

    def takes_interval(self, upstream_id: str) -> bool:
        """Return whether an event interval of an engine should be reported now."""
        return self._observations.takes_interval(upstream_id, now_ms())

    def _coordinator(self, service: str) -> Address | None:
        order = self._coordinators.order(service, self._controls(), now_ms())
        return order[0] if order else None

    def _wake(self) -> None:
        due_ms = self._observations.due_ms()
        if due_ms < self._due_ms:
            self._due_ms = due_ms
            self._changed.notify()

    async def run(self) -> None:
        """Send reports when they are due, until cancelled."""
        while True:
            now = now_ms()
            for coordinator, report in self._observations.take_due(now):
                self._peers.client(coordinator).send(report)
                self._counters.count("dispatch_report")
            self._due_ms = self._observations.due_ms()
            await self._changed.wait(max(1.0, self._due_ms - now))
