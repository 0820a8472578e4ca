"""Learn about an upstream from how an attempt ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms
from briardyke.gateway.attempt import Attempt, Ending

if TYPE_CHECKING:
    from briardyke.gateway.journey import Journey
    from briardyke.gateway.tables import UpstreamState

# Weight of one answer in an upstream's pace: the last ten answers.
_ANSWER_WEIGHT = 0.1


def learn(
    journey: Journey, upstream: UpstreamState, attempt: Attempt, took_ms: float, load: float
) -> None:
    """Update what the request knows of its attempts, and the evidence about the upstream.

    :param took_ms: time from the dispatch to the end of the attempt.
    :param load: load of the upstream at the dispatch.
    """
    if attempt.facts is not None and attempt.facts.load is not None:
        upstream.take_report(attempt.facts.load)
    if attempt.ending is Ending.NOT_CONNECTED:
        journey.connect_failures += 1
        upstream.connect_failed()
        upstream.gate.record_failure(now_ms())
        return
    upstream.connect_failures = 0
    journey.sent += 1
    if attempt.ending is Ending.REFUSED:
        if attempt.facts is not None and attempt.facts.lacks_model:
            _correct_belief(journey, upstream)
        return
    journey.may_have_run = True
    if attempt.ending is Ending.ANSWERED:
        _learn_pace(upstream, attempt, took_ms, load)
    else:
        upstream.gate.record_failure(now_ms())


def _learn_pace(upstream: UpstreamState, attempt: Attempt, took_ms: float, load: float) -> None:
    assert attempt.head is not None
    is_sound = attempt.head.status < 500
    if attempt.connection is not None:
        upstream.observe_first(took_ms, load)
    elif is_sound:
        upstream.observe_pace(took_ms, _ANSWER_WEIGHT)
    if is_sound:
        upstream.gate.record_success(now_ms())


def _correct_belief(journey: Journey, upstream: UpstreamState) -> None:
    """Believe an upstream that it lacks what the request needs.

    It may be asked again once it has announced the model or loaded the adapter.
    """
    caller = journey.caller
    journey.tried.discard(upstream.row.upstream_id)
    if caller.adapter:
        upstream.adapter_missed(caller.model, caller.adapter)
    else:
        upstream.missed(caller.model)
