"""Spread an amount over bins of different heights by water-filling."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def water_filling_level(bins: Iterable[tuple[float, float]], amount: float) -> float:
    """Return the common level of the bins that receive a part of an amount.

    :param bins: current height and width of each bin; at least one.
    :param amount: amount to spread; a bin of width 2 takes 2 for each unit of height.
    """
    ascending = sorted(bins)
    width = content = 0.0
    for position, (height, own_width) in enumerate(ascending, start=1):
        width += own_width
        content += height * own_width
        level = (content + amount) / width
        if position == len(ascending) or level <= ascending[position][0]:
            return level
    raise ValueError("water filling needs at least one bin")
