"""What is known of the work of one engine, and estimates from it."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, NamedTuple

import attrs

from briardyke.dispatch.cached_parts import CachedParts
from briardyke.dispatch.pace import Factor, PaceTable, engine_factor
from briardyke.dispatch.slowness import SPELL_FACTOR, Slowness

if TYPE_CHECKING:
    from briardyke.dispatch.messages import Observation

# Time from a decision until the engine has the prompt.
SEND_MS = 6.0
# Time from an event until the coordinator learns of it: assumed at first, weight of a shorter one,
# and what is added to the longest recent one.
_REPORT_LAG_MS = 100.0
_SHORTER_LAG_WEIGHT = 0.02
_ADDED_LAG_MS = 20.0
_MAX_LAG_MS = 250.0
# Largest chunk in which engines read prompts; a smaller one takes more steps, which is harmless.
_CHUNK_TOKENS = 2048
# Each running request prolongs a step by 0.03 of about 9.5 ms.
_STEP_PER_RUNNING = 0.003
# Most time for which the steps of one event read prompts: four chunks of 2,048 tokens.
_MAX_READ_BEHIND_MS = 400.0
# Prompts read or about to be read that are kept; an event interval of 4 steps holds fewer.
_KEPT_READS = 8
# Ends of requests that are kept, to compare with counts that are some 100 ms old.
_KEPT_ENDS = 64
# Standard deviations by which estimates of time are raised, and the limit of this increase.
_DEVIATIONS = 0.7
_MAX_MARGIN = 0.35
# A prompt of a request that only the engine's own report tells of.
_UNKNOWN_PROMPT_TOKENS = 1200
# Requests that only reports tell of are forgotten after this time without a further report.
_UNKNOWN_TTL_MS = 1500.0
# Waiting requests that only reports tell of have been read by then.
_UNKNOWN_WAITING_TTL_MS = 300.0
# Counts of entry instances cover dispatches that are older than this at the time of the count.
_COUNT_SETTLED_MS = 1000.0
# Failures in this time after which an engine gets requests only if no other is left, and for how
# long. A crashed engine stays listed for about 2.5 s.
_FAILURE_WINDOW_MS = 500.0
_AVOIDED_MS = 1000.0
_AVOID_AFTER_FAILURES = 2


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
    :param read_ms: expected time for reading its prompt.
    :param wait_ms: expected time until its prompt begins to be read.
    :param steps_ms: expected time from the end of its prompt to its first event.
    :param read_end_ms: expected time at which its prompt has been read.
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
    read_ms: float = 0.0
    wait_ms: float = 0.0
    steps_ms: float = 0.0
    read_end_ms: float = 0.0
    began_ms: float | None = None


class Estimate(NamedTuple):
    """Expected times for a prompt on an engine, with their margin.

    :param wait_ms: time until it begins to be read.
    :param read_ms: time to read it.
    :param pause_ms: longest time between two events of the streams that run meanwhile.
    :param first_ms: time to its first event.
    :param spell_pause_ms: longest time between two events if a slow spell has begun: then none of
        the prompts that are not known to be read may have been.
    """

    wait_ms: float
    read_ms: float
    pause_ms: float
    first_ms: float
    spell_pause_ms: float


class _Read(NamedTuple):
    start_ms: float
    end_ms: float
    steps: int


class EngineLoad:
    """Dispatches, reports and learned speed of one engine."""

    def __init__(
        self,
        upstream_id: str,
        paces: PaceTable,
        slots: int,
        cache_tokens: int,
        event_tokens: int = 1,
        data_centre: str = "",
        incarnation: int = 0,
    ) -> None:
        """Start idle.

        :param paces: learned times of the service.
        """
        self.upstream_id, self.data_centre, self.incarnation = upstream_id, data_centre, incarnation
        self.slots, self.cache_tokens, self.event_tokens = slots, cache_tokens, event_tokens
        self.speed: Factor = engine_factor()
        self.slowness = Slowness()
        self.parts = CachedParts()
        self.dispatches: dict[str, Dispatch] = {}
        self.pending: dict[str, Dispatch] = {}
        self.used_tokens = 0
        self._pending_read_ms = 0.0
        self._paces = paces
        self._models: dict[str, int] = {}
        self._gap_objectives: dict[float, int] = {}
        self._reads: deque[_Read] = deque(maxlen=_KEPT_READS)
        self._read_until_ms = 0.0
        self._unknown_requests, self._unknown_ms = 0, float("-inf")
        self._unknown_waiting, self._unknown_waiting_ms = 0, float("-inf")
        self._ends_ms: deque[float] = deque(maxlen=_KEPT_ENDS)
        self._failures_ms: list[float] = []
        self._reported_ms = float("-inf")
        self._lag_ms = _REPORT_LAG_MS
        self._avoided_until_ms = float("-inf")

    # What it holds

    @property
    def paused_streams(self) -> int:
        """Return the streams with an objective for pauses."""
        return sum(self._gap_objectives.values())

    @property
    def gap_objective_ms(self) -> float:
        """Return the shortest objective for pauses, infinite without one."""
        return min(self._gap_objectives, default=math.inf)

    def requests(self, now_ms: float) -> int:
        """Return the requests that it holds, with those that only reports tell of."""
        if self._unknown_requests and now_ms - self._unknown_ms < _UNKNOWN_TTL_MS:
            return len(self.dispatches) + self._unknown_requests
        return len(self.dispatches)

    def free_slots(self, now_ms: float) -> int:
        """Return the slots without a request."""
        return max(0, self.slots - self.requests(now_ms))

    def free_tokens(self, now_ms: float) -> int:
        """Return the cache tokens that its requests do not take."""
        unknown = self.requests(now_ms) - len(self.dispatches)
        return self.cache_tokens - self.used_tokens - unknown * _UNKNOWN_PROMPT_TOKENS

    def is_avoided(self, now_ms: float) -> bool:
        """Return whether requests failed on it recently."""
        return now_ms < self._avoided_until_ms

    # Estimates

    def backlog_ms(self, now_ms: float) -> float:
        """Return the expected time until the prompts that it has are read."""
        return max(0.0, self._read_until_ms - now_ms) + self._delay_ms(now_ms)

    def _delay_ms(self, now_ms: float) -> float:
        """Return the expected delay of the prompts that it has by what is not known."""
        delay_ms = 0.0
        if self.pending:
            oldest = next(iter(self.pending.values()))
            # The steps between its prompt and its first event may read the prompts behind it.
            read_ms = min(self._read_until_ms, oldest.read_end_ms + _MAX_READ_BEHIND_MS)
            due_ms = max(read_ms, oldest.read_end_ms) + oldest.steps_ms + self._lag_ms
            # An engine that is overdue is slower than known or stalls: expect as much again.
            delay_ms = max(0.0, now_ms - due_ms)
        if self._unknown_waiting and now_ms - self._unknown_waiting_ms < _UNKNOWN_WAITING_TTL_MS:
            tokens = self._unknown_waiting * _UNKNOWN_PROMPT_TOKENS
            delay_ms += tokens * self._paces.ms_per_token * self.speed.value
        return delay_ms

    def estimate(self, model: str, tokens: int, now_ms: float) -> Estimate:
        """Return the expected times for a prompt.

        Events of running streams are a number of steps apart, and each of these steps may read a
        chunk. So the longest pause holds the prompt and those that are read within as many steps
        before it.

        :param tokens: prompt tokens that are not cached.
        """
        step_ms, prompt_ms = self._times_ms(model, tokens, now_ms)
        steps = 1 + tokens // _CHUNK_TOKENS
        delay_ms = self._delay_ms(now_ms)
        start_ms = later_ms = max(now_ms + SEND_MS, self._read_until_ms)
        pause_ms = self.event_tokens * step_ms + prompt_ms
        steps_between: float = steps
        for read in reversed(self._reads):
            # A delayed engine has no pauses between prompts.
            if later_ms > read.end_ms and not delay_ms:
                steps_between += (later_ms - read.end_ms) / step_ms
            if steps_between >= self.event_tokens + 1:
                break
            pause_ms += read.end_ms - read.start_ms
            steps_between += read.steps
            later_ms = read.start_ms
        read_ms = prompt_ms + steps * step_ms
        wait_ms = start_ms - now_ms + delay_ms
        first_ms = wait_ms + read_ms + self.event_tokens * step_ms
        spell_ms = self.event_tokens * step_ms + prompt_ms + self._pending_read_ms
        spell_ms *= max(1.0, SPELL_FACTOR / self.slowness.at(now_ms))
        return Estimate(wait_ms, read_ms, pause_ms, first_ms, spell_ms)

    def expected_first_ms(self, model: str, tokens: int, now_ms: float) -> float:
        """Return the expected time to the first event of a prompt."""
        return self.estimate(model, tokens, now_ms).first_ms

    def expected_pause_ms(self, model: str, tokens: int, now_ms: float) -> float:
        """Return the longest expected time between events of running streams if it is added."""
        return self.estimate(model, tokens, now_ms).pause_ms

    def alone_pause_ms(self, model: str, tokens: int, now_ms: float) -> float:
        """Return the longest expected time between events if only this prompt is read."""
        step_ms, prompt_ms = self._times_ms(model, tokens, now_ms)
        return self.event_tokens * step_ms + prompt_ms

    def _times_ms(self, model: str, tokens: int, now_ms: float) -> tuple[float, float]:
        """Return the expected times of a step and of a prompt, with their margin."""
        factor = self._paces.model(model)
        margin = _DEVIATIONS * math.sqrt(self.speed.variance + factor.variance)
        speed = self.speed.value * self.slowness.at(now_ms) * (1.0 + min(_MAX_MARGIN, margin))
        step_ms = self._paces.step_ms * speed * self._step_factor(factor.value)
        return step_ms, tokens * self._paces.ms_per_token * speed * factor.value

    def ms_per_token(self, model: str) -> float:
        """Return the usual time of a prompt token."""
        return self._paces.ms_per_token * self.speed.value * self._paces.model(model).value

    def _step_factor(self, factor: float) -> float:
        """Return the factor of a step that runs a model, and the models that run already."""
        for name in self._models:
            factor = max(factor, self._paces.model(name).value)
        return factor * (1.0 + _STEP_PER_RUNNING * len(self.dispatches))

    # Changes

    def place(self, dispatch: Dispatch, part_tokens: Sequence[int], now_ms: float) -> Estimate:
        """Add a request that is dispatched now; return the expected times."""
        estimate = self.estimate(dispatch.model, dispatch.unread_tokens, now_ms)
        dispatch.placed_ms = now_ms
        dispatch.ms_per_token = self.ms_per_token(dispatch.model)
        dispatch.wait_ms, dispatch.read_ms = estimate.wait_ms, estimate.read_ms
        dispatch.steps_ms = estimate.first_ms - estimate.wait_ms - estimate.read_ms
        start_ms = max(now_ms + SEND_MS, self._read_until_ms)
        dispatch.read_end_ms = self._read_until_ms = start_ms + estimate.read_ms
        steps = 1 + dispatch.unread_tokens // _CHUNK_TOKENS
        self._reads.append(_Read(start_ms, dispatch.read_end_ms, steps))
        self.dispatches[dispatch.request_id] = self.pending[dispatch.request_id] = dispatch
        self._pending_read_ms += estimate.read_ms
        self.used_tokens += dispatch.tokens
        self._models[dispatch.model] = self._models.get(dispatch.model, 0) + 1
        if dispatch.gap_objective_ms > 0:
            held = self._gap_objectives.get(dispatch.gap_objective_ms, 0)
            self._gap_objectives[dispatch.gap_objective_ms] = held + 1
        self.parts.record(dispatch.part_keys, part_tokens, self.cache_tokens - self.used_tokens)
        return estimate

    def begin(self, request_id: str, took_ms: float, at_ms: float, now_ms: float) -> None:
        """Take in that a request has had its first event.

        :param took_ms: time from its dispatch to its first event.
        :param at_ms: time of the event.
        """
        dispatch = self.dispatches.get(request_id)
        if dispatch is None or dispatch.began_ms is not None:
            return
        lag_ms = now_ms - at_ms + _ADDED_LAG_MS
        weight = 1.0 if lag_ms > self._lag_ms else _SHORTER_LAG_WEIGHT
        self._lag_ms += weight * (min(_MAX_LAG_MS, lag_ms) - self._lag_ms)
        if took_ms > 0:
            self._learn_prompt(dispatch, took_ms, at_ms)
        dispatch.began_ms = at_ms
        is_earlier = request_id in self.pending
        for earlier in list(self.pending.values()) if is_earlier else ():
            # Prompts of the same or a higher rank that were sent before it have been read.
            if earlier is dispatch or earlier.priority <= dispatch.priority:
                self._confirm(earlier)
            if earlier is dispatch:
                break
        self._read_until_ms = min(self._read_until_ms, at_ms + self._pending_read_ms)

    def end(self, request_id: str, now_ms: float) -> Dispatch | None:
        """Forget a request that has ended."""
        dispatch = self.dispatches.pop(request_id, None)
        if dispatch is None:
            return None
        if request_id in self.pending:
            self._confirm(dispatch)
            self._read_until_ms = min(self._read_until_ms, now_ms + self._pending_read_ms)
        self._ends_ms.append(now_ms)
        self.used_tokens -= dispatch.tokens
        _decrement(self._models, dispatch.model)
        if dispatch.gap_objective_ms > 0:
            _decrement(self._gap_objectives, dispatch.gap_objective_ms)
        return dispatch

    def fail(self, request_id: str, now_ms: float) -> None:
        """Forget a request that the engine did not run."""
        dispatch = self.end(request_id, now_ms)
        if dispatch is None or dispatch.began_ms is not None:
            return
        self.parts.forget(dispatch.part_keys[1:])
        self._failures_ms = [t for t in self._failures_ms if t > now_ms - _FAILURE_WINDOW_MS]
        self._failures_ms.append(now_ms)
        if len(self._failures_ms) >= _AVOID_AFTER_FAILURES:
            self._avoided_until_ms = now_ms + _AVOIDED_MS

    def forget_expired(self, now_ms: float) -> list[str]:
        """Forget requests whose end was not reported in time; return their ids."""
        expired = [i for i, dispatch in self.dispatches.items() if dispatch.until_ms <= now_ms]
        for request_id in expired:
            self.end(request_id, now_ms)
        return expired

    def report(self, observation: Observation, now_ms: float) -> None:
        """Take in a report of the engine on its load."""
        at_ms = now_ms - observation.age_ms
        if at_ms < self._reported_ms:
            return
        self._reported_ms = at_ms
        self.slowness.report(observation.slowness or 1.0, at_ms)
        if observation.slots > 0:
            self.slots = observation.slots
        known = self._held_at(at_ms)
        reported = observation.running + observation.waiting
        self._unknown_requests, self._unknown_ms = max(0, reported - known - 1), at_ms
        waiting = sum(dispatch.placed_ms <= at_ms for dispatch in self.pending.values())
        self._unknown_waiting = max(0, observation.waiting - waiting - 1)
        self._unknown_waiting_ms = at_ms

    def observe_interval(self, model: str, took_ms: float, at_ms: float) -> None:
        """Learn from the time between two events, unless a prompt was read meanwhile.

        :param at_ms: time of the later event.
        """
        begin_ms = at_ms - took_ms
        if len(self._models) > 1 or any(
            read.end_ms > begin_ms and read.start_ms < at_ms for read in self._reads
        ):
            return
        factor = self._step_factor(self._paces.model(model).value)
        expected_ms = self.event_tokens * self._paces.step_ms * self.speed.value * factor
        expected_ms *= self.slowness.at(at_ms)
        self._paces.observe_step(self.speed, model, took_ms / expected_ms)

    def check_count(self, count: int, counted_ms: float, now_ms: float) -> list[str]:
        """Compare with a count of the entry instances; return ids of dispatches that are forgotten.

        :param count: requests in progress that they reported.
        :param counted_ms: time of the count.
        """
        settled = [
            dispatch
            for dispatch in self.dispatches.values()
            if dispatch.placed_ms < counted_ms - _COUNT_SETTLED_MS
        ]
        excess = len(settled) - count
        forgotten = [dispatch.request_id for dispatch in settled[: max(0, excess)]]
        for request_id in forgotten:
            self.end(request_id, now_ms)
        if self._unknown_ms < counted_ms:
            self._unknown_requests = max(0, count - self._held_at(counted_ms))
            self._unknown_ms = counted_ms
        return forgotten

    def _confirm(self, dispatch: Dispatch) -> None:
        """Take a prompt from those that are not known to be read."""
        del self.pending[dispatch.request_id]
        self._pending_read_ms -= dispatch.read_ms
        if not self.pending:
            self._pending_read_ms = 0.0

    def _held_at(self, at_ms: float) -> int:
        """Return the requests that it held at a recent time."""
        held = sum(dispatch.placed_ms <= at_ms for dispatch in self.dispatches.values())
        return held + sum(end_ms > at_ms for end_ms in self._ends_ms)

    def _learn_prompt(self, dispatch: Dispatch, took_ms: float, at_ms: float) -> None:
        """Learn the time per token from a prompt that waited for few others."""
        total_ms = dispatch.wait_ms + dispatch.read_ms + dispatch.steps_ms
        if dispatch.wait_ms > 0.3 * total_ms or dispatch.read_ms < 0.3 * total_ms:
            return
        if self.slowness.at(at_ms) > 1.0 or self.slowness.at(dispatch.placed_ms) > 1.0:
            return
        margin = _DEVIATIONS * math.sqrt(
            self.speed.variance + self._paces.model(dispatch.model).variance
        )
        behind_ms = sum(
            min(read.end_ms, at_ms) - read.start_ms
            for read in self._reads
            if dispatch.read_end_ms <= read.start_ms < at_ms
        )
        expected_ms = dispatch.read_ms + dispatch.steps_ms + behind_ms
        expected_ms /= 1.0 + min(_MAX_MARGIN, margin)
        # Many requests are dispatched before the first of them is observed: what has been learned
        # meanwhile is not learned again.
        expected_ms *= self.ms_per_token(dispatch.model) / dispatch.ms_per_token
        observed_ms = max(1.0, took_ms - dispatch.wait_ms)
        self._paces.observe_prompt(self.speed, dispatch.model, observed_ms / expected_ms)


def _decrement(counts: dict[Any, int], key: str | float) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
