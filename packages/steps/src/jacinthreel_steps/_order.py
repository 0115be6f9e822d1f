"""The order in which jobs are offered room.

Jobs come by priority and, within one priority, by acceptance.  A job that can't be done within
three times its latency objective any more goes behind all others: its caller has turned away.

Answers the load of more work than there is room for: work goes to jobs that can still be in time.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._model import JobSpec, QueueTerms
from jacinthreel_steps._tables import Job

LATE_FACTOR: Final = 3  # An answer after this many objectives is of no use.


def objective_ms(spec: JobSpec, queue: QueueTerms) -> float:
    """The latency objective of a job: the stretched longest chain, and the queue's target.

    >>> from jacinthreel_steps._model import Resources, StepSpec
    >>> shape = Resources(1, 1, 1)
    >>> spec = JobSpec("", (StepSpec(1, shape, 100), StepSpec(1, shape, 50, after=(0,))))
    >>> objective_ms(spec, QueueTerms("q", "s", 0, 3, 2.0, 30))
    330.0
    """
    return queue.stretch * longest_chain_ms(spec) + queue.target_latency_ms


def longest_chain_ms(spec: JobSpec) -> int:
    """The time that the steps take one after the other, by the submitter's estimates."""
    ends: list[int] = []
    for step in spec.steps:
        begin_ms = max((ends[index] for index in step.after if index < len(ends)), default=0)
        ends.append(begin_ms + step.estimate_ms)
    return max(ends, default=0)


def remaining_chain_ms(job: Job) -> int:
    """The chain of the steps that are not done."""
    ends: list[int] = []
    for step in job.steps:
        after = step.spec.after
        begin_ms = max((ends[index] for index in after if index < len(ends)), default=0)
        ends.append(begin_ms + (0 if step.is_done else step.spec.estimate_ms))
    return max(ends, default=0)


def order_key(job: Job, now_ms: int) -> tuple[bool, int, int, str]:
    """Sorts jobs into the order in which they are offered room."""
    queue = job.record.queue
    limit_ms = LATE_FACTOR * objective_ms(job.record.spec, queue)
    is_useless = now_ms - job.accepted_ms > limit_ms
    return (is_useless, queue.priority, job.accepted_ms, job.job_id)
