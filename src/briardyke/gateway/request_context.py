"""Define the state of one request while it is processed."""

from __future__ import annotations

import attrs

from briardyke.clock import now_ms
from briardyke.errors import Failure
from briardyke.gateway.attempt import AttemptResult
from briardyke.gateway.authorization import Identity
from briardyke.gateway.dialect import RequestMetadata
from briardyke.gateway.dispatch_client import Dispatch
from briardyke.gateway.trace import Trace
from briardyke.http.buffers import ResponseBuffer
from briardyke.http.exchange import HttpRequest
from briardyke.quotas.ledger import Charge
from briardyke.routes.configuration import Route


@attrs.define
class RequestContext:
    """State of one request while it is processed.

    :param request: request as the caller sent it.
    :param metadata: values from its headers.
    :param route: its route.
    :param service: name of the selected service.
    :param deadline_ms: time by which the response is due, on the runtime's clock.
    :param trace: record for the log and the counters.
    :param buffer: share in what the process may buffer of responses.
    :param sent_attempts: attempts that an upstream received, refused ones included.
    :param attempts_begun: attempts of which an upstream may have received a part.
    :param connect_failures: attempts for which no connection could be opened.
    :param may_have_run: whether an upstream may have worked on the request.
    :param tried_upstreams: ids of upstreams that are not selected again.
    :param left_upstreams: ids of those that it left while they were silent. They may go on, so it
        may return to them, also without an attempt left.
    :param last_attempt: last attempt that was not delivered.
    :param refusal: reason to reject the request, if one was found.
    :param trial_part: quarantined part of its prompt that it may test, or empty.
    :param has_trial: whether the leader has granted that.
    :param software_version: version of the upstream that sent the stream's first event; only this
        version can continue it. ``None`` while there is no event.
    :param identity: who sends it.
    :param unsent_dispatches: its places on engines that it has not been sent to, by upstream id.
    :param is_overloaded: whether the coordinator of its service has rejected it.
    :param charge: what it has been charged of its account's quota.
    :param unanswered: attempts that an upstream has received and not yet responded to.
    :param has_tried_peers: whether no other entry instance has served it.
    :param is_delivering: whether the response of an upstream is being returned.
    :param last_progress_ms: time of its arrival, or of the last forwarded event.
    """

    request: HttpRequest
    metadata: RequestMetadata
    route: Route
    service: str
    deadline_ms: float
    trace: Trace
    buffer: ResponseBuffer
    sent_attempts: int = 0
    attempts_begun: int = 0
    connect_failures: int = 0
    may_have_run: bool = False
    tried_upstreams: set[str] = attrs.field(factory=set)
    left_upstreams: set[str] = attrs.field(factory=set)
    last_attempt: AttemptResult | None = None
    refusal: Failure | None = None
    trial_part: str = ""
    has_trial: bool = False
    software_version: str | None = None
    identity: Identity = Identity()
    unsent_dispatches: dict[str, Dispatch] = attrs.field(factory=dict)
    is_overloaded: bool = False
    charge: Charge | None = None
    unanswered: int = 0
    has_tried_peers: bool = False
    is_delivering: bool = False
    last_progress_ms: float = attrs.field(
        default=attrs.Factory(lambda self: self.request.received_ms, takes_self=True)
    )

    @property
    def account(self) -> str | None:
        """Return the account's name, empty for an anonymous caller, ``None`` without accounts."""
        return self.identity.account

    @property
    def priority(self) -> int:
        """Return the priority class: by its account and its route where it has an account."""
        rank = self.identity.priority
        return self.route.priority if rank is None else rank

    @property
    def may_hand_over(self) -> bool:
        """Return whether the request may leave its upstreams for another entry instance."""
        if self.is_delivering or self.metadata.relayed_by:
            return False
        if not self.unanswered and not self.may_have_run:
            return True
        sent_attempts = self.sent_attempts + self.unanswered
        return self.route.is_retryable and sent_attempts < self.route.max_attempts

    @property
    def has_attempt(self) -> bool:
        """Return whether the request may be sent to another upstream or return to one."""
        return self.sent_attempts < self.route.max_attempts or bool(self.left_upstreams)

    def may_use(self, upstream_id: str) -> bool:
        """Return whether the request may be sent to an upstream."""
        if upstream_id in self.left_upstreams:
            return True
        if self.left_upstreams and self.sent_attempts >= self.route.max_attempts:
            return False
        return upstream_id not in self.tried_upstreams

    def end_unsent_dispatches(self) -> None:
        """Give up the places on engines that the request has not been sent to."""
        while self.unsent_dispatches:
            self.unsent_dispatches.popitem()[1].end()

    @property
    def remaining_ms(self) -> float:
        """Return the time left until the deadline."""
        return self.deadline_ms - now_ms()
