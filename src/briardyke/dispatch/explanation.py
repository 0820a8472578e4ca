"""Explain to an operator which engine a request would get now, and why not the others."""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING

import attrs

from briardyke.dispatch.choice import choose, evaluate
from briardyke.dispatch.messages import Candidate, DispatchReply, Outcome

if TYPE_CHECKING:
    from briardyke.dispatch.choice import Choice, Evaluation, Need
    from briardyke.dispatch.dispatcher import Dispatcher
    from briardyke.dispatch.messages import DispatchRequest


@attrs.frozen
class Explanation:
    """Decision on a request, with the figures of each engine.

    :param request_id: the request.
    :param decision: what would be done with it now.
    :param yields: whether it leaves engines that read prompts to others.
    :param waiting: requests in the queue.
    :param candidates: engines that may run it, fit ones first, by cost.
    :param unknown_ids: engines that its entry instance names and that are not known here.
    """

    request_id: str
    decision: str
    yields: bool
    waiting: int
    candidates: list[Candidate]
    unknown_ids: list[str]

    def lines(self) -> list[str]:
        """Return it as text, one line for each engine."""
        found = [f"{self.request_id}: {self.decision}; {self.waiting} waiting"]
        if self.yields:
            found.append("it yields to other requests: batch stream, or account above its share")
        found += [_line(candidate) for candidate in self.candidates]
        found += [f"{upstream_id}: not known here" for upstream_id in self.unknown_ids]
        return found


def explain(dispatcher: Dispatcher, request: DispatchRequest, now_ms: float) -> Explanation:
    """Explain the decision on a request, without taking it.

    The figures come from the code that chooses. A request that waits is explained with the time
    that it has left.
    """
    need = dispatcher.need_of(request, now_ms)
    engines = dispatcher.pool.known(request)
    connected, reserved = request.connected_ids, dispatcher.reserved
    evaluations = [
        evaluate(need, engine, now_ms, engine.upstream_id in connected, reserved)
        for engine in engines
    ]
    evaluations.sort(key=lambda e: (e.rule is not None, e.cost))
    choice = choose(need, engines, now_ms, connected, reserved)
    known = {engine.upstream_id for engine in engines}
    return Explanation(
        request.request_id,
        _decision(dispatcher, need, choice),
        need.yields,
        len(dispatcher.queue),
        [_candidate(need, evaluation, now_ms) for evaluation in evaluations],
        [upstream_id for upstream_id in request.upstream_ids if upstream_id not in known],
    )


def foresee(
    dispatcher: Dispatcher, request: DispatchRequest, now_ms: float
) -> tuple[Explanation, DispatchReply]:
    """Return the explanation of a decision, and the reply after the next pass over the queue.

    A copy of the dispatcher takes the decision, so the outcome is that of the code which decides,
    and the dispatcher keeps its state.
    """
    trial = copy.deepcopy(dispatcher)
    explanation = explain(trial, request, now_ms)
    reply = trial.submit(request, now_ms)
    if reply.outcome == Outcome.QUEUED.value:
        trial.advance(now_ms)
        reply = trial.submit(request, now_ms)
    return explanation, reply


def _decision(dispatcher: Dispatcher, need: Need, choice: Choice) -> str:
    placement = dispatcher.pool.placement(need.request.request_id)
    if placement is not None:
        return f"placed on {placement.upstream_id}"
    if choice.best is not None:
        engine_id = choice.best.engine.upstream_id
        if dispatcher.must_wait_for_turn(need.request):
            return f"waits for its turn, then {engine_id}"
        return f"would be placed on {engine_id}"
    if choice.soonest is not None:
        soonest = choice.soonest
        return f"waits for {soonest.engine.upstream_id}, fit in {soonest.ready_ms:.0f} ms"
    if choice.least_harm is not None:
        return f"no engine becomes fit; least harm on {choice.least_harm.engine.upstream_id}"
    return "no engine can run it"


def _candidate(need: Need, evaluation: Evaluation, now_ms: float) -> Candidate:
    engine = evaluation.engine
    return Candidate(
        engine.upstream_id,
        evaluation.rule.value if evaluation.rule is not None else "",
        evaluation.cost,
        need.request.prompt_tokens - evaluation.unread_tokens,
        evaluation.wait_ms,
        evaluation.first_ms,
        evaluation.pause_ms,
        evaluation.ready_ms,
        engine.requests(now_ms),
        engine.slots,
        len(engine.schedule.pending),
        engine.free_tokens(now_ms),
        engine.speed.value,
        engine.slowness.at(now_ms),
    )


def _line(candidate: Candidate) -> str:
    return (
        f"{candidate.upstream_id}: {candidate.rule or 'fit'}; cost {candidate.cost:.3f},"
        f" first event {candidate.first_ms:.0f} ms, pause {candidate.pause_ms:.0f} ms,"
        f" cached {candidate.cached_tokens}, unread prompts {candidate.unread},"
        f" requests {candidate.requests}/{candidate.slots}, free cache {candidate.free_tokens},"
        f" speed {candidate.speed:.2f}, slowness {candidate.slowness:.2f}"
    )
