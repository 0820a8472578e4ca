"""Pour an amount over bins of different heights, as water would spread."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def water_filling_level(bins: Iterable[tuple[float, float]], amount: float) -> float:
    """Return the height that an amount reaches.

    :param bins: present height and width of each bin; at least one.
    :param amount: what is poured; a bin of width 2 takes 2 for each unit of height.
    """
    ascending = sorted(bins)
    width = content = 0.0
    for position, (height, own_width) in enumerate(ascending, start=1):
        width += own_width
        content += height * own_width
        level = (content + amount) / width
        if position == len(ascending) or level <= ascending[position][0]:
            return level
    raise ValueError("no bin to pour into")
