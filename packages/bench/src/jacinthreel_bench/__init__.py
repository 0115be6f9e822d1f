"""Benchmarks of the decision logic, and measurements of how its cost grows with size."""

from jacinthreel_bench._slope_fit import Point, Quantity, SlopeRow, fit_slope
from jacinthreel_bench._slopes_config import measure_config
from jacinthreel_bench._slopes_shard import measure_owner, measure_queue

__all__ = [
    "Point",
    "Quantity",
    "SlopeRow",
    "fit_slope",
    "measure_config",
    "measure_owner",
    "measure_queue",
]
