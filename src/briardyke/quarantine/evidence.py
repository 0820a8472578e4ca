"""Collect crashes and responses that entry instances report."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from briardyke.clock import now_ms
from briardyke.quarantine.attribution import NEVER_MS, Attribution, Crash
from briardyke.quarantine.records import CrashReport

if TYPE_CHECKING:
    from collections.abc import Iterable

# Crashes further apart than this are not counted together. A part that is requested once a minute
# and crashes an engine each time is still found.
CRASH_MEMORY_MS = 300_000.0
# Limits the memory for reports; dozens of engines may crash at once and each entry instance
# reports them.
_MAX_REPORTS = 4096


@attrs.define
class _StoredReport:
    report: CrashReport
    at_ms: float


class CrashEvidence:
    """Crash reports and the last responses to the parts that they name.

    Every control instance collects all reports, so that a new leader continues the count.
    """

    def __init__(self) -> None:
        self._stored: dict[tuple[str, str, int], _StoredReport] = {}
        self._sound_ms: dict[str, float] = {}
        self._any_sound_ms = NEVER_MS

    def merge(self, report: CrashReport) -> bool:
        """Store a report; return whether it names a crash or a part that was not known.

        A repeated report brings newer responses.

        :param report: report of an entry instance, with its age at its arrival.
        """
        held = self._stored.get(report.key)
        at_ms = held.at_ms if held else now_ms() - report.age_ms
        known = {waiting.part for waiting in held.report.parts} if held else set()
        self._stored[report.key] = _StoredReport(report, at_ms)
        for waiting in report.parts:
            if waiting.sound_age_ms is not None:
                self._raise_sound(waiting.part, at_ms - waiting.sound_age_ms)
        if report.sound_age_ms is not None:
            self.record_any_sound(at_ms - report.sound_age_ms)
        return held is None or any(waiting.part not in known for waiting in report.parts)

    @property
    def has_crashes(self) -> bool:
        """Return whether any crash is known."""
        return bool(self._stored)

    def record_any_sound(self, sound_ms: float) -> None:
        """Record a response to any request."""
        self._any_sound_ms = max(self._any_sound_ms, sound_ms)

    def merge_sound_ages(self, ages_ms: dict[str, float]) -> None:
        """Record responses to prompts with some parts.

        :param ages_ms: time since the last response, by part.
        """
        for part, age_ms in ages_ms.items():
            self._raise_sound(part, now_ms() - age_ms)

    def parts(self) -> set[str]:
        """Return the parts that the reports name."""
        return {waiting.part for s in self._recent() for waiting in s.report.parts}

    def sound_ages_ms(self) -> dict[str, float]:
        """Return the time since the last response, by part."""
        return {part: now_ms() - sound_ms for part, sound_ms in self._sound_ms.items()}

    def sound_ms(self, part: str) -> float:
        """Return the time of the last response to a prompt with a part."""
        return self._sound_ms.get(part, NEVER_MS)

    def reports(self) -> list[CrashReport]:
        """Return the reports with their present ages."""
        return [attrs.evolve(s.report, age_ms=now_ms() - s.at_ms) for s in self._recent()]

    def attribution(self) -> Attribution:
        """Return the crashes of all reports with the responses known."""
        crashes: dict[tuple[str, int], Crash] = {}
        for stored in self._recent():
            key = stored.report.key[1:]
            depths = {waiting.part: waiting.depth for waiting in stored.report.parts}
            copies = Counter({waiting.part: waiting.copies for waiting in stored.report.parts})
            held = crashes.get(key)
            if held is not None:
                depths = {**held.depths, **depths}
                copies.update(held.copies)
            at_ms = min(stored.at_ms, held.at_ms) if held else stored.at_ms
            crashes[key] = Crash(at_ms, depths, copies)
        return Attribution(list(crashes.values()), dict(self._sound_ms), self._any_sound_ms)

    def _raise_sound(self, part: str, sound_ms: float) -> None:
        self._sound_ms[part] = max(self._sound_ms.get(part, NEVER_MS), sound_ms)
        self.record_any_sound(sound_ms)

    def _recent(self) -> Iterable[_StoredReport]:
        limit_ms = now_ms() - CRASH_MEMORY_MS
        stored = {key: s for key, s in self._stored.items() if s.at_ms >= limit_ms}
        if len(stored) > _MAX_REPORTS:
            newest = sorted(stored.items(), key=lambda item: item[1].at_ms)[-_MAX_REPORTS:]
            stored = dict(newest)
        if len(stored) < len(self._stored):
            self._stored = stored
            named = self.parts()
            self._sound_ms = {p: ms for p, ms in self._sound_ms.items() if p in named}
        return stored.values()
