"""Count outcomes and record latencies."""

from __future__ import annotations

import json
from collections import Counter
from enum import Enum
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

_HIGHEST_US = 600_000_000
_PERCENTILES = (50.0, 95.0, 99.0, 100.0)


class Outcome(Enum):
    """List how a request of the load tool can end."""

    COMPLETE = "complete"
    REFUSED = "refused"
    TRUNCATED = "truncated"
    WRONG = "wrong"
    UNKNOWN = "unknown"


@attrs.define
class RequestResult:
    """Describe one finished request.

    :param outcome: how it ended.
    :param kind: error kind of a refusal.
    :param detail: what was wrong.
    :param resumptions: connections after the first that continued a response.
    :param token_times_ms: arrival of each token, on the runtime's clock.
    """

    outcome: Outcome
    kind: str = ""
    detail: str = ""
    resumptions: int = 0
    token_times_ms: list[float] = attrs.field(factory=list)


class Latencies:
    """Record durations in milliseconds with a resolution of a microsecond."""

    def __init__(self) -> None:
        """Start empty."""
        self._histogram = HdrHistogram(1, _HIGHEST_US, 3)

    def record_ms(self, duration_ms: float) -> None:
        """Record one duration."""
        self._histogram.record_value(min(_HIGHEST_US, max(1, round(duration_ms * 1000))))

    def percentiles_ms(self) -> dict[str, float]:
        """Return the percentiles in milliseconds by name."""
        return {
            f"p{percentile:g}": self._histogram.get_value_at_percentile(percentile) / 1000.0
            for percentile in _PERCENTILES
        }


class Summary:
    """Collect the results of one run."""

    def __init__(self) -> None:
        """Start empty."""
        self.chat: Counter[Outcome] = Counter()
        self.services: Counter[Outcome] = Counter()
        self.refused: Counter[str] = Counter()
        self.resumed = 0
        self.tokens = 0
        self.first_token = Latencies()
        self.between_tokens = Latencies()
        self.request_mean_between_tokens = Latencies()
        self.service_call = Latencies()

    @property
    def all_whole(self) -> bool:
        """Return whether no response was wrong or truncated."""
        both = self.chat + self.services
        return both[Outcome.WRONG] + both[Outcome.TRUNCATED] == 0

    def add_chat(self, result: RequestResult, due_ms: float) -> None:
        """Count a chat request.

        :param result: its result.
        :param due_ms: when it was due; a late start counts as latency.
        """
        self.chat[result.outcome] += 1
        self.resumed += bool(result.resumptions)
        if result.outcome is Outcome.REFUSED:
            self.refused[result.kind] += 1
        times = result.token_times_ms
        self.tokens += len(times)
        if times:
            self.first_token.record_ms(times[0] - due_ms)
        for earlier, later in zip(times, times[1:], strict=False):
            self.between_tokens.record_ms(later - earlier)
        if len(times) > 1:
            mean_ms = (times[-1] - times[0]) / (len(times) - 1)
            self.request_mean_between_tokens.record_ms(mean_ms)

    def add_service(self, result: RequestResult, duration_ms: float) -> None:
        """Count a service call."""
        self.services[result.outcome] += 1
        if result.outcome is Outcome.REFUSED:
            self.refused[result.kind] += 1
        self.service_call.record_ms(duration_ms)

    def as_dict(self, elapsed_ms: float) -> dict[str, Any]:
        """Return all figures.

        :param elapsed_ms: duration of the run.
        """
        return {
            "requests": self.chat.total(),
            **{outcome.value: self.chat[outcome] for outcome in Outcome},
            "resumed": self.resumed,
            "service_calls": self.services.total(),
            **{f"service_{outcome.value}": self.services[outcome] for outcome in Outcome},
            "refused_kinds": dict(self.refused),
            "tokens": self.tokens,
            "tokens_per_second": round(self.tokens * 1000.0 / max(1.0, elapsed_ms), 1),
            "elapsed_ms": round(elapsed_ms),
            "first_token_ms": self.first_token.percentiles_ms(),
            "between_tokens_ms": self.between_tokens.percentiles_ms(),
            "request_mean_between_tokens_ms": self.request_mean_between_tokens.percentiles_ms(),
            "service_call_ms": self.service_call.percentiles_ms(),
        }


def summary_lines(figures: dict[str, Any]) -> list[str]:
    """Return the figures as key=value lines, followed by one line of JSON."""
    lines = []
    for key, value in figures.items():
        if isinstance(value, dict):
            lines += [f"{key}.{name}={number}" for name, number in value.items()]
        else:
            lines.append(f"{key}={value}")
    return [*lines, json.dumps(figures)]
