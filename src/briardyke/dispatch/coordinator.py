"""Coordinate the engines of services for all entry instances, on a control instance."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.clock import now_ms
from briardyke.dispatch.dispatcher import Dispatcher
from briardyke.dispatch.explanation import foresee
from briardyke.dispatch.messages import DispatchReply, ExplainReply, ObservationKind, Outcome
from briardyke.dispatch.request_records import PlacedRequests, ReturningRequests
from briardyke.fleet.records import READY
from briardyke.logs import log_event, log_limited
from briardyke.routes.configuration import EngineSpec
from briardyke.sync.notifier import Notifier

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from briardyke.dispatch.messages import DispatchReport, DispatchRequest, Observation
    from briardyke.fleet.control import ControlInstance
    from briardyke.routes.configuration import ServingConfiguration

# Longest time for which a queued request is held before it is answered "queued". Entry instances
# wait 100 ms longer, so that a silent coordinator costs a request a quarter of a second.
HOLD_MS = 150.0
# Shortest time between two decisions on the queue of a service. Hundreds of observations arrive per
# second; a decision after each of them would cost more than the requests themselves.
MIN_ADVANCE_INTERVAL_MS = 5.0
# Time between two passes over a queue, in times of the processor time of the last one; the time on
# the clock would also count what other processes do. The processor time of a control instance is
# limited, and replies that are later than the time-out of the entry instances would divide the
# requests between two coordinators.
_PASS_SPACING = 4.0
# Counted at most, so that the queue is looked at 25 times a second also when it is very long.
_MAX_PASS_MS = 10.0
_MIN_PASS_MS = 1.0
# Time between two explanations, in times of the processor time of the last one. Each copies the
# state of a service and makes a pass over its queue: 60 to 90 ms with 56 engines and 440 requests.
_EXPLANATION_SPACING = 20.0
_UNLIMITED_TOKENS = 10**9
# Interval of the checks against rows and summed in-flight counts, as often as the sums change.
_CHECK_INTERVAL_MS = 250.0
# Age of the summed in-flight counts: a part of the intervals of the reports of entry instances and
# of the exchange between control instances.
IN_FLIGHT_AGE_MS = 400.0
# Interval at which the decisions on each service are logged.
_LOG_INTERVAL_MS = 10_000.0
# Time without a request or a report after which a service is forgotten. At the lowest loads, an
# engine of a service answers every few seconds.
UNUSED_TTL_MS = 30_000.0


@attrs.define
class _Held:
    """Queued request whose reply is held.

    :param decided: set when it is decided or cancelled.
    :param is_cancelled: whether its caller has left.
    """

    decided: trio.Event = attrs.field(factory=trio.Event)
    is_cancelled: bool = False


@attrs.define
class _Service:
    """One coordinated service.

    :param dispatcher: its decisions.
    :param spec: its engines, as last given to the dispatcher.
    :param row_sequence: sequence of the upstream table, as last given to it.
    :param upstream_ids: its ready engines.
    :param used_ms: time of the last request or report.
    :param held: held requests by id.
    :param logged: decisions of its dispatcher when they were last logged.
    :param advanced_ms: time of the last decision on its queue.
    :param due_ms: time of the next one.
    """

    dispatcher: Dispatcher
    used_ms: float
    spec: EngineSpec | None = None
    row_sequence: int = -1
    upstream_ids: frozenset[str] = frozenset()
    held: dict[str, _Held] = attrs.field(factory=dict)
    logged: Counter[str] = attrs.field(factory=Counter)
    advanced_ms: float = float("-inf")
    due_ms: float = float("inf")

    def answer_held(self, request_ids: Iterable[str]) -> None:
        """Answer those of the requests that are held."""
        for request_id in request_ids:
            held = self.held.pop(request_id, None)
            if held is not None:
                held.decided.set()


class DispatchCoordinator:
    """Answer the requests of entry instances for an engine.

    Load: 88 entry instances see about two requests a second each, and the prompts of bursts reach
    an engine within less time than any summed report takes. The coordinator of a service knows all
    dispatches at once.
    """

    def __init__(
        self,
        control: ControlInstance,
        configuration: Callable[[], ServingConfiguration | None],
        create_dispatcher: Callable[[], Dispatcher] = Dispatcher,
    ) -> None:
        """Use the rows of a control instance; :meth:`run` decides on queued requests.

        :param configuration: returns the decoded configuration in force.
        :param create_dispatcher: creates the dispatcher of one service.
        """
        self._control = control
        self._configuration = configuration
        self._create_dispatcher = create_dispatcher
        self._services: dict[str, _Service] = {}
        self._placed = PlacedRequests()
        self._returning = ReturningRequests()
        self._queued = Notifier()
        self._explaining = trio.Lock()
        self._next_explanation_ms = float("-inf")

    # Messages

    async def answer(self, request: DispatchRequest) -> DispatchReply | None:
        """Place or reject a request, or hold it while it is queued.

        :return: ``None`` when this instance cannot coordinate the service: its engines are not
            known here yet. The entry instance then asks the next one at once.
        """
        service = self._service_of(request)
        if service is None:
            return None
        self._observe(service, request.instance_id, request.observations)
        if service.upstream_ids.isdisjoint(request.upstream_ids):
            return None
        request = attrs.evolve(request, observations=[])
        if not request.has_returned and self._returning.is_returning(request, now_ms()):
            request = attrs.evolve(request, has_returned=True)
        reply = self._submit(service, request)
        if reply.outcome == Outcome.QUEUED.value:
            held = await self._hold(service, request.request_id)
            # A cancelled request that is submitted again would return to the queue.
            if not held.is_cancelled:
                reply = self._submit(service, request)
        return reply

    def record(self, report: DispatchReport) -> None:
        """Take observations and cancelled requests."""
        service = self._services.get(report.service)
        if service is None:
            return
        self._observe(service, report.instance_id, report.observations)
        for request_id in report.cancelled_ids:
            self._forget(service, request_id)

    async def explain(self, request: DispatchRequest) -> ExplainReply | None:
        """Explain what would become of a request now, without any change of state.

        :return: ``None`` when this instance cannot coordinate the service.
        """
        async with self._explaining:
            await trio.sleep(max(0.0, self._next_explanation_ms - now_ms()) / 1000.0)
            started_s = time.thread_time()
            reply = self._explain(request)
            took_ms = (time.thread_time() - started_s) * 1000.0
            self._next_explanation_ms = now_ms() + took_ms * _EXPLANATION_SPACING
        return reply

    def _explain(self, request: DispatchRequest) -> ExplainReply | None:
        spec = self._engine_spec(request.service)
        if spec is None or not self._control.rows.is_complete:
            return None
        now = now_ms()
        service = self._services.get(request.service)
        if service is None:
            service = _Service(self._create_dispatcher(), now)
            self._refresh(request.service, service, spec)
        if service.upstream_ids.isdisjoint(request.upstream_ids):
            return None
        if self._returning.is_returning(request, now):
            request = attrs.evolve(request, has_returned=True)
        explanation, reply = foresee(service.dispatcher, request, now)
        return ExplainReply(
            reply,
            explanation.decision,
            explanation.yields,
            explanation.waiting,
            explanation.candidates,
            explanation.unknown_ids,
        )

    def _submit(self, service: _Service, request: DispatchRequest) -> DispatchReply:
        now = now_ms()
        if service.held and service.dispatcher.next_change_ms(now) == 0.0:
            # A submission may decide other requests as well, and does not name them.
            self._advance(service)
        started_s = time.thread_time()
        reply = service.dispatcher.submit(request, now)
        self._wake_decided(service)
        self._space_passes(service, started_s)
        if reply.outcome == Outcome.PLACED.value:
            self._placed.add(request, reply.upstream_id, now)
        elif reply.outcome == Outcome.REJECTED.value:
            self._returning.add(request, now)
        else:
            self._schedule(service)
        return reply

    async def _hold(self, service: _Service, request_id: str) -> _Held:
        """Wait until a queued request is decided, at most for :data:`HOLD_MS`."""
        held = service.held.setdefault(request_id, _Held())
        with trio.move_on_after(HOLD_MS / 1000.0):
            await held.decided.wait()
        if service.held.get(request_id) is held:
            del service.held[request_id]
        return held

    def _observe(
        self, service: _Service, instance_id: str, observations: Iterable[Observation]
    ) -> None:
        now = service.used_ms = now_ms()
        has_any = False
        for observation in observations:
            has_any = True
            if observation.kind == ObservationKind.ENDED.value:
                self._placed.remove(observation.request_id)
            service.dispatcher.observe(instance_id, observation, now)
        if has_any and service.held:
            self._schedule(service)

    def _forget(self, service: _Service, request_id: str) -> None:
        self._placed.remove(request_id)
        service.dispatcher.cancel(request_id, now_ms())
        held = service.held.pop(request_id, None)
        if held is not None:
            held.is_cancelled = True
            held.decided.set()

    # Services

    def _service_of(self, request: DispatchRequest) -> _Service | None:
        """Return the service of a request with its current engines, ``None`` if it is not known."""
        spec = self._engine_spec(request.service)
        if spec is None or not self._control.rows.is_complete:
            return None
        service = self._services.get(request.service)
        if service is None:
            service = _Service(self._create_dispatcher(), now_ms())
            log_event("dispatch_started", service=request.service)
        self._refresh(request.service, service, spec)
        if service.upstream_ids:
            self._services[request.service] = service
        return service

    def _engine_spec(self, name: str) -> EngineSpec | None:
        configuration = self._configuration()
        spec = configuration.services.get(name) if configuration is not None else None
        return spec.engine if spec is not None else None

    def _refresh(self, name: str, service: _Service, spec: EngineSpec) -> None:
        """Give the dispatcher the engines of its service, if anything has changed."""
        sequence = self._control.tables.upstreams.sequence
        if service.row_sequence == sequence and service.spec is spec:
            return
        is_new = service.spec is None
        rows = [
            row
            for row in self._control.live_upstreams()
            if row.service == name and row.lifecycle == READY
        ]
        service.row_sequence, service.spec = sequence, spec
        service.upstream_ids = frozenset(row.upstream_id for row in rows)
        # A configuration that does not state the cache sets no limit to it.
        limited = attrs.evolve(spec, cache_tokens=spec.cache_tokens or _UNLIMITED_TOKENS)
        service.dispatcher.update_engines(rows, limited, now_ms())
        if is_new:
            self._update_in_flight(service)
        elif service.held:
            self._schedule(service)

    def _update_in_flight(self, service: _Service) -> None:
        """Give the dispatcher the summed counts, if they cover all ready entry instances.

        The dispatcher forgets dispatches that the entry instances do not count. A control instance
        that is cut off from the others lacks the reports of theirs.
        """
        entries = self._control.tables.entries.changed_after(0)
        ready = sum(row.is_ready and not is_silent for row, is_silent in entries)
        if self._control.rows.activity.unreachable_counts()[1] < ready:
            return
        in_flight = self._control.rows.activity.in_flight()
        counts = {i: in_flight[i] for i in service.upstream_ids if i in in_flight}
        service.dispatcher.update_in_flight(counts, IN_FLIGHT_AGE_MS, now_ms())

    # Tasks

    async def run(self) -> None:
        """Decide on queued requests and check the counts until cancelled."""
        check_ms = now_ms()
        log_ms = check_ms + _LOG_INTERVAL_MS
        while True:
            now = now_ms()
            if now >= check_ms:
                self._check()
                check_ms = now + _CHECK_INTERVAL_MS
            if now >= log_ms:
                self._log_decisions()
                log_ms = now + _LOG_INTERVAL_MS
            for service in list(self._services.values()):
                if service.due_ms <= now:
                    self._advance_if_possible(service)
            due_ms = min((s.due_ms for s in self._services.values()), default=check_ms)
            await self._queued.wait(max(1.0, min(due_ms, check_ms) - now_ms()))

    def _schedule(self, service: _Service) -> None:
        """Decide on the queue of a service soon, since something has changed."""
        due_ms = max(now_ms(), service.advanced_ms + MIN_ADVANCE_INTERVAL_MS)
        if due_ms < service.due_ms:
            service.due_ms = due_ms
            self._queued.notify()

    def _advance_if_possible(self, service: _Service) -> None:
        """Decide on a queue, unless the dispatcher spaces its decisions by their cost."""
        now = now_ms()
        change_ms = service.dispatcher.next_change_ms(now)
        if change_ms is None or change_ms <= 0:
            self._advance(service)
        else:
            service.due_ms = now + max(1.0, change_ms)

    @staticmethod
    def _wake_decided(service: _Service) -> None:
        """Answer the held requests that a submission has decided beside its own."""
        if service.held:
            service.answer_held(service.dispatcher.decided_ids())

    def _advance(self, service: _Service) -> None:
        now = now_ms()
        service.advanced_ms = now
        started_s = time.thread_time()
        decided = service.dispatcher.advance(now)
        self._space_passes(service, started_s)
        service.answer_held(decided)
        change_ms = service.dispatcher.next_change_ms(now)
        service.due_ms = (
            float("inf") if change_ms is None else now + max(MIN_ADVANCE_INTERVAL_MS, change_ms)
        )

    def _space_passes(self, service: _Service, started_s: float) -> None:
        """Leave time for messages after a pass over the queue."""
        took_ms = min(_MAX_PASS_MS, (time.thread_time() - started_s) * 1000.0)
        if took_ms >= _MIN_PASS_MS:
            service.dispatcher.postpone(now_ms() + took_ms * _PASS_SPACING)

    def _check(self) -> None:
        """Give the dispatchers rows and counts; drop services and instances that are gone."""
        now = now_ms()
        for name, service in list(self._services.items()):
            spec = self._engine_spec(name)
            if spec is None or now - service.used_ms >= UNUSED_TTL_MS:
                self._drop(name)
                continue
            self._refresh(name, service, spec)
            self._update_in_flight(service)
        entries = self._control.tables.entries
        for placed in self._placed.take_lost(
            now, lambda i: entries.get(i) is not None and entries.is_silent(i)
        ):
            service_of_placed = self._services.get(placed.service)
            if service_of_placed is not None:
                self._forget(service_of_placed, placed.request_id)
                log_limited(
                    "dispatch_forgotten",
                    is_routine=False,
                    instance=placed.instance_id,
                    upstream=placed.upstream_id,
                )

    def _log_decisions(self) -> None:
        """Log what was decided since the last time, for services with any decision."""
        for name, service in self._services.items():
            counts = Counter(service.dispatcher.counts)
            new = counts - service.logged
            service.logged = counts
            if new:
                figures = {kind: new[kind] for kind in sorted(new)}
                log_event("dispatch_decisions", service=name, held=len(service.held), **figures)

    def _drop(self, name: str) -> None:
        """Forget a service; its held requests are submitted to a new dispatcher or refused."""
        service = self._services.pop(name)
        log_event("dispatch_ended", service=name)
        for held in service.held.values():
            held.decided.set()
