"""Checks that a job's specification and terms can be scheduled.

Applied to submitted jobs, and again to stored ones: a row that another version or another writer
stored must not reach the scheduler with steps or numbers that its calculations can't handle.
"""

from __future__ import annotations

import math
from typing import Final

from jacinthreel_steps._model import JobRecord, JobSpec, QueueTerms, StepSpec

MAX_TASKS: Final = 10_000  # Of one job.
MAX_AMOUNT: Final = 2**53  # Larger numbers are not exact in all formats that a job passes through.
MAX_TERM: Final = 1e12


def spec_problem(spec: JobSpec) -> str:
    """Returns why a specification can't be scheduled, "" if it can.

    >>> from jacinthreel_steps._model import Resources
    >>> spec_problem(JobSpec("", (StepSpec(1, Resources(1, 1, 1), after=(0,)),)))
    'step 0 depends on a step that does not precede it'
    """
    if not spec.steps:
        return "a job must have at least one step"
    if sum(step.count for step in spec.steps) > MAX_TASKS:
        return f"a job must have at most {MAX_TASKS} tasks"
    for index, step in enumerate(spec.steps):
        problem = _step_problem(index, step)
        if problem:
            return problem
    return ""


def is_record_usable(record: JobRecord) -> bool:
    """Whether a stored job can be scheduled."""
    return not spec_problem(record.spec) and are_terms_usable(record.queue)


def _step_problem(index: int, step: StepSpec) -> str:
    if step.count < 1:
        return f"step {index} must have at least one task"
    shape = step.shape
    amounts = [shape.cpu_milli, shape.memory_mb, shape.accelerators]
    amounts += [step.estimate_ms, step.max_per_executor]
    if min(amounts) < 0:
        return f"step {index} has a negative amount"
    if max(amounts) > MAX_AMOUNT:
        return f"step {index} has an amount above {MAX_AMOUNT}"
    if any(not 0 <= dependency < index for dependency in step.after):
        return f"step {index} depends on a step that does not precede it"
    return ""


def are_terms_usable(queue: QueueTerms) -> bool:
    """Whether the terms of a queue hold numbers that scheduling can compute with."""
    numbers = (queue.priority, queue.max_attempts, queue.target_latency_ms)
    if any(abs(number) > MAX_AMOUNT for number in numbers):
        return False
    return math.isfinite(queue.stretch) and abs(queue.stretch) <= MAX_TERM
