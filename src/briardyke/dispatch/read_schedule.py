"""Schedule in which one engine is expected to read its prompts."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

import attrs

# Time from a decision until the engine has the prompt.
SEND_MS = 6.0
# Chunks in which engines read prompts. Small ones take more steps; with large ones, more prompts
# fit into the steps of one event.
_SMALL_CHUNK_TOKENS = 1024
_LARGE_CHUNK_TOKENS = 2048
# Time from an event until the coordinator learns of it: assumed at first, weight of a shorter one,
# and what is added to the longest recent one.
_REPORT_LAG_MS = 100.0
_SHORTER_LAG_WEIGHT = 0.02
_ADDED_LAG_MS = 20.0
_MAX_LAG_MS = 250.0
# Most time for which the steps of one event read prompts: four chunks of 2,048 tokens.
_MAX_READ_BEHIND_MS = 400.0
# Prompts that are kept; the steps of one event read fewer.
_KEPT_READS = 8


@attrs.define(eq=False)
class Dispatch:
    """Request that was dispatched to an engine.

    :param request_id: its id.
    :param model: its model.
    :param tokens: cache tokens that it takes until its end.
    :param unread_tokens: prompt tokens that are probably not cached.
    :param gap_objective_ms: longest time between its events, 0 for none.
    :param priority: rank at the engine; 0 is the most urgent.
    :param until_ms: time at which it is forgotten without a sign of its end.
    :param part_keys: keys of the parts of its prompt.
    :param placed_ms: time of its dispatch.
    :param ms_per_token: usual time of a prompt token as known then.
    :param margin: factor by which its times were raised then.
    :param wait_ms: expected time until its prompt is read, as known then.
    :param read_start_ms: expected time at which its prompt begins to be read.
    :param read_ms: expected time for reading its prompt.
    :param steps_ms: expected time of the steps from the end of its prompt to its first event.
    :param step_ms: expected time of one of them.
    :param began_ms: time of its first event, ``None`` before it.
    """

    request_id: str
    model: str
    tokens: int
    unread_tokens: int
    gap_objective_ms: float
    priority: int
    until_ms: float
    part_keys: Sequence[int] = ()
    placed_ms: float = 0.0
    ms_per_token: float = 1.0
    margin: float = 1.0
    wait_ms: float = 0.0
    read_start_ms: float = 0.0
    read_ms: float = 0.0
    steps_ms: float = 0.0
    step_ms: float = 0.0
    began_ms: float | None = None

    @property
    def read_end_ms(self) -> float:
        """Return the expected time at which its prompt has been read."""
        return self.read_start_ms + self.read_ms

    @property
    def read_steps(self) -> int:
        """Return the fewest steps that read its prompt."""
        return fewest_read_steps(self.unread_tokens)


def fewest_read_steps(tokens: int) -> int:
    """Return the fewest steps that read a prompt."""
    return 1 + tokens // _LARGE_CHUNK_TOKENS


def read_ms(tokens: int, prompt_ms: float, step_ms: float) -> float:
    """Return the time to read a prompt: its tokens, and the steps that read them."""
    return prompt_ms + (1 + tokens // _SMALL_CHUNK_TOKENS) * step_ms


class ReadSchedule:
    """Prompts that an engine reads one after the other.

    :ivar pending: prompts that are not known to be read, in the order of dispatch.
    :ivar pending_read_ms: time to read all of them.
    """

    def __init__(self, event_tokens: int) -> None:
        """Start without prompts.

        :param event_tokens: steps from the end of a prompt to the first event.
        """
        self.pending: dict[str, Dispatch] = {}
        self.pending_read_ms = 0.0
        self._event_tokens = event_tokens
        self._reads: deque[Dispatch] = deque(maxlen=_KEPT_READS)
        self._until_ms = 0.0
        self._lag_ms = _REPORT_LAG_MS

    def start_ms(self, now_ms: float) -> float:
        """Return the time at which a prompt that is dispatched now begins to be read."""
        return max(now_ms + SEND_MS, self._until_ms)

    def backlog_ms(self, now_ms: float) -> float:
        """Return the expected time until all prompts are read."""
        return max(0.0, self._until_ms - now_ms) + self.overdue_ms(now_ms)

    def overdue_ms(self, now_ms: float) -> float:
        """Return for how long the next first event has been overdue.

        An engine that is overdue is slower than known or stalls, so it is expected to take as much
        time again.
        """
        if not self.pending:
            return 0.0
        oldest = next(iter(self.pending.values()))
        # The steps between its prompt and its first event may read the prompts behind it.
        end_ms = oldest.read_start_ms + oldest.read_ms
        read_until_ms = max(end_ms, min(self._until_ms, end_ms + _MAX_READ_BEHIND_MS))
        return max(0.0, now_ms - read_until_ms - oldest.steps_ms - self._lag_ms)

    def window_ms(self, start_ms: float, tokens: int, step_ms: float, is_late: bool) -> float:
        """Return the time for prompts that are read in the same event interval as a new one.

        :param start_ms: time at which the new one begins to be read.
        :param tokens: tokens that are read of it.
        :param step_ms: time of a step.
        :param is_late: whether the engine is late, so that there are no pauses between prompts.
        """
        window_ms, later_ms = 0.0, start_ms
        steps: float = fewest_read_steps(tokens)
        steps_limit = self._event_tokens + 1
        for read in reversed(self._reads):
            end_ms = read.read_start_ms + read.read_ms
            if later_ms > end_ms and not is_late:
                steps += (later_ms - end_ms) / step_ms
            if steps >= steps_limit:
                break
            window_ms += read.read_ms
            steps += read.read_steps
            later_ms = read.read_start_ms
        return window_ms

    def add(self, dispatch: Dispatch) -> None:
        """Add a prompt behind all others."""
        self.pending[dispatch.request_id] = dispatch
        self.pending_read_ms += dispatch.read_ms
        self._reads.append(dispatch)
        self._until_ms = dispatch.read_end_ms

    def behind_ms(self, dispatch: Dispatch, until_ms: float) -> float:
        """Return the time for reading other prompts between a prompt and its first event."""
        found_ms, steps, later_ms = 0.0, 0, dispatch.read_end_ms
        for read in self._reads:
            if read is dispatch or read.read_start_ms < later_ms - 1.0:
                continue
            pure_ms = read.read_start_ms - later_ms
            if steps >= self._event_tokens or pure_ms > dispatch.steps_ms:
                break
            if read.read_start_ms >= until_ms:
                break
            found_ms += read.read_ms
            steps += read.read_steps
            later_ms = read.read_end_ms
        return found_ms

    def read_between_ms(self, begin_ms: float, end_ms: float) -> float:
        """Return the time for prompts that begin to be read within a time."""
        return sum(
            min(read.read_end_ms, end_ms) - read.read_start_ms
            for read in self._reads
            if begin_ms <= read.read_start_ms < end_ms
        )

    def begin(self, dispatch: Dispatch, at_ms: float, now_ms: float) -> float:
        """Take in the first event of a request; return the time for prompts behind it."""
        lag_ms = now_ms - at_ms + _ADDED_LAG_MS
        weight = 1.0 if lag_ms > self._lag_ms else _SHORTER_LAG_WEIGHT
        self._lag_ms += weight * (min(_MAX_LAG_MS, lag_ms) - self._lag_ms)
        behind_ms = self.behind_ms(dispatch, at_ms)
        if dispatch.request_id in self.pending:
            for earlier in list(self.pending.values()):
                # Prompts of the same or a higher rank that were sent before it have been read.
                if earlier is dispatch or earlier.priority <= dispatch.priority:
                    self._remove(earlier)
                if earlier is dispatch:
                    break
        self._until_ms = min(self._until_ms, at_ms + self.pending_read_ms)
        return behind_ms

    def discard(self, dispatch: Dispatch, now_ms: float) -> None:
        """Take out a prompt that is not read any more."""
        if dispatch.request_id in self.pending:
            self._remove(dispatch)
            self._until_ms = min(self._until_ms, now_ms + self.pending_read_ms)

    def may_read(self, begin_ms: float, end_ms: float, other: Dispatch | None = None) -> bool:
        """Return whether a prompt, except one, may have been read within a time."""
        return any(
            read.placed_ms < end_ms and (read.began_ms is None or read.began_ms > begin_ms)
            for read in self._reads
            if read is not other
        )

    def _remove(self, dispatch: Dispatch) -> None:
        del self.pending[dispatch.request_id]
        self.pending_read_ms -= dispatch.read_ms
        if not self.pending:
            self.pending_read_ms = 0.0
