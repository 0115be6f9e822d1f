"""A statistical model of the run times of each queue, relative to the submitters' estimates.

Model: the logarithm of a task's run time on an average executor, less that of the submitter's
estimate, is a linear function of the logarithm of the estimate plus a deviation.  The prior is that
the estimate is right.  Weights decrease with each observation, so that the model follows a queue
whose work changes, and those of outliers are reduced, because a few tasks run several times as long
as others.  A quantile of the deviations is tracked separately.

Predictions change only in `fit`, and only if the change is noticeable, so that values derived from
them can be kept in between.

Invariants: memory is bounded by `MAX_QUEUES` queues; predictions are finite and within
a factor of 8 of the estimate.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

MAX_QUEUES: Final = 256
DISCOUNT: Final = 0.98  # Per observation of weight 1: about 50 observations count.
# The prior of the level and of the slope, in observations.
LEVEL_PRIOR_WEIGHT: Final = 4.0
SLOPE_PRIOR_WEIGHT: Final = 16.0
CENTRE_LOG_ESTIMATE: Final = math.log(5_000)
MAX_FULL_WEIGHT_DEVIATION: Final = 0.45  # Weights of larger deviations are reduced (Huber).
HIGH_QUANTILE: Final = 0.9
INITIAL_HIGH_DEVIATION: Final = 0.5
# With 0.1, the tracked quantile varies too much.
HIGH_DEVIATION_STEP: Final = 0.04
MAX_HIGH_DEVIATION: Final = 3.0
MAX_LOG_CORRECTION: Final = math.log(8.0)
MIN_PUBLISHED_CHANGE: Final = 0.02
STORED_NUMBERS: Final = 6


@dataclass(slots=True)
class _QueueModel:
    """The weighted sums of the regression, its solution, and the published predictions.

    `weight` is the sum of the weights; the other sums are of x, x squared, y and x times y, where x
    is the centred logarithm of the estimate and y the logarithm of run time divided by estimate.
    `published` and `stored` are the solution and the sums as of the last noticeable change.
    """

    weight: float = 0.0
    sum_x: float = 0.0
    sum_xx: float = 0.0
    sum_y: float = 0.0
    sum_xy: float = 0.0
    high_deviation: float = INITIAL_HIGH_DEVIATION
    level: float = 0.0
    slope: float = 0.0
    published: tuple[float, float, float] = (0.0, 0.0, INITIAL_HIGH_DEVIATION)
    stored: tuple[float, ...] = ()

    def add(self, x: float, y: float, weight: float) -> None:
        deviation = y - self.level - self.slope * x
        is_above = deviation > self.high_deviation
        moved = HIGH_DEVIATION_STEP * weight * (HIGH_QUANTILE - (0 if is_above else 1))
        self.high_deviation = max(0.0, min(MAX_HIGH_DEVIATION, self.high_deviation + moved))
        discount = DISCOUNT**weight
        weight *= min(1.0, MAX_FULL_WEIGHT_DEVIATION / max(abs(deviation), 1e-9))
        self.weight = self.weight * discount + weight
        self.sum_x = self.sum_x * discount + weight * x
        self.sum_xx = self.sum_xx * discount + weight * x * x
        self.sum_y = self.sum_y * discount + weight * y
        self.sum_xy = self.sum_xy * discount + weight * x * y
        self.solve()

    def solve(self) -> None:
        """Computes the level and the slope from the sums and the prior."""
        level_weight = self.weight + LEVEL_PRIOR_WEIGHT
        slope_weight = self.sum_xx + SLOPE_PRIOR_WEIGHT
        determinant = level_weight * slope_weight - self.sum_x**2
        self.level = (self.sum_y * slope_weight - self.sum_xy * self.sum_x) / determinant
        self.slope = (self.sum_xy * level_weight - self.sum_y * self.sum_x) / determinant

    def publish(self) -> bool:
        """Publishes the solution; returns false if it has not changed noticeably."""
        current = (self.level, self.slope, self.high_deviation)
        if max(abs(a - b) for a, b in zip(current, self.published, strict=True)) < (
            MIN_PUBLISHED_CHANGE
        ):
            return False
        self.published = current
        sums = (self.weight, self.sum_x, self.sum_xx, self.sum_y, self.sum_xy)
        self.stored = tuple(round(number, 4) for number in (*sums, self.high_deviation))
        return True


class RunTimeModel:
    """Predicts the run times of tasks on an average executor, by queue."""

    def __init__(self) -> None:
        self._model_by_queue: dict[str, _QueueModel] = {}
        self._changed_queues: dict[str, None] = {}

    def observe(self, queue: str, estimate_ms: float, run_ms: float, weight: float = 1.0) -> None:
        """Records the run time of a task on an average executor; skips it without an estimate."""
        if estimate_ms <= 0 or run_ms <= 0:
            return
        model = self._model_by_queue.pop(queue, None) or _QueueModel()
        self._model_by_queue[queue] = model  # At the end, as the most recently used.
        if len(self._model_by_queue) > MAX_QUEUES:
            del self._model_by_queue[next(iter(self._model_by_queue))]
        model.add(
            math.log(estimate_ms) - CENTRE_LOG_ESTIMATE, math.log(run_ms / estimate_ms), weight
        )
        self._changed_queues[queue] = None

    def fit(self) -> set[str]:
        """Updates the predictions; returns the queues whose predictions have changed."""
        changed: set[str] = set()
        for queue in self._changed_queues:
            model = self._model_by_queue.get(queue)
            if model is not None and model.publish():
                changed.add(queue)
        self._changed_queues.clear()
        return changed

    def median_ms(self, queue: str, estimate_ms: float) -> float:
        """Returns the median run time; the estimate itself for an unknown queue.

        >>> RunTimeModel().median_ms("q", 5_000)
        5000
        """
        model = self._model_by_queue.get(queue)
        if model is None or estimate_ms <= 0:
            return estimate_ms
        level, slope, _ = model.published
        log_correction = level + slope * (math.log(estimate_ms) - CENTRE_LOG_ESTIMATE)
        clamped = max(-MAX_LOG_CORRECTION, min(MAX_LOG_CORRECTION, log_correction))
        return estimate_ms * math.exp(clamped)

    def high_ms(self, queue: str, estimate_ms: float) -> float:
        """Returns the `HIGH_QUANTILE` of the run time."""
        model = self._model_by_queue.get(queue)
        deviation = model.published[2] if model is not None else INITIAL_HIGH_DEVIATION
        return self.median_ms(queue, estimate_ms) * math.exp(deviation)

    def stored_numbers(self) -> dict[str, tuple[float, ...]]:
        """Returns the state of all queues with a published prediction, to be restored later."""
        return {
            queue: model.stored for queue, model in self._model_by_queue.items() if model.stored
        }

    def restore(self, numbers_by_queue: dict[str, tuple[float, ...]]) -> None:
        """Replaces the models by the `stored_numbers` of an earlier one; skips unusable ones."""
        self._model_by_queue.clear()
        for queue, numbers in list(numbers_by_queue.items())[:MAX_QUEUES]:
            model = _restore_queue(numbers)
            if model is None:
                continue
            self._model_by_queue[queue] = model
            self._changed_queues[queue] = None


def _restore_queue(numbers: tuple[float, ...]) -> _QueueModel | None:
    """Returns the model with these numbers, or None if they are out of range or inconsistent."""
    limit = 1e6  # Far above the sums that observations with decreasing weights can reach.
    if len(numbers) != STORED_NUMBERS or not all(abs(number) < limit for number in numbers):
        return None
    weight, sum_x, sum_xx, sum_y, sum_xy, high_deviation = numbers
    is_consistent = sum_x**2 <= weight * sum_xx + 1  # The numbers are rounded.
    if weight < 0 or sum_xx < 0 or not is_consistent:
        return None
    if not 0 <= high_deviation <= MAX_HIGH_DEVIATION:
        return None
    model = _QueueModel(weight, sum_x, sum_xx, sum_y, sum_xy, high_deviation, stored=numbers)
    model.solve()
    return model
