"""Estimates run times from finished gangs; the run times that callers declare are not used.

The estimator keeps, for each workspace and shape, a decaying mean and variance of the logarithm
of the run time, because run times spread over orders of magnitude.  An unknown shape falls back
to the estimate of its workspace, and an unknown workspace to that of all workspaces.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from jacinthreel_common import Adjacency, JobSpec

PRIOR_RUN_S: Final = 300.0
PRIOR_LOG_VARIANCE: Final = 1.0
FALLBACK_WEIGHT: Final = 1.0  # Weight of the wider group, in finished gangs.
MIN_LEARNING_RATE: Final = 0.05
MIN_RUN_S: Final = 0.1

EstimateKey = tuple[str, int, int, Adjacency, bool]


@dataclass(slots=True)
class _LogRunTime:
    """Mean and variance of the logarithm of run times.

    The learning rate is 1 / `count`, but at least `MIN_LEARNING_RATE`.
    """

    count: int = 0
    mean: float = math.log(PRIOR_RUN_S)
    variance: float = PRIOR_LOG_VARIANCE

    def observe(self, log_run_s: float) -> None:
        self.count += 1
        rate = max(MIN_LEARNING_RATE, 1.0 / self.count)
        deviation = log_run_s - self.mean
        self.mean += rate * deviation
        self.variance += rate * (deviation * (log_run_s - self.mean) - self.variance)


class RunTimeEstimator:
    """Estimates run times by workspace and shape.

    >>> estimator = RunTimeEstimator()
    >>> spec = JobSpec("j", "press", tasks=2, accelerators_per_task=4, declared_run_s=9_000)
    >>> for _ in range(20):
    ...     estimator.observe(spec, 60.0)
    >>> round(estimator.expect(spec))
    60
    """

    def __init__(self) -> None:
        self._all = _LogRunTime()
        self._by_workspace: dict[str, _LogRunTime] = {}
        self._by_shape: dict[EstimateKey, _LogRunTime] = {}

    def observe(self, spec: JobSpec, run_s: float) -> None:
        """Updates the estimates with a gang that finished after `run_s` seconds of running."""
        log_run_s = math.log(max(MIN_RUN_S, run_s))
        self._all.observe(log_run_s)
        self._by_workspace.setdefault(spec.workspace, _LogRunTime()).observe(log_run_s)
        self._by_shape.setdefault(_estimate_key(spec), _LogRunTime()).observe(log_run_s)

    def expect(self, spec: JobSpec) -> float:
        """Returns the expected run time of a gang, in seconds."""
        mean = _blend(self._all, math.log(PRIOR_RUN_S))
        mean = _blend(self._by_workspace.get(spec.workspace), mean)
        return math.exp(_blend(self._by_shape.get(_estimate_key(spec)), mean))


def _blend(group: _LogRunTime | None, wider_mean: float) -> float:
    if group is None or not group.count:
        return wider_mean
    weight = group.count / (group.count + FALLBACK_WEIGHT)
    return weight * group.mean + (1.0 - weight) * wider_mean


def _estimate_key(spec: JobSpec) -> EstimateKey:
    return (
        spec.workspace,
        spec.tasks,
        spec.accelerators_per_task,
        spec.adjacency,
        spec.checkpointable,
    )
