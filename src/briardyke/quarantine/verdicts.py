"""Decide which parts of prompts are suspected, quarantined or cleared."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.quarantine.attribution import CLOCK_ERROR_MS, NEVER_MS
from briardyke.quarantine.records import PartState, PartVerdict, is_fingerprint

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briardyke.quarantine.attribution import Attribution

# Time from the quarantine of a part to the first request that tests it. A part that had responses
# before is more likely to wait on engines that crash for another reason.
KNOWN_PART_TRIAL_MS = 5_000.0
NEW_PART_TRIAL_MS = 30_000.0
# Each trial that gets no response multiplies the time to the next one. A trial may crash an engine
# and break the streams on it, so a part that still crashes them is tested twice an hour at most.
TRIAL_BACKOFF = 6.0
MAX_TRIAL_MS = 1_800_000.0


@attrs.frozen
class TimedVerdict:
    """Verdict in force.

    :param verdict: the verdict.
    :param at_ms: time at which it was made.
    """

    verdict: PartVerdict
    at_ms: float


@attrs.frozen
class Decision:
    """New decision about a part.

    :param part: id of the part.
    :param state: its state from now on.
    :param trials: trials since its quarantine began.
    :param next_trial_ms: time until the next trial.
    """

    part: str
    state: PartState
    trials: int = 0
    next_trial_ms: float = 0.0


def decide_verdicts(attribution: Attribution, held: Mapping[str, TimedVerdict]) -> list[Decision]:
    """Return the decisions that change a verdict in force.

    :param attribution: crashes and responses known.
    :param held: verdicts in force, by part.
    """
    quarantined = {p for p, h in held.items() if h.verdict.state is PartState.QUARANTINED}
    cleared = {p for p in quarantined if _is_sound_since(attribution, p, held[p])}
    quarantined -= cleared
    refuted = attribution.refuted_parts(quarantined)
    cleared.update(refuted)
    quarantined.difference_update(refuted)
    added = attribution.parts_to_quarantine(quarantined)
    quarantined.update(added)
    suspected = attribution.suspected_parts(quarantined) - quarantined
    before = {p for p, h in held.items() if h.verdict.state is PartState.SUSPECTED}
    cleared |= before - suspected - quarantined
    decisions = [Decision(part, PartState.CLEARED) for part in cleared - suspected]
    decisions += [Decision(part, PartState.SUSPECTED) for part in suspected - before]
    for part in added:
        is_known = attribution.sound_ms.get(part, NEVER_MS) > NEVER_MS
        # A request is blamed on less evidence, and tested at the cost of one crash at most.
        is_tested_soon = is_known or is_fingerprint(part)
        first_ms = KNOWN_PART_TRIAL_MS if is_tested_soon else NEW_PART_TRIAL_MS
        decisions.append(Decision(part, PartState.QUARANTINED, 0, first_ms))
    return sorted(decisions, key=lambda d: d.part)


def grant_trial(verdict: PartVerdict) -> Decision | None:
    """Return the decision that lets one request test a part, or ``None`` if it is too early.

    :param verdict: verdict in force, with its present remaining time.
    """
    if verdict.state is not PartState.QUARANTINED or verdict.next_trial_ms > 0:
        return None
    trials = verdict.trials + 1
    next_ms = min(MAX_TRIAL_MS, NEW_PART_TRIAL_MS * TRIAL_BACKOFF**trials)
    return Decision(verdict.part, PartState.QUARANTINED, trials, next_ms)


def _is_sound_since(attribution: Attribution, part: str, held: TimedVerdict) -> bool:
    """Return whether a part had a response after its quarantine, or after the grant of a trial.

    No request with the part is under way when a trial is granted, so any later response is its.
    """
    error_ms = 0.0 if held.verdict.trials else CLOCK_ERROR_MS
    return attribution.sound_ms.get(part, NEVER_MS) >= held.at_ms + error_ms
