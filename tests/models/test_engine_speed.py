"""Tests for the relative speed of engines."""

from __future__ import annotations

import pytest

from briardyke.models.engine_speed import effective_speeds, relative_speeds
from briardyke.models.types import EngineView


class TestRelativeSpeeds:
    """Covers engines of different hardware."""

    def test_engine_with_shorter_intervals_is_faster(self) -> None:
        found = relative_speeds({"a": 20.0, "b": 20.0, "c": 50.0})
        assert found == pytest.approx({"a": 1.0, "b": 1.0, "c": 0.4})

    def test_engine_without_streams_counts_as_typical(self) -> None:
        assert relative_speeds({"a": 20.0, "b": 0.0}) == {"a": 1.0, "b": 1.0}
        assert relative_speeds({"a": 0.0}) == {"a": 1.0}

    def test_stalled_engine_counts_as_slow_within_a_limit(self) -> None:
        assert relative_speeds({"a": 20.0, "b": 20.0, "c": 9000.0})["c"] == 0.25


class TestEffectiveSpeeds:
    """Covers engines that accept fewer requests than they could run."""

    @staticmethod
    def _engine(name: str, limit_per_s: float | None = None, speed: float = 1.0) -> EngineView:
        fields = {"limit_per_s": limit_per_s, "speed": speed}
        return EngineView(name, "s", {}, frozenset(), True, True, **fields)  # type: ignore[arg-type]

    def test_limit_below_the_engine_s_part_reduces_its_speed(self) -> None:
        engines = [self._engine("a", 1.0), self._engine("b")]
        assert effective_speeds(engines, 10.0) == pytest.approx({"a": 0.2, "b": 1.0})

    def test_limit_above_its_part_changes_nothing(self) -> None:
        engines = [self._engine("a", 6.0), self._engine("b", speed=0.5)]
        assert effective_speeds(engines, 4.0) == {"a": 1.0, "b": 0.5}

    def test_engine_that_accepts_nothing_keeps_a_speed(self) -> None:
        assert effective_speeds([self._engine("a", 0.0)], 4.0)["a"] > 0.0

    def test_no_demand(self) -> None:
        assert effective_speeds([self._engine("a", 1.0)], 0.0) == {"a": 1.0}
