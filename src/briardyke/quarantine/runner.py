"""Publish verdicts on parts of prompts while this instance leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.clock import now_ms
from briardyke.fleet.messages import TrialReply, TrialRequest
from briardyke.logs import log_event
from briardyke.quarantine.records import PartState, PartVerdict
from briardyke.quarantine.verdicts import Decision, TimedVerdict, decide_verdicts, grant_trial

if TYPE_CHECKING:
    from briardyke.fleet.control import ControlInstance
    from briardyke.quarantine.store import VerdictStore

# Responses that clear a part arrive with the regular reports of entry instances.
TICK_MS = 250.0
# Cleared parts are kept until every control and entry instance has seen them.
_CLEARED_TTL_MS = 60_000.0


class QuarantineRunner:
    """Decide on parts of prompts from the crashes that all entry instances report."""

    def __init__(self, control: ControlInstance, store: VerdictStore) -> None:
        """Load the stored verdicts; :meth:`run` starts the runner.

        :param control: this control instance.
        :param store: keeps quarantined parts on disk.
        """
        self._control = control
        self._store = store
        for row in store.load():
            control.tables.verdicts.merge(row)

    async def run(self) -> None:
        """Decide and save verdicts until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._save_forever)
            await self._decide_forever()

    async def _save_forever(self) -> None:
        """Save changed verdicts; a faulty disk must not delay decisions."""
        while True:
            await self._store.save(self._control.tables.verdicts.rows())
            await trio.sleep(TICK_MS / 1000.0)

    async def _decide_forever(self) -> None:
        """Decide after each report of a crash, and regularly."""
        while True:
            await self._control.rows.crashes_changed.wait(TICK_MS)
            self._forget_cleared()
            term = self._control.leading_term()
            if term is not None and self._has_work():
                self._tick(term)

    def _has_work(self) -> bool:
        tables = self._control.tables
        return self._control.rows.evidence.has_crashes or bool(tables.verdicts.rows())

    def _tick(self, term: int) -> None:
        attribution = self._control.rows.evidence.attribution()
        for decision in decide_verdicts(attribution, self._held()):
            counts = attribution.counts(frozenset())
            log_event(
                "part_verdict",
                part=decision.part,
                state=decision.state.value,
                crashes=counts.get(decision.part, 0),
                known_crashes=len(attribution.crashes),
                next_trial_ms=round(decision.next_trial_ms),
            )
            self._publish(term, decision)

    async def answer_trial(self, request: TrialRequest) -> TrialReply:
        """Let one request of one entry instance test a quarantined part."""
        term = self._control.leading_term()
        held = self._held().get(request.part)
        decision = grant_trial(held.verdict.aged(now_ms() - held.at_ms)) if held else None
        if term is None or decision is None:
            return TrialReply(False)
        if not self._publish(term, decision):
            return TrialReply(False)
        log_event("part_trial_granted", part=request.part, trials=decision.trials)
        return TrialReply(True)

    def _held(self) -> dict[str, TimedVerdict]:
        now = now_ms()
        rows = self._control.tables.verdicts.changed_with_age(0)
        return {row.part: TimedVerdict(row, now - age_ms) for row, age_ms in rows}

    def _publish(self, term: int, decision: Decision) -> bool:
        """Replace the verdict on a part; return whether it is in force.

        Terms start anew when all control instances lose their disks, while entry instances still
        hold verdicts of later terms.
        """
        held = self._control.tables.verdicts.get(decision.part)
        sequence = 1
        if held is not None and held.term >= term:
            term, sequence = held.term, held.sequence + 1
        return self._control.rows.publish_verdict(
            PartVerdict(
                decision.part,
                term,
                sequence,
                decision.state,
                decision.trials,
                decision.next_trial_ms,
            )
        )

    def _forget_cleared(self) -> None:
        table = self._control.tables.verdicts
        for row, age_ms in table.changed_with_age(0):
            if row.state is PartState.CLEARED and age_ms > _CLEARED_TTL_MS:
                table.forget(row.part)
