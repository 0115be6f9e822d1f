"""Compares amounts with quotas; an amount of 0 in a quota is not limited."""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._model import JobSpec, Resources

NO_LIMIT: Final = 1 << 60


def unused_quota(quota: Resources, used: Resources) -> Resources:
    """Returns what is left of a quota; negative if it is exceeded, `NO_LIMIT` if there is none.

    >>> unused_quota(Resources(4_000, 0, 2), Resources(1_000, 500, 3)).accelerators
    -1
    """
    return Resources(
        quota.cpu_milli - used.cpu_milli if quota.cpu_milli else NO_LIMIT,
        quota.memory_mb - used.memory_mb if quota.memory_mb else NO_LIMIT,
        quota.accelerators - used.accelerators if quota.accelerators else NO_LIMIT,
    )


def fits_empty_quota(quota: Resources, task_count: int, shape: Resources) -> bool:
    """Whether so many tasks of a shape are within the quota if nothing else runs.

    >>> fits_empty_quota(Resources(0, 0, 8), 4, Resources(1_000, 1_000, 2))
    True
    >>> fits_empty_quota(Resources(0, 0, 8), 5, Resources(1_000, 1_000, 2))
    False
    """
    return is_not_negative(unused_quota(quota, shape.times(task_count)))


def is_not_negative(amounts: Resources) -> bool:
    """Whether none of the three amounts is negative."""
    return amounts.cpu_milli >= 0 and amounts.memory_mb >= 0 and amounts.accelerators >= 0


def uses_exceeded_amount(unused: Resources, shape: Resources) -> bool:
    """Whether a shape has some of an amount whose unused quota is negative.

    >>> uses_exceeded_amount(Resources(-1_000, 500, 2), Resources(0, 100, 1))
    False
    """
    return (
        (unused.cpu_milli < 0 < shape.cpu_milli)
        or (unused.memory_mb < 0 < shape.memory_mb)
        or (unused.accelerators < 0 < shape.accelerators)
    )


def find_step_beyond_quota(spec: JobSpec, quota: Resources) -> int | None:
    """Returns the index of the first step whose gang, or single task, exceeds the whole quota."""
    for index, step in enumerate(spec.steps):
        if not fits_empty_quota(quota, step.count if step.is_gang else 1, step.shape):
            return index
    return None
