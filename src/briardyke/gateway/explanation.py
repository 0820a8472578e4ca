"""Explain where a request would go now, and why, without sending it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok, Result

from briardyke.clock import now_ms
from briardyke.dispatch.messages import DispatchReply, ExplainReply, Outcome
from briardyke.errors import ErrorKind, Failure
from briardyke.gateway.authorization import authorize_account
from briardyke.gateway.coordinated_choice import CoordinatedChoice, applies_to
from briardyke.gateway.request_context import RequestContext
from briardyke.gateway.trace import Trace
from briardyke.http.buffers import BufferBudget

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardyke.gateway.forward import Forwarder
    from briardyke.gateway.state import GatewayState
    from briardyke.gateway.upstream_attempts import UpstreamAttempts
    from briardyke.gateway.upstreams import UpstreamState
    from briardyke.http.exchange import HttpRequest


@attrs.frozen
class KnownUpstream:
    """Upstream of the service as the entry instance knows it.

    :param upstream_id: the upstream.
    :param address: its address.
    :param excluded: why the request may not be sent to it now, empty if it may.
    :param free_in_ms: time until that ends, 0 when unknown.
    :param load: its load as estimated here, in requests that delay a new one.
    """

    upstream_id: str
    address: str
    excluded: str
    free_in_ms: float
    load: float


@attrs.frozen
class RequestExplanation:
    """Where a request would go.

    :param version: configuration in force.
    :param route: name of the route.
    :param service: selected service.
    :param targets: weight of each service of the route; one is drawn for each request.
    :param account: account of the request, empty for an anonymous one.
    :param priority: its priority class.
    :param decided_by: who would choose the upstream.
    :param outcome: what the request would be answered now.
    :param is_drawn: whether the upstream is one draw by load, and another one may follow.
    :param upstreams: all upstreams of the service that are known.
    :param coordinated: what the coordinator of the service says, ``None`` without one.
    """

    version: int
    route: str
    service: str
    targets: dict[str, float]
    account: str
    priority: int
    decided_by: str
    outcome: DispatchReply
    is_drawn: bool
    upstreams: list[KnownUpstream]
    coordinated: ExplainReply | None


@attrs.frozen
class _Decided:
    by: str
    outcome: DispatchReply
    is_drawn: bool = False
    coordinated: ExplainReply | None = None


class RequestExplainer:
    """Explain requests with the code that routes them.

    Nothing is sent to an upstream, charged, counted or reported. Quotas are not examined: they are
    charged before an upstream is selected, and do not depend on the upstreams.
    """

    def __init__(self, state: GatewayState, forwarder: Forwarder) -> None:
        """Use the state and the forwarder of an entry instance."""
        self._state = state
        self._forwarder = forwarder

    async def explain(
        self, request: HttpRequest, account_name: str
    ) -> Result[RequestExplanation, Failure]:
        """Explain a request.

        :param request: request as its caller would send it, without a key.
        :param account_name: name of its account, or empty.
        :return: a failure for an unknown account, or for a request without a route or that lacks an
            account.
        """
        context = self._context(request, account_name)
        if context.is_err():
            return Err(context.unwrap_err())
        known = context.unwrap()
        upstreams = describe_upstreams(self._state, self._forwarder.attempts, known)
        decided = await self._decide(known)
        return Ok(
            RequestExplanation(
                self._state.version,
                known.route.name,
                known.service,
                {target.service: target.weight for target in known.route.targets},
                known.account or "",
                known.priority,
                decided.by,
                decided.outcome,
                decided.is_drawn,
                upstreams,
                decided.coordinated,
            )
        )

    def _context(self, request: HttpRequest, account_name: str) -> Result[RequestContext, Failure]:
        state = self._state
        if state.routes is None:
            return Err(Failure(ErrorKind.VERSION_UNCONFIRMED, "no configuration is known"))
        accounts = {a.name: a for a in state.routes.configuration.accounts}
        if account_name and account_name not in accounts:
            text = f"no client account is named {account_name!r}"
            return Err(Failure(ErrorKind.NOT_FOUND, text, "account"))
        route = self._forwarder.find_route(request)
        if route is None:
            return Err(Failure(ErrorKind.NOT_FOUND, "no route", "path"))
        if accounts and not account_name and not route.is_public:
            text = f"route {route.name} needs a client account"
            return Err(Failure(ErrorKind.UNAUTHENTICATED, text, "account"))
        identity = authorize_account(
            state.routes,
            route,
            accounts.get(account_name),
            is_proven=state.proof.is_valid,
            has_key=bool(account_name),
        )
        if identity.is_err():
            return Err(identity.unwrap_err())
        metadata = state.dialect.read_request(request)
        return Ok(
            RequestContext(
                request,
                metadata,
                route,
                self._forwarder.select_service(route),
                request.received_ms
                + min(metadata.deadline_ms or route.timeout_ms, route.timeout_ms),
                Trace("", request.received_ms, state.version),
                BufferBudget().open(),
                identity=identity.unwrap(),
            )
        )

    async def _decide(self, context: RequestContext) -> _Decided:
        state, attempts = self._state, self._forwarder.attempts
        part = state.quarantine.quarantined_part(context.metadata)
        if part is not None and not state.quarantine.is_trial_due(part):
            return _Decided("entry instance", _rejected(state.quarantine.failure(part)))
        refusal, _ = state.admission.examine(context, state)
        if refusal is not None:
            return _Decided("entry instance", _rejected(refusal))
        candidates = attempts.candidates(context)
        if not candidates:
            return _Decided("entry instance", self._without_candidates(context))
        if not applies_to(state, context) or state.dispatch is None:
            return self._draw(context, candidates, "entry instance")
        choice = CoordinatedChoice(state, context, may_wait=True)
        preview = choice.preview(candidates, f"{state.dispatch.instance_id}/explain")
        answer = await state.dispatch.explain(preview)
        if answer is None:
            by = "entry instance, since no coordinator answers"
            return self._draw(context, attempts.candidates(context), by)
        coordinator, reply = answer
        return _Decided(f"coordinator {coordinator}", reply.reply, coordinated=reply)

    def _draw(
        self, context: RequestContext, candidates: Sequence[UpstreamState], by: str
    ) -> _Decided:
        attempts = self._forwarder.attempts
        chosen = attempts.draw(context, candidates)
        if chosen is None:
            return _Decided(by, self._without_candidates(context))
        late = attempts.late_start_refusal(context, chosen)
        if late is not None:
            return _Decided(by, _rejected(late), is_drawn=True)
        notes = []
        if self._state.limits.limit_per_s(chosen.row) is not None:
            notes.append("needs a permit of the leader")
        metadata = context.metadata
        if metadata.adapter and not chosen.holds_adapter(metadata.model, metadata.adapter):
            notes.append("its adapter may have to be loaded")
        outcome = DispatchReply(
            Outcome.PLACED.value,
            chosen.row.upstream_id,
            chosen.expected_first_ms(),
            reason=", ".join(notes),
        )
        return _Decided(by, outcome, is_drawn=True)

    def _without_candidates(self, context: RequestContext) -> DispatchReply:
        state = self._state
        wait_ms = state.admission.remaining_wait_ms(context, state)
        closed_ms = self._forwarder.attempts.closed_ms(context)
        if closed_ms is not None:
            return _rejected(state.admission.limit_refusal(context, state, closed_ms))
        if wait_ms > 0:
            text = f"waits up to {wait_ms:.0f} ms for an upstream"
            return DispatchReply(Outcome.QUEUED.value, reason=text)
        return _rejected(context.refusal or Failure(ErrorKind.NO_UPSTREAM, "no upstream"))


def describe_upstreams(
    state: GatewayState, attempts: UpstreamAttempts, context: RequestContext
) -> list[KnownUpstream]:
    """Return all upstreams of the service, with the step of the selection that excludes each."""
    service, model = context.service, context.metadata.model
    usable = _ids(state.upstreams.usable(service))
    reachable = _ids(state.upstreams.reachable(service, context.software_version))
    able, unpaused = _ids(attempts.able(context)), _ids(attempts.open(context))
    candidates = _ids(attempts.candidates(context))
    found = []
    for upstream in sorted(state.upstreams.of_service(service), key=lambda s: s.row.upstream_id):
        upstream_id, excluded, free_in_ms = upstream.row.upstream_id, "", 0.0
        if upstream_id not in usable:
            is_leaving = upstream.statements.is_leaving
            excluded = "leaving" if is_leaving else f"not ready: {upstream.row.lifecycle}"
        elif upstream_id not in reachable:
            excluded = "not reachable"
        elif upstream_id not in able:
            excluded, free_in_ms = _model_exclusion(upstream, model)
        elif upstream_id not in unpaused:
            excluded, free_in_ms = "asked for a pause", upstream.closed_ms
        elif upstream_id not in candidates:
            excluded, free_in_ms = "limited", state.limits.next_permit_ms(upstream.row)
        found.append(
            KnownUpstream(upstream_id, upstream.row.address, excluded, free_in_ms, upstream.load())
        )
    return found


def _model_exclusion(upstream: UpstreamState, model: str) -> tuple[str, float]:
    """Return why an upstream may not be sent requests for a model, and the time that lasts."""
    if model in upstream.withheld:
        return "withheld", 0.0
    refused_ms = upstream.refused_until_ms.get(model, 0.0) - now_ms()
    if refused_ms > 0:
        return "has refused the model", refused_ms
    return "lacks the model", max(0.0, upstream.available_at_ms.get(model, 0.0) - now_ms())


def _ids(upstreams: Sequence[UpstreamState]) -> set[str]:
    return {upstream.row.upstream_id for upstream in upstreams}


def _rejected(failure: Failure) -> DispatchReply:
    return DispatchReply(
        Outcome.REJECTED.value,
        retry_after_ms=float(failure.retry_after_ms or 0),
        reason=f"{failure.kind.value}: {failure.message}",
    )


def as_json(explanation: RequestExplanation) -> dict[str, Any]:
    """Return an explanation as JSON; a time without an end is ``null``."""
    body = attrs.asdict(explanation)
    for candidate in (body["coordinated"] or {}).get("candidates", ()):
        for name, value in candidate.items():
            if value == float("inf"):
                candidate[name] = None
    return body
