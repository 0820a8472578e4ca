"""Attribute crashes of engines to parts of prompts."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

import attrs

from briardyke.quarantine.records import is_fingerprint

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

# Crashes without any response in between after which a part is quarantined. Engines also crash for
# other reasons while a sound part happens to wait on them; three times in a row is improbable.
QUARANTINE_CRASHES = 3
# The same for a request that never got a response anywhere. Nobody else is held off with it.
UNKNOWN_REQUEST_CRASHES = 2
# Copies of such a request that wait in one crash count as much.
COPIES_BLAMED = 3
# Crashes after which responses to prompts with the part are watched.
SUSPICION_CRASHES = 2
# Crashes within this time count as one: a rack or a zone that loses power ends many engines at the
# same moment, and a part common to most requests waits on all of them.
SIMULTANEOUS_MS = 40.0
# Error of the times of crashes and responses that different instances observed.
CLOCK_ERROR_MS = 100.0
NEVER_MS = float("-inf")


@attrs.frozen
class Crash:
    """Crash of one process of an upstream, from the reports of all entry instances.

    :param at_ms: time of the crash, on the clock of the instance that attributes it.
    :param depths: parts of the prompts that were waiting, and fingerprints of their requests, each
        with the number of parts before it.
    :param copies: number of these requests by part and fingerprint; 1 where it is not named.
    """

    at_ms: float
    depths: Mapping[str, int]
    copies: Mapping[str, int] = attrs.field(factory=dict)


@attrs.frozen
class Attribution:
    """Known crashes and responses, and the parts to blame for the crashes.

    A part that crashes engines gets no response anywhere, whatever else its prompts contain. A
    sound part gets one soon, since most of its requests wait on engines that do not crash.

    :param crashes: crashes known, in any order.
    :param sound_ms: time of the last response to a prompt with each part.
    :param any_sound_ms: time of the last response to any prompt.
    """

    crashes: Sequence[Crash]
    sound_ms: Mapping[str, float]
    any_sound_ms: float

    def counts(self, explained_by: AbstractSet[str]) -> dict[str, int]:
        """Return for each part the crashes since the last response to a prompt with it.

        A quarantined request explains its crashes only until a part of its prompt waits in another
        one: a part that crashes engines may first have come in one request that was repeated.

        :param explained_by: quarantined parts; their crashes are not counted for other parts.
        """
        blamed_ms: dict[str, list[float]] = defaultdict(list)
        unexplained: set[str] = set()
        for crash in sorted(self.crashes, key=lambda c: c.at_ms):
            explaining = explained_by & crash.depths.keys()
            if not all(is_fingerprint(part) for part in explaining):
                continue
            for part in crash.depths:
                if self._is_sound_since(part, crash.at_ms) or (explaining and is_fingerprint(part)):
                    continue
                if not explaining:
                    unexplained.add(part)
                times_ms = blamed_ms[part]
                if not times_ms or crash.at_ms - times_ms[-1] >= SIMULTANEOUS_MS:
                    times_ms.append(crash.at_ms)
                if self._is_unknown_request(part) and crash.copies.get(part, 1) >= COPIES_BLAMED:
                    times_ms.append(crash.at_ms)
        # While no prompt at all gets a response, nothing tells a part from the others.
        return {
            part: len(times_ms)
            for part, times_ms in blamed_ms.items()
            if part in unexplained and self.any_sound_ms > times_ms[0]
        }

    def parts_to_quarantine(self, quarantined: AbstractSet[str]) -> list[str]:
        """Return the parts to quarantine in addition, as few as explain the crashes.

        Parts that most requests share wait in the same crashes as the one that causes them. Of
        parts in equally many crashes, the one with the oldest response and most parts before it is
        blamed, since its quarantine affects the fewest requests.

        :param quarantined: parts in quarantine already.
        """
        found: list[str] = []
        while True:
            counts = self.counts({*quarantined, *found})
            blamed = [part for part, count in counts.items() if count >= self._threshold(part)]
            if not blamed:
                return found
            found.append(min(blamed, key=lambda part: (-counts[part], *self._innocence(part))))

    def refuted_parts(self, quarantined: AbstractSet[str]) -> list[str]:
        """Return the quarantined parts whose known crashes no longer speak against them.

        A response before one of the crashes may be reported later than the crashes, and another
        part may explain them. Parts whose crashes are forgotten stay in quarantine.

        :param quarantined: parts in quarantine.
        """
        kept = set(quarantined)
        for part in sorted(quarantined, key=self._innocence, reverse=True):
            known = sum(part in crash.depths for crash in self.crashes)
            count = self.counts(kept - {part}).get(part, 0)
            if known >= self._threshold(part) > count:
                kept.discard(part)
        return sorted(quarantined - kept)

    def _innocence(self, part: str) -> tuple[float, int, str]:
        """Return the sort key of parts in equally many crashes, the one to blame first."""
        return (self.sound_ms.get(part, NEVER_MS), -self._depth(part), part)

    def suspected_parts(self, quarantined: AbstractSet[str]) -> set[str]:
        """Return the parts of which one more crash may lead to a quarantine."""
        counts = self.counts(quarantined)
        return {part for part, count in counts.items() if count >= SUSPICION_CRASHES}

    def _threshold(self, part: str) -> int:
        unknown = self._is_unknown_request(part)
        return UNKNOWN_REQUEST_CRASHES if unknown else QUARANTINE_CRASHES

    def _is_unknown_request(self, part: str) -> bool:
        return is_fingerprint(part) and part not in self.sound_ms

    def _is_sound_since(self, part: str, at_ms: float) -> bool:
        return self.sound_ms.get(part, NEVER_MS) >= at_ms + CLOCK_ERROR_MS

    def _depth(self, part: str) -> int:
        return max((c.depths.get(part, 0) for c in self.crashes), default=0)
