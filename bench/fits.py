"""Fit straight lines to measured points."""

from __future__ import annotations

import attrs
import numpy as np


@attrs.frozen
class Fit:
    """Describe a line through measured points.

    :param name: what was measured.
    :param unit: unit of the value.
    :param per: what one step of the size is.
    :param points: measured sizes and values.
    :param slope: value per step of the size.
    :param intercept: value at size 0.
    :param residual: largest relative distance of a point from the line.
    """

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value that the line predicts."""
        return self.intercept + self.slope * size


def fit(name: str, unit: str, per: str, points: list[tuple[float, float]]) -> Fit:
    """Fit a line by least squares on relative errors, so that small sizes count as well.

    :param name: what was measured.
    :param unit: unit of the value.
    :param per: what one step of the size is.
    :param points: at least four sizes with their values.
    """
    if len(points) < 4:
        raise ValueError(f"{name}: {len(points)} sizes are too few for a slope")
    sizes = np.array([p[0] for p in points])
    values = np.array([p[1] for p in points])
    slope, intercept = np.polyfit(sizes, values, 1, w=1.0 / np.maximum(values, 1e-12))
    predicted = intercept + slope * sizes
    residual = float(np.max(np.abs(predicted - values) / np.maximum(values, 1e-12)))
    return Fit(name, unit, per, tuple(points), float(slope), float(intercept), residual)
