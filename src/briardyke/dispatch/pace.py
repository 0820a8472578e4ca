"""Learn how fast each engine runs each model."""

from __future__ import annotations

import math

import attrs

# Assumed until observations tell: a step and a prompt token of a large model on a typical engine.
_STEP_MS = 9.5
_MS_PER_TOKEN = 1.0 / 19.5
# Variances of logarithms. Engines differ by factors of 0.6 to 1.6, models by factors of 0.23 to 1.
_ENGINE_VARIANCE = 0.3**2
_MODEL_VARIANCE = 0.5**2
# The ratio of the two times differs little between services.
_TOKEN_VARIANCE = 0.15**2
# The interval between events is exact; the first event also waits for what is not known.
_STEP_NOISE = 0.1**2
_TOKEN_NOISE = 0.3**2
# An estimate never becomes so certain that it stops following the engine.
_MIN_VARIANCE = 0.02**2
# Residuals beyond this many standard deviations count as this many: slow spells that no report
# stated and prompts that were not known of take several times the expected time.
_MAX_DEVIATIONS = 1.5
# Longer intervals than expected are more often caused by a prompt that was not known of.
_LONGER_STEP_WEIGHT = 0.3
# Prompts that follow prolong the steps to a first event, the more so under load; the mean covers
# about a hundred first events.
_STRETCH_WEIGHT = 0.01
_MAX_STRETCH = 10.0
# Steps from the end of a prompt to its first event, until observations tell. An event that waited
# for unknown prompts came after more, so fewer steps count more.
_FIRST_STEPS = 1.0
_MIN_FIRST_STEPS = 0.25
_MAX_FIRST_STEPS = 15.0
_FEWER_STEPS_WEIGHT = 0.1
_MORE_STEPS_WEIGHT = 0.02


@attrs.define(eq=False)
class Factor:
    """Estimated factor on the usual time, with the variance of its logarithm."""

    variance: float
    value: float = 1.0

    def correct(self, residual: float, total_variance: float, weight: float = 1.0) -> None:
        """Take over its share of the logarithm of observed over expected time."""
        gain = weight * self.variance / total_variance
        self.value *= math.exp(gain * residual)
        self.variance = max(_MIN_VARIANCE, self.variance * (1.0 - gain))


def engine_factor() -> Factor:
    """Return the factor of an engine that nothing is known of."""
    return Factor(_ENGINE_VARIANCE)


class PaceTable:
    """Times per step and per prompt token of one service.

    Each time is the product of a factor of the engine and a factor of the model, so an engine that
    has just loaded a model is known by its other models.

    :ivar step_ms: time of a step where both factors are 1.
    :ivar ms_per_token: time of a prompt token where both factors are 1.
    :ivar steps_stretch: factor by which prompts of others prolong the steps to a first event.
    :ivar first_steps: steps from the end of a prompt to its first event.
    """

    def __init__(self) -> None:
        """Start with the times of a large model on a typical engine."""
        self._models: dict[str, Factor] = {}
        self._token = Factor(_TOKEN_VARIANCE)
        self.step_ms, self.ms_per_token = _STEP_MS, _MS_PER_TOKEN
        self.steps_stretch = 1.0
        self.first_steps = _FIRST_STEPS
        self._first_steps_seen = 0

    def model(self, name: str) -> Factor:
        """Return the factor of a model."""
        factor = self._models.get(name)
        if factor is None:
            factor = self._models[name] = Factor(_MODEL_VARIANCE)
        return factor

    def observe_stretch(self, ratio: float) -> None:
        """Learn by which factor prompts of others prolong the steps to a first event."""
        self.steps_stretch += _STRETCH_WEIGHT * (min(_MAX_STRETCH, ratio) - self.steps_stretch)

    def observe_first_steps(self, steps: float) -> None:
        """Learn the steps from the end of a short prompt to its first event."""
        observed = min(_MAX_FIRST_STEPS, max(_MIN_FIRST_STEPS, steps))
        weight = _FEWER_STEPS_WEIGHT if observed < self.first_steps else _MORE_STEPS_WEIGHT
        self._first_steps_seen += 1
        weight = max(weight, 1.0 / self._first_steps_seen)
        self.first_steps += weight * (observed - self.first_steps)

    def observe_step(self, engine: Factor, model_name: str, relative: float) -> None:
        """Learn from a step.

        :param relative: its time without slowness, relative to the expected one.
        """
        model = self.model(model_name)
        total = engine.variance + model.variance + _STEP_NOISE
        residual = _residual(relative, total)
        weight = _LONGER_STEP_WEIGHT if residual > 0 else 1.0
        _correct((engine, model), residual, total, weight)

    def observe_prompt(self, engine: Factor, model_name: str, relative: float) -> None:
        """Learn from the prefill of a prompt that was not queued behind others.

        :param relative: its time without slowness, relative to the expected one.
        """
        model = self.model(model_name)
        total = engine.variance + model.variance + self._token.variance + _TOKEN_NOISE
        _correct((engine, model, self._token), _residual(relative, total), total, 1.0)
        self.ms_per_token = _MS_PER_TOKEN * self._token.value


def _residual(relative: float, variance: float) -> float:
    limit = _MAX_DEVIATIONS * math.sqrt(variance)
    return min(limit, max(-limit, math.log(max(1e-3, relative))))


def _correct(
    factors: tuple[Factor, ...], residual: float, total_variance: float, weight: float
) -> None:
    for factor in factors:
        factor.correct(residual, total_variance, weight)
