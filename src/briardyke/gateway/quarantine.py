"""Reject requests that crash upstreams, by a part of their prompt or by themselves."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from briardyke.clock import now_ms
from briardyke.errors import ErrorKind, Failure
from briardyke.gateway.crash_detection import CrashDetector
from briardyke.quarantine.evidence import CrashEvidence
from briardyke.quarantine.history import PartHistory
from briardyke.quarantine.records import (
    CrashReport,
    PartState,
    PartVerdict,
    WaitingPart,
    is_fingerprint,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardyke.fleet.records import Upstream
    from briardyke.gateway.crash_detection import ObservedCrash
    from briardyke.gateway.dialect import RequestMetadata

# Without a current reply for this long, this instance decides from the crashes that it observed.
CONTROL_LOST_MS = 2000.0
# Retry-After for a part that is tested soon.
_MIN_RETRY_AFTER_MS = 1000.0


@attrs.define
class SharedVerdicts:
    """Verdicts that control instances distribute.

    :param verdicts: verdicts by part, with the times of trials on the runtime's clock.
    :param confirmed_ms: time of the last current reply.
    :param since_ms: time since which each part is known to be in its state.
    """

    verdicts: Mapping[str, PartVerdict] = attrs.field(factory=dict)
    confirmed_ms: float = float("-inf")
    since_ms: Mapping[str, float] = attrs.field(factory=dict)


class QuarantineGate:
    """Stop requests with quarantined parts, and observe crashes and responses.

    Load: one kind of request in twenty crashes every engine that responds to it. Each crash breaks
    dozens of streams of other callers and unloads the engine's models, so a few of them per second
    stop the whole service. A single request that its caller sends again and again has the same
    effect, also on plain services; it is blamed by its fingerprint, as one more part.
    """

    def __init__(
        self,
        instance_id: str,
        shared: Callable[[], SharedVerdicts],
        request_trial: Callable[[str], Awaitable[bool]],
    ) -> None:
        """Start without observations.

        :param instance_id: name of this entry instance.
        :param shared: returns the verdicts of the control instances.
        :param request_trial: asks the leader whether one request may test a part.
        """
        self.detector = CrashDetector()
        self.on_crash: Callable[[], None] | None = None
        self._instance_id = instance_id
        self._shared = shared
        self._request_trial = request_trial
        self._history = PartHistory()
        self._own_evidence = CrashEvidence()

    def failure(self, part: str) -> Failure:
        """Return the failure of a request with a quarantined part."""
        is_request = is_fingerprint(part)
        return Failure(
            ErrorKind.REQUEST_QUARANTINED if is_request else ErrorKind.PROMPT_QUARANTINED,
            f"{part} crashes upstreams" if is_request else f"part {part} crashes engines",
            retry_after_ms=round(max(_MIN_RETRY_AFTER_MS, self._next_trial_ms(part))),
        )

    def is_trial_due(self, part: str) -> bool:
        """Return whether one request may test a quarantined part, if the leader agrees."""
        return self._next_trial_ms(part) <= 0

    async def request_trial(self, part: str) -> bool:
        """Ask the leader to let one request of this instance test a quarantined part."""
        return await self._request_trial(part)

    def _next_trial_ms(self, part: str) -> float:
        verdict = self._shared().verdicts.get(part)
        if verdict is None or verdict.state is not PartState.QUARANTINED:
            return _MIN_RETRY_AFTER_MS
        return verdict.next_trial_ms - now_ms()

    def holds_back(self, request: RequestMetadata) -> bool:
        """Return whether a request that was waiting on a crashed upstream must not be repeated."""
        verdicts = self._shared().verdicts
        if any(part in verdicts for part in request.blamable_ids):
            return True
        return self.quarantined_part(request) is not None

    def quarantined_part(self, request: RequestMetadata, trial_part: str = "") -> str | None:
        """Return a quarantined part of a request's prompt, or ``None``.

        :param trial_part: part that the request tests, which does not count.
        """
        quarantined = self._quarantined()
        return next((p for p in request.blamable_ids if p in quarantined and p != trial_part), None)

    def _quarantined(self) -> set[str]:
        shared = self._shared()
        quarantined = {
            p for p, row in shared.verdicts.items() if row.state is PartState.QUARANTINED
        }
        if now_ms() - shared.confirmed_ms >= CONTROL_LOST_MS and self._own_evidence.has_crashes:
            quarantined |= self._own_quarantine(quarantined)
        return quarantined

    def _own_quarantine(self, quarantined: set[str]) -> set[str]:
        """Return the parts to quarantine by the observations of this instance alone."""
        evidence = self._own_evidence
        if self._history.last_sound_ms is not None:
            evidence.record_any_sound(self._history.last_sound_ms)
        sound = {part: self._history.sound_ms(part) for part in evidence.parts()}
        evidence.merge_sound_ages(
            {part: now_ms() - ms for part, ms in sound.items() if ms is not None}
        )
        return set(evidence.attribution().parts_to_quarantine(quarantined))

    # Observations

    async def record_loss(self, row: Upstream, request: RequestMetadata) -> None:
        """Find out whether an upstream crashed whose connection ended before its first response."""
        crash = await self.detector.investigate(row, request)
        if crash is not None:
            self._own_evidence.merge(self._report(crash))
            if self.on_crash is not None:
                self.on_crash()

    def record_response(self, request: RequestMetadata) -> None:
        """Record the first event, or the whole response, of an upstream."""
        self._history.record_response(request.blamable_ids)

    def crash_reports(self) -> list[CrashReport]:
        """Return the recent crashes for the control instances."""
        return [self._report(crash) for crash in self.detector.recent()]

    def sound_ages_ms(self) -> dict[str, float]:
        """Return the time since the last response by suspected or quarantined part.

        Only responses after the verdict became known here are reported. A report may be delayed on
        its way, and an earlier response would then look like one after the verdict.
        """
        shared = self._shared()
        sound_ms = {part: self._history.sound_ms(part) for part in shared.verdicts}
        return {
            part: now_ms() - ms
            for part, ms in sound_ms.items()
            if ms is not None and ms >= shared.since_ms.get(part, 0.0)
        }

    def _report(self, crash: ObservedCrash) -> CrashReport:
        waiting = [
            WaitingPart(
                part,
                depth,
                self._age_at(crash, self._history.sound_ms(part)),
                crash.copies.get(part, 1),
            )
            for part, depth in crash.depths.items()
        ]
        return CrashReport(
            self._instance_id,
            crash.upstream_id,
            crash.incarnation,
            now_ms() - crash.at_ms,
            waiting,
            self._age_at(crash, self._history.last_sound_ms),
        )

    @staticmethod
    def _age_at(crash: ObservedCrash, sound_ms: float | None) -> float | None:
        """Return the time from a response to a crash, negative for a later response."""
        return None if sound_ms is None else crash.at_ms - sound_ms
