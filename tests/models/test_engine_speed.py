"""Tests for the relative speed of engines."""

from __future__ import annotations

import pytest

from briardyke.models.engine_speed import relative_speeds


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
