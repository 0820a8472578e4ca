"""Estimate how slow the machine of an engine is now."""

from __future__ import annotations

import attrs

# Engines share their machines with other programs, which slow them in spells of about this length.
SPELL_MS = 600.0
# Fraction of the time that is in spells, and their usual slowness.
_SPELL_FRACTION = 0.15
SPELL_FACTOR = 2.5
# Time to read a prompt, about.
_READ_MS = 100.0
# Reports below this factor count as usual.
_USUAL = 1.15


@attrs.define(eq=False)
class Slowness:
    """Slowness that an engine stated, and how long it probably lasts.

    A report is believed at once. The spell began between the last usual report and the first slow
    one, so it ends a spell later; in between, its effect decays linearly.

    :param factor: last stated slowness; 1 when usual.
    :param reported_ms: time of the last report.
    :param usual_ms: time of the last usual report.
    :param ends_from_ms: earliest expected end of the spell.
    :param ends_until_ms: latest expected end of the spell.
    """

    factor: float = 1.0
    reported_ms: float = float("-inf")
    usual_ms: float = float("-inf")
    ends_from_ms: float = float("-inf")
    ends_until_ms: float = float("-inf")

    def report(self, factor: float, at_ms: float) -> None:
        """Take in a report; one that is older than another is ignored."""
        if at_ms < self.reported_ms or factor <= 0:
            return
        self.reported_ms = at_ms
        if factor < _USUAL:
            self.factor, self.usual_ms = factor, at_ms
            self.ends_from_ms = self.ends_until_ms = float("-inf")
            return
        if at_ms >= self.ends_until_ms:  # the first report of a spell, or a long spell
            self.ends_from_ms = max(at_ms, self.usual_ms + SPELL_MS)
            self.ends_until_ms = at_ms + SPELL_MS
        else:
            self.ends_from_ms = max(self.ends_from_ms, at_ms)
        self.factor = factor

    def spell_risk(self, now_ms: float) -> float:
        """Return the probability that a spell has begun, or begins while a prompt is read."""
        unknown_ms = now_ms - self.reported_ms + _READ_MS
        return min(_SPELL_FRACTION, unknown_ms * _SPELL_FRACTION / SPELL_MS)

    def at(self, now_ms: float) -> float:
        """Return the expected factor on the time of all work."""
        if now_ms >= self.ends_until_ms:
            return 1.0
        if now_ms <= self.ends_from_ms:
            return self.factor
        left = (self.ends_until_ms - now_ms) / (self.ends_until_ms - self.ends_from_ms)
        return 1.0 + (self.factor - 1.0) * left
