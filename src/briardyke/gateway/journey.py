"""Hold one request while it is carried."""

from __future__ import annotations

import attrs

from briardyke.clock import now_ms
from briardyke.errors import Failure
from briardyke.gateway.attempt import Attempt
from briardyke.gateway.dialect import RequestMetadata
from briardyke.gateway.trace import Trace
from briardyke.http.exchange import HttpRequest
from briardyke.routes.configuration import Route


@attrs.define
class Journey:
    """Hold one request while it is carried.

    :param request: what the caller sent.
    :param caller: what its headers say.
    :param route: its route.
    :param service: chosen service.
    :param deadline_ms: time by which it must be answered, on the runtime's clock.
    :param trace: record for the log.
    :param progress_ms: time of its arrival, or of the last event that was passed on.
    """

    request: HttpRequest
    caller: RequestMetadata
    route: Route
    service: str
    deadline_ms: float
    trace: Trace
    sent: int = 0
    connect_failures: int = 0
    may_have_run: bool = False
    tried: set[str] = attrs.field(factory=set)
    last: Attempt | None = None
    refusal: Failure | None = None
    progress_ms: float = attrs.field(
        default=attrs.Factory(lambda self: self.request.received_ms, takes_self=True)
    )

    @property
    def remaining_ms(self) -> float:
        """Return the time left until the deadline."""
        return self.deadline_ms - now_ms()
