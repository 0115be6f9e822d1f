"""A statistical model of executor speeds, fitted to the rates of tasks of the same step.

Model: the logarithm of a task's rate is the sum of the level of its step, the effect of its
executor and the task's own deviation.  Effects have a normal prior around 0, so that an executor
counts as average until enough tasks show otherwise; an executor whose speed was restored from an
earlier model has a narrower prior around that speed.  Each fit covers the steps that have changed:
first their levels are computed from the effects, then the effects of their executors from the
levels.
Deviations are clamped, because tasks that are briefly delayed, and executors that are briefly slow,
carry little information about an executor's long-term speed.

Invariants: the model has one rate per task, the newest, however often it is reported; only the
`MAX_STEPS` newest steps are kept, and the `MAX_TASKS` newest of each.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

MAX_STEPS: Final = 300
MAX_TASKS: Final = 1_000  # Of one step; more would not make the estimates much better.
MIN_TASKS: Final = 3
# Standard deviations of the logarithms: of a task's rate, of the prior, of the restored prior.
TASK_DEVIATION: Final = 0.15
EFFECT_DEVIATION: Final = 0.2
RESTORED_DEVIATION: Final = 0.08
MIN_SAVED_EFFECT: Final = 0.05  # Smaller effects are negligible.
MIN_RESTORED_SPEED: Final = 1e-3  # Relative to the usual speed, like its inverse.
MAX_TASK_DEVIATION: Final = 0.5  # From the executor's effect; larger deviations are clamped.


@dataclass(frozen=True, slots=True)
class _TaskRate:
    executor_id: str
    log_rate: float


@dataclass(slots=True)
class _StepRates:
    """The rates of a step's tasks; `level` is None until there are `MIN_TASKS` rates."""

    rate_by_task: dict[int, _TaskRate] = field(default_factory=dict)
    level: float | None = None


StepName = tuple[str, int]
"""A job's id and the index of its step."""


