"""Straight lines through measurements."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(frozen=True)
class Line:
    """The least-squares line of some measurements.

    Attributes:
        slope: Growth for each unit.
        offset: Value at 0.
        fit: Coefficient of determination; 1.0 if all points are on the line.
    """

    slope: float
    offset: float
    fit: float


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Returns the least-squares line through the points."""
    mean_x = sum(sizes) / len(sizes)
    mean_y = sum(values) / len(values)
    points = list(zip(sizes, values, strict=True))
    above = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = above / sum((x - mean_x) ** 2 for x in sizes)
    offset = mean_y - slope * mean_x
    missed = sum((y - offset - slope * x) ** 2 for x, y in points)
    spread = sum((y - mean_y) ** 2 for y in values)
    return Line(slope, offset, 1 - missed / spread if spread else 1.0)
