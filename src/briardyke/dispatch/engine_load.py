"""What is known of the work of one engine, and estimates from it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, NamedTuple

from briardyke.dispatch.cached_parts import CachedParts
from briardyke.dispatch.pace import Factor, PaceTable, engine_factor
from briardyke.dispatch.read_schedule import Dispatch, ReadSchedule, read_ms
from briardyke.dispatch.reported_requests import ReportedRequests
from briardyke.dispatch.slowness import SPELL_FACTOR, Slowness

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardyke.dispatch.messages import Observation

# Each running request prolongs a step by 0.03 of about 9.5 ms.
_STEP_PER_RUNNING = 0.003
# Standard deviations by which estimates of time are raised, and the limit of this increase.
_DEVIATIONS = 0.7
_MAX_MARGIN = 0.35
# A prompt of a request that only the engine's own report tells of.
_UNKNOWN_PROMPT_TOKENS = 1200
# Failures in this time after which an engine gets requests only if no other is left, and for how
# long. A crashed engine stays listed for about 2.5 s.
_FAILURE_WINDOW_MS = 500.0
_AVOIDED_MS = 1000.0
_AVOID_AFTER_FAILURES = 2
# First events of prompts that waited longer, or are longer to read, tell little of the steps.
_MAX_SHORT_WAIT_FRACTION = 0.2
_MAX_SHORT_READ_STEPS = 6.0
# Part of the time to a first event that the tokens of the prompt must take to tell their speed.
_MIN_TOKENS_FRACTION = 0.4


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


class EngineLoad:
    """Dispatches, reports and learned speed of one engine.

    :ivar paused_streams: its streams with an objective for pauses.
    :ivar gap_objective_ms: shortest of these objectives, infinite without one.
    """

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
        self.used_tokens = 0
        self.paused_streams = 0
        self.gap_objective_ms = math.inf
        self.schedule = ReadSchedule(event_tokens)
        self._paces = paces
        self._models: dict[str, int] = {}
        self._gap_objectives: dict[float, int] = {}
        self._reported = ReportedRequests(self.dispatches)
        self._failures_ms: list[float] = []
        self._reported_ms = float("-inf")
        self._avoided_until_ms = float("-inf")

    # What it holds

    def requests(self, now_ms: float) -> int:
        """Return the requests that it holds, with those that only reports tell of."""
        reported = self._reported
        if reported.last_unknown:
            return len(self.dispatches) + reported.unknown(now_ms)
        return len(self.dispatches)

    def free_slots(self, now_ms: float) -> int:
        """Return the slots without a request."""
        return max(0, self.slots - self.requests(now_ms))

    def free_tokens(self, now_ms: float) -> int:
        """Return the cache tokens that its requests do not take."""
        free_tokens = self.cache_tokens - self.used_tokens
        if self._reported.last_unknown:
            free_tokens -= self._reported.unknown(now_ms) * _UNKNOWN_PROMPT_TOKENS
        return free_tokens

    def is_avoided(self, now_ms: float) -> bool:
        """Return whether requests failed on it recently."""
        return now_ms < self._avoided_until_ms

    # Estimates

    def backlog_ms(self, now_ms: float) -> float:
        """Return the expected time until the prompts that it has are read."""
        return self.schedule.backlog_ms(now_ms) + self._unknown_backlog_ms(now_ms)

    def estimate(self, model: str, tokens: int, now_ms: float) -> Estimate:
        """Return the expected times for a prompt.

        Events of running streams are a number of steps apart, and each of these steps may read a
        chunk. So the longest pause holds the prompt and those that are read within as many steps
        before it.

        :param tokens: prompt tokens that are not cached.
        """
        schedule = self.schedule
        step_ms, prompt_ms, _ = self._times_ms(model, tokens, now_ms)
        own_ms = read_ms(tokens, prompt_ms, step_ms)
        delay_ms = schedule.overdue_ms(now_ms)
        if self._reported.last_unread:
            delay_ms += self._unknown_backlog_ms(now_ms)
        start_ms = schedule.start_ms(now_ms)
        event_ms = self.event_tokens * step_ms
        pause_ms = spell_ms = event_ms + prompt_ms
        pause_ms += schedule.window_ms(start_ms, tokens, step_ms, delay_ms > 0)
        wait_ms = start_ms - now_ms + delay_ms
        steps_ms = self._paces.first_steps * step_ms
        first_ms = wait_ms + own_ms + steps_ms * self._paces.steps_stretch
        spell_ms += schedule.pending_read_ms
        slow = self.slowness.at(now_ms)
        if slow < SPELL_FACTOR:
            spell_ms *= SPELL_FACTOR / slow
        return Estimate(wait_ms, own_ms, pause_ms, first_ms, spell_ms)

    def expected_first_ms(self, model: str, tokens: int, now_ms: float) -> float:
        """Return the expected time to the first event of a prompt."""
        return self.estimate(model, tokens, now_ms).first_ms

    def expected_pause_ms(self, model: str, tokens: int, now_ms: float) -> float:
        """Return the longest expected time between events of running streams if it is added."""
        return self.estimate(model, tokens, now_ms).pause_ms

    def alone_pause_ms(self, model: str, tokens: int, now_ms: float) -> float:
        """Return the longest expected time between events if only this prompt is read."""
        step_ms, prompt_ms, _ = self._times_ms(model, tokens, now_ms)
        return self.event_tokens * step_ms + prompt_ms

    def _times_ms(self, model: str, tokens: int, now_ms: float) -> tuple[float, float, float]:
        """Return the expected times of a step and of a prompt, and the margin in both."""
        factor = self._paces.model(model)
        margin = _DEVIATIONS * math.sqrt(self.speed.variance + factor.variance)
        margin = 1.0 + (margin if margin < _MAX_MARGIN else _MAX_MARGIN)
        speed = self.speed.value * self.slowness.at(now_ms) * margin
        step_ms = self._paces.step_ms * speed * self._step_factor(model, factor.value)
        return step_ms, tokens * self._paces.ms_per_token * speed * factor.value, margin

    def ms_per_token(self, model: str) -> float:
        """Return the usual time of a prompt token."""
        return self._paces.ms_per_token * self.speed.value * self._paces.model(model).value

    def _step_factor(self, model: str, factor: float) -> float:
        """Return the factor of a step that runs a model, and the models that run already."""
        for name in self._models:
            if name != model:
                factor = max(factor, self._paces.model(name).value)
        return factor * (1.0 + _STEP_PER_RUNNING * len(self.dispatches))

    # Changes

    def place(self, dispatch: Dispatch, part_tokens: Sequence[int], now_ms: float) -> Estimate:
        """Add a request that is dispatched now; return the expected times."""
        estimate = self.estimate(dispatch.model, dispatch.unread_tokens, now_ms)
        dispatch.placed_ms = now_ms
        dispatch.ms_per_token = self.ms_per_token(dispatch.model)
        step_ms, _, dispatch.margin = self._times_ms(dispatch.model, 0, now_ms)
        dispatch.read_ms = estimate.read_ms
        dispatch.step_ms, dispatch.steps_ms = step_ms, self._paces.first_steps * step_ms
        dispatch.wait_ms = estimate.wait_ms
        dispatch.read_start_ms = self.schedule.start_ms(now_ms)
        self.schedule.add(dispatch)
        self.dispatches[dispatch.request_id] = dispatch
        self.used_tokens += dispatch.tokens
        self._models[dispatch.model] = self._models.get(dispatch.model, 0) + 1
        if dispatch.gap_objective_ms > 0:
            held = self._gap_objectives.get(dispatch.gap_objective_ms, 0)
            self._gap_objectives[dispatch.gap_objective_ms] = held + 1
            self._update_paused_streams(1)
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
        expected_ms = dispatch.wait_ms + dispatch.read_ms + dispatch.steps_ms
        read_end_ms = dispatch.placed_ms + dispatch.wait_ms + dispatch.read_ms
        expected_ms += self.schedule.read_between_ms(read_end_ms, at_ms)
        behind_ms = self.schedule.begin(dispatch, at_ms, now_ms)
        self._paces.observe_stretch(1.0 + behind_ms / dispatch.steps_ms)
        if took_ms > 0:
            self._learn_first_steps(dispatch, took_ms, behind_ms, at_ms)
            self._learn_prompt(dispatch, took_ms, expected_ms, at_ms)
        dispatch.began_ms = at_ms

    def end(self, request_id: str, now_ms: float) -> Dispatch | None:
        """Forget a request that has ended."""
        dispatch = self.dispatches.pop(request_id, None)
        if dispatch is None:
            return None
        self.schedule.discard(dispatch, now_ms)
        self._reported.record_end(now_ms)
        self.used_tokens -= dispatch.tokens
        _decrement(self._models, dispatch.model)
        if dispatch.gap_objective_ms > 0:
            _decrement(self._gap_objectives, dispatch.gap_objective_ms)
            self._update_paused_streams(-1)
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
        if observation.slowness > 0:
            self.slowness.report(observation.slowness, at_ms)
        if observation.slots > 0:
            self.slots = observation.slots
        self._reported.report(observation, self.schedule.pending, at_ms)

    def observe_interval(self, model: str, took_ms: float, at_ms: float) -> None:
        """Learn from the time between two events, unless a prompt was read meanwhile.

        :param at_ms: time of the later event.
        """
        begin_ms = at_ms - took_ms
        if len(self._models) > 1 or self.schedule.may_read(begin_ms, at_ms):
            return
        factor = self._step_factor(model, self._paces.model(model).value)
        expected_ms = self.event_tokens * self._paces.step_ms * self.speed.value * factor
        expected_ms *= self.slowness.at(at_ms)
        self._paces.observe_step(self.speed, model, took_ms / expected_ms)

    def check_count(self, count: int, counted_ms: float, now_ms: float) -> list[str]:
        """Compare with a count of the entry instances; return ids of dispatches that are forgotten.

        :param count: requests in progress that they reported.
        :param counted_ms: time of the count.
        """
        forgotten = self._reported.count(count, counted_ms, now_ms)
        for request_id in forgotten:
            self.end(request_id, now_ms)
        return forgotten

    def _update_paused_streams(self, change: int) -> None:
        self.paused_streams += change
        self.gap_objective_ms = min(self._gap_objectives, default=math.inf)

    def _unknown_backlog_ms(self, now_ms: float) -> float:
        """Return the time to read prompts that only reports tell of."""
        unread = self._reported.unknown_unread(now_ms)
        if not unread:
            return 0.0
        return unread * _UNKNOWN_PROMPT_TOKENS * self._paces.ms_per_token * self.speed.value

    def _learn_first_steps(
        self, dispatch: Dispatch, took_ms: float, behind_ms: float, at_ms: float
    ) -> None:
        """Learn the time from the end of a prompt to its first event from a short prompt.

        Services differ: an engine may send its first token alone, or take tens of milliseconds
        more. Charged to the tokens of the prompts, that would make long ones look short.
        """
        if behind_ms > 0.0 or dispatch.wait_ms > _MAX_SHORT_WAIT_FRACTION * took_ms:
            return
        if dispatch.read_ms > _MAX_SHORT_READ_STEPS * dispatch.step_ms:
            return
        if self.slowness.at(at_ms) > 1.0 or self.slowness.at(dispatch.placed_ms) > 1.0:
            return
        left_ms = took_ms - (dispatch.wait_ms + dispatch.read_ms / dispatch.margin)
        self._paces.observe_first_steps(left_ms * dispatch.margin / dispatch.step_ms)

    def _learn_prompt(
        self, dispatch: Dispatch, took_ms: float, expected_ms: float, at_ms: float
    ) -> None:
        """Learn the time per token from a prompt while no other one was read."""
        wait_ms = dispatch.wait_ms
        tokens_ms = dispatch.read_ms - dispatch.step_ms
        if wait_ms > 0.3 * expected_ms or tokens_ms < _MIN_TOKENS_FRACTION * expected_ms:
            return
        if self.slowness.at(at_ms) > 1.0 or self.slowness.at(dispatch.placed_ms) > 1.0:
            return
        # Many requests are dispatched before the first of them is observed: what has been learned
        # meanwhile is not learned again.
        correction = self.ms_per_token(dispatch.model) / dispatch.ms_per_token / dispatch.margin
        relative = max(1.0, took_ms - wait_ms) / ((expected_ms - wait_ms) * correction)
        self._paces.observe_prompt(self.speed, dispatch.model, relative)


def _decrement(counts: dict[Any, int], key: str | float) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