class SpeedModel:
    """Estimates the speed of executors, relative to an average one, from task rates."""

    def __init__(self) -> None:
        self._rates_by_step: dict[StepName, _StepRates] = {}
        self._effect_by_id: dict[str, float] = {}
        self._restored_by_id: dict[str, float] = {}
        self._deviation_by_task_by_id: dict[str, dict[tuple[StepName, int], float]] = {}
        self._changed_steps: dict[StepName, None] = {}
        self._changed_executor_ids: dict[str, None] = {}
        self._needs_fit = False

    def observe(self, step_name: StepName, task_index: int, executor_id: str, rate: float) -> None:
        """Records the rate of a task, in any unit that is the same for all tasks of the step."""
        rates = self._rates_by_step.get(step_name)
        if rates is None:
            rates = _StepRates()
            self._rates_by_step[step_name] = rates
        if len(self._rates_by_step) > MAX_STEPS:
            self._forget_step(next(iter(self._rates_by_step)))
        previous = rates.rate_by_task.get(task_index)
        if previous is not None and previous.executor_id != executor_id:
            self._drop_deviation(previous.executor_id, (step_name, task_index))
        elif previous is None and len(rates.rate_by_task) >= MAX_TASKS:
            oldest = next(iter(rates.rate_by_task))
            dropped = rates.rate_by_task.pop(oldest)
            self._drop_deviation(dropped.executor_id, (step_name, oldest))
        rates.rate_by_task[task_index] = _TaskRate(executor_id, math.log(rate))
        self._changed_steps[step_name] = None
        self._needs_fit = True

    def fit(self) -> bool:
        """Updates levels and effects; returns false if there was nothing new."""
        if not self._needs_fit:
            return False
        self._needs_fit = False
        for step_name in self._changed_steps:
            rates = self._rates_by_step.get(step_name)
            if rates is not None and len(rates.rate_by_task) >= MIN_TASKS:
                self._fit_step(step_name, rates)
        self._changed_steps.clear()
        for executor_id in self._changed_executor_ids:
            deviations = list(self._deviation_by_task_by_id[executor_id].values())
            restored = self._restored_by_id.get(executor_id)
            self._effect_by_id[executor_id] = _posterior_effect(deviations, restored)
        self._changed_executor_ids.clear()
        return True

    def speed(self, executor_id: str) -> float:
        """Returns the speed relative to an average executor; 1.0 for an unknown executor.

        >>> SpeedModel().speed("e1")
        1.0
        """
        return math.exp(self._effect_by_id.get(executor_id, 0.0))

    def unusual_speeds(self) -> dict[str, float]:
        """Returns the speeds of all executors that are not average, to be restored later."""
        speeds: dict[str, float] = {}
        for executor_id, effect in self._effect_by_id.items():
            if abs(effect) >= MIN_SAVED_EFFECT:
                speeds[executor_id] = round(math.exp(effect), 2)
        return speeds

    def restore(self, speeds: dict[str, float]) -> None:
        """Initializes the effects with the `unusual_speeds` of an earlier model; skips bad ones."""
        self._restored_by_id = {
            executor_id: math.log(speed)
            for executor_id, speed in speeds.items()
            if MIN_RESTORED_SPEED <= speed <= 1 / MIN_RESTORED_SPEED
        }
        self._effect_by_id.update(self._restored_by_id)
        self._needs_fit = True

    def usual_rate(self, step_name: StepName) -> float | None:
        """Returns the rate of a usual task of the step on an average executor, None if unknown."""
        rates = self._rates_by_step.get(step_name)
        return math.exp(rates.level) if rates is not None and rates.level is not None else None

    def _fit_step(self, step_name: StepName, rates: _StepRates) -> None:
        effects = self._effect_by_id
        corrected = sorted(
            task_rate.log_rate - effects.get(task_rate.executor_id, 0.0)
            for task_rate in rates.rate_by_task.values()
        )
        rates.level = _interquartile_mean(corrected)
        for task_index, task_rate in rates.rate_by_task.items():
            deviation = task_rate.log_rate - rates.level
            effect = effects.get(task_rate.executor_id, 0.0)
            clamped = max(effect - MAX_TASK_DEVIATION, min(effect + MAX_TASK_DEVIATION, deviation))
            deviation_by_task = self._deviation_by_task_by_id.setdefault(task_rate.executor_id, {})
            deviation_by_task[(step_name, task_index)] = clamped
            self._changed_executor_ids[task_rate.executor_id] = None

    def _forget_step(self, step_name: StepName) -> None:
        rates = self._rates_by_step.pop(step_name)
        for task_index, task_rate in rates.rate_by_task.items():
            self._drop_deviation(task_rate.executor_id, (step_name, task_index))

    def _drop_deviation(self, executor_id: str, task: tuple[StepName, int]) -> None:
        deviation_by_task = self._deviation_by_task_by_id.get(executor_id, {})
        if deviation_by_task.pop(task, None) is not None:
            self._changed_executor_ids[executor_id] = None


def _posterior_effect(deviations: list[float], restored: float | None) -> float:
    """Returns the posterior mean of an effect: the mean deviation, shrunk towards the prior."""
    task_weight = 1 / TASK_DEVIATION**2
    prior_weight = 1 / EFFECT_DEVIATION**2 if restored is None else 1 / RESTORED_DEVIATION**2
    weighted = sum(deviations) * task_weight + (restored or 0.0) * prior_weight
    return weighted / (len(deviations) * task_weight + prior_weight)


def _interquartile_mean(values: list[float]) -> float:
    """Returns the mean of sorted values without the lowest and highest quarter.

    >>> _interquartile_mean([1.0, 2.0, 4.0, 90.0])
    3.0
    """
    quarter = len(values) // 4
    middle = values[quarter : len(values) - quarter]
    return sum(middle) / len(middle)
