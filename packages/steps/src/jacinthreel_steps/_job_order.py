"""The order in which jobs are scheduled.

Jobs are ordered by priority and, within a priority, by time of acceptance.  A job that is older
than three times its latency objective goes after all others, because its caller no longer waits for
the result.

Targets overload: capacity goes to jobs that can still be in time.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._model import JobSpec, QueueTerms
from jacinthreel_steps._tables import Job

USELESS_AFTER_OBJECTIVES: Final = 3  # A result later than this many objectives is useless.


def objective_ms(spec: JobSpec, queue: QueueTerms) -> float:
    """Returns the latency objective: the longest chain times `stretch`, plus the target latency.

    >>> from jacinthreel_steps._model import Resources, StepSpec
    >>> shape = Resources(1, 1, 1)
    >>> spec = JobSpec("", (StepSpec(1, shape, 100), StepSpec(1, shape, 50, after=(0,))))
    >>> objective_ms(spec, QueueTerms("q", "s", 0, 3, 2.0, 30))
    330.0
    """
    return queue.stretch * longest_chain_ms(spec) + queue.target_latency_ms


def longest_chain_ms(spec: JobSpec) -> int:
    """Returns the length of the critical path of the steps, by the submitter's estimates."""
    ends: list[int] = []
    for step in spec.steps:
        begin_ms = max((ends[index] for index in step.after if index < len(ends)), default=0)
        ends.append(begin_ms + step.estimate_ms)
    return max(ends, default=0)


def job_sort_key(job: Job, now_ms: int) -> tuple[bool, int, int, str]:
    """Returns the key that sorts jobs into scheduling order."""
    queue = job.record.queue
    limit_ms = USELESS_AFTER_OBJECTIVES * objective_ms(job.record.spec, queue)
    is_useless = now_ms - job.accepted_ms > limit_ms
    return (is_useless, queue.priority, job.accepted_ms, job.job_id)
