"""Check the level that water-filling reaches."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardyke.policy.water_filling import water_filling_level

BINS = st.lists(st.tuples(st.floats(0.0, 50.0), st.floats(0.1, 20.0)), min_size=1, max_size=12)


class TestWaterFillingLevel:
    """Guards against a level at which the bins take more or less than the amount."""

    @pytest.mark.parametrize(
        ("bins", "amount", "level"),
        [
            ([(0.0, 1.0)], 3.0, 3.0),
            ([(0.0, 1.0), (2.0, 1.0)], 1.0, 1.0),
            ([(0.0, 1.0), (2.0, 1.0)], 4.0, 3.0),
            ([(0.0, 4.0), (2.0, 1.0)], 8.0, 2.0),
        ],
    )
    def test_examples(self, bins: list[tuple[float, float]], amount: float, level: float) -> None:
        assert water_filling_level(bins, amount) == pytest.approx(level)

    @given(BINS, st.floats(0.1, 100.0))
    def test_the_bins_take_exactly_the_amount(
        self, bins: list[tuple[float, float]], amount: float
    ) -> None:
        level = water_filling_level(bins, amount)
        held = sum(max(0.0, level - height) * width for height, width in bins)
        assert held == pytest.approx(amount, rel=1e-6, abs=1e-6)
