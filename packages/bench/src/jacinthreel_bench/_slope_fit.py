"""Straight lines through measured points, and what they say of the target size.

A `Slope` is one quantity of one role measured at several sizes `x`.  The line is fitted by least
squares over all points; each size is measured several times, so the residuals show the spread.
`holds` compares the value at the target with the limit; a quantity without a limit has
`limit` None and always holds.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Point:
    """One measurement: the size and the value."""

    x: float
    y: float


@dataclass(frozen=True, slots=True)
class Quantity:
    """What is measured: for which role, in which unit, against which size and limit.

    `x` names the size, `target` is its value at the target size, in the same unit.
    """

    role: str
    quantity: str
    unit: str
    x: str
    target: float
    limit: float | None = None


@dataclass(frozen=True, slots=True)
class SlopeRow:
    """A fitted line in the form that `build/slopes.json` holds.

    `spread` is the standard deviation of the points from the line, in the quantity's unit.
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
    """Fits a line; needs points at two sizes or more.

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
