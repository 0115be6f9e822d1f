"""Load, measurement and capacity experiments."""

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
