"""Define the records of crashes and of the parts of prompts that are blamed for them."""

from __future__ import annotations

from enum import Enum

import attrs

# Start of the id of a whole request, beside the ids of parts of prompts.
FINGERPRINT_PREFIX = "request:"


def is_fingerprint(part: str) -> bool:
    """Return whether an id stands for a whole request rather than a part of a prompt."""
    return part.startswith(FINGERPRINT_PREFIX)


@attrs.frozen
class WaitingPart:
    """Part of a prompt that was waiting for its first response when an upstream crashed.

    :param part: id of the part.
    :param depth: number of parts before it in the prompt.
    :param sound_age_ms: time from the last response to a prompt with it to the crash, negative for
        a later response, ``None`` if the reporting instance knows of none.
    :param copies: number of requests with it that were waiting.
    """

    part: str
    depth: int
    sound_age_ms: float | None = None
    copies: int = 1


@attrs.frozen
class CrashReport:
    """Crash of an upstream as one entry instance observed it.

    :param instance_id: the entry instance.
    :param upstream_id: the upstream.
    :param incarnation: start of its process, in Unix milliseconds.
    :param age_ms: time since the crash.
    :param parts: shared parts of the prompts that were waiting.
    :param sound_age_ms: time from the last response to any prompt to the crash, or ``None``.
    """

    instance_id: str
    upstream_id: str
    incarnation: int
    age_ms: float
    parts: list[WaitingPart]
    sound_age_ms: float | None = None

    @property
    def key(self) -> tuple[str, str, int]:
        """Return what identifies the observation."""
        return (self.instance_id, self.upstream_id, self.incarnation)


class PartState(Enum):
    """List what is decided about a part of prompts."""

    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"


@attrs.frozen
class PartVerdict:
    """Decision of a leader about a part of prompts.

    :param part: id of the part.
    :param term: term of the leader that decided.
    :param sequence: number of the decision on this part within the term.
    :param state: a suspected part is served and watched, a quarantined one is rejected.
    :param trials: requests that have tested the part since its quarantine began.
    :param next_trial_ms: time until another request may test it, negative when one may.
    """

    part: str
    term: int
    sequence: int
    state: PartState
    trials: int = 0
    next_trial_ms: float = 0.0

    @property
    def key(self) -> str:
        """Return the row's key."""
        return self.part

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the sort key between rows of one key."""
        return (self.term, 0, self.sequence)

    def same_content(self, other: PartVerdict) -> bool:
        """Return whether the decision is the same."""
        return (self.state, self.trials) == (other.state, other.trials)

    def aged(self, age_ms: float) -> PartVerdict:
        """Return the row with its remaining time reduced by the time since it was sent."""
        return attrs.evolve(self, next_trial_ms=self.next_trial_ms - age_ms)
