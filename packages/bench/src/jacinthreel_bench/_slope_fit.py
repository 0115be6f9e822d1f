"""Fits straight lines to measured points and extrapolates them to the target size.

A `SlopeRow` is one quantity of one role, measured at several sizes `x`.  The line is fitted by
least squares over all points.  Each size is measured several times, so the residuals show the
spread.  `holds` tells whether the value at the target size is within the limit; it is always true
for a quantity without a limit (`limit` is None).
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Point:
    """One measurement: the size `x` and the value `y`."""

    x: float
    y: float


@dataclass(frozen=True, slots=True)
class Quantity:
    """A measured quantity: its role, its unit, the size that it depends on and its limit.

    `x` names the size (for example "workers"), `target` is the target size in that unit, and
    `limit` is the highest value allowed at the target size, in `unit`.
    """

    role: str
    quantity: str
    unit: str
    x: str
    target: float
    limit: float | None = None


@dataclass(frozen=True, slots=True)
class SlopeRow:
    """A fitted line, as written to `build/slopes.json`.

    `spread` is the standard deviation of the points from the line, and `at_target` is the value of
    the line at the target size, both in `unit`.
    """

    role: str
    quantity: str
    unit: str
    x: str
    points: list[tuple[float, float]]
    slope: float
    intercept: float
    spread: float
    target: float
    at_target: float
    limit: float | None
    holds: bool


def fit_slope(quantity: Quantity, points: list[Point]) -> SlopeRow:
    """Fits a line to points, which must include at least two different sizes.

    >>> doubled = [Point(1, 2), Point(2, 4), Point(4, 8)]
    >>> row = fit_slope(Quantity("owner", "bytes", "B", "workers", 10, limit=19), doubled)
    >>> round(row.slope, 6), round(row.at_target, 6), row.holds
    (2.0, 20.0, False)
    """
    x = np.array([point.x for point in points])
    y = np.array([point.y for point in points])
    slope, intercept = np.polyfit(x, y, 1)
    residuals = y - (slope * x + intercept)
    at_target = float(slope * quantity.target + intercept)
    return SlopeRow(
        role=quantity.role,
        quantity=quantity.quantity,
        unit=quantity.unit,
        x=quantity.x,
        points=[(point.x, point.y) for point in points],
        slope=float(slope),
        intercept=float(intercept),
        spread=float(np.sqrt(np.mean(residuals**2))),
        target=quantity.target,
        at_target=at_target,
        limit=quantity.limit,
        holds=quantity.limit is None or at_target <= quantity.limit,
    )
