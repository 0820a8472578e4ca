"""Record the course of one request for its log line and the counters."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs
import trio

from briardyke.clock import now_ms
from briardyke.logs import log_limited

if TYPE_CHECKING:
    from briardyke.gateway.counters import Counters
    from briardyke.http.exchange import Answer


# Clients that nobody controls can cause rejections at will, so their lines must not displace those
# of failures.
_ROUTINE_OUTCOMES = frozenset({"served", "unauthenticated"})


class EndedBy(Enum):
    """What ended a request before its answer was complete."""

    CALLER = "caller"
    UPSTREAM = "upstream"
    DEADLINE = "deadline"
    STOP = "stop"
    DEFECT = "defect"


def interruption(error: BaseException, answer: Answer) -> EndedBy:
    """Return what ended a request whose handler was left by an exception."""
    if answer.is_caller_gone:
        return EndedBy.CALLER
    rest: BaseException | None = error
    if isinstance(error, BaseExceptionGroup):
        rest = error.split(trio.Cancelled)[1]
    is_cancelled = rest is None or isinstance(rest, trio.Cancelled)
    return EndedBy.STOP if is_cancelled else EndedBy.DEFECT


@attrs.define
class Trace:
    """Record of one request.

    :param request_id: id that the caller gave the request.
    :param route: name of its route, or empty.
    :param started_ms: time at which the request was received.
    :param version: version of the configuration that was applied.
    :param waited_ms: time from the request to its first attempt.
    :param holders: upstreams that could run the request at its first attempt.
    :param first_event_ms: time from the request to its first forwarded event.
    :param longest_pause_ms: longest time between two events of a stream, 0 without events.
    :param attempts: description of each attempt, and of a failure.
    :param events: number of events forwarded.
    :param resumes: id of the caller's attempt that began the stream which this one continues.
    :param software_versions: software versions of the upstreams that sent events.
    :param account: name of the caller's account, or empty.
    """

    request_id: str
    started_ms: float
    version: int
    route: str = ""
    service: str = ""
    model: str = ""
    attempts: list[str] = attrs.field(factory=list)
    waited_ms: float = 0.0
    holders: int = 0
    first_event_ms: float = 0.0
    longest_pause_ms: float = 0.0
    events: int = 0
    resumes: str = ""
    software_versions: list[str] = attrs.field(factory=list)
    account: str = ""
    is_finished: bool = False

    def start_attempt(self, holders: int) -> None:
        """Record how long the first attempt was delayed, and how many upstreams could run it."""
        if not self.attempts:
            self.waited_ms = now_ms() - self.started_ms
            self.holders = holders

    def add_events(self, count: int, pause_ms: float, software_version: str = "") -> None:
        """Count forwarded events.

        :param pause_ms: time since the events before them.
        :param software_version: version of the upstream that sent them.
        """
        if count and software_version not in self.software_versions:
            self.software_versions.append(software_version)
        if not self.events:
            self.first_event_ms = now_ms() - self.started_ms
        else:
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self.events += count

    def add_attempt(self, upstream_id: str, outcome: str, load: float) -> None:
        """Add one attempt with the estimated load of its upstream."""
        elapsed = now_ms() - self.started_ms
        self.attempts.append(f"{upstream_id}@{elapsed:.0f}ms:load={load:.1f}:{outcome}")

    def finish(
        self,
        counters: Counters,
        status: int,
        outcome: str,
        ended_by: EndedBy | None = None,
        sent_bytes: int | None = None,
    ) -> None:
        """Write the log line of the request and count it.

        :param ended_by: what ended the request, unless its answer is complete.
        :param sent_bytes: bytes of an incomplete answer that were sent.
        """
        self.is_finished = True
        duration_ms = now_ms() - self.started_ms
        counters.record(self.service, outcome, duration_ms)
        log_limited(
            "request_finished",
            is_routine=outcome in _ROUTINE_OUTCOMES,
            request=self.request_id,
            account=self.account,
            route=self.route,
            service=self.service,
            model=self.model,
            version=self.version,
            status=status,
            outcome=outcome,
            ended_by=ended_by.value if ended_by else "",
            sent_bytes="" if sent_bytes is None else sent_bytes,
            duration_ms=round(duration_ms),
            waited_ms=round(self.waited_ms),
            holders=self.holders,
            first_event_ms=round(self.first_event_ms),
            events=self.events,
            longest_pause_ms=round(self.longest_pause_ms),
            resumes=self.resumes,
            software_versions=",".join(self.software_versions),
            attempts=";".join(self.attempts),
        )
