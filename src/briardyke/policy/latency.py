"""Model the nominal latency of an engine and learn how far an upstream deviates from it."""

from __future__ import annotations

import math

# Latency model of an engine at nominal speed. Only the ratios matter: a factor per upstream is
# learned on top, so a single observation already separates upstreams that differ tenfold.
FIRST_TOKEN_BASE_MS = 40.0
FIRST_TOKEN_PER_REQUEST_MS = 4.0
FIRST_TOKEN_PER_PROMPT_TOKEN_MS = 0.1
BETWEEN_TOKENS_BASE_MS = 16.0
BETWEEN_TOKENS_PER_REQUEST_MS = 0.8

# Lowest weight of a new observation, so that the estimate follows a change of speed within a few
# requests; the first observations weigh more (1/n).
MINIMUM_GAIN = 0.2
# After DECAY_DELAY_MS without observations an estimate decays to nominal, halving its deviation
# every DECAY_HALF_LIFE_MS, so that a slow upstream is tried again.
DECAY_DELAY_MS = 1000.0
DECAY_HALF_LIFE_MS = 8000.0
FACTOR_LIMIT = 200.0


class LatencyFactor:
    """Track the ratio between observed and nominal time as a moving geometric mean."""

    def __init__(self) -> None:
        self._log = 0.0
        self._count = 0.0
        self._updated_ms = 0.0

    def idle_ms(self, now_ms: float) -> float:
        """Return the time since the last observation, infinite without any."""
        return now_ms - self._updated_ms if self._count else math.inf

    def value(self, now_ms: float) -> float:
        """Return the factor; above 1 is slower than nominal."""
        return math.exp(self._log * self._remaining_weight(now_ms))

    def observe(self, ratio: float, now_ms: float) -> None:
        """Add one observation.

        :param ratio: observed time over nominal time.
        :param now_ms: time of the observation.
        """
        log = math.log(min(FACTOR_LIMIT, max(1.0 / FACTOR_LIMIT, ratio)))
        # Observations count less against the new one to the extent that they have decayed.
        remaining = self._remaining_weight(now_ms)
        self._count = self._count * remaining + 1.0
        gain = max(MINIMUM_GAIN, 1.0 / self._count)
        self._log = self._log * remaining + gain * (log - self._log * remaining)
        self._updated_ms = now_ms

    def _remaining_weight(self, now_ms: float) -> float:
        idle_ms = now_ms - self._updated_ms
        if idle_ms <= DECAY_DELAY_MS:
            return 1.0
        return float(0.5 ** ((idle_ms - DECAY_DELAY_MS) / DECAY_HALF_LIFE_MS))


def nominal_first_token_ms(running: float, uncached_tokens: float) -> float:
    """Return the time to the first token at nominal speed without a queue, in milliseconds.

    :param running: requests in the batch.
    :param uncached_tokens: prompt tokens that must be computed.
    """
    return (
        FIRST_TOKEN_BASE_MS
        + FIRST_TOKEN_PER_REQUEST_MS * running
        + FIRST_TOKEN_PER_PROMPT_TOKEN_MS * uncached_tokens
    )


def nominal_between_tokens_ms(running: float) -> float:
    """Return the time between tokens of one stream at nominal speed, in milliseconds."""
    return BETWEEN_TOKENS_BASE_MS + BETWEEN_TOKENS_PER_REQUEST_MS * running
